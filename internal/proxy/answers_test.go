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
