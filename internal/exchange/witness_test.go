package exchange_test

import (
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor"
)

// Guards against a host that stops, and to which nobody sends messages any more, taking
// itself for the only one: its word alone would make an instance count as lost, and its
// last requests would find no peer.
func TestStoppingHostKnowsItsPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hosts := startDeployment(t, newMemory(), 4, func(int) *registrations { return &registrations{onCatchUp: func(int64) {}} })
		time.Sleep(time.Second)
		hosts[0].Leave()
		time.Sleep(4 * time.Second)
		verdict := hosts[0].AskWitnesses(t.Context(), flamingodoor.Instance{ID: "i", Address: netip.MustParseAddrPort("127.0.0.1:1"), StartedAt: time.Now()})
		assert.Check(t, !verdict.Alone)
		_, ok := hosts[0].NextPeer(nil, time.Now())
		assert.Check(t, ok)
	})
}

// Guards against a host in a partition whose word makes an instance count as lost for
// all, and against one that waits for the word of peers that can have none.
func TestPeersConfirmALoss(t *testing.T) {
	reaches, denies := paths{answers: true, sound: true}, paths{sound: true}
	unsound, stranded := paths{}, paths{stranded: true}
	for name, test := range map[string]struct {
		peers    []paths
		confirms bool
		alone    bool
	}{
		"no peer":                            {nil, false, true},
		"both deny":                          {[]paths{denies, denies}, true, false},
		"one denies, the other is not sound": {[]paths{denies, unsound}, true, false},
		"one denies, the other is stranded":  {[]paths{denies, stranded}, true, false},
		"one reaches it":                     {[]paths{denies, reaches}, false, false},
		"none is sound":                      {[]paths{unsound, unsound}, false, false},
		"all others are stranded":            {[]paths{stranded, stranded}, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				hosts := startDeployment(t, newMemory(), 1+len(test.peers), func(int) *registrations { return &registrations{onCatchUp: func(int64) {}} })
				for i, peer := range test.peers {
					hosts[1+i].setPaths(peer)
				}
				time.Sleep(time.Second)
				verdict := hosts[0].AskWitnesses(t.Context(), flamingodoor.Instance{ID: "i", Address: netip.MustParseAddrPort("127.0.0.1:1"), StartedAt: time.Now()})
				assert.Equal(t, verdict.Confirms(), test.confirms, "%+v", verdict)
				assert.Equal(t, verdict.Alone, test.alone)
			})
		})
	}
}
