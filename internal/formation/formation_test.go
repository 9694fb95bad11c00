package formation_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor/internal/formation"
)

const (
	large = "large" // groups of four
	small = "small" // groups of three
)

func models(largeWork, largeGroups, smallWork, smallGroups float64) []formation.Model {
	return []formation.Model{
		{ID: large, Size: 4, Demand: largeWork, Groups: largeGroups},
		{ID: small, Size: 3, Demand: smallWork, Groups: smallGroups},
	}
}

// domain returns instances that are ready for both models.
func domain(name string, size int) []formation.Candidate {
	candidates := make([]formation.Candidate, 0, size)
	for i := range size {
		candidates = append(candidates, formation.Candidate{
			ID:     fmt.Sprintf("%s-%d", name, i),
			Delays: map[string]time.Duration{large: 1600 * time.Millisecond, small: 1100 * time.Millisecond},
		})
	}
	return candidates
}

func count(plan [][]formation.Group) map[string]int {
	counts := make(map[string]int)
	for _, groups := range plan {
		for _, group := range groups {
			counts[group.ModelID]++
		}
	}
	return counts
}

// A fleet that starts gets groups of all models in proportion to their work.
// Filling one domain after the other gave nearly all groups to one model.
func TestStartOfTheDaySplitsDomainsByWork(t *testing.T) {
	domains := make([][]formation.Candidate, 0, 6)
	for i := range 6 {
		domains = append(domains, domain(fmt.Sprint("d", i), 9))
	}
	counts := count(formation.Plan(domains, models(3.8, 0, 3.9, 0)))
	assert.Assert(t, counts[large] >= 6 && counts[small] >= 6, "%v", counts)
	used := counts[large]*4 + counts[small]*3
	assert.Assert(t, used >= 48, "only %d of 54 instances are used: %v", used, counts)
}

// Several groups lost within one load time: what is left goes to the model
// that is worst served.
func TestSurvivorsGoToTheWorstServedModel(t *testing.T) {
	counts := count(formation.Plan([][]formation.Candidate{domain("d", 4)}, models(5, 2, 4, 8)))
	assert.DeepEqual(t, counts, map[string]int{large: 1})
	counts = count(formation.Plan([][]formation.Candidate{domain("d", 4)}, models(5, 8, 4, 1)))
	assert.DeepEqual(t, counts, map[string]int{small: 1})
}

// Three survivors of a group of four stay free for a fourth, if the model that
// three could serve has enough groups.
func TestSurvivorsWaitIfTheOtherModelIsServed(t *testing.T) {
	plan := formation.Plan([][]formation.Candidate{domain("d", 3)}, models(5, 3, 2, 8))
	assert.Equal(t, len(plan[0]), 0)
}

// Overload: a group added to a model with far too few still counts.
func TestGroupsCountUnderOverload(t *testing.T) {
	gain := formation.ServedShare(8, 3) - formation.ServedShare(8, 2)
	assert.Assert(t, gain > 0.08, "gain %f", gain)
	assert.Assert(t, formation.ServedShare(4, 8) > 0.95)
	assert.Equal(t, formation.ServedShare(4, 0), 0.0)
}

// Members that are ready at once form the group; those that load weights for
// long are left.
func TestReadyMembersComeFirst(t *testing.T) {
	candidates := domain("d", 5)
	candidates[1].Delays = map[string]time.Duration{large: 200 * time.Millisecond}
	delete(candidates[0].Delays, large)
	plan := formation.Plan([][]formation.Candidate{candidates}, models(5, 0, 0, 5))
	assert.Equal(t, len(plan[0]), 1)
	group := plan[0][0]
	assert.Equal(t, group.ModelID, large)
	assert.Equal(t, group.Members[0], "d-1")
	for _, member := range group.Members {
		assert.Assert(t, member != "d-0")
	}
}

// Instances whose last group had the model are taken before those that would
// give up theirs, if both models gain alike.
func TestModelsAreKept(t *testing.T) {
	candidates := domain("d", 3)
	for i := range candidates {
		candidates[i].LastModel = large
	}
	kept := domain("e", 3)
	for i := range kept {
		kept[i].LastModel = small
	}
	plan := formation.Plan([][]formation.Candidate{candidates, kept}, models(3, 4, 3, 2.4))
	assert.Assert(t, len(plan[1]) >= len(plan[0]), "%v", plan)
}
