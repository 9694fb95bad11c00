package freshness_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/freshness"
)

// Guards against a late result of an early attempt that shortens the lease,
// and against new work while this host lags behind its own acknowledgement.
func TestLeaseRunsFromTheLatestStart(t *testing.T) {
	applied := uint64(5)
	lease := freshness.New("h0", freshness.WithApplied(func() uint64 { return applied }))
	now := time.Now()
	assert.Assert(t, !lease.Fresh(now))
	lease.RenewFromLog(now)
	lease.RenewFromLog(now.Add(-time.Second))
	assert.Assert(t, lease.Fresh(now.Add(freshness.LeaseDuration-1)))
	assert.Assert(t, !lease.Fresh(now.Add(freshness.LeaseDuration)))

	lease.Acknowledge(6)
	assert.Assert(t, !lease.Fresh(now))
	applied = 6
	assert.Assert(t, lease.Fresh(now))
}

// Guards against a confirmed restriction that a lagging peer brings back, and
// against a grant without it to a host that has not applied the record.
func TestConfirmedRestrictionStaysDropped(t *testing.T) {
	lease := freshness.New("h0")
	drain := flamingodoor.Restriction{CommandID: "c1", DataCentre: "a"}
	lease.AddRestriction(drain)
	lease.AddRestriction(flamingodoor.Restriction{CommandID: "c2", DataCentre: "b"})
	lease.DropConfirmed(configuration{applied: 7}, func(id string) bool { return id == "c1" })
	lease.AddRestriction(drain)
	assert.Assert(t, !lease.Restricted("a"))
	assert.Assert(t, lease.Restricted("b"))
	assert.Equal(t, lease.Acknowledged(), uint64(7))
}

// Guards against a restarted voter that grants below what its earlier process
// acknowledged.
func TestGrantsBeginAtTheJoin(t *testing.T) {
	lease := freshness.New("h0")
	granted, _ := lease.Grant(100)
	assert.Assert(t, !granted)
	lease.StartGranting(10)
	granted, floor := lease.Grant(9)
	assert.Assert(t, !granted && floor == 10)
	granted, _ = lease.Grant(10)
	assert.Assert(t, granted)
	lease.StopGranting()
	granted, _ = lease.Grant(10)
	assert.Assert(t, !granted)
}

// Guards against acceptance by the new voters alone while a join has displaced
// a live voter: the four others of the earlier seven could still grant leases.
func TestAcceptanceAfterJoinNeedsBothVoterSets(t *testing.T) {
	c := configuration{members: 8}
	for i := range 8 {
		site := "a"
		if i == 7 {
			site = "b"
		}
		c.hosts = append(c.hosts, flamingodoor.EntryHost{ID: fmt.Sprint(i), DataCentre: site, JoinOffset: uint64(i + 1)})
	}
	acknowledged := map[string]bool{"7": true, "0": true, "1": true, "2": true}
	accepted := func() bool {
		return freshness.Accepted(c, func(id string) bool { return acknowledged[id] }, func(string) bool { return false })
	}
	assert.Assert(t, !accepted())
	acknowledged["3"] = true
	assert.Assert(t, accepted())
}
