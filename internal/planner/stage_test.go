package planner_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/standin/fleet"
)

// stages counts the orders to load weights, by instance.
func (s *scene) stages() map[string]int {
	counts := make(map[string]int)
	s.fleet.SetHooks(fleet.Hooks{LoseAnswer: func(id string, order flamingodoor.InstanceOrder) bool {
		if order.Kind == flamingodoor.OrderKindStage {
			counts[id]++
		}
		return false
	}})
	return counts
}

// Pattern: the leading host is replaced while a domain waits for weights. Each
// new leader once loaded again what was under way, and more besides: half of a
// fleet had no weights for 25 s.
func TestNewLeaderKnowsTheLoadsUnderWay(t *testing.T) {
	s := newScene(t)
	s.work = map[string]float64{large: 3}
	s.add("d0", 3, large)
	s.add("d0", 1)
	s.add("d1", 9)
	counts := s.stages()
	s.run(3*time.Second, s.lead())
	first := len(counts)
	assert.Assert(t, first > 0)
	s.run(3*time.Second, s.lead())
	s.run(3*time.Second, s.lead())
	for id, count := range counts {
		assert.Equal(t, count, 1, "instance %s", id)
	}
	assert.Assert(t, len(counts) <= engine().MaxConcurrentLoads, "%d loads at once", len(counts))
	loads, err := s.loads.Load(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, len(loads), len(counts))
	s.run(20*time.Second, s.lead())
	assert.Assert(t, s.fleet.OpenGroups(large) > 0)
}

// Pattern: the small model has more groups than it needs, and the large one waits
// for weights. All loads once went to the small model, and those of the large one
// were spread over the domains, so that none got enough for a group (Kivuko grown,
// quiet-1: 29 of 29 loads).
func TestLoadsCompleteAGroupOfTheNeededModel(t *testing.T) {
	const size = 8 // of the large model
	spec := engine()
	spec.Models[0].InstancesPerGroup, spec.Models[1].InstancesPerGroup = size, 2
	s := newSceneOf(t, spec)
	s.work = map[string]float64{large: 3, small: 4}
	s.add("d0", 8, large)
	for range 9 {
		s.add("d1", 1, small)
		s.add("d2", 1, small)
	}
	var models, domains []string
	s.fleet.SetHooks(fleet.Hooks{LoseAnswer: func(id string, order flamingodoor.InstanceOrder) bool {
		if order.Kind != flamingodoor.OrderKindStage {
			return false
		}
		models = append(models, order.ModelID)
		domains = append(domains, s.domainOf(id))
		return false
	}})
	s.run(200*time.Second, s.lead())
	assert.Assert(t, len(models) >= size, "%v", models)
	for i := range size {
		assert.Equal(t, models[i], large, "load %d", i)
		assert.Equal(t, domains[i], domains[0], "load %d", i)
	}
	assert.Assert(t, s.fleet.OpenGroups(large) > 1)
}

// domainOf is called under the fleet's lock.
func (s *scene) domainOf(id string) string {
	return s.roster.View().Entries[id].FabricDomain
}
