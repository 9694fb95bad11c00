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
	// groupsSeed makes every run of CI choose the same members and times.
	groupsSeed = 20260101
	// evidenceLifetime is the age at which health evidence no longer counts.
	evidenceLifetime = 3 * time.Second
	// sendMargin allows for the time from the last check at an entry host to the
	// arrival of the request at the engine on a busy machine.
	sendMargin = 500 * time.Millisecond
	// reformBound is how long re-forming a group may take: 5 s without evidence,
	// then planning, orders and loading.
	reformBound = 30 * time.Second
	// initialQuarantine exceeds the 10 s that each planner waits after it first
	// saw an engine, before it plans with it.
	initialQuarantine = 11 * time.Second
)

// groupsRun is a testbed under load, with the records of its engines.
type groupsRun struct {
	*harness.Testbed
	t       *testing.T
	ctx     context.Context //nolint:containedctx // Ends with the test.
	history *harness.History
	load    *harness.LoadGenerator
	random  *rand.Rand
	groups  int // that the manifest plans
}

// startGroupsRun starts a testbed under load and waits until every group serves.
func startGroupsRun(t *testing.T, topology harness.Topology) *groupsRun {
	t.Helper()
	random := newRandom(t, groupsSeed)
	ctx, testbed := startTestbed(t, topology)
	time.Sleep(initialQuarantine)
	run := &groupsRun{
		Testbed: testbed, t: t, ctx: ctx, history: harness.NewHistory(testbed),
		load: testbed.StartLoad(ctx, 1, 4, 30*time.Millisecond), random: random, groups: topology.Groups,
	}
	t.Cleanup(run.load.Stop)
	run.waitAllServing(time.Now())
	return run
}

// servingGroup is a group whose members are all reachable and have accepted its
// order.
type servingGroup struct {
	groupID       string
	fencingNumber uint64
	members       []*harness.Endpoint // the head first
	servedAt      time.Time           // first request after the time given to servingGroups
}

// servingGroups returns the serving groups that received a request after since,
// by group ID.
func (r *groupsRun) servingGroups(since time.Time) map[string]servingGroup {
	r.history.Update(r.ctx)
	found := map[string]servingGroup{}
	for _, head := range r.Engines {
		records := r.history.Records(head)
		order := lastAccepted(records.Orders)
		if order.GroupID == "" || order.MemberIndex != 0 || order.FencingNumber < found[order.GroupID].fencingNumber {
			continue
		}
		group := servingGroup{groupID: order.GroupID, fencingNumber: order.FencingNumber}
		complete := true
		for index, address := range order.Members {
			member := r.engineByAddress(address)
			now := time.Now()
			at, ok := r.lastPresent(member, order.FencingNumber, index, now)
			complete = complete && ok && at.Equal(now)
			group.members = append(group.members, member)
		}
		for _, request := range records.Requests {
			if request.FencingNumber == order.FencingNumber && request.At.After(since) {
				group.servedAt = request.At
				break
			}
		}
		if complete && !group.servedAt.IsZero() {
			found[order.GroupID] = group
		}
	}
	return found
}

// lastAccepted returns the latest accepted order, or the zero record.
func lastAccepted(orders []standinendpoint.OrderRecord) standinendpoint.OrderRecord {
	for _, order := range slices.Backward(orders) {
		if order.Accepted {
			return order
		}
	}
	return standinendpoint.OrderRecord{}
}

// waitAllServing waits until every group has received a request after since, and
// fails the test if that took longer than reformBound.
func (r *groupsRun) waitAllServing(since time.Time) map[string]servingGroup {
	r.t.Helper()
	var found map[string]servingGroup
	for deadline := since.Add(reformBound + evidenceLifetime); time.Now().Before(deadline); time.Sleep(250 * time.Millisecond) {
		if found = r.servingGroups(since); len(found) == r.groups {
			break
		}
	}
	assert.Equal(r.t, len(found), r.groups, "serving groups %v after the failure: %v", time.Since(since), found)
	var longest time.Duration
	for _, group := range found {
		longest = max(longest, group.servedAt.Sub(since))
	}
	r.t.Logf("all groups serve after %v", longest)
	assert.Assert(r.t, longest <= reformBound, "groups re-formed after %v", longest)
	return found
}

// pickGroup picks one of the serving groups at random.
func (r *groupsRun) pickGroup() servingGroup {
	r.t.Helper()
	groups := r.waitAllServing(time.Now())
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

// firstPlanner returns the entry host that sent the first order to an engine of
// a fabric domain, as the event log shows.
func (r *groupsRun) firstPlanner(domain string) *harness.Entry {
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
	r.t.Fatalf("no entry host has sent an order to %s", domain)
	return nil
}

// highestFencingNumber returns the highest fencing number among the orders of
// groups that the engines received.
func (r *groupsRun) highestFencingNumber() uint64 {
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

// engineByAddress returns the engine behind a proxy address, or nil.
func (r *groupsRun) engineByAddress(address netip.AddrPort) *harness.Endpoint {
	for _, engine := range r.Engines {
		if engine.Proxy.Address() == address {
			return engine
		}
	}
	return nil
}

// lastPresent returns the latest time up to until at which the engine was
// reachable and its latest accepted order named this group and member index. It
// returns false if there is no such time.
func (r *groupsRun) lastPresent(engine *harness.Endpoint, fencingNumber uint64, index int, until time.Time) (time.Time, bool) {
	var last time.Time
	if engine == nil {
		return last, false
	}
	replacedAt := until // when the next order replaced the current one
	orders := r.history.Records(engine).Orders
	for i := len(orders) - 1; i >= 0; i-- {
		order := orders[i]
		if !order.Accepted || order.At.After(until) {
			continue
		}
		if order.GroupID != "" && order.FencingNumber == fencingNumber && order.MemberIndex == index {
			end := replacedAt
			for _, outage := range r.history.Outages(engine) {
				if !end.Before(outage.From) && (outage.To.IsZero() || end.Before(outage.To)) {
					end = outage.From
				}
			}
			if !end.Before(order.At) && end.After(last) {
				last = end
			}
		}
		replacedAt = order.At
	}
	return last, !last.IsZero()
}

// checkMembership checks every request that an engine received against the
// orders of the members of the request's group. Each member must have been
// reachable and assigned to this group, and to no other, at some time within
// evidenceLifetime plus sendMargin before the request.
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
	requests, violations := 0, 0
	longest := time.Duration(0)
	for _, engine := range r.Engines {
		records := r.history.Records(engine)
		assert.Equal(r.t, records.Dropped, 0)
		for _, request := range records.Requests {
			requests++
			absence, violation := r.longestAbsence(members[request.FencingNumber], request.FencingNumber, request.At)
			longest = max(longest, absence)
			if violation != "" {
				if violations++; violations <= 5 {
					r.t.Errorf("%s received a request for the group with fencing number %d at %v: %s", engine.Name, request.FencingNumber, request.At, violation)
				}
			}
		}
	}
	r.t.Logf("%d requests for groups, the longest time after a member was last present %v, %d violations; answers: %d complete, %d broken, %d refused",
		requests, longest, violations, r.load.Complete.Load(), r.load.Broken.Load(), r.load.Refused.Load())
	assert.Assert(r.t, requests > 100, "only %d requests arrived", requests)
}

// longestAbsence returns the longest time before at since a member was last
// present. The text describes a violation, and is empty if there is none.
func (r *groupsRun) longestAbsence(members []netip.AddrPort, fencingNumber uint64, at time.Time) (time.Duration, string) {
	if len(members) == 0 {
		return 0, "no engine has received an order of this group"
	}
	longest := time.Duration(0)
	for index, address := range members {
		member := r.engineByAddress(address)
		last, ok := r.lastPresent(member, fencingNumber, index, at)
		if !ok {
			return longest, fmt.Sprintf("member %d (%s) was never present in the group before", index, member.Name)
		}
		longest = max(longest, at.Sub(last))
		if at.Sub(last) > evidenceLifetime+sendMargin {
			return longest, fmt.Sprintf("member %d (%s) was last present %v before", index, member.Name, at.Sub(last))
		}
	}
	return longest, ""
}
