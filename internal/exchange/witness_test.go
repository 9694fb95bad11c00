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

// askPeers returns a host among peers that see an instance as given, and the instance.
func askPeers(t *testing.T, peers []paths) (*host, flamingodoor.Instance) {
	t.Helper()
	hosts := startDeployment(t, newMemory(), 1+len(peers), func(int) *registrations { return &registrations{onCatchUp: func(int64) {}} })
	for i, peer := range peers {
		hosts[1+i].setPaths(peer)
	}
	time.Sleep(time.Second)
	return hosts[0], flamingodoor.Instance{ID: "i", Address: netip.MustParseAddrPort("127.0.0.1:1"), StartedAt: time.Now()}
}

// Guards against a sound machine that is taken for dark because of peers that do not
// state whether they can open a connection to it, or whose own paths are not sound.
func TestPeersStateThatAMachineIsDark(t *testing.T) {
	dark := paths{sound: true, dial: flamingodoor.DialResultUnanswered}
	connects := paths{sound: true, dial: flamingodoor.DialResultAnswered}
	unsound := paths{dial: flamingodoor.DialResultUnanswered}
	older := paths{sound: true}
	for name, test := range map[string]struct {
		peers []paths
		none  bool
	}{
		"no peer":                             {nil, false},
		"all do":                              {[]paths{dark, dark, dark}, true},
		"one, others are older":               {[]paths{dark, older, older}, true},
		"one, others are not sound":           {[]paths{dark, unsound, {stranded: true}}, true},
		"one connects":                        {[]paths{dark, dark, connects}, false},
		"one whose paths fail connects":       {[]paths{dark, dark, {dial: flamingodoor.DialResultAnswered}}, false},
		"one gets an answer":                  {[]paths{dark, dark, {answers: true, sound: true}}, false},
		"all are older":                       {[]paths{older, older}, false},
		"none is sound":                       {[]paths{unsound, unsound}, false},
		"all are stranded and do not connect": {[]paths{{stranded: true, dial: flamingodoor.DialResultUnanswered}}, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				asker, instance := askPeers(t, test.peers)
				assert.Equal(t, asker.NoneConnects(t.Context(), instance), test.none)
			})
		})
	}
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
				asker, instance := askPeers(t, test.peers)
				verdict := asker.AskWitnesses(t.Context(), instance)
				assert.Equal(t, verdict.Confirms(), test.confirms, "%+v", verdict)
				assert.Equal(t, verdict.Alone, test.alone)
			})
		})
	}
}
