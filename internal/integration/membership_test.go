package integration_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor/internal/harness"
	standinendpoint "flamingodoor.example/flamingodoor/internal/standin/endpoint"
)

const (
	// defaultSeed makes every run of CI choose the same members and times.
	groupsSeed = 20260101
	// evidenceBound is the age at which evidence no longer counts.
	evidenceBound = 3 * time.Second
	// sendMargin is the time from the last check of an entry host to the
	// arrival of the request at the engine on a busy machine.
	sendMargin = 500 * time.Millisecond
	// reformBound is 5 s without evidence, planning, orders and loading.
	reformBound = 30 * time.Second
	// firstQuarantine is the wait of each planner after it first saw a host.
	firstQuarantine = 11 * time.Second
)

// groupsRun is one scene under load with the records of its engines.
type groupsRun struct {
	*harness.Testbed
	t       *testing.T
	ctx     context.Context //nolint:containedctx // Ends with the test.
	history *harness.History
	load    *harness.LoadGenerator
	random  *rand.Rand
	groups  int
}

func startGroupsRun(t *testing.T, shape harness.Topology) *groupsRun {
	t.Helper()
	random := newRandom(t, groupsSeed)
	ctx, scene := startScene(t, shape)
	time.Sleep(firstQuarantine)
	run := &groupsRun{
		Testbed: scene, t: t, ctx: ctx, history: harness.NewHistory(scene),
		load: scene.StartLoad(ctx, 1, 4, 30*time.Millisecond), random: random, groups: shape.Groups,
	}
	t.Cleanup(run.load.Stop)
	run.waitWhole(time.Now())
	return run
}

// whole is a group whose members all have its order and are present.
type whole struct {
	groupID  string
	fencing  uint64
	members  []*harness.Endpoint
	servedAt time.Time // first request since the time asked for
}

// wholeGroups lists the whole groups that received work since a time.
func (r *groupsRun) wholeGroups(since time.Time) map[string]whole {
	r.history.Update(r.ctx)
	found := map[string]whole{}
	for _, leader := range r.Engines {
		records := r.history.Records(leader)
		order := lastAccepted(records.Orders)
		if order.GroupID == "" || order.MemberIndex != 0 || order.FencingNumber < found[order.GroupID].fencing {
			continue
		}
		group := whole{groupID: order.GroupID, fencing: order.FencingNumber}
		complete := true
		for index, address := range order.Members {
			member := r.byAddress(address)
			now := time.Now()
			at, ok := r.lastPresent(member, order.FencingNumber, index, now)
			complete = complete && ok && at.Equal(now)
			group.members = append(group.members, member)
		}
		for _, work := range records.Requests {
			if work.FencingNumber == order.FencingNumber && work.At.After(since) {
				group.servedAt = work.At
				break
			}
		}
		if complete && !group.servedAt.IsZero() {
			found[order.GroupID] = group
		}
	}
	return found
}

func lastAccepted(orders []standinendpoint.OrderRecord) standinendpoint.OrderRecord {
	for _, order := range slices.Backward(orders) {
		if order.Accepted {
			return order
		}
	}
	return standinendpoint.OrderRecord{}
}

// waitWhole waits until all groups serve again and checks the time that took.
func (r *groupsRun) waitWhole(since time.Time) map[string]whole {
	r.t.Helper()
	var found map[string]whole
	for deadline := since.Add(reformBound + evidenceBound); time.Now().Before(deadline); time.Sleep(250 * time.Millisecond) {
		if found = r.wholeGroups(since); len(found) == r.groups {
			break
		}
	}
	assert.Equal(r.t, len(found), r.groups, "groups that serve %v after the failure: %v", time.Since(since), found)
	var last time.Duration
	for _, group := range found {
		last = max(last, group.servedAt.Sub(since))
	}
	r.t.Logf("all groups serve after %v", last)
	assert.Assert(r.t, last <= reformBound, "groups re-formed after %v", last)
	return found
}

// anyGroup picks one of the groups that serve.
func (r *groupsRun) anyGroup() whole {
	r.t.Helper()
	groups := r.waitWhole(time.Now())
	names := make([]string, 0, len(groups))
	for _, engine := range r.Engines {
		for name, group := range groups {
			if group.members[0] == engine {
				names = append(names, name)
			}
		}
	}
	return groups[names[r.random.IntN(len(names))]]
}

// planner returns the entry host that sent the first orders of a domain.
func (r *groupsRun) planner(domain string) *harness.Entry {
	r.t.Helper()
	data, err := os.ReadFile(r.Deployment.Log.(*os.File).Name())
	assert.NilError(r.t, err)
	engines := "endpoint=engine-" + strings.TrimPrefix(domain, "domain-") + "-"
	for line := range strings.Lines(string(data)) {
		if !strings.Contains(line, "event=order_sent") || !strings.Contains(line, engines) {
			continue
		}
		for _, entry := range r.Deployment.Entries {
			if strings.HasPrefix(line, entry.Name+" ") {
				return entry
			}
		}
	}
	r.t.Fatalf("no planner of %s found", domain)
	return nil
}

// highestFencing returns the newest group that an engine has an order of.
func (r *groupsRun) highestFencing() uint64 {
	r.history.Update(r.ctx)
	highest := uint64(0)
	for _, engine := range r.Engines {
		for _, order := range r.history.Records(engine).Orders {
			if order.GroupID != "" {
				highest = max(highest, order.FencingNumber)
			}
		}
	}
	return highest
}

func (r *groupsRun) byAddress(address netip.AddrPort) *harness.Endpoint {
	for _, engine := range r.Engines {
		if engine.Proxy.Address() == address {
			return engine
		}
	}
	return nil
}

// lastPresent returns the latest time up to the given one at which the engine
// was reachable and its latest order named this group and index.
func (r *groupsRun) lastPresent(engine *harness.Endpoint, fencing uint64, index int, until time.Time) (time.Time, bool) {
	var last time.Time
	if engine == nil {
		return last, false
	}
	to := until
	orders := r.history.Records(engine).Orders
	for i := len(orders) - 1; i >= 0; i-- {
		order := orders[i]
		if !order.Accepted || order.At.After(until) {
			continue
		}
		if order.GroupID != "" && order.FencingNumber == fencing && order.MemberIndex == index {
			end := to
			for _, outage := range r.history.Outages(engine) {
				if !end.Before(outage.From) && (outage.To.IsZero() || end.Before(outage.To)) {
					end = outage.From
				}
			}
			if !end.Before(order.At) && end.After(last) {
				last = end
			}
		}
		to = order.At
	}
	return last, !last.IsZero()
}

// checkMembership compares every request that an engine received with the
// orders that the members of the request's group had: each must have been
// present, with this group as its only one, within the evidence's lifetime.
func (r *groupsRun) checkMembership() {
	r.t.Helper()
	r.load.Stop()
	r.history.Update(r.ctx)
	members := map[uint64][]netip.AddrPort{}
	for _, engine := range r.Engines {
		for _, order := range r.history.Records(engine).Orders {
			if order.GroupID != "" {
				members[order.FencingNumber] = order.Members
			}
		}
	}
	requests, wrong := 0, 0
	oldest := time.Duration(0)
	for _, leader := range r.Engines {
		records := r.history.Records(leader)
		assert.Equal(r.t, records.Dropped, 0)
		for _, work := range records.Requests {
			requests++
			age, reason := r.membershipAge(members[work.FencingNumber], work.FencingNumber, work.At)
			oldest = max(oldest, age)
			if reason != "" {
				if wrong++; wrong <= 5 {
					r.t.Errorf("%s received a request for group %d at %v: %s", leader.Name, work.FencingNumber, work.At, reason)
				}
			}
		}
	}
	r.t.Logf("%d requests for groups, the longest time after a member went missing %v, %d violations; answers: %d complete, %d broken, %d refused",
		requests, oldest, wrong, r.load.Complete.Load(), r.load.Broken.Load(), r.load.Refused.Load())
	assert.Assert(r.t, requests > 100, "%d requests", requests)
}

func (r *groupsRun) membershipAge(members []netip.AddrPort, fencing uint64, at time.Time) (time.Duration, string) {
	if len(members) == 0 {
		return 0, "no engine has an order of this group"
	}
	oldest := time.Duration(0)
	for index, address := range members {
		member := r.byAddress(address)
		last, ok := r.lastPresent(member, fencing, index, at)
		if !ok {
			return oldest, fmt.Sprintf("member %d (%s) never had the order before", index, member.Name)
		}
		oldest = max(oldest, at.Sub(last))
		if at.Sub(last) > evidenceBound+sendMargin {
			return oldest, fmt.Sprintf("member %d (%s) was last present %v before", index, member.Name, at.Sub(last))
		}
	}
	return oldest, ""
}
