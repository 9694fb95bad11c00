package planner_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Pattern: a member of a large group is lost in a domain with one spare, while
// the small model is short of groups elsewhere. The spare held the weights of
// the small model, and the large group stayed down for a whole load.
func TestSpareHoldsTheModelOfItsDomain(t *testing.T) {
	s := newScene(t)
	s.work = map[string]float64{large: 0.7, small: 4}
	s.add("d0", 4, large)
	s.add("d1", 6, small)
	p := s.lead()
	s.run(5*time.Second, p)
	assert.Equal(t, s.fleet.OpenGroups(large), 1)
	assert.Equal(t, s.fleet.OpenGroups(small), 2)
	s.add("d0", 1)
	s.run(100*time.Second, p)
	s.lose(s.fleet.Members(s.head())[2])
	s.run(3*time.Second, p)
	assert.Equal(t, s.fleet.OpenGroups(large), 1)
}
