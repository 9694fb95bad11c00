package gateway_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/gateway"
)

func sendRequest(t *testing.T, connection net.Conn) error {
	t.Helper()
	_, err := io.WriteString(connection, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	if err != nil {
		return err
	}
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		return err
	}
	return response.Body.Close()
}

// New limits apply to new connections. Open connections must keep a longer idle time, so
// that a change cuts off no caller.
func TestLimitsOfCallersChange(t *testing.T) {
	front := gateway.NewFrontServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	served := make(chan error, 1)
	go func() { served <- front.Serve(listener) }()
	dial := func() net.Conn {
		connection, err := net.Dial("tcp", listener.Addr().String())
		assert.NilError(t, err)
		assert.NilError(t, sendRequest(t, connection))
		return connection
	}
	openBefore := dial()
	front.SetLimits(flamingodoor.CallerLimits{HeaderBytes: 16 << 10, HeaderTimeout: time.Second, IdleTimeout: 50 * time.Millisecond})
	openAfter := dial()
	time.Sleep(200 * time.Millisecond)
	assert.Assert(t, sendRequest(t, openAfter) != nil, "the idle connection is still open")
	assert.NilError(t, sendRequest(t, openBefore))
	assert.NilError(t, front.Shutdown(t.Context()))
	assert.Assert(t, errors.Is(<-served, http.ErrServerClosed))
}

// lateListener accepts one connection, shortly after it was closed: the accept
// was under way.
type lateListener struct {
	connection net.Conn
	closed     chan struct{}
	once       sync.Once
	accepted   bool
}

func (l *lateListener) Accept() (net.Conn, error) {
	<-l.closed
	if l.accepted {
		return nil, net.ErrClosed
	}
	l.accepted = true
	time.Sleep(20 * time.Millisecond)
	return l.connection, nil
}

func (l *lateListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *lateListener) Addr() net.Addr { return &net.TCPAddr{} }

// Guards against a stop that closes a connection which was just accepted, or is
// about to be, with a request on it.
func TestStopServesAConnectionThatWasJustAccepted(t *testing.T) {
	caller, accepted := net.Pipe()
	defer func() { _ = caller.Close() }()
	listener := &lateListener{connection: accepted, closed: make(chan struct{})}
	serveWhileStopping(t, listener, caller)
}

// Guards against a stop that resets connections which are established but not
// accepted yet.
func TestStopServesAConnectionThatWaitsToBeAccepted(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	caller, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = caller.Close() }()
	serveWhileStopping(t, listener, caller)
}

// serveWhileStopping sends a request on a connection that the server has yet to
// accept when it is stopped, and checks that it is answered.
func serveWhileStopping(t *testing.T, listener net.Listener, caller net.Conn) {
	t.Helper()
	front := gateway.NewFrontServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		time.Sleep(50 * time.Millisecond)
		writer.WriteHeader(http.StatusNoContent)
	}))
	served := make(chan error, 1)
	stopped := make(chan error, 1)
	blocked := &heldListener{Listener: listener, held: make(chan struct{}), release: make(chan struct{})}
	go func() { served <- front.Serve(blocked) }()
	<-blocked.held
	go func() { stopped <- front.Shutdown(t.Context()) }()
	go func() { _, _ = io.WriteString(caller, "GET / HTTP/1.1\r\nHost: h\r\n\r\n") }()
	time.Sleep(10 * time.Millisecond)
	close(blocked.release)
	response, err := http.ReadResponse(bufio.NewReader(caller), nil)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	assert.Equal(t, response.StatusCode, http.StatusNoContent)
	assert.NilError(t, caller.Close())
	assert.NilError(t, <-stopped)
	assert.ErrorIs(t, <-served, http.ErrServerClosed)
}

// heldListener holds back the first Accept until it is released.
type heldListener struct {
	net.Listener
	held, release chan struct{}
	once          sync.Once
}

func (h *heldListener) Accept() (net.Conn, error) {
	h.once.Do(func() {
		close(h.held)
		<-h.release
	})
	return h.Listener.Accept()
}

// SetDeadline sets the deadline of the listener, if it has one.
func (h *heldListener) SetDeadline(deadline time.Time) error {
	if limited, ok := h.Listener.(*net.TCPListener); ok {
		return limited.SetDeadline(deadline)
	}
	return os.ErrNoDeadline
}
