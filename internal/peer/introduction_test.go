package peer_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor"
	peerv1 "flamingodoor.example/flamingodoor/gen/flamingodoor/peer/v1"
	"flamingodoor.example/flamingodoor/internal/peer"
)

// Guards against a new host that serves before it has taken over what its
// peers know, and against one that waits for dead peers for ever.
func TestNewHostIsIntroducedByAnAnswer(t *testing.T) {
	nodes := cluster(t, 2, nil)
	taken := false
	exchanger := peer.NewExchanger("a", nodes[0], nodes[0].lease, nodes[0].directory,
		peer.WithEvidence(func(time.Time, *peerv1.ExchangeResponse) { taken = true }))
	assert.Assert(t, !exchanger.Introduced())
	exchanger.Round(t.Context())
	assert.Assert(t, taken && exchanger.Introduced())

	nodes[1].server.Close()
	exchanger = peer.NewExchanger("a", nodes[0], nodes[0].lease, nodes[0].directory)
	for range 5 {
		exchanger.Round(t.Context())
		assert.Assert(t, !exchanger.Introduced())
	}
	exchanger.Round(t.Context())
	assert.Assert(t, exchanger.Introduced())

	alone := nodes[0]
	*alone.hosts = []flamingodoor.EntryHost{}
	exchanger = peer.NewExchanger("a", alone, alone.lease, alone.directory)
	exchanger.Round(t.Context())
	assert.Assert(t, !exchanger.Introduced(), "no member list yet")
	*alone.hosts = []flamingodoor.EntryHost{{ID: "a"}}
	exchanger.Round(t.Context())
	assert.Assert(t, exchanger.Introduced())
}
