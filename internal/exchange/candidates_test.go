package exchange_test

import (
	"net/netip"
	"strconv"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor"
	exchangev1 "flamingodoor.example/flamingodoor/gen/flamingodoor/exchange/v1"
	"flamingodoor.example/flamingodoor/internal/exchange"
)

const (
	fleetHosts       = 195
	fleetDataCentres = 5
	wideLinks        = 15 // hosts with a wide link, the first of each data centre
)

// fleet is a large deployment as each of its hosts knows it, without a network.
type fleet struct {
	t        *testing.T
	now      time.Time
	sequence uint64
	hosts    []*exchange.Exchanger
	peers    []flamingodoor.EntryPeer
	silent   map[int]bool
	leaving  map[int]bool
	stranded bool // what all hosts say
}

func newFleet(t *testing.T, size int) *fleet {
	t.Helper()
	f := &fleet{t: t, now: time.Unix(1_800_000_000, 0), silent: make(map[int]bool), leaving: make(map[int]bool)}
	for i := range size {
		peer := flamingodoor.EntryPeer{
			ID: "host-" + strconv.Itoa(i), DataCentre: "dc-" + strconv.Itoa(i%fleetDataCentres), LinkMbps: 20,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(i / 250), byte(1 + i%250)}), 80),
		}
		if i < wideLinks {
			peer.LinkMbps = 200
		}
		double := &host{registrations: registrations{onCatchUp: func(int64) {}}}
		f.peers = append(f.peers, peer)
		f.hosts = append(f.hosts, exchange.New(peer, directory{double, nil}, exchange.Feeds{Registrations: double.registrations, Configuration: double},
			double, double, log.NewNopLogger(), exchange.WithClock(func() time.Time { return f.now })))
	}
	f.exchangeAll()
	return f
}

// exchangeAll delivers a message of each host to each other, but for silent ones.
func (f *fleet) exchangeAll() {
	f.t.Helper()
	f.sequence++
	for i, peer := range f.peers {
		if f.silent[i] {
			continue
		}
		message := &exchangev1.ShareRequest{
			HostId: peer.ID, Address: peer.Address.String(), DataCentre: peer.DataCentre, LinkMbps: int32(peer.LinkMbps), Sequence: f.sequence,
			Leaving: f.leaving[i], Stranded: f.stranded,
		}
		for j, receiver := range f.hosts {
			if i != j {
				_, err := receiver.Share(f.t.Context(), connect.NewRequest(message))
				assert.NilError(f.t, err)
			}
		}
	}
}

// leave makes hosts announce that they stop.
func (f *fleet) leave(hosts ...int) {
	for _, i := range hosts {
		f.leaving[i] = true
	}
	f.exchangeAll()
}

// candidates returns the live hosts that stand for election.
func (f *fleet) candidates(stands bool) []int {
	var candidates []int
	for i, each := range f.hosts {
		if !f.silent[i] && each.StandsForElection(stands) {
			candidates = append(candidates, i)
		}
	}
	return candidates
}

// Guards against an election in which each of 195 hosts calls the store several
// times a lease, and against a leader on one of the smallest hosts.
func TestFewHostsOfALargeFleetStandForElection(t *testing.T) {
	f := newFleet(t, fleetHosts)
	chosen := f.candidates(false)
	assert.Equal(t, len(chosen), 3*fleetDataCentres)
	for _, index := range chosen {
		assert.Equal(t, f.peers[index].LinkMbps, 200)
	}
	assert.Equal(t, len(f.candidates(true)), 6*fleetDataCentres, "hosts that stand give up later")
}

// Others replace candidates that are silent: all of them, those of a whole data
// centre, or half of the fleet.
func TestOthersReplaceSilentCandidates(t *testing.T) {
	for name, silent := range map[string]func(index int) bool{
		"all candidates":     func(index int) bool { return index < wideLinks },
		"a data centre":      func(index int) bool { return index%fleetDataCentres == 2 },
		"half of the fleet":  func(index int) bool { return index%2 == 0 },
		"all but a few":      func(index int) bool { return index < fleetHosts-5 },
		"all but one centre": func(index int) bool { return index%fleetDataCentres != 0 },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, fleetHosts)
			for i := range f.hosts {
				f.silent[i] = silent(i)
			}
			f.now = f.now.Add(2 * time.Second)
			f.exchangeAll()
			f.now = f.now.Add(2 * time.Second)
			assert.Assert(t, len(f.candidates(false)) >= 3)
		})
	}
}

// In a small deployment every host stands for election.
func TestAllHostsOfASmallFleetStandForElection(t *testing.T) {
	assert.Equal(t, len(newFleet(t, 7).candidates(false)), 7)
}

// Guards against a change that each host sends to all others of a large
// deployment: with 195 hosts, 50 hosts that found the same loss sent 9,700
// messages.
func TestChangeGoesThroughTheRelays(t *testing.T) {
	d := newLargeDeployment(t)
	for _, sender := range d.hosts {
		counts := make([]int, len(d.hosts))
		for i, host := range d.hosts {
			counts[i] = host.messageCount()
		}
		sender.SendUrgent()
		sender.Round(t.Context())
		receivers := 0
		for i, host := range d.hosts {
			if host.messageCount() == counts[i] {
				continue
			}
			receivers++
			if !sender.IsRelay() {
				assert.Assert(t, host.IsRelay())
			}
		}
		switch {
		case sender.leads:
			assert.Equal(t, receivers, relayCount)
		case sender.IsRelay():
			assert.Assert(t, receivers > relayCount && receivers < deploymentHosts/2)
		default:
			assert.Equal(t, receivers, 1)
		}
	}
}

// Guards against a large deployment without a leader while its usual candidates are
// stranded: they do not stand, and the next ones must replace them.
func TestStrandedCandidatesAreReplaced(t *testing.T) {
	f := newFleet(t, fleetHosts)
	f.sequence++
	for i, peer := range f.peers[:wideLinks] {
		for j, receiver := range f.hosts {
			if i == j {
				continue
			}
			_, err := receiver.Share(t.Context(), connect.NewRequest(&exchangev1.ShareRequest{
				HostId: peer.ID, Address: peer.Address.String(), DataCentre: peer.DataCentre, LinkMbps: int32(peer.LinkMbps), Sequence: f.sequence, Stranded: true,
			}))
			assert.NilError(t, err)
		}
	}
	sound := 0
	for _, each := range f.hosts[wideLinks:] {
		if each.StandsForElection(false) {
			sound++
		}
	}
	assert.Equal(t, sound, 3*fleetDataCentres)
}
