package exchange_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor/internal/exchange"
)

// Guards against requests that are forwarded to hosts which have lost their paths as
// well, as the hosts of a data centre do together (issue 30, RECOVER). Of ten hosts
// in five data centres, host-5 is the only peer in that of host-0.
func TestNextPeer(t *testing.T) {
	const local = "host-5"
	cases := []struct {
		name     string
		prepare  func(f *fleet, host *exchange.Exchanger)
		excluded []string
		want     string // "" for none, "other" for any of another data centre
	}{
		{name: "own data centre", want: local},
		{name: "many requests in flight there", want: "other", prepare: func(f *fleet, host *exchange.Exchanger) {
			for here := 0; here < 4; {
				peer, _ := host.NextPeer(nil, f.now)
				if peer.ID == local {
					here++
					continue
				}
				host.ReleasePeer(peer.ID)
			}
		}},
		{name: "requests ended", want: local, prepare: func(f *fleet, host *exchange.Exchanger) {
			for range 8 {
				peer, ok := host.NextPeer(nil, f.now)
				assert.Assert(f.t, ok)
				host.ReleasePeer(peer.ID)
			}
		}},
		{name: "declined another request", want: "other", prepare: func(f *fleet, host *exchange.Exchanger) { host.AvoidPeer(local, f.now) }},
		{name: "declined long ago", want: local, prepare: func(f *fleet, host *exchange.Exchanger) { host.AvoidPeer(local, f.now.Add(-time.Second)) }},
		{name: "silent", want: "other", prepare: func(f *fleet, _ *exchange.Exchanger) {
			f.silent[5] = true
			f.now = f.now.Add(1500 * time.Millisecond)
			f.exchangeAll()
		}},
		{name: "all silent for a moment", want: local, prepare: func(f *fleet, _ *exchange.Exchanger) { f.now = f.now.Add(1500 * time.Millisecond) }},
		{name: "all stranded", want: "", prepare: func(f *fleet, _ *exchange.Exchanger) {
			f.stranded = true
			f.exchangeAll()
		}},
		{name: "all silent", want: "", prepare: func(f *fleet, _ *exchange.Exchanger) { f.now = f.now.Add(3 * time.Second) }},
		{name: "leaving", want: "other", prepare: func(f *fleet, _ *exchange.Exchanger) { f.leave(5) }},
		{name: "all leaving", want: local, prepare: func(f *fleet, _ *exchange.Exchanger) { f.leave(1, 2, 3, 4, 5, 6, 7, 8, 9) }},
		{name: "all leaving for a while", want: local, prepare: leaveFor(4 * time.Second)},
		{name: "all left", want: "", prepare: leaveFor(5500 * time.Millisecond)},
		{name: "declined in another data centre", excluded: []string{"host-1", local}, want: "other"},
		{name: "nobody left", excluded: []string{"host-1", "host-2", "host-3", "host-4", local, "host-6", "host-7", "host-8", "host-9"}, want: ""},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			f := newFleet(t, 10)
			host := f.hosts[0]
			if each.prepare != nil {
				each.prepare(f, host)
			}
			excluded := make(map[string]bool)
			for _, id := range each.excluded {
				excluded[id] = true
			}
			peer, ok := host.NextPeer(excluded, f.now)
			assert.Equal(t, ok, each.want != "")
			assert.Equal(t, peer.Leaving, f.leaving[5] && peer.ID == local)
			assert.Equal(t, host.HasPeer(f.now), ok || len(excluded) > 0)
			if each.want == "other" {
				assert.Assert(t, peer.ID != local && !slices.Contains(each.excluded, peer.ID), peer.ID)
				assert.Assert(t, !excluded["host-1"] || peer.DataCentre != "dc-1", peer.ID)
				return
			}
			assert.Equal(t, peer.ID, each.want)
		})
	}
}

// leaveFor makes all peers announce their stop, and again after the given time.
func leaveFor(duration time.Duration) func(*fleet, *exchange.Exchanger) {
	return func(f *fleet, _ *exchange.Exchanger) {
		f.leave(1, 2, 3, 4, 5, 6, 7, 8, 9)
		f.now = f.now.Add(duration)
		f.exchangeAll()
	}
}
