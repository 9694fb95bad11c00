package freshness_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/freshness"
)

// Guards against a lease that is shortened by a renewal which started earlier but
// ended later, and against new work before this host has applied an offset that
// it acknowledged.
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

// Guards against a recorded restriction that is added again by a peer which lags
// behind, and against a grant without the restriction to a host that has not
// applied the record.
func TestRecordedRestrictionStaysDropped(t *testing.T) {
	lease := freshness.New("h0")
	drain := flamingodoor.Restriction{CommandID: "c1", DataCentre: "a"}
	lease.AddRestriction(drain)
	lease.AddRestriction(flamingodoor.Restriction{CommandID: "c2", DataCentre: "b"})
	lease.DropRecorded(configuration{applied: 7}, func(id string) bool { return id == "c1" })
	lease.AddRestriction(drain)
	assert.Assert(t, !lease.Restricted("a"))
	assert.Assert(t, lease.Restricted("b"))
	assert.Equal(t, lease.Acknowledged(), uint64(7))
}

// Guards against a restarted voter that grants a lease below the offset which its
// earlier process acknowledged.
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

// Guards against a change that is accepted by the new voters alone after a join
// has replaced a live voter: the other four of the seven earlier voters could
// still grant leases.
func TestAcceptanceAfterJoinNeedsBothVoterSets(t *testing.T) {
	c := configuration{membersRevision: 8}
	for i := range 8 {
		dataCentre := "a"
		if i == 7 {
			dataCentre = "b"
		}
		c.hosts = append(c.hosts, flamingodoor.EntryHost{ID: fmt.Sprint(i), DataCentre: dataCentre, JoinOffset: uint64(i + 1)})
	}
	acknowledged := map[string]bool{"7": true, "0": true, "1": true, "2": true}
	accepted := func() bool {
		return freshness.Accepted(c, func(id string) bool { return acknowledged[id] }, func(string) bool { return false })
	}
	assert.Assert(t, !accepted())
	acknowledged["3"] = true
	assert.Assert(t, accepted())
}
