package exchange_test

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"syscall"
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
	// deploymentHosts is above the number of peers to which the leader sends its
	// feeds directly.
	deploymentHosts = 62
	dataCentres     = 3
	// roundInterval is the time between two rounds of a host.
	roundInterval = 200 * time.Millisecond
	// settleRounds is the number of rounds after which a new deployment uses
	// its relays. It outlasts the introduction of new hosts, which takes 3 s.
	settleRounds = 20
	// relayCount is the number of relays: two in each data centre.
	relayCount = 2 * dataCentres
)

// largeDeployment is a set of hosts that send in lockstep, without a network and
// with a clock that the test advances. Each host has one request in flight.
type largeDeployment struct {
	t        *testing.T
	hosts    []*host
	now      time.Time
	handlers map[string]http.Handler // by address
}

// RoundTrip delivers a message to the host at its address, unless it is gone.
func (d *largeDeployment) RoundTrip(request *http.Request) (*http.Response, error) {
	recorder := httptest.NewRecorder()
	handler, ok := d.handlers[request.URL.Host]
	if !ok {
		return nil, syscall.ECONNREFUSED
	}
	handler.ServeHTTP(recorder, request)
	return recorder.Result(), nil
}

// newLargeDeployment returns a deployment whose first host leads, after the
// introduction of all hosts.
func newLargeDeployment(t *testing.T) *largeDeployment {
	t.Helper()
	d := &largeDeployment{t: t, now: time.Unix(1_800_000_000, 0), handlers: make(map[string]http.Handler)}
	all := make([]flamingodoor.EntryPeer, deploymentHosts)
	for i := range all {
		all[i] = flamingodoor.EntryPeer{
			ID: "host-" + strconv.Itoa(i), DataCentre: "dc-" + strconv.Itoa(i%dataCentres),
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 1, byte(1 + i)}), 80),
		}
	}
	for i, self := range all {
		host := &host{leads: i == 0, id: self.ID, address: self.Address, uses: 1, registrations: registrations{onCatchUp: func(int64) {}}}
		host.Exchanger = exchange.New(self, directory{host, all}, exchange.Feeds{Registrations: host.registrations, Configuration: host}, host, host,
			log.NewNopLogger(), exchange.WithClock(func() time.Time { return d.now }), exchange.WithTransport(d),
			exchange.WithStrandedListener(func() { host.strandedPeers.Add(1) }))
		d.handlers[self.Address.String()] = host.Handler()
		d.hosts = append(d.hosts, host)
		go host.RunDirectory(t.Context())
	}
	eventually(t, "a host has not read the directory", func() bool {
		for _, host := range d.hosts {
			if !host.DirectoryLoaded() {
				return false
			}
		}
		return true
	})
	d.runRounds(settleRounds)
	return d
}

// runRounds runs rounds of all hosts, one host after the other.
func (d *largeDeployment) runRounds(count int) {
	d.t.Helper()
	for range count {
		d.now = d.now.Add(roundInterval)
		for _, host := range d.hosts {
			if d.handlers[host.address.String()] != nil {
				host.Round(d.t.Context())
			}
		}
	}
}

// checkKnown checks that each host counts all others as live and their work
// exactly once.
func (d *largeDeployment) checkKnown() {
	d.t.Helper()
	for i, host := range d.hosts {
		assert.Equal(d.t, host.totalUses(), int32(deploymentHosts-1), "host %d", i)
		assert.Equal(d.t, host.HostCount(), deploymentHosts, "host %d", i)
	}
}

// In a deployment with too many hosts to reach in rotation before a host's
// message expires, relays must send each host the work of all others, without
// counting any of it twice.
func TestRelaysSendTheWorkOfALargeDeployment(t *testing.T) {
	const observedRounds = 10
	d := newLargeDeployment(t)
	before := make([]int, deploymentHosts)
	for i, host := range d.hosts {
		before[i] = host.messageCount()
	}
	for range observedRounds {
		d.runRounds(1)
		d.checkKnown()
	}
	fewMessages := 0
	for i, host := range d.hosts {
		// Each round brings one message, from the relay. It counts twice, because
		// the message and the summary in it are applied separately.
		if host.messageCount()-before[i] <= 2*observedRounds {
			fewMessages++
		}
	}
	assert.Assert(t, fewMessages >= deploymentHosts-relayCount, "%d of %d hosts got few messages", fewMessages, deploymentHosts)
}

// When the leader of a large deployment is lost and no host names relays, the
// hosts must send to each other in rotation, and no work may count twice.
func TestHostsShareTheirWorkWithoutRelays(t *testing.T) {
	// The duty of relays ends 3 s after the leader last named them, their
	// summaries expire a second later, and a rotation takes 1.4 s.
	const rounds = 30
	d := newLargeDeployment(t)
	d.hosts[0].mu.Lock()
	d.hosts[0].leads = false
	d.hosts[0].mu.Unlock()
	d.runRounds(rounds)
	for _, host := range d.hosts {
		assert.Assert(t, !host.IsRelay())
	}
	d.checkKnown()
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

// Guards against a call to the store by every host of a large deployment for
// each change of the configuration. Only the leader and the relays read the
// change, and the other hosts copy it from the relays.
func TestHostsCopyTheConfigurationFromTheirRelay(t *testing.T) {
	const knownOffset, changedOffset = 9, 12
	d := newLargeDeployment(t)
	for i, host := range d.hosts {
		host.ObservePosition(knownOffset, time.Now())
		if i == 0 || host.IsRelay() {
			host.ObservePosition(changedOffset, time.Now())
		}
		host.mu.Lock()
		host.copiesOnly = true
		host.mu.Unlock()
	}
	eventually(t, "a host has not copied the configuration", func() bool {
		d.hosts[0].SendUrgent()
		d.runRounds(1)
		for i, host := range d.hosts {
			host.mu.Lock()
			lacksCopy := i > 0 && !host.IsRelay() && host.copied.Next < changedOffset
			host.mu.Unlock()
			if lacksCopy {
				return false
			}
		}
		return true
	})
}

// Guards against hosts of a large deployment that do not know which others are
// stranded, because only a relay gets the messages of these.
func TestRelaysPassOnWhoIsStranded(t *testing.T) {
	d := newLargeDeployment(t)
	const stranded = 40
	d.hosts[stranded].setPaths(paths{stranded: true})
	d.runRounds(5)
	for i, host := range d.hosts {
		assert.Equal(t, host.strandedPeers.Load() == 1, i != stranded, "host %d heard of %d", i, host.strandedPeers.Load())
	}
}
