package gateway_test

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor/internal/gateway"
)

// Flag of the soak of stops: go test ./internal/gateway -run TestStopsCutNoRequest -stops.time 10m -timeout 15m.
var stopsTime = flag.Duration("stops.time", 20*time.Second, "how long hosts are stopped under load")

const (
	parallelStops   = 8
	stopConnections = 48
	stopHeader      = "X-Request"
	// lastAccept is when a stop closes the idle connections, after its beginning.
	lastAccept = 50 * time.Millisecond
	// stopTimeout is far above the time that a stop needs under load.
	stopTimeout = 20 * time.Second
)

// stopCounts sums up what callers saw of hosts that were stopped.
type stopCounts struct {
	stops, answered, unread, cut atomic.Int64
}

// stopRun is one stop of a front server with kept connections.
type stopRun struct {
	counts *stopCounts
	mu     sync.Mutex
	begun  map[string]bool
}

// ServeHTTP notes that a request was read, and answers it a little later.
func (s *stopRun) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	s.mu.Lock()
	s.begun[request.Header.Get(stopHeader)] = true
	s.mu.Unlock()
	_, _ = io.Copy(io.Discard, request.Body)
	if request.Method == http.MethodPost {
		select {
		case <-request.Context().Done():
			return
		case <-time.After(time.Duration(rand.IntN(8000)) * time.Microsecond):
		}
	}
	_, _ = io.WriteString(writer, request.Header.Get(stopHeader))
}

// run stops a host while requests arrive on its connections.
func (s *stopRun) run(t *testing.T) {
	t.Helper()
	front := gateway.NewFrontServer(s)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	served := make(chan error, 1)
	go func() { served <- front.Serve(listener) }()
	stopping := make(chan struct{})
	var ready, callers sync.WaitGroup
	for n := range stopConnections {
		ready.Add(1)
		callers.Go(func() { s.call(t, listener.Addr().String(), n, &ready, stopping) })
	}
	ready.Wait()
	ctx, cancel := context.WithTimeout(t.Context(), stopTimeout)
	defer cancel()
	close(stopping)
	assert.Check(t, front.Shutdown(ctx))
	callers.Wait()
	assert.ErrorIs(t, <-served, http.ErrServerClosed)
	s.counts.stops.Add(1)
}

// call sends a request on a kept connection, and others once the host stops
// until the host closes the connection.
func (s *stopRun) call(t *testing.T, address string, n int, ready *sync.WaitGroup, stopping <-chan struct{}) {
	t.Helper()
	connection, err := net.Dial("tcp", address)
	if err != nil {
		ready.Done()
		t.Error(err)
		return
	}
	defer func() { _ = connection.Close() }()
	reader := bufio.NewReader(connection)
	if n%8 != 0 { // the others send their first request while the host stops
		err = s.ask(connection, reader, http.MethodGet, fmt.Sprintf("%d-kept", n))
	}
	ready.Done()
	if err != nil {
		t.Error(err)
		return
	}
	<-stopping
	time.Sleep(momentOfRequest())
	for turn := 0; ; turn++ {
		id := fmt.Sprintf("%d-%d", n, turn)
		err := s.ask(connection, reader, http.MethodPost, id)
		if err == nil {
			s.counts.answered.Add(1)
			continue
		}
		s.mu.Lock()
		begun := s.begun[id]
		s.mu.Unlock()
		if !begun {
			s.counts.unread.Add(1)
			return
		}
		s.counts.cut.Add(1)
		t.Errorf("request %s was read, and its connection closed without a whole answer: %v", id, err)
		return
	}
}

// momentOfRequest returns a moment of the stop, mostly about the one at which
// idle connections are closed.
func momentOfRequest() time.Duration {
	if rand.IntN(4) == 0 {
		return rand.N(2 * lastAccept)
	}
	return lastAccept - time.Millisecond + rand.N(4*time.Millisecond)
}

// ask sends a request and returns an error unless it is answered in full.
func (s *stopRun) ask(connection net.Conn, reader *bufio.Reader, method, id string) error {
	_, err := fmt.Fprintf(connection, "%s / HTTP/1.1\r\nHost: h\r\n%s: %s\r\nContent-Length: 5\r\n\r\nhello", method, stopHeader, id)
	if err != nil {
		return err
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err == nil && string(body) != id {
		err = io.ErrUnexpectedEOF
	}
	return err
}

// Guards against a planned stop that closes a connection on which it has just
// read a request: the request is passed on and its caller gets no answer.
func TestStopsCutNoRequest(t *testing.T) {
	t.Parallel()
	var counts stopCounts
	deadline := time.Now().Add(*stopsTime)
	var runs sync.WaitGroup
	for range parallelStops {
		runs.Go(func() {
			for time.Now().Before(deadline) && !t.Failed() {
				(&stopRun{counts: &counts, begun: make(map[string]bool)}).run(t)
			}
		})
	}
	runs.Wait()
	t.Logf("%d stops: %d requests answered while stopping, %d not read, %d read and cut",
		counts.stops.Load(), counts.answered.Load(), counts.unread.Load(), counts.cut.Load())
	assert.Assert(t, counts.answered.Load() > counts.stops.Load())
}

// slowReads is a connection whose reads return late what they have read.
type slowReads struct {
	net.Conn
	read    chan struct{}
	release chan struct{}
}

func (s *slowReads) Read(buffer []byte) (int, error) {
	n, err := s.Conn.Read(buffer)
	if strings.Contains(string(buffer[:n]), "late") {
		close(s.read)
		<-s.release
	}
	return n, err
}

// slowListener accepts one connection, with slow reads.
type slowListener struct {
	net.Listener
	connection *slowReads
}

func (l *slowListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.connection.Conn = connection
	return l.connection, nil
}

// Guards against a planned stop that closes a connection as idle whose next
// request is read but not yet parsed.
func TestStopAnswersARequestThatIsReadAsIdleConnectionsClose(t *testing.T) {
	run := &stopRun{counts: new(stopCounts), begun: make(map[string]bool)}
	for name, server := range map[string]stoppable{"callers": gateway.NewFrontServer(run), "peers": gateway.NewPeerServer(run)} {
		t.Run(name, func(t *testing.T) { testRequestReadAtAStop(t, run, server) })
	}
}

// stoppable is a server of callers or peers.
type stoppable interface {
	Serve(listener net.Listener) error
	Shutdown(ctx context.Context) error
}

func testRequestReadAtAStop(t *testing.T, run *stopRun, server stoppable) {
	t.Helper()
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	slow := &slowReads{read: make(chan struct{}), release: make(chan struct{})}
	served, stopped := make(chan error, 1), make(chan error, 1)
	go func() { served <- server.Serve(&slowListener{Listener: tcp, connection: slow}) }()
	caller, err := net.Dial("tcp", tcp.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = caller.Close() }()
	reader := bufio.NewReader(caller)
	assert.NilError(t, run.ask(caller, reader, http.MethodGet, "kept"))
	go func() {
		<-slow.read
		stopped <- server.Shutdown(t.Context())
	}()
	go func() {
		<-slow.read
		time.Sleep(4 * lastAccept)
		close(slow.release)
	}()
	assert.NilError(t, run.ask(caller, reader, http.MethodPost, "late"))
	assert.NilError(t, <-stopped)
	assert.ErrorIs(t, <-served, http.ErrServerClosed)
}

// Guards against a stop that waits for connections without a request, or beyond
// its deadline for a request.
func TestStopEndsOnTime(t *testing.T) {
	t.Parallel()
	const grace = 2 * time.Second
	for _, each := range []struct {
		name    string
		request string // of the only connection when the stop begins
		within  time.Duration
		want    error
	}{
		{"kept", "GET / HTTP/1.1\r\nHost: h\r\n\r\n", grace / 2, nil},
		{"new", "", grace * 3 / 4, nil},
		{"unanswered", "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n", grace + grace/2, context.DeadlineExceeded},
	} {
		t.Run(each.name, func(t *testing.T) {
			t.Parallel()
			arrived := make(chan struct{}, 1)
			front := gateway.NewFrontServer(http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
				arrived <- struct{}{}
				if request.URL.Path == "/wait" {
					<-t.Context().Done()
				}
			}))
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			go func() { _ = front.Serve(listener) }()
			caller, err := net.Dial("tcp", listener.Addr().String())
			assert.NilError(t, err)
			defer func() { _ = caller.Close() }()
			_, err = io.WriteString(caller, each.request)
			assert.NilError(t, err)
			if each.request != "" {
				<-arrived
			}
			ctx, cancel := context.WithTimeout(t.Context(), grace)
			defer cancel()
			begin := time.Now()
			err = front.Shutdown(ctx)
			assert.Check(t, time.Since(begin) < each.within, "%v", time.Since(begin))
			if each.want == nil {
				assert.NilError(t, err)
				return
			}
			assert.ErrorIs(t, err, each.want)
		})
	}
}

// Guards against a stop that takes another request after the last answer on a
// connection: it comes late, and the end of the grace period cuts it.
func TestStopTakesNoRequestAfterTheLastAnswer(t *testing.T) {
	t.Parallel()
	for _, each := range []struct {
		name  string
		pause time.Duration // between the answer and the handler's return
	}{
		{"handler has returned", 0},
		{"first byte is read before the handler returns", lastAccept},
	} {
		t.Run(each.name, func(t *testing.T) {
			t.Parallel()
			begun, release := make(chan string, 2), make(chan struct{})
			front := gateway.NewFrontServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
				begun <- request.Header.Get(stopHeader)
				<-release
				if each.pause > 0 {
					writer.Header().Set("Content-Length", "0")
					assert.Check(t, http.NewResponseController(writer).Flush())
					time.Sleep(each.pause)
				}
			}))
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			go func() { _ = front.Serve(listener) }()
			caller, err := net.Dial("tcp", listener.Addr().String())
			assert.NilError(t, err)
			defer func() { _ = caller.Close() }()
			_, err = io.WriteString(caller, "GET / HTTP/1.1\r\nHost: h\r\nX-Request: first\r\n\r\n")
			assert.NilError(t, err)
			assert.Equal(t, <-begun, "first")
			stopped := make(chan error, 1)
			go func() { stopped <- front.Shutdown(t.Context()) }()
			time.Sleep(4 * lastAccept)
			close(release)
			response, err := http.ReadResponse(bufio.NewReader(caller), nil)
			assert.NilError(t, err)
			assert.NilError(t, response.Body.Close())
			_, _ = io.WriteString(caller, "GET / HTTP/1.1\r\nHost: h\r\nX-Request: second\r\n\r\n")
			assert.NilError(t, <-stopped)
			assert.Equal(t, len(begun), 0)
		})
	}
}

// Guards against an error 400 for a request of which the first half came together
// with the request before it, and the second half during a stop.
func TestPipelinedRequestHalfReadAtAStopIsServed(t *testing.T) {
	front := gateway.NewFrontServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		_, _ = io.WriteString(writer, request.URL.Path)
	}))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = front.Serve(listener) }()
	caller, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = caller.Close() }()
	reader := bufio.NewReader(caller)
	receive := func() int {
		response, err := http.ReadResponse(reader, nil)
		assert.NilError(t, err)
		defer func() { _ = response.Body.Close() }()
		_, _ = io.Copy(io.Discard, response.Body)
		return response.StatusCode
	}
	_, _ = io.WriteString(caller, "GET /a HTTP/1.1\r\nHost: x\r\n\r\nGET /b HTTP/1.1\r\nHo")
	assert.Equal(t, receive(), http.StatusOK)
	stopped := make(chan error, 1)
	go func() { stopped <- front.Shutdown(t.Context()) }()
	time.Sleep(200 * time.Millisecond)
	_, _ = io.WriteString(caller, "st: x\r\n\r\n")
	assert.Equal(t, receive(), http.StatusOK)
	assert.NilError(t, <-stopped)
}
