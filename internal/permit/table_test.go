package permit_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/permit"
)

var start = time.Unix(1000, 0)

func after(d time.Duration) time.Time { return start.Add(d) }

func request(slot int, holder string) permit.Request {
	return permit.Request{EndpointID: "e", Incarnation: "1", Slot: slot, Holder: holder, EntryHostsRevision: 5}
}

func report(probedAt time.Time, inFlight int) flamingodoor.Evidence {
	return flamingodoor.Evidence{EndpointID: "e", ProbedAt: probedAt, Report: flamingodoor.Report{InFlight: inFlight}}
}

func newTable() *permit.Table {
	table := permit.NewTable()
	table.Update(start, 5, []flamingodoor.Endpoint{{ID: "e", ColdAllowance: 2}})
	return table
}

// Guards against a new watcher that grants slots before the grants of earlier
// watchers have expired, or while the endpoint may still run their requests.
func TestNewWatcherIsQuietUntilIdle(t *testing.T) {
	table := newTable()
	table.ObserveReport(report(after(12*time.Second), 0))
	assert.Assert(t, !table.Grant(after(permit.QuietPeriod-1), request(0, "a")).Granted)
	assert.Assert(t, !table.Grant(after(14*time.Second), request(0, "a")).Granted)
	assert.Assert(t, table.NeedsProbe("e", after(14*time.Second)))
	table.ObserveReport(report(after(14*time.Second), 0))
	assert.Assert(t, !table.NeedsProbe("e", after(14*time.Second)))
	assert.Assert(t, table.Grant(after(14*time.Second), request(0, "a")).Granted)
	assert.Assert(t, table.Grant(after(14*time.Second), request(1, "b")).Granted)

	table.Update(after(15*time.Second), 6, nil)
	table.Update(after(16*time.Second), 5, []flamingodoor.Endpoint{{ID: "e", ColdAllowance: 2}})
	assert.Assert(t, !table.Grant(after(17*time.Second), request(0, "a")).Granted)
}

// Guards against granting a slot twice: while it is held, also to a holder that
// names another incarnation, and after it expired but before a later probe has
// shown the endpoint idle.
func TestSlotIsHeldUntilReleaseOrIdleProbe(t *testing.T) {
	table := newTable()
	table.ObserveReport(report(after(14*time.Second), 0))
	at := after(20 * time.Second)
	assert.Assert(t, table.Grant(at, request(0, "a")).Granted)
	other := request(0, "b")
	other.Incarnation = "2"
	assert.Assert(t, !table.Grant(at, other).Granted)
	assert.Assert(t, table.Grant(at.Add(5*time.Second), request(0, "a")).Granted, "renewal")
	assert.Assert(t, !table.Grant(at.Add(14*time.Second), other).Granted)

	assert.Assert(t, !table.Grant(at.Add(16*time.Second), other).Granted)
	table.ObserveReport(report(at.Add(14*time.Second), 0))
	table.ObserveReport(report(at.Add(17*time.Second), 1))
	assert.Assert(t, !table.Grant(at.Add(17*time.Second), other).Granted)
	table.ObserveReport(report(at.Add(18*time.Second), 0))
	assert.Assert(t, table.Grant(at.Add(18*time.Second), other).Granted)

	table.Release("e", 0, "a") // a delayed release by the earlier holder
	assert.Assert(t, !table.Grant(at.Add(18*time.Second), request(0, "c")).Granted)
	table.Release("e", 0, "b")
	assert.Assert(t, table.Grant(at.Add(18*time.Second), request(0, "c")).Granted)
}

// Guards against grants beyond the allowance, at an outdated entry hosts
// revision, or for an endpoint that this host does not watch.
func TestGrantChecksAllowanceAndRevision(t *testing.T) {
	table := newTable()
	table.ObserveReport(report(after(14*time.Second), 0))
	at := after(20 * time.Second)
	assert.Assert(t, !table.Grant(at, request(2, "a")).Granted)
	stale := request(0, "a")
	stale.EntryHostsRevision = 4
	assert.Assert(t, !table.Grant(at, stale).Granted)
	assert.Assert(t, !table.Grant(at, permit.Request{EndpointID: "f", Holder: "a", EntryHostsRevision: 5}).Granted)
}
