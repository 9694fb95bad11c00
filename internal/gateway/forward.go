package gateway

import (
	"context"
	"net/http"
	"net/netip"
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
// forward. It stops like the server of callers.
type PeerServer struct {
	*FrontServer
}

// NewPeerServer returns a server that does not listen yet.
func NewPeerServer(handler http.Handler) *PeerServer {
	server := &PeerServer{FrontServer: &FrontServer{handler: handler}}
	server.SetLimits(flamingodoor.CallerLimits{HeaderBytes: maxPeerHeaderBytes, HeaderTimeout: time.Second, IdleTimeout: peerIdleTimeout})
	return server
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
