package planner_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor/internal/planner"
)

// newStartup returns a harness whose groups formed by the declared shares before the
// first request, and its planner.
func newStartup(t *testing.T) (*harness, *planner.Planner) {
	t.Helper()
	h := newHarness(t)
	h.noRequestsYet, h.demandUnmeasured, h.demand = true, true, map[string]float64{}
	for _, domain := range []string{"d0", "d1"} {
		h.add(domain, 14, large, small)
	}
	p := h.startLeader()
	h.run(20*time.Second, p)
	assert.Assert(t, h.fleet.OpenGroups(large) >= 2 && h.fleet.OpenGroups(small) >= 2, "%d, %d", h.fleet.OpenGroups(large), h.fleet.OpenGroups(small))
	h.noRequestsYet = false
	return h, p
}

// Guards against groups that follow the declared shares for seconds after the first
// request, while nearly all callers ask for one model, and against those that follow the
// first few requests.
func TestMeasuredSplitReplacesTheDeclaredShares(t *testing.T) {
	h, p := newStartup(t)
	h.demand = map[string]float64{large: 0.2, small: 8}
	h.run(time.Second, p)
	assert.Equal(t, len(h.retired), 0)
	h.demandUnmeasured = false
	h.run(time.Second, p)
	assert.Assert(t, len(h.retired) > 0)
}

// Guards against a single early request for one model that ends the groups of the other
// model.
func TestSingleEarlyRequestEndsNoGroups(t *testing.T) {
	for _, work := range []float64{0.02, 0.25, 0.5} { // engine seconds per second
		h, p := newStartup(t)
		h.demand, h.demandUnmeasured = map[string]float64{small: work}, false
		h.run(5*time.Second, p)
		assert.Equal(t, len(h.retired), 0, "work %v", work)
		assert.Assert(t, h.fleet.OpenGroups(large) >= 2, "work %v", work)
	}
}
