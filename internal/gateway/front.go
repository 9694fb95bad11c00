package gateway

import (
	"context"
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

// FrontServer serves callers. A change of their limits applies to connections
// that are opened after it; open connections keep the limits that they had.
type FrontServer struct {
	handler http.Handler

	mu       sync.Mutex
	limits   flamingodoor.CallerLimits
	current  *connListener
	servers  []*http.Server
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

// SetLimits sets the limits for new connections.
func (f *FrontServer) SetLimits(limits flamingodoor.CallerLimits) {
	f.mu.Lock()
	defer f.mu.Unlock()
	limits.BodyBytes = 0 // the proxy applies this limit to each request
	if limits == f.limits {
		return
	}
	f.limits = limits
	server := &http.Server{
		Handler: http.HandlerFunc(f.serveRequest), ReadHeaderTimeout: limits.HeaderTimeout, IdleTimeout: limits.IdleTimeout,
		MaxHeaderBytes: limits.HeaderBytes,
		// An OPTIONS request is routed like any other.
		DisableGeneralOptionsHandler: true,
		ConnState:                    f.connections.setState,
	}
	f.current = newConnListener()
	f.servers = append(f.servers, server)
	go serveConnections(server, f.current)
}

// serveRequest passes a request to the handler. A server that stops closes each
// connection after an answer.
func (f *FrontServer) serveRequest(writer http.ResponseWriter, request *http.Request) {
	if f.stopping.Load() {
		writer.Header().Set("Connection", "close")
	}
	f.handler.ServeHTTP(writer, request)
}

func serveConnections(server *http.Server, connections *connListener) {
	// Serve returns only because the server was shut down, which is no failure.
	_ = server.Serve(connections)
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
		f.mu.Lock()
		current := f.current
		f.mu.Unlock()
		caller := f.connections.add(connection)
		if !current.deliver(caller) {
			f.connections.remove(caller)
		}
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
	servers, listener := f.servers, f.listener
	f.stopping.Store(true)
	f.mu.Unlock()
	if listener != nil {
		stopAccepting(listener)
		f.accepting.Wait()
		_ = listener.Close() // no more connections are accepted either way
	}
	f.connections.closeIdle()
	f.connections.awaitClosed(ctx)
	// An HTTP server that shuts down closes a connection on which it has just
	// read a request. It does so only once no connection is open.
	var failure error
	for _, server := range servers {
		failure = errors.Join(failure, server.Shutdown(ctx))
	}
	return failure
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

// connListener is a net.Listener for connections that were accepted elsewhere.
// Each change of the limits creates one, with an HTTP server of its own.
type connListener struct {
	connections chan net.Conn
	closed      chan struct{}
	once        sync.Once
}

func newConnListener() *connListener {
	return &connListener{connections: make(chan net.Conn), closed: make(chan struct{})}
}

// deliver passes a connection to Accept. If the listener is closed, it closes the
// connection and returns false.
func (l *connListener) deliver(connection net.Conn) bool {
	select {
	case l.connections <- connection:
		return true
	case <-l.closed:
		_ = connection.Close()
		return false
	}
}

// Accept waits for the next connection.
func (l *connListener) Accept() (net.Conn, error) {
	select {
	case connection := <-l.connections:
		return connection, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close makes Accept return net.ErrClosed.
func (l *connListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr returns an empty address: the listener has none.
func (l *connListener) Addr() net.Addr {
	return &net.TCPAddr{}
}
