package planner_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/standin/fleet"
)

// countStageOrders returns a map that from now on counts the orders to load
// weights, by instance.
func (h *harness) countStageOrders() map[string]int {
	counts := make(map[string]int)
	h.fleet.SetHooks(fleet.Hooks{LoseAnswer: func(id string, order flamingodoor.InstanceOrder) bool {
		if order.Kind == flamingodoor.OrderKindStage {
			counts[id]++
		}
		return false
	}})
	return counts
}

// The leader is replaced while a domain waits for weights. Guards against a new
// leader that repeats the loads under way and starts more on top, which left
// half of a fleet without weights for 25 s.
func TestNewLeaderKnowsTheLoadsUnderWay(t *testing.T) {
	h := newHarness(t)
	h.demand = map[string]float64{large: 3}
	h.add("d0", 3, large)
	h.add("d0", 1)
	h.add("d1", 9)
	counts := h.countStageOrders()
	h.run(3*time.Second, h.startLeader())
	first := len(counts)
	assert.Assert(t, first > 0)
	h.run(3*time.Second, h.startLeader())
	h.run(3*time.Second, h.startLeader())
	for id, count := range counts {
		assert.Equal(t, count, 1, "instance %s", id)
	}
	assert.Assert(t, len(counts) <= engineSpec().MaxConcurrentLoads, "%d loads at once", len(counts))
	loads, err := h.loads.Load(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, len(loads), len(counts))
	h.run(20*time.Second, h.startLeader())
	assert.Assert(t, h.fleet.OpenGroups(large) > 0)
}

// The small model has more groups than it needs, and the large one waits for
// weights. Guards against loads that all go to the small model (29 of 29 in
// scenario quiet-1 of the enlarged Kivuko deployment), and against loads of the
// large model spread over the domains, so that no domain has enough for a group.
func TestLoadsCompleteAGroupOfTheNeededModel(t *testing.T) {
	const size = 8 // instances in a group of the large model
	spec := engineSpec()
	spec.Models[0].InstancesPerGroup, spec.Models[1].InstancesPerGroup = size, 2
	h := newHarnessWith(t, spec)
	h.demand = map[string]float64{large: 3, small: 4}
	h.add("d0", 8, large)
	for range 9 {
		h.add("d1", 1, small)
		h.add("d2", 1, small)
	}
	var models, domains []string
	h.fleet.SetHooks(fleet.Hooks{LoseAnswer: func(id string, order flamingodoor.InstanceOrder) bool {
		if order.Kind != flamingodoor.OrderKindStage {
			return false
		}
		models = append(models, order.ModelID)
		domains = append(domains, h.domainOf(id))
		return false
	}})
	h.run(200*time.Second, h.startLeader())
	assert.Assert(t, len(models) >= size, "%v", models)
	for i := range size {
		assert.Equal(t, models[i], large, "load %d", i)
		assert.Equal(t, domains[i], domains[0], "load %d", i)
	}
	assert.Assert(t, h.fleet.OpenGroups(large) > 1)
}

// assertCeiling checks the loads that began so far: at most 1.1 times what the weight
// store supports within 5 s, and 3 more.
func (h *harness) assertCeiling(spec *flamingodoor.EngineSpec) {
	h.t.Helper()
	const window = 5 * time.Second
	limit := 1.1*spec.LoadsPerSecond*window.Seconds() + 3
	most := h.fleet.MostLoads(start, window)
	assert.Assert(h.t, most > 0)
	assert.Assert(h.t, float64(most) <= limit, "%d loads began within %s, %.1f are allowed", most, window, limit)
}

// Guards against more loads than the weight store supports: instances joined groups of
// models whose weights they did not have, which load them, because that takes less than
// the longest delay of a join.
func TestJoinsDoNotPassByTheLimitOfLoads(t *testing.T) {
	spec := engineSpec()
	spec.LoadsPerSecond, spec.MaxConcurrentLoads = 1, 2
	for i := range spec.Models {
		spec.Models[i].LoadTime = 3 * time.Second
	}
	h := newHarnessWith(t, spec)
	for _, domain := range []string{"d0", "d1", "d2", "d3"} {
		h.add(domain, 9)
	}
	h.run(20*time.Second, h.startLeader())
	h.assertCeiling(spec)
	assert.Assert(t, h.fleet.OpenGroups(large)+h.fleet.OpenGroups(small) > 0)
}

// Guards against more loads than the weight store supports, because a load no longer
// counted once its instance had left, although it had begun in the same second.
func TestLoadsOfInstancesThatLeaveCountTowardsTheLimit(t *testing.T) {
	spec := engineSpec()
	spec.LoadsPerSecond = 1
	h := newHarnessWith(t, spec)
	for _, domain := range []string{"d0", "d1", "d2", "d3"} {
		h.add(domain, 9)
	}
	counts, unlisted := h.countStageOrders(), make(map[string]bool)
	leader := h.startLeader()
	for range 50 {
		h.run(stepTime, leader)
		for id := range counts {
			if !unlisted[id] {
				unlisted[id] = true
				h.fleet.SetUnlisted(id, true)
			}
		}
	}
	h.assertCeiling(spec)
}

// domainOf returns the fabric domain of an instance. It reads the roster because
// it is called while the fleet's lock is held.
func (h *harness) domainOf(id string) string {
	return h.roster.View().Entries[id].FabricDomain
}
