package planner_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor/internal/planner"
	"flamingodoor.example/flamingodoor/internal/roster"
)

// Guards against members, or the head itself, that join a second group while the
// head of their first one serves: a head that the planner gave up on was taken for
// gone. Found in a play with closed ports (Valach deployment, scenario
// heads-cut-off).
func TestInstancesLeaveAGroupBeforeTheyJoinAnother(t *testing.T) {
	for name, test := range map[string]struct {
		cutOff   func(h *harness, head string)
		restart  bool          // another host takes the lead during the cut
		givesUp  time.Duration // after which the members form another group
		reach    bool          // other hosts reach the head
		cutsRead bool          // the head store cannot be read
	}{
		"its port is closed": {
			cutOff: func(h *harness, head string) { h.fleet.SetRefusing(head, true) }, givesUp: 5 * time.Second,
		},
		"no host reaches it": {
			cutOff: func(h *harness, head string) {
				h.fleet.SetUnreachable(head, true)
				h.fleet.SetUnlisted(head, true)
			}, givesUp: 5 * time.Second,
		},
		"its machine is cut off, and listed": {
			cutOff: func(h *harness, head string) { h.fleet.SetCutOff(head, true) }, givesUp: 3 * time.Second,
		},
		"it is forgotten": {
			cutOff: func(h *harness, head string) {
				h.fleet.SetUnreachable(head, true)
				h.fleet.SetUnlisted(head, true)
			}, givesUp: 40 * time.Second, reach: true,
		},
		"a new leader never knew it": {
			cutOff:  func(h *harness, head string) { h.fleet.SetUnlisted(head, true) },
			restart: true, givesUp: 40 * time.Second, cutsRead: true,
		},
		"a new leader lost its record": {
			cutOff:  func(h *harness, head string) { h.fleet.SetUnlisted(head, true); h.fleet.ForgetHead(head) },
			restart: true, givesUp: 40 * time.Second,
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.demand = map[string]float64{large: 2}
			h.add("d0", 5, large)
			p := h.startLeader()
			h.run(5*time.Second, p)
			head := h.openHead()
			for _, instance := range h.fleet.Listed() {
				if instance.ID == head {
					h.roster.MarkLost(head, instance.StartedAt, h.fleet.Now())
				}
			}
			test.cutOff(h, head)
			h.reachedElsewhere = test.reach
			if test.cutsRead {
				h.fleet.FailHeadReads()
			}
			if test.restart {
				h.roster = roster.New()
				p = h.startLeader()
			}
			h.run(test.givesUp, p)
			assert.Assert(t, h.openGroupWithout(head), "the members still wait for their head")
			h.fleet.SetRefusing(head, false)
			h.fleet.SetUnreachable(head, false)
			h.fleet.SetCutOff(head, false)
			h.fleet.SetUnlisted(head, false)
			h.demand = map[string]float64{large: 4}
			h.add("d0", 3, large)
			h.run(10*time.Second, p)
			assert.Equal(t, h.fleet.OpenGroups(large), 2, "the head that is back joins no group")
		})
	}
}

// Guards against a join that takes an instance out of an open group because the
// list shows it free: the list was older than the group.
func TestJoinIsWithheldFromAMemberOfAnotherGroup(t *testing.T) {
	h := newHarness(t)
	h.demand = map[string]float64{large: 2}
	h.add("d0", 5, large)
	h.publish()
	stale := h.roster
	h.roster = roster.New()
	h.run(5*time.Second, h.startLeader())
	head := h.openHead()
	h.roster, h.readsStopped, h.readAt = stale, true, h.fleet.Now().Add(time.Hour)
	h.run(3*time.Second, h.startLeader())
	assert.Equal(t, h.openHead(), head)
	assert.Equal(t, h.fleet.OpenGroups(large), 1)
}

// Guards against the same where an earlier order, such as a load of weights, has
// made the count of the instance's orders known.
func TestJoinIsWithheldAfterAnotherOrder(t *testing.T) {
	h := newHarness(t)
	h.demand = map[string]float64{large: 2}
	h.add("d0", 4, large)
	h.publish()
	stale := h.roster
	h.roster = roster.New()
	h.run(5*time.Second, h.startLeader())
	head := h.openHead()
	h.demand = map[string]float64{small: 4}
	h.roster, h.readsStopped, h.readAt = stale, true, h.fleet.Now().Add(time.Hour)
	p := h.startLeader()
	h.run(3*time.Second, p)
	h.demand = map[string]float64{large: 4}
	h.run(10*time.Second, p)
	assert.Equal(t, h.openHead(), head)
}

// Guards against a head that is taken for replaced by another process because its
// registration lacks the start of the process: its members joined a second group.
func TestHeadWithoutStartTimeIsNotReplaced(t *testing.T) {
	h := newHarness(t)
	h.demand = map[string]float64{large: 2}
	h.add("d0", 5, large)
	h.run(5*time.Second, h.startLeader())
	head := h.openHead()
	listed := h.fleet.Listed()
	for i := range listed {
		if listed[i].ID == head {
			listed[i].StartedAt = time.Time{}
		}
	}
	h.roster = roster.New()
	h.roster.Replace(listed, h.fleet.Now())
	h.roster.MarkLost(head, time.Time{}, h.fleet.Now().Add(time.Minute))
	h.roster.Publish(h.fleet.Now())
	h.readsStopped, h.readAt = true, h.fleet.Now().Add(time.Hour)
	h.run(5*time.Second, h.startLeader())
}

// Guards against steps that wait for a silent head in each of their rounds: a real loss
// elsewhere was found up to 0.8 s later.
func TestStepsDoNotWaitForASilentHead(t *testing.T) {
	h := newHarness(t)
	_, members := h.openGroup()
	var background int
	p := planner.New(h.parts(), planner.WithClock(h.fleet.Now, func(context.Context, time.Duration) {}), planner.WithBackground(func(func()) { background++ }))
	p.Campaign(t.Context())
	h.fleet.SetUnreachable(members[0], true)
	h.roster.MarkStalled(h.roster.View().Groups[0].Key(), h.fleet.Now())
	h.run(stepTime, p)
	asked := h.fleet.Calls(members[0])
	h.run(3*time.Second, p)
	assert.Equal(t, h.fleet.Calls(members[0]), asked)
	assert.Assert(t, background >= 2, "the order to the head was not repeated")
}

// Guards against a silent member of an abandoned group that is asked in every
// step: each step then waits for it, and each report has its price. Two reports a
// second are the most that a planner may ask of an instance.
func TestSilentMemberIsNotAskedInEveryStep(t *testing.T) {
	h := newHarness(t)
	h.demand = map[string]float64{large: 2}
	h.add("d0", 4, large)
	p := h.startLeader()
	h.run(5*time.Second, p)
	head := h.openHead()
	h.loseHead(head)
	silent := h.fleet.GroupMembers(head)[2]
	h.fleet.SetUnreachable(silent, true)
	before := h.fleet.Calls(silent)
	h.run(10*time.Second, p)
	assert.Assert(t, h.fleet.Calls(silent)-before <= 20, "%d calls in 10 s", h.fleet.Calls(silent)-before)
	assert.Assert(t, len(h.retired) > 0, "other hosts still send to the group")
}
