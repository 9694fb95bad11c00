package gateway

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/upstream"
)

// peerIdleTimeout is how long a connection of another host may be idle. It is longer
// than a rotation over all hosts, so that the connections for messages stay open.
const peerIdleTimeout = 15 * time.Second

// maxPeerHeaderBytes bounds the head of a request of another host, which may be that
// of a caller.
const maxPeerHeaderBytes = 64 << 10

// PeerServer serves the messages of other entry hosts and the requests that they
// forward.
type PeerServer struct {
	http http.Server

	mu     sync.Mutex
	active map[net.Conn]struct{} // with a request that is not answered
}

// NewPeerServer returns a server that does not listen yet.
func NewPeerServer(handler http.Handler) *PeerServer {
	p := &PeerServer{active: make(map[net.Conn]struct{})}
	p.http = http.Server{
		Handler: handler, ReadHeaderTimeout: time.Second, IdleTimeout: peerIdleTimeout, MaxHeaderBytes: maxPeerHeaderBytes, ConnState: p.setState,
		// An OPTIONS request is routed like any other.
		DisableGeneralOptionsHandler: true,
	}
	return p
}

// Serve accepts connections until Shutdown.
func (p *PeerServer) Serve(listener net.Listener) error {
	return p.http.Serve(listener)
}

func (p *PeerServer) setState(connection net.Conn, state http.ConnState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if state == http.StateActive {
		p.active[connection] = struct{}{}
		return
	}
	delete(p.active, connection)
}

// Shutdown waits for the requests in flight, but not for connections on which none
// has arrived, and closes the listener and all connections.
func (p *PeerServer) Shutdown(ctx context.Context) error {
	ticker := time.NewTicker(closedPollInterval)
	defer ticker.Stop()
	for p.anyActive() {
		select {
		case <-ctx.Done():
			_ = p.http.Close() // the requests in flight are lost either way
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return p.http.Close()
}

func (p *PeerServer) anyActive() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.active) > 0
}

// listenForPeers starts the server for other entry hosts.
func (g *Gateway) listenForPeers(ctx context.Context, address netip.AddrPort) (*PeerServer, error) {
	listener, err := upstream.ListenConfig().Listen(ctx, "tcp", address.String())
	if err != nil {
		return nil, flamingodoor.NewError(flamingodoor.CodeInternal, flamingodoor.RunStateNotRun, err)
	}
	peers := NewPeerServer(g.proxy.PeerHandler(g.exchanger.Handler()))
	go g.serve(peers, listener)
	return peers, nil
}
