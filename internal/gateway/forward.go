package gateway

import (
	"context"
	"net/http"
	"time"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/upstream"
)

// maxPeerHeaderBytes bounds the head of a request of another host, which may be that
// of a caller.
const maxPeerHeaderBytes = 64 << 10

// listenForPeers serves the messages of other entry hosts and the requests that they
// forward.
func (g *Gateway) listenForPeers(ctx context.Context) (*http.Server, error) {
	listener, err := upstream.ListenConfig().Listen(ctx, "tcp", g.settings.Peer.String())
	if err != nil {
		return nil, flamingodoor.NewError(flamingodoor.CodeInternal, flamingodoor.RunStateNotRun, err)
	}
	server := &http.Server{
		Handler: g.proxy.PeerHandler(g.exchanger.Handler()), ReadHeaderTimeout: time.Second, MaxHeaderBytes: maxPeerHeaderBytes,
		// An OPTIONS request is routed like any other.
		DisableGeneralOptionsHandler: true,
	}
	go g.serve(server, listener)
	return server, nil
}
