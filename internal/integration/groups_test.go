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
	// spareShape has two spares in the fabric domain of each group.
	spareShape = harness.Topology{Entries: 4, FabricDomains: 2, EnginesPerDomain: 5, HostsPerGroup: 3, Groups: 2}
	// domainShape has one spare fabric domain.
	domainShape = harness.Topology{Entries: 4, FabricDomains: 3, EnginesPerDomain: 3, HostsPerGroup: 3, Groups: 2}
)

// Guards against a group that serves while a host is missing, a host in two
// groups, and groups that stay broken. The engines' own records are checked.
func TestGroups(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name   string
		shape  harness.Topology
		checks bool // the engines compare fencing numbers
		fail   func(r *groupsRun)
	}{
		{"member killed", spareShape, true, failMember},
		{"member killed without fencing", spareShape, false, failMember},
		{"fabric domain dark", domainShape, false, failDomain},
		{"member cut off from some watchers", spareShape, true, failWatchers},
		{"two planners at once", spareShape, false, failRace},
		{"planner frozen", spareShape, false, failFrozenPlanner},
		{"late orders", spareShape, false, failLateOrders},
		{"late orders refused", spareShape, true, failLateOrders},
		{"log down", spareShape, true, failLog},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			test.shape.EngineArguments = []string{"--load-time=1s"}
			if test.checks {
				test.shape.EngineArguments = append(test.shape.EngineArguments, "--checks-fencing")
			}
			run := startGroupsRun(t, test.shape)
			test.fail(run)
			run.checkMembership()
		})
	}
}

// failMember kills a member, then the leader of the repaired group.
func failMember(r *groupsRun) {
	group := r.anyGroup()
	r.history.Kill(r.ctx, group.members[1+r.random.IntN(2)])
	group = r.waitWhole(time.Now())[group.groupID]
	r.history.Kill(r.ctx, group.members[0])
	r.waitWhole(time.Now())
}

// failDomain silences all hosts of a group's fabric domain, and lets them
// return when the group has moved.
func failDomain(r *groupsRun) {
	domain := r.anyGroup().members[0].FabricDomain
	var dark []*harness.Endpoint
	for _, engine := range r.Engines {
		if engine.FabricDomain == domain {
			dark = append(dark, engine)
			r.history.Silence(engine)
		}
	}
	r.waitWhole(time.Now())
	for _, engine := range dark {
		r.history.Heal(engine)
	}
	// The returned hosts still name the group that they were in.
	time.Sleep(8 * time.Second)
	r.waitWhole(time.Now())
}

// failWatchers cuts a member off from two of four entry hosts, which leaves
// one watcher at least, and kills another member meanwhile.
func failWatchers(r *groupsRun) {
	group := r.anyGroup()
	before := r.highestFencing()
	entries := r.Deployment.Entries
	first := r.random.IntN(len(entries))
	for _, entry := range []*harness.Entry{entries[first], entries[(first+1)%len(entries)]} {
		group.members[1].Proxy.SetSourceRule(entry.SourceAddress, faultproxy.Silent)
	}
	time.Sleep(9 * time.Second)
	assert.Equal(r.t, r.highestFencing(), before, "a group was replaced although a watcher reaches every member")
	r.waitWhole(time.Now())
	r.history.Kill(r.ctx, group.members[2])
	r.waitWhole(time.Now())
	group.members[1].Proxy.Heal()
	r.waitWhole(time.Now())
}

// failRace makes appends take effect 4 s late, so that the next planner, which
// acts after 2 s, cannot see the record of the first.
func failRace(r *groupsRun) {
	group := r.anyGroup()
	assert.NilError(r.t, r.Deployment.SetFaults(r.ctx, &platformv1.SetRequest{
		LateAppends: 30, LateBy: durationpb.New(4 * time.Second),
	}))
	r.history.Kill(r.ctx, group.members[1])
	r.waitWhole(time.Now())
	data, err := os.ReadFile(r.Deployment.Log.(*os.File).Name())
	assert.NilError(r.t, err)
	rejected := 0
	for line := range strings.Lines(string(data)) {
		if strings.Contains(line, "event=group_change_recorded") && !strings.Contains(line, "VERDICT_CODE_ACCEPTED") {
			rejected++
		}
	}
	r.t.Logf("%d records of planners rejected", rejected)
	assert.Assert(r.t, rejected > 0, "no two planners recorded the same change")
	assert.NilError(r.t, r.Deployment.SetFaults(r.ctx, &platformv1.SetRequest{}))
}

// failFrozenPlanner freezes the first planner about when it acts, and resumes
// it when the others have acted.
func failFrozenPlanner(r *groupsRun) {
	for range 2 {
		group := r.anyGroup()
		planner := r.planner(group.members[0].FabricDomain)
		failed := time.Now()
		r.history.Kill(r.ctx, group.members[1])
		time.Sleep(4500*time.Millisecond + time.Duration(r.random.IntN(2500))*time.Millisecond)
		planner.Suspend()
		time.Sleep(8*time.Second + time.Duration(r.random.IntN(4000))*time.Millisecond)
		planner.Resume()
		r.waitWhole(failed)
	}
}

// failLateOrders holds back what the first planner sends, so that its orders
// arrive after those of a later group.
func failLateOrders(r *groupsRun) {
	group := r.anyGroup()
	planner := r.planner(group.members[0].FabricDomain)
	// Only orders are to arrive late. A request that the network delays is
	// received that much after the sender's last check, whatever it checks.
	r.load.Stop()
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
	r.waitWhole(time.Now())
	time.Sleep(10 * time.Second)
	for _, engine := range r.Engines {
		engine.Proxy.Heal()
	}
	r.waitWhole(time.Now())
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
	r.t.Logf("%d orders arrived after a later one", late)
}

// failLog takes the log away before a member is killed.
func failLog(r *groupsRun) {
	group := r.anyGroup()
	before := r.highestFencing()
	assert.NilError(r.t, r.Deployment.SetFaults(r.ctx, &platformv1.SetRequest{Outage: true}))
	r.history.Kill(r.ctx, group.members[1])
	time.Sleep(15 * time.Second)
	assert.Equal(r.t, r.highestFencing(), before, "a group was formed without the log")
	assert.NilError(r.t, r.Deployment.SetFaults(r.ctx, &platformv1.SetRequest{}))
	r.waitWhole(time.Now())
}
