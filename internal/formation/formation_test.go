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

// models returns both models with their demand, in engine seconds per second,
// and their numbers of groups.
func models(largeDemand, largeGroups, smallDemand, smallGroups float64) []formation.Model {
	return []formation.Model{
		{ID: large, Size: 4, Demand: largeDemand, Groups: largeGroups},
		{ID: small, Size: 3, Demand: smallDemand, Groups: smallGroups},
	}
}

// domain returns candidates that can soon join groups of both models.
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

// countGroups counts the planned groups by model.
func countGroups(plan [][]formation.Group) map[string]int {
	counts := make(map[string]int)
	for _, groups := range plan {
		for _, group := range groups {
			counts[group.ModelID]++
		}
	}
	return counts
}

// Checks that a starting fleet gets groups of all models in proportion to their
// demand. Guards against filling one domain after the other, which gives nearly
// all groups to one model.
func TestNewFleetSplitsDomainsByDemand(t *testing.T) {
	domains := make([][]formation.Candidate, 0, 6)
	for i := range 6 {
		domains = append(domains, domain(fmt.Sprint("d", i), 9))
	}
	counts := countGroups(formation.Plan(domains, models(3.8, 0, 3.9, 0)))
	assert.Assert(t, counts[large] >= 6 && counts[small] >= 6, "%v", counts)
	used := counts[large]*4 + counts[small]*3
	assert.Assert(t, used >= 48, "only %d of 54 instances are used: %v", used, counts)
}

// Checks that the remaining instances go to the worst-served model when several
// groups are lost within the time of one weight load.
func TestSurvivorsGoToTheWorstServedModel(t *testing.T) {
	counts := countGroups(formation.Plan([][]formation.Candidate{domain("d", 4)}, models(5, 2, 4, 8)))
	assert.DeepEqual(t, counts, map[string]int{large: 1})
	counts = countGroups(formation.Plan([][]formation.Candidate{domain("d", 4)}, models(5, 8, 4, 1)))
	assert.DeepEqual(t, counts, map[string]int{small: 1})
}

// Checks that three survivors of a group of four stay free for a fourth member
// if the model with groups of three is already served well.
func TestSurvivorsWaitIfTheOtherModelIsServed(t *testing.T) {
	plan := formation.Plan([][]formation.Candidate{domain("d", 3)}, models(5, 3, 2, 8))
	assert.Equal(t, len(plan[0]), 0)
}

// Checks that an additional group increases the served share of a model that
// has far too few groups.
func TestGroupsCountUnderOverload(t *testing.T) {
	gain := formation.ServedShare(8, 3) - formation.ServedShare(8, 2)
	assert.Assert(t, gain > 0.08, "gain %f", gain)
	assert.Assert(t, formation.ServedShare(4, 8) > 0.95)
	assert.Equal(t, formation.ServedShare(4, 0), 0.0)
}

// Checks that the instances that are ready soonest form the group, and that an
// instance that would first load weights is left out.
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

// Checks that, if both models gain alike, instances whose last group had the
// model are chosen before those that would change theirs.
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
