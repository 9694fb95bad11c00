package planner_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor"
)

// Guards against a group that is given up because the leader alone does not reach its
// head when it is to open: no request goes there yet that would mark the head.
func TestPendingGroupAwaitsThePathToItsHead(t *testing.T) {
	h := newHarness(t)
	h.demand = map[string]float64{large: 2}
	h.add("d0", 4, large)
	h.reachedElsewhere = true
	p := h.startLeader()
	joined := func() (head string) {
		for _, instance := range h.fleet.Listed() {
			if instance.Membership.Group == "" || instance.Membership.State == flamingodoor.MembershipStateOpen {
				return ""
			}
			if instance.Membership.Rank == 0 {
				head = instance.ID
			}
		}
		return head
	}
	for joined() == "" {
		h.run(stepTime, p)
		assert.Equal(t, h.fleet.OpenGroups(large), 0, "the group opened at once")
	}
	head := joined()
	h.fleet.SetUnreachable(head, true)
	leaves := h.countLeaves()
	h.run(8*time.Second, p)
	assert.Equal(t, *leaves, 0, "orders to leave during the cut")
	h.fleet.SetUnreachable(head, false)
	h.run(2*time.Second, p)
	assert.Equal(t, h.fleet.OpenGroups(large), 1)
	assert.Equal(t, *leaves, 0)
}
