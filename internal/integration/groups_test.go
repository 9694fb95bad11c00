package integration_test

import (
	"os"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"
	"gotest.tools/v3/assert"

	platformv1 "flamingodoor.example/flamingodoor/gen/flamingodoor/platform/v1"
	"flamingodoor.example/flamingodoor/internal/faultproxy"
	"flamingodoor.example/flamingodoor/internal/harness"
)

var (
	// spareTopology has two spare engines in the fabric domain of each group.
	spareTopology = harness.Topology{Entries: 4, FabricDomains: 2, EnginesPerDomain: 5, HostsPerGroup: 3, Groups: 2}
	// domainTopology has one spare fabric domain.
	domainTopology = harness.Topology{Entries: 4, FabricDomains: 3, EnginesPerDomain: 3, HostsPerGroup: 3, Groups: 2}
)

// Guards against a group that serves although a member is missing, an engine
// that is in two groups, and a group that is not re-formed. The causes are lost
// members and domains, planners that race, freeze or send late orders, and an
// outage of the log. The check uses the orders and requests that the engines
// recorded.
func TestGroups(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name          string
		topology      harness.Topology
		checksFencing bool // the engines refuse orders with older fencing numbers
		inject        func(r *groupsRun)
	}{
		{"member killed", spareTopology, true, killMembers},
		{"member killed without fencing", spareTopology, false, killMembers},
		{"fabric domain dark", domainTopology, false, silenceDomain},
		{"member cut off from some watchers", spareTopology, true, cutWatchers},
		{"two planners at once", spareTopology, false, racePlanners},
		{"planner frozen", spareTopology, false, freezePlanner},
		{"late orders", spareTopology, false, delayOrders},
		{"late orders refused", spareTopology, true, delayOrders},
		{"log down", spareTopology, true, stopLog},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			test.topology.EngineArguments = []string{"--load-time=1s"}
			if test.checksFencing {
				test.topology.EngineArguments = append(test.topology.EngineArguments, "--checks-fencing")
			}
			run := startGroupsRun(t, test.topology)
			test.inject(run)
			run.checkMembership()
		})
	}
}

// killMembers kills a member, then the head of the repaired group.
func killMembers(r *groupsRun) {
	group := r.pickGroup()
	r.history.Kill(r.ctx, group.members[1+r.random.IntN(2)])
	group = r.waitAllServing(time.Now())[group.groupID]
	r.history.Kill(r.ctx, group.members[0])
	r.waitAllServing(time.Now())
}

// silenceDomain cuts off all engines of a group's fabric domain, and reconnects
// them once the group has moved to another domain.
func silenceDomain(r *groupsRun) {
	domain := r.pickGroup().members[0].FabricDomain
	var silenced []*harness.Endpoint
	for _, engine := range r.Engines {
		if engine.FabricDomain == domain {
			silenced = append(silenced, engine)
			r.history.Silence(engine)
		}
	}
	r.waitAllServing(time.Now())
	for _, engine := range silenced {
		r.history.Heal(engine)
	}
	// The reconnected engines still report the group that they were in.
	time.Sleep(8 * time.Second)
	r.waitAllServing(time.Now())
}

// cutWatchers cuts a member off from two of the four entry hosts, so that at
// least one of its watchers still reaches it. The group must not be replaced for
// that. It then kills another member.
func cutWatchers(r *groupsRun) {
	group := r.pickGroup()
	before := r.highestFencingNumber()
	entries := r.Deployment.Entries
	first := r.random.IntN(len(entries))
	for _, entry := range []*harness.Entry{entries[first], entries[(first+1)%len(entries)]} {
		group.members[1].Proxy.SetSourceRule(entry.SourceAddress, faultproxy.Silent)
	}
	time.Sleep(9 * time.Second)
	assert.Equal(r.t, r.highestFencingNumber(), before, "a group was replaced although every member is reached by a watcher")
	r.waitAllServing(time.Now())
	r.history.Kill(r.ctx, group.members[2])
	r.waitAllServing(time.Now())
	group.members[1].Proxy.Heal()
	r.waitAllServing(time.Now())
}

// racePlanners makes appends take effect 4 s late, so that the second planner,
// which acts 2 s after the first, cannot see the record of the first.
func racePlanners(r *groupsRun) {
	group := r.pickGroup()
	assert.NilError(r.t, r.Deployment.SetFaults(r.ctx, &platformv1.SetRequest{
		LateAppends: 30, LateBy: durationpb.New(4 * time.Second),
	}))
	r.history.Kill(r.ctx, group.members[1])
	r.waitAllServing(time.Now())
	data, err := os.ReadFile(r.Deployment.Log.(*os.File).Name())
	assert.NilError(r.t, err)
	rejected := 0
	for line := range strings.Lines(string(data)) {
		if strings.Contains(line, "event=group_change_recorded") && !strings.Contains(line, "VERDICT_CODE_ACCEPTED") {
			rejected++
		}
	}
	r.t.Logf("%d group change records rejected", rejected)
	assert.Assert(r.t, rejected > 0, "no record was rejected, so no two planners recorded the same change")
	assert.NilError(r.t, r.Deployment.SetFaults(r.ctx, &platformv1.SetRequest{}))
}

// freezePlanner freezes the first planner at about the time when it acts, and
// resumes it after the other planners have acted.
func freezePlanner(r *groupsRun) {
	for range 2 {
		group := r.pickGroup()
		planner := r.firstPlanner(group.members[0].FabricDomain)
		failedAt := time.Now()
		r.history.Kill(r.ctx, group.members[1])
		time.Sleep(4500*time.Millisecond + time.Duration(r.random.IntN(2500))*time.Millisecond)
		planner.Suspend()
		time.Sleep(8*time.Second + time.Duration(r.random.IntN(4000))*time.Millisecond)
		planner.Resume()
		r.waitAllServing(failedAt)
	}
}

// delayOrders delays the orders of the first planner by 7 s, so that they arrive
// after those of a later group.
func delayOrders(r *groupsRun) {
	group := r.pickGroup()
	planner := r.firstPlanner(group.members[0].FabricDomain)
	// The planner gets no requests, so that only its orders arrive late. A
	// delayed request would arrive long after the sender's last check of the
	// group, and checkMembership would count it as a violation.
	r.load.Finish()
	r.load = r.StartLoad(r.ctx, 1, 4, 30*time.Millisecond, planner)
	r.t.Cleanup(r.load.Stop)
	for _, engine := range r.Engines {
		if engine.FabricDomain == group.members[0].FabricDomain {
			engine.Proxy.SetSourceRule(planner.SourceAddress, faultproxy.Rule{Delay: 7 * time.Second})
		}
	}
	r.history.Kill(r.ctx, group.members[1])
	time.Sleep(4 * time.Second)
	r.history.Kill(r.ctx, group.members[2])
	r.waitAllServing(time.Now())
	time.Sleep(10 * time.Second)
	for _, engine := range r.Engines {
		engine.Proxy.Heal()
	}
	r.waitAllServing(time.Now())
	late := 0
	for _, engine := range r.Engines {
		highest := uint64(0)
		for _, order := range r.history.Records(engine).Orders {
			if order.FencingNumber < highest {
				late++
				assert.Assert(r.t, order.Accepted != engine.ChecksFencing)
			}
			highest = max(highest, order.FencingNumber)
		}
	}
	r.t.Logf("%d orders arrived after an order with a higher fencing number", late)
}

// stopLog kills a member while the log is down. No group may be formed until the
// log is back.
func stopLog(r *groupsRun) {
	group := r.pickGroup()
	before := r.highestFencingNumber()
	assert.NilError(r.t, r.Deployment.SetFaults(r.ctx, &platformv1.SetRequest{Outage: true}))
	r.history.Kill(r.ctx, group.members[1])
	time.Sleep(15 * time.Second)
	assert.Equal(r.t, r.highestFencingNumber(), before, "a group was formed without the log")
	assert.NilError(r.t, r.Deployment.SetFaults(r.ctx, &platformv1.SetRequest{}))
	r.waitAllServing(time.Now())
}
