package planner_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A member of a large group is lost in a domain with one spare instance, while
// the small model is short of groups elsewhere. Guards against a spare that holds
// the weights of the small model, so that the large group stays down for the time
// of a whole weight load.
func TestSpareHoldsTheModelOfItsDomain(t *testing.T) {
	h := newHarness(t)
	h.noRequestsYet = true
	h.fleet.SetPreTraffic(true)
	h.demand = map[string]float64{large: 3, small: 0.5}
	h.add("d0", 8)
	h.add("d1", 3)
	p := h.startLeader()
	h.run(6*time.Second, p)
	assert.Equal(t, h.fleet.OpenGroups(large), 2)
	assert.Equal(t, h.fleet.OpenGroups(small), 1)
	h.demand = map[string]float64{large: 1.2, small: 4}
	h.add("d0", 1)
	h.run(6*time.Second, p)
	h.demand = map[string]float64{large: 3, small: 0.5}
	h.noRequestsYet = false
	h.fleet.SetPreTraffic(false)
	h.loseInstance(h.fleet.GroupMembers(h.openHead())[2])
	h.run(4*time.Second, p)
	assert.Equal(t, h.fleet.OpenGroups(large), 2)
}
