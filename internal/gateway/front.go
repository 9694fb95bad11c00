package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"flamingodoor.example/flamingodoor"
)

// defaultLimits of callers hold before the first configuration.
var defaultLimits = flamingodoor.CallerLimits{ //nolint:gochecknoglobals // a constant structure
	HeaderBytes: 16 << 10, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second,
}

// FrontServer serves callers. A change of their limits holds for connections
// that are opened after it.
type FrontServer struct {
	handler http.Handler

	mu       sync.Mutex
	limits   flamingodoor.CallerLimits
	current  *handoff
	servers  []*http.Server
	listener net.Listener
}

// NewFrontServer returns a server with the default limits and no connections yet.
func NewFrontServer(handler http.Handler) *FrontServer {
	f := &FrontServer{handler: handler}
	f.Apply(defaultLimits)
	return f
}

// Apply takes the limits for new connections.
func (f *FrontServer) Apply(limits flamingodoor.CallerLimits) {
	f.mu.Lock()
	defer f.mu.Unlock()
	limits.BodyBytes = 0 // the relay reads it with each request
	if limits == f.limits {
		return
	}
	f.limits = limits
	server := &http.Server{
		Handler: f.handler, ReadHeaderTimeout: limits.HeaderTimeout, IdleTimeout: limits.IdleTimeout,
		MaxHeaderBytes: limits.HeaderBytes,
		// An OPTIONS request has a route like any other.
		DisableGeneralOptionsHandler: true,
	}
	f.current = newHandoff()
	f.servers = append(f.servers, server)
	go serveHandoff(server, f.current)
}

func serveHandoff(server *http.Server, connections *handoff) {
	// The handoff ends with the server alone, which is no failure.
	_ = server.Serve(connections)
}

// Serve takes connections until Shutdown.
func (f *FrontServer) Serve(listener net.Listener) error {
	f.mu.Lock()
	f.listener = listener
	f.mu.Unlock()
	for {
		connection, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return http.ErrServerClosed
		}
		if err != nil {
			// Descriptors run out for a moment.
			time.Sleep(acceptPause)
			continue
		}
		f.mu.Lock()
		current := f.current
		f.mu.Unlock()
		current.give(connection)
	}
}

// acceptPause separates two attempts to take a connection.
const acceptPause = 10 * time.Millisecond

// Shutdown closes the listener and waits for the requests in flight.
func (f *FrontServer) Shutdown(ctx context.Context) error {
	f.mu.Lock()
	servers := f.servers
	if f.listener != nil {
		_ = f.listener.Close() // it takes no more connections either way
	}
	f.mu.Unlock()
	var failure error
	for _, server := range servers {
		failure = errors.Join(failure, server.Shutdown(ctx))
	}
	return failure
}

// handoff is a listener for connections that were accepted elsewhere.
type handoff struct {
	connections chan net.Conn
	closed      chan struct{}
	once        sync.Once
}

func newHandoff() *handoff {
	return &handoff{connections: make(chan net.Conn), closed: make(chan struct{})}
}

func (h *handoff) give(connection net.Conn) {
	select {
	case h.connections <- connection:
	case <-h.closed:
		_ = connection.Close()
	}
}

// Accept waits for the next connection.
func (h *handoff) Accept() (net.Conn, error) {
	select {
	case connection := <-h.connections:
		return connection, nil
	case <-h.closed:
		return nil, net.ErrClosed
	}
}

// Close ends the handoff.
func (h *handoff) Close() error {
	h.once.Do(func() { close(h.closed) })
	return nil
}

// Addr is unknown to the handoff.
func (h *handoff) Addr() net.Addr {
	return &net.TCPAddr{}
}
