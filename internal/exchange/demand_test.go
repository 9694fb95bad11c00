package exchange_test

import (
	"net/netip"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor"
	exchangev1 "flamingodoor.example/flamingodoor/gen/flamingodoor/exchange/v1"
	"flamingodoor.example/flamingodoor/internal/demand"
	"flamingodoor.example/flamingodoor/internal/exchange"
)

var demandKey = demand.Key{Service: "llm", Model: "m"}

// heldRounds is the number of rounds after which no total is held: hosts that are gone
// drop out of summaries after 1 s, and the total is held for 3 s from then on.
const heldRounds = int(4 * time.Second / roundInterval)

// newDeploymentWithDemand returns a deployment in which each host has a demand of one
// engine second per second.
func newDeploymentWithDemand(t *testing.T) *largeDeployment {
	t.Helper()
	d := newLargeDeployment(t)
	for _, host := range d.hosts {
		host.mu.Lock()
		host.ownDemand, host.demands = demand.Rates{demandKey: 1}, demand.NewTracker(exchange.HostHash(host.id))
		host.mu.Unlock()
	}
	d.runRounds(settleRounds)
	return d
}

// setLeader makes one host lead in place of all others.
func (d *largeDeployment) setLeader(leader *host) {
	for _, host := range d.hosts {
		host.mu.Lock()
		host.leads = host == leader
		host.mu.Unlock()
	}
}

// stop makes a host send and receive nothing any more.
func (d *largeDeployment) stop(host *host) {
	delete(d.handlers, host.address.String())
}

// total returns what a host takes for the demand at all hosts.
func (d *largeDeployment) total(host *host) demand.Total {
	return host.demands.Total(host.ownDemand, host.KnownHosts(), d.now)
}

// find returns a host other than the first that is or is not a relay.
func (d *largeDeployment) find(relay bool) *host {
	for _, host := range d.hosts[1:] {
		if host.IsRelay() == relay {
			return host
		}
	}
	d.t.Fatal("no such host")
	return nil
}

// checkTotals runs rounds and checks that each host that runs takes the demand of all to
// be between least and most after each.
func (d *largeDeployment) checkTotals(rounds int, least, most float64) {
	d.t.Helper()
	for round := range rounds {
		d.runRounds(1)
		for i, host := range d.hosts {
			if d.handlers[host.address.String()] == nil {
				continue
			}
			total := d.total(host)
			assert.Assert(d.t, total.Rates[demandKey] >= least && total.Rates[demandKey] <= most,
				"round %d, host %d: total %.1f, coverage %.2f, held %v", round, i, total.Rates[demandKey], total.Coverage, total.Held)
		}
	}
}

// Guards against plans for a fraction of the demand after a change of the leader. A
// relay that came to lead counted 7 of 62 hosts for 1.8 s, because it took no summary of
// the other relays until its duty expired. Hosts that get another relay count those that
// have reported to it so far.
func TestTotalDemandOutlastsAChangeOfTheLeader(t *testing.T) {
	for name, relay := range map[string]bool{"to a relay": true, "to another host": false} {
		t.Run(name, func(t *testing.T) {
			d := newDeploymentWithDemand(t)
			// Half of the hosts have all callers, so that the others do not stand for them.
			for i, host := range d.hosts {
				host.mu.Lock()
				host.ownDemand = demand.Rates{demandKey: float64(i / (deploymentHosts / 2) * 2)}
				host.mu.Unlock()
			}
			d.runRounds(settleRounds)
			leader := d.find(relay)
			d.setLeader(leader)
			d.checkTotals(heldRounds, 0.8*deploymentHosts, 1.2*deploymentHosts)
			assert.Equal(t, d.total(leader).Coverage, 1.0)
			assert.Assert(t, !d.total(leader).Held)
		})
	}
}

// Guards against a relay that refuses summaries of the whole deployment as the leader,
// until its duty expires after 3 s.
func TestRelayThatLeadsTakesSummariesOfAllHosts(t *testing.T) {
	const changeRounds, rounds = 3, 20
	d := newDeploymentWithDemand(t)
	leader := d.find(true)
	d.setLeader(leader)
	for round := range rounds {
		d.runRounds(1)
		assert.Assert(t, round < changeRounds || float64(leader.totalUses()) >= 0.8*deploymentHosts, "round %d: %d", round, leader.totalUses())
	}
}

// Guards against plans for a fraction of the demand while no host leads and after
// that, when the former leader has stopped without notice.
func TestTotalDemandOutlastsALostLeader(t *testing.T) {
	const roundsWithoutLeader = 15
	d := newDeploymentWithDemand(t)
	successor := d.find(true)
	d.stop(d.hosts[0])
	d.checkTotals(roundsWithoutLeader, 0.8*deploymentHosts, 1.2*deploymentHosts)
	d.setLeader(successor)
	d.checkTotals(heldRounds, 0.8*deploymentHosts, 1.2*deploymentHosts)
}

// Guards against totals that lack the hosts of a relay that has stopped without notice,
// until these have found that and another relay has their reports.
func TestTotalDemandOutlastsALostRelay(t *testing.T) {
	// Peers drop the lost relay's summary after 1 s, the leader names another after 1 s
	// more, and that one has the reports of its hosts two rounds later.
	const changeRounds = 13
	d := newDeploymentWithDemand(t)
	d.stop(d.find(true))
	d.checkTotals(changeRounds, 0.8*deploymentHosts, 1.2*deploymentHosts)
	for range settleRounds {
		d.checkTotals(1, 0.8*deploymentHosts, 1.2*deploymentHosts)
		assert.Assert(t, !d.total(d.hosts[0]).Held)
	}
}

// Guards against the demand of hosts that are gone being held for longer than 3 s after
// they have dropped out of the summaries, and against less than the demand of the hosts
// that remain.
func TestTotalDemandFollowsHalfOfTheHostsGone(t *testing.T) {
	const remaining = deploymentHosts / 2
	d := newDeploymentWithDemand(t)
	for i, host := range d.hosts {
		if i%2 == 1 {
			d.stop(host)
		}
	}
	d.checkTotals(heldRounds, 0.8*remaining, 1.2*deploymentHosts)
	d.checkTotals(settleRounds, 0.8*remaining, 1.2*remaining)
}

// Guards against messages of an older build that give another total than before, or no
// full coverage: a summary lists its hosts, and any other message stands for its sender.
func TestTotalDemandOfAnOlderBuild(t *testing.T) {
	receiver := &host{registrations: registrations{onCatchUp: func(int64) {}}, demands: demand.NewTracker(exchange.HostHash("a"))}
	self := flamingodoor.EntryPeer{ID: "a", Address: netip.MustParseAddrPort("127.0.0.1:2"), DataCentre: "dc"}
	receiver.Exchanger = exchange.New(self, directory{receiver, nil},
		exchange.Feeds{Registrations: receiver.registrations, Configuration: receiver}, receiver, receiver, log.NewNopLogger())
	demands := []*exchangev1.ModelDemand{{Service: demandKey.Service, ModelId: demandKey.Model, EngineSeconds: 3}}
	summary := &exchangev1.Summary{
		All: true, Demands: demands, Hosts: []uint32{exchange.HostHash("relay"), exchange.HostHash("b"), exchange.HostHash("a")},
	}
	for i, message := range []struct {
		*exchangev1.ShareRequest

		total float64
	}{
		{&exchangev1.ShareRequest{HostId: "b", Demands: demands}, 3},
		{&exchangev1.ShareRequest{HostId: "c", Demands: demands}, 6},
		{&exchangev1.ShareRequest{HostId: "relay", Demands: demands, Summary: summary}, 6}, // replaces what b and the relay reported
		{&exchangev1.ShareRequest{HostId: "b", Demands: demands}, 6},
	} {
		message.Address, message.DataCentre, message.Sequence = "127.0.0.1:1", "dc", uint64(1+i)
		_, err := receiver.Share(t.Context(), connect.NewRequest(message.ShareRequest))
		assert.NilError(t, err)
		total := receiver.demands.Total(nil, receiver.KnownHosts(), time.Now())
		assert.Equal(t, total.Rates[demandKey], message.total, "message %d", i)
		assert.Equal(t, total.Coverage, 1.0, "message %d", i)
		assert.Assert(t, !total.Held, "message %d", i)
	}
}
