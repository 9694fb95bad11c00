package exchange_test

import (
	"net/http"
	"net/http/httptest"
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
	// fleetHosts is above the number of peers to which the leader sends its
	// feeds directly.
	fleetHosts  = 62
	dataCentres = 3
	// roundInterval is the time between two rounds of a host.
	roundInterval = 200 * time.Millisecond
	// settleRounds is the number of rounds after which a new fleet uses its
	// relays. It outlasts the introduction of new hosts, which takes 3 s.
	settleRounds = 20
	// relayCount is the number of relays: two in each data centre.
	relayCount = 2 * dataCentres
)

// largeFleet is a fleet whose hosts send in lockstep, without a network and
// with a clock that the test advances. Each host has one request in flight.
type largeFleet struct {
	t        *testing.T
	hosts    []*host
	now      time.Time
	handlers map[string]http.Handler // by address
}

// RoundTrip delivers a message to the host at its address.
func (f *largeFleet) RoundTrip(request *http.Request) (*http.Response, error) {
	recorder := httptest.NewRecorder()
	f.handlers[request.URL.Host].ServeHTTP(recorder, request)
	return recorder.Result(), nil
}

// newLargeFleet returns a fleet whose first host leads, after the introduction
// of all hosts.
func newLargeFleet(t *testing.T) *largeFleet {
	t.Helper()
	f := &largeFleet{t: t, now: time.Unix(1_800_000_000, 0), handlers: make(map[string]http.Handler)}
	all := make([]flamingodoor.EntryPeer, fleetHosts)
	for i := range all {
		all[i] = flamingodoor.EntryPeer{
			ID: "host-" + strconv.Itoa(i), DataCentre: "dc-" + strconv.Itoa(i%dataCentres),
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 1, byte(1 + i)}), 80),
		}
	}
	for i, self := range all {
		each := &host{leads: i == 0, uses: 1, registrations: registrations{onCatchUp: func(int64) {}}}
		each.Exchanger = exchange.New(self, directory{each, all}, exchange.Feeds{Registrations: each.registrations, Configuration: each}, each, each,
			log.NewNopLogger(), exchange.WithClock(func() time.Time { return f.now }), exchange.WithTransport(f))
		f.handlers[self.Address.String()] = each.Handler()
		f.hosts = append(f.hosts, each)
		go each.RunDirectory(t.Context())
	}
	eventually(t, "a host has not read the directory", func() bool {
		for _, each := range f.hosts {
			if !each.DirectoryLoaded() {
				return false
			}
		}
		return true
	})
	f.runRounds(settleRounds)
	return f
}

// runRounds runs rounds of all hosts, one host after the other.
func (f *largeFleet) runRounds(count int) {
	f.t.Helper()
	for range count {
		f.now = f.now.Add(roundInterval)
		for _, each := range f.hosts {
			each.RunOnce(f.t.Context())
		}
	}
}

// checkKnown checks that each host counts all others as live and their work
// exactly once.
func (f *largeFleet) checkKnown() {
	f.t.Helper()
	for i, each := range f.hosts {
		assert.Equal(f.t, each.totalUses(), int32(fleetHosts-1), "host %d", i)
		assert.Equal(f.t, each.HostCount(), fleetHosts, "host %d", i)
	}
}

// In a fleet with too many hosts to reach in rotation before a host's message
// expires, relays must send each host the work of all others, without counting
// any twice.
func TestRelaysTellTheWorkOfALargeFleet(t *testing.T) {
	const observedRounds = 10
	f := newLargeFleet(t)
	before := make([]int, fleetHosts)
	for i, each := range f.hosts {
		before[i] = each.messageCount()
	}
	for range observedRounds {
		f.runRounds(1)
		f.checkKnown()
	}
	fewMessages := 0
	for i, each := range f.hosts {
		// One message a round from a relay, and the summary in it.
		if each.messageCount()-before[i] <= 2*observedRounds {
			fewMessages++
		}
	}
	assert.Assert(t, fewMessages >= fleetHosts-relayCount, "%d of %d hosts got few messages", fewMessages, fleetHosts)
}

// When the leader of a large fleet is lost and no host names relays, the hosts
// must send to each other in rotation, and no work may count twice.
func TestHostsTellEachOtherWithoutRelays(t *testing.T) {
	// The duty of relays ends 3 s after the leader last named them, their
	// summaries expire a second later, and a rotation takes 1.4 s.
	const rounds = 30
	f := newLargeFleet(t)
	f.hosts[0].mu.Lock()
	f.hosts[0].leads = false
	f.hosts[0].mu.Unlock()
	f.runRounds(rounds)
	for _, each := range f.hosts {
		assert.Assert(t, !each.IsRelay())
	}
	f.checkKnown()
}

// A message of a relay that arrives after a newer one must change nothing.
func TestOlderSummaryIsIgnored(t *testing.T) {
	receiver := &host{registrations: registrations{onCatchUp: func(int64) {}}}
	self := flamingodoor.EntryPeer{ID: "a", Address: netip.MustParseAddrPort("127.0.0.1:2"), DataCentre: "dc"}
	receiver.Exchanger = exchange.New(self, directory{receiver, nil},
		exchange.Feeds{Registrations: receiver.registrations, Configuration: receiver}, receiver, receiver, log.NewNopLogger())
	for _, message := range []struct {
		sequence uint64
		requests int32
	}{{1, 3}, {3, 5}, {2, 4}} {
		_, err := receiver.Share(t.Context(), connect.NewRequest(&exchangev1.ShareRequest{
			HostId: "relay", Address: "127.0.0.1:1", DataCentre: "dc", Sequence: message.sequence,
			Summary: &exchangev1.Summary{All: true, Uses: []*exchangev1.InstanceUse{{InstanceId: "i-1", Requests: message.requests}}},
		}))
		assert.NilError(t, err)
	}
	assert.Equal(t, receiver.totalUses(), int32(5))
}

// Guards against a call to the store by every host of a large fleet for each
// change of the configuration. Only the relays read the change, and the other
// hosts copy it from them.
func TestHostsCopyTheConfigurationFromTheirRelay(t *testing.T) {
	const knownOffset, changedOffset = 9, 12
	f := newLargeFleet(t)
	for i, each := range f.hosts {
		each.ObservePosition(knownOffset, time.Now())
		if i == 0 || each.IsRelay() {
			each.ObservePosition(changedOffset, time.Now())
		}
		each.mu.Lock()
		each.copiesOnly = true
		each.mu.Unlock()
	}
	eventually(t, "a host has not copied the configuration", func() bool {
		f.hosts[0].SendNowToAll() // in the test double only this host passes its position on; real relays do too
		f.runRounds(1)
		for i, each := range f.hosts {
			each.mu.Lock()
			lacksCopy := i > 0 && !each.IsRelay() && each.copied.Next < changedOffset
			each.mu.Unlock()
			if lacksCopy {
				return false
			}
		}
		return true
	})
}
