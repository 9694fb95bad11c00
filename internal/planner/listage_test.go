package planner_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// readDuringStep is a refresher for which a read ends in each step, after the step has
// taken its view of the registrations.
type readDuringStep struct {
	*harness

	asked int // times that the time of the latest read was asked for in this step
}

func (*readDuringStep) Refresh() {}

func (r *readDuringStep) AsOf() time.Time {
	r.asked++
	if r.asked > 1 {
		return r.fleet.Now()
	}
	return r.readAt
}

// Guards against groups that are formed from registrations which lack the orders of an
// earlier leader, because a read ended after they had been taken.
func TestGroupsFormFromRegistrationsOfALaterRead(t *testing.T) {
	h := newHarness(t)
	h.add("d0", 4, large)
	parts := h.parts()
	list := &readDuringStep{harness: h}
	parts.Refresher = list
	p := h.lead(parts)
	h.run(2*stepTime, p) // the term begins
	h.readsStopped = true
	for range 20 {
		list.asked = 0
		h.run(stepTime, p)
		for _, instance := range h.fleet.Listed() {
			assert.Equal(t, instance.Membership.Group, "", "%s joined a group", instance.ID)
		}
	}
	h.readsStopped = false
	h.run(3*time.Second, p)
	assert.Equal(t, h.fleet.OpenGroups(large), 1)
}
