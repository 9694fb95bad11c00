package planner_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor"
)

// Guards against a join of another group for a member of an open group whose rank a second
// entry names: the member was in no group of the view and counted as free (review/11).
func TestMemberWithoutItsRankIsNotFree(t *testing.T) {
	h := newHarness(t)
	h.add("d0", 11, large)
	p := h.startLeader()
	h.run(6*time.Second, p)
	open := h.fleet.OpenGroups(large)
	assert.Assert(t, open >= 2)
	members := h.fleet.GroupMembers(h.openHead())
	h.copies = func(listed flamingodoor.Instance) (flamingodoor.Instance, bool) {
		copied := listed
		copied.ID = "a-" + listed.ID
		return copied, listed.ID == members[1] || listed.ID == members[2]
	}
	h.run(6*time.Second, p)
	assert.Equal(t, h.fleet.OpenGroups(large), open)
}
