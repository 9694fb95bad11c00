package gateway

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/readahead"
)

// defaultLimits apply to callers until the first configuration is read.
var defaultLimits = flamingodoor.CallerLimits{ //nolint:gochecknoglobals // a constant structure
	HeaderBytes: 16 << 10, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second,
}

// noProtocols keeps http.Server from preparing HTTP/2 for each connection. It is used
// over TLS only.
var noProtocols = map[string]func(*http.Server, *tls.Conn, http.Handler){} //nolint:gochecknoglobals // a constant structure

// FrontServer serves callers. A change of their limits applies to the requests that begin
// after it, also on open connections. Exceptions are a shorter idle time, which applies to
// new connections alone, and the first request of a connection, which has the limits with
// which the connection was accepted.
type FrontServer struct {
	handler http.Handler
	limits  atomic.Pointer[flamingodoor.CallerLimits]

	mu       sync.Mutex
	listener net.Listener

	stopping    atomic.Bool
	accepting   sync.WaitGroup // Serve, until its last connection is delivered
	connections connections
}

// FrontOption configures a FrontServer.
type FrontOption func(*FrontServer)

// WithReadAhead sets the memory of the host in bytes, a part of which is for callers that
// read slowly, and the logger of those that are ended.
func WithReadAhead(memory int64, logger log.Logger) FrontOption {
	return func(f *FrontServer) {
		f.connections.budget, f.connections.logger = readahead.New(memory), logger
	}
}

// HeldBytes returns how many bytes are held for callers that read slowly.
func (f *FrontServer) HeldBytes() int64 {
	return f.connections.budget.HeldBytes()
}

// EndedCallers returns how many callers were ended because they do not read.
func (f *FrontServer) EndedCallers() int64 {
	return f.connections.budget.EndedCallers()
}

// NewFrontServer returns a server with the default limits that does not listen
// yet.
func NewFrontServer(handler http.Handler, options ...FrontOption) *FrontServer {
	f := &FrontServer{handler: handler}
	f.connections.budget, f.connections.logger = readahead.New(0), log.NewNopLogger()
	for _, option := range options {
		option(f)
	}
	f.SetLimits(defaultLimits)
	return f
}

// SetLimits sets the limits of callers, but for that of the body, which the proxy applies
// to each request.
func (f *FrontServer) SetLimits(limits flamingodoor.CallerLimits) {
	f.limits.Store(&limits)
}

// serveConnection serves a connection in the background. Each has a server of its own,
// because http.Server has no other way to change the limits of an open connection.
func (f *FrontServer) serveConnection(caller *callerConn) {
	limits := f.limits.Load()
	caller.server = &http.Server{
		Handler: http.HandlerFunc(f.serveRequest), ReadHeaderTimeout: limits.HeaderTimeout, IdleTimeout: limits.IdleTimeout,
		MaxHeaderBytes: limits.HeaderBytes,
		// An OPTIONS request is routed like any other.
		DisableGeneralOptionsHandler: true,
		ConnState:                    f.connections.setState,
		TLSNextProto:                 noProtocols,
	}
	// Serve returns because there is no second connection, which is no failure.
	_ = caller.server.Serve(&singleListener{connection: caller})
}

// serveRequest passes a request to the handler. A server that stops closes each
// connection after an answer.
func (f *FrontServer) serveRequest(writer http.ResponseWriter, request *http.Request) {
	if f.stopping.Load() {
		writer.Header().Set("Connection", "close")
	}
	f.handler.ServeHTTP(writer, request)
}

// Serve accepts connections until Shutdown.
func (f *FrontServer) Serve(listener net.Listener) error {
	f.accepting.Add(1)
	defer f.accepting.Done()
	f.mu.Lock()
	f.listener = listener
	f.mu.Unlock()
	for {
		connection, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) || (err != nil && f.stopping.Load()) {
			return http.ErrServerClosed
		}
		if err != nil {
			// Accept fails for a moment when too many file descriptors are open.
			time.Sleep(acceptRetryDelay)
			continue
		}
		f.serveConnection(f.connections.add(connection, &f.limits))
	}
}

// acceptRetryDelay is the wait after a connection could not be accepted.
const acceptRetryDelay = 10 * time.Millisecond

// lastAcceptTime is how long a stopping server still accepts connections that
// are established but not accepted yet. Closing the listener resets them.
const lastAcceptTime = 50 * time.Millisecond

// Shutdown accepts the connections that are waiting, closes the listener and waits
// for the requests in flight. It closes each connection on which no request has
// arrived, and any other after its answer.
func (f *FrontServer) Shutdown(ctx context.Context) error {
	f.mu.Lock()
	listener := f.listener
	f.stopping.Store(true)
	f.mu.Unlock()
	if listener != nil {
		stopAccepting(listener)
		f.accepting.Wait()
		_ = listener.Close() // no more connections are accepted either way
	}
	f.connections.closeIdle()
	return f.connections.awaitClosed(ctx)
}

// stopAccepting makes Accept fail once no connection is waiting.
func stopAccepting(listener net.Listener) {
	limited, ok := listener.(interface {
		SetDeadline(deadline time.Time) error
	})
	if ok && limited.SetDeadline(time.Now().Add(lastAcceptTime)) == nil {
		return
	}
	_ = listener.Close() // no more connections are accepted either way
}

// singleListener is a net.Listener that accepts one connection, which was accepted
// elsewhere.
type singleListener struct {
	connection net.Conn // nil once it was accepted
}

// Accept returns the connection, and net.ErrClosed after that.
func (l *singleListener) Accept() (net.Conn, error) {
	connection := l.connection
	if connection == nil {
		return nil, net.ErrClosed
	}
	l.connection = nil
	return connection, nil
}

// Close does nothing: the connection is served on.
func (*singleListener) Close() error {
	return nil
}

// Addr returns an empty address: the listener has none.
func (*singleListener) Addr() net.Addr {
	return &net.TCPAddr{}
}
