package proxy_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor"
)

// worker is a stand-in that writes its responses byte by byte.
type worker struct {
	address netip.AddrPort
	runs    atomic.Int64
}

// newWorker starts a worker that calls handle for each request, with the number
// of the request on its connection, until handle reports that the connection
// ends.
func newWorker(t *testing.T, handle func(connection *net.TCPConn, request *http.Request, number int) (open bool)) *worker {
	t.Helper()
	listener, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	w := &worker{address: listener.Addr().(*net.TCPAddr).AddrPort()} //nolint:forcetypeassert // a TCP listener
	go func() {
		for {
			connection, err := listener.AcceptTCP()
			if err != nil {
				return
			}
			go w.serve(connection, handle)
		}
	}()
	return w
}

func (w *worker) serve(connection *net.TCPConn, handle func(connection *net.TCPConn, request *http.Request, number int) bool) {
	defer func() { _ = connection.Close() }()
	reader := bufio.NewReader(connection)
	for number := 1; ; number++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if request.Header.Get(headers.RequestID) == "" {
			return // not of this test: programs of other tests probe ports that were theirs
		}
		w.runs.Add(1)
		if !handle(connection, request, number) {
			return
		}
	}
}

func (w *worker) instance(id, service string) flamingodoor.Instance {
	instance := flamingodoor.Instance{
		ID: id, Service: service, DataCentre: "dc-a", FabricDomain: "d", Slots: 2, StartedAt: time.Unix(1_800_000_000, 0),
		Address: w.address,
	}
	if service == "llm" {
		instance.Membership = flamingodoor.Membership{Group: "g-" + id, Epoch: 1, State: flamingodoor.MembershipStateOpen, ModelID: model}
	}
	return instance
}

// writing returns a handler that writes a text, in which ID stands for the
// identifier of the request, and ends the connection.
func writing(text string) func(*net.TCPConn, *http.Request, int) bool {
	return func(connection *net.TCPConn, request *http.Request, _ int) bool {
		writeText(connection, request, text)
		return false
	}
}

// resetting is like writing, but resets the connection after the text has
// arrived.
func resetting(text string) func(*net.TCPConn, *http.Request, int) bool {
	return func(connection *net.TCPConn, request *http.Request, _ int) bool {
		writeText(connection, request, text)
		time.Sleep(30 * time.Millisecond)
		_ = connection.SetLinger(0)
		return false
	}
}

func writeText(connection *net.TCPConn, request *http.Request, text string) {
	_, _ = io.WriteString(connection, strings.ReplaceAll(text, "ID", request.Header.Get(headers.RequestID)))
}

// success begins a head of status 200 with identifier and signature.
var success = "HTTP/1.1 200 OK\r\n" + headers.RequestID + ": ID\r\n" + headers.Signature + ": sig\r\n" //nolint:gochecknoglobals // a constant

// paths are the paths of an idempotent, a non-idempotent and a streaming route,
// with their services.
var paths = map[string]string{"/read/x": "plain", "/post2/x": "plain", "/stream/x": "llm"} //nolint:gochecknoglobals // a constant

// Guards against telling a caller that a request has not run, because the endpoint
// wrote the refusal of an earlier request with the same identifier once more, and
// against running a request that may run once at a second endpoint. Requests that
// may not be repeated take a connection of their own, on which no other refusal
// can arrive.
func TestRepeatedRefusalIsNotTheAnswer(t *testing.T) {
	for path, service := range paths {
		t.Run(path, func(t *testing.T) {
			s := newSetup(t)
			refusal := "HTTP/1.1 503 E\r\n" + headers.RequestID + ": r1\r\n" + headers.NotRun + ": 1\r\nContent-Length: 0\r\n\r\n"
			answer := success + "Content-Type: text/event-stream\r\nContent-Length: " + fmt.Sprint(len(event(1))) + "\r\n\r\n" + event(1)
			var refused atomic.Bool
			faulty := newWorker(t, func(connection *net.TCPConn, request *http.Request, number int) bool {
				switch {
				case !refused.Swap(true):
					writeText(connection, request, refusal)
				case number > 1:
					writeText(connection, request, refusal+answer)
				default:
					writeText(connection, request, answer)
				}
				return true
			})
			s.register(faulty.instance("i-1", service))
			assert.Equal(t, s.send(path).status, http.StatusServiceUnavailable)
			time.Sleep(150 * time.Millisecond) // the endpoint is paused after a refusal
			got := s.send(path)
			assert.Equal(t, got.status, http.StatusOK, got.body)
			assert.Equal(t, got.body, event(1))
			assert.Equal(t, faulty.runs.Load(), int64(2))
		})
	}
}

// Guards against a success with an empty or short body after the endpoint stopped
// in the middle of its head, or before the end of its body, and closed.
func TestHeadThatStopsIsAFailure(t *testing.T) {
	for name, text := range map[string]string{
		"nothing":            "",
		"status line":        "HTTP/1.1 200 OK",
		"status line's end":  "HTTP/1.1 200 OK\r\n",
		"header":             "HTTP/1.1 200 OK\r\n" + headers.RequestID + ": ID\r\nX-Head",
		"signature":          strings.TrimSuffix(success, "g\r\n"),
		"no blank line":      success,
		"half a blank line":  success + "\r",
		"no body":            success + "Content-Length: 5\r\n\r\n",
		"short body":         success + "Content-Length: 500\r\n\r\n" + event(1),
		"no chunk":           success + "Transfer-Encoding: chunked\r\n\r\n",
		"half a chunk":       success + "Transfer-Encoding: chunked\r\n\r\n40\r\n" + event(1),
		"no last chunk":      success + "Transfer-Encoding: chunked\r\n\r\n4\r\n: a\n\r\n",
		"half of last chunk": success + "Transfer-Encoding: chunked\r\n\r\n4\r\n: a\n\r\n0\r\n",
	} {
		for path, service := range paths {
			t.Run(name+" "+path, func(t *testing.T) {
				s := newSetup(t)
				stopping := newWorker(t, writing(text))
				s.register(stopping.instance("i-1", service))
				got := s.send(path)
				assert.Assert(t, got.status == http.StatusBadGateway || got.err != nil, "%d looks complete: %q", got.status, got.body)
				assert.Equal(t, stopping.runs.Load(), int64(1))
			})
		}
	}
}

// Guards against an answer without a length that is reset on the way and looks
// complete, whether it is short or longer than what is buffered.
func TestResetAnswerWithoutALengthIsNoSuccess(t *testing.T) {
	for name, body := range map[string]string{"no body": "", "short": "short", "long": longBody[:1<<20], "event": event(1), "inside an event": event(1) + "id: 2\nda"} {
		for path, service := range paths {
			t.Run(name+" "+path, func(t *testing.T) {
				s := newSetup(t)
				s.register(newWorker(t, resetting(success+"\r\n"+body)).instance("i-1", service))
				got := s.send(path)
				assert.Assert(t, got.status == http.StatusBadGateway || got.err != nil, "%d looks complete: %d bytes", got.status, len(got.body))
			})
		}
	}
}

// An answer without a length that ends with its connection is whole.
func TestAnswerWithoutALengthIsWhole(t *testing.T) {
	for _, path := range []string{"/read/x", "/post2/x"} {
		s := newSetup(t)
		s.register(newWorker(t, writing(success+"\r\nall of it")).instance("i-1", "plain"))
		got := s.send(path)
		assert.NilError(t, got.err)
		assert.Equal(t, got.status, http.StatusOK)
		assert.Equal(t, got.body, "all of it")
	}
}

// Guards against a stream without a length that ends inside an event, or before
// its first, and looks complete.
func TestStreamWithoutALengthThatEndsInsideAnEventIsBrokenOff(t *testing.T) {
	for name, end := range map[string]string{
		"field name":      "id: 2\nda",
		"empty field":     "id: 2\ndata:",
		"before a CR LF":  "id: 2\r\ndata: t2",
		"inside a CR LF":  "id: 2\r\ndata: t2\r",
		"no blank line":   "id: 2\r\ndata: t2\r\n",
		"half blank line": "id: 2\r\ndata: t2\r\n\r",
	} {
		for _, before := range []string{event(1), ""} {
			t.Run(fmt.Sprintf("%s after %d bytes", name, len(before)), func(t *testing.T) {
				s := newSetup(t)
				s.register(newWorker(t, writing(success+"Content-Type: text/event-stream\r\n\r\n"+before+end)).instance("i-1", "llm"))
				got := s.send("/stream/x")
				assert.Assert(t, got.status == http.StatusBadGateway || got.err != nil, "%d looks complete: %q", got.status, got.body)
				assert.Assert(t, got.status == http.StatusBadGateway || got.body == before, got.body)
			})
		}
	}
}
