// Package formation decides which replica groups to form from the instances of
// each fabric domain that are free or will soon be. It weighs the demand for each model against
// the groups that already serve it.
package formation

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// maxUtilisation is the fraction of a group's time that can be used while
	// requests are still answered in time.
	maxUtilisation = 0.8
	// sharpness is the exponent of the smooth minimum of demand and capacity that
	// ServedShare computes. Higher values follow the exact minimum more closely.
	sharpness = 4
	// fairnessWeight weighs the worst-served model against the sum of all models,
	// because operators judge the worst-served kind of request by itself.
	fairnessWeight = 0.6
	// paybackTime is the time in which a group is expected to pay back its
	// formation. Groups are lost at about this interval.
	paybackTime = 30 * time.Second
	// minDemand is the minimum demand assumed for a model, in engine seconds per
	// second, so that a model without requests still has value.
	minDemand = 0.05
	// minGroupGain is the minimum value, as returned by Value, that one more
	// group must add. Instances that would add less stay free for a model that
	// is short of groups.
	minGroupGain = 0.08
	// modelChangeCost is the value charged for each member that changes its
	// model. An instance that keeps its model can rejoin a group of that model at
	// once, or join one of another model from its staged weights; the cost is the
	// value of this choice.
	modelChangeCost = 0.02
	// valueTolerance is the minimum difference at which two values count as
	// different.
	valueTolerance = 1e-6
	// maxRounds limits the rounds of improving a plan, which usually converges in
	// two or three.
	maxRounds = 8
)

// Model holds the demand for a model and the groups that serve it.
type Model struct {
	ID     string
	Size   int     // instances in a group
	Demand float64 // engine seconds per second
	Groups float64 // serving or forming groups; a group that forms slowly counts as a fraction
}

// Candidate is an instance that may join a group.
type Candidate struct {
	ID        string
	LastModel string                   // model of its last group, which it can rejoin without loading weights
	Delays    map[string]time.Duration // time to join a group, by model; a model that it cannot join soon is absent
	Busy      bool                     // it still has to leave its group; Delays contain the time until then
}

// Group is a group to form. Its first member is the head.
type Group struct {
	ModelID      string
	Members      []string
	Delay        time.Duration // until the slowest member is ready
	ModelChanges int           // members whose last group had another model
	Waits        bool          // a member is busy: the group can be formed only later
}

// ServedShare returns the fraction of the demand that a number of groups can
// answer in time. Requests beyond their capacity are refused, so that an
// overloaded group still serves as many as it has capacity for.
func ServedShare(demand, groups float64) float64 {
	if groups <= 0 {
		return 0
	}
	capacityRatio := maxUtilisation * groups / max(demand, minDemand)
	return capacityRatio / math.Pow(1+math.Pow(capacityRatio, sharpness), 1.0/sharpness)
}

// Value returns the value of the models' groups, in engine seconds per second:
// the total demand served, plus a weighted term for the worst-served model.
func Value(models []Model) float64 {
	sum, total, worst := 0.0, 0.0, 1.0
	for _, model := range models {
		demand := max(model.Demand, minDemand)
		served := ServedShare(demand, model.Groups)
		sum += demand * served
		total += demand
		worst = min(worst, served)
	}
	return sum + fairnessWeight*total*worst
}

// Gain returns the value that one more group of a model adds.
func Gain(models []Model, modelID string) float64 {
	more := slices.Clone(models)
	for i := range more {
		if more[i].ID == modelID {
			more[i].Groups++
		}
	}
	return Value(more) - Value(models)
}

// Worthwhile reports whether one more group of a model adds enough value to be
// formed.
func Worthwhile(models []Model, modelID string) bool {
	return Gain(models, modelID) > minGroupGain
}

// Plan returns the groups to form in each domain. It first chooses the best
// split of one domain after the other, and then improves each choice given the
// others until no domain gains any more or maxRounds is reached.
func Plan(domains [][]Candidate, models []Model) [][]Group {
	options := make([][][]Group, len(domains))
	chosen := make([]int, len(domains))
	for i, domain := range domains {
		options[i] = enumerateSplits(domain, models)
	}
	chooseInitial(options, chosen, models)
	for range maxRounds {
		if !improveChoices(options, chosen, models) {
			break
		}
	}
	plan := make([][]Group, len(domains))
	for i := range domains {
		plan[i] = options[i][chosen[i]]
	}
	return plan
}

// chooseInitial chooses for each domain the split with the highest coverage.
// Fairness is left out here, since one domain alone cannot serve all models.
func chooseInitial(options [][][]Group, chosen []int, models []Model) {
	state := slices.Clone(models)
	for i := range options {
		best, bestValue := 0, math.Inf(-1)
		for j, groups := range options[i] {
			if value := coverage(WithGroups(state, groups)); value > bestValue+valueTolerance {
				best, bestValue = j, value
			}
		}
		chosen[i] = best
		state = WithGroups(state, options[i][best])
	}
}

// improveChoices replaces the choice of each domain by the best one given the
// others, and reports whether any choice changed.
func improveChoices(options [][][]Group, chosen []int, models []Model) bool {
	improved := false
	for i := range options {
		others := slices.Clone(models)
		for j := range options {
			if j != i {
				others = WithGroups(others, options[j][chosen[j]])
			}
		}
		bestValue := netValue(others, options[i][chosen[i]])
		for j, groups := range options[i] {
			if value := netValue(others, groups); value > bestValue+valueTolerance {
				chosen[i], bestValue, improved = j, value, true
			}
		}
	}
	return improved
}

// netValue returns the value with additional groups, less the minimum gain and
// the cost of model changes for each of them.
func netValue(models []Model, groups []Group) float64 {
	value := Value(WithGroups(models, groups))
	for _, group := range groups {
		value -= minGroupGain + modelChangeCost*float64(group.ModelChanges)
	}
	return value
}

// coverage returns the sum of the demand of all models, weighted by the
// logarithm of one plus their numbers of groups.
func coverage(models []Model) float64 {
	sum := 0.0
	for _, model := range models {
		// With the logarithm, a group is better than none at any demand.
		sum += max(model.Demand, minDemand) * math.Log1p(model.Groups)
	}
	return sum
}

// WithGroups returns the models with the groups added. A group counts for less
// the longer it takes to form.
func WithGroups(models []Model, groups []Group) []Model {
	added := slices.Clone(models)
	for _, group := range groups {
		for i := range added {
			if added[i].ID == group.ModelID {
				added[i].Groups += max(0, 1-group.Delay.Seconds()/paybackTime.Seconds())
			}
		}
	}
	return added
}

// enumerateSplits returns all ways to split the candidates of a domain into
// groups.
func enumerateSplits(candidates []Candidate, models []Model) [][]Group {
	search := &search{models: models, counts: make([]int, len(models)), candidates: candidates}
	search.visit(0, len(candidates))
	return search.options
}

// search collects the possible splits of the candidates of one domain.
type search struct {
	models     []Model
	candidates []Candidate
	counts     []int // groups of each model in the current split
	options    [][]Group
}

// visit tries every number of groups for the models from index on, with the
// given number of free candidates.
func (s *search) visit(index, free int) {
	if index == len(s.models) {
		if groups, ok := s.assign(); ok {
			s.options = append(s.options, groups)
		}
		return
	}
	size := max(1, s.models[index].Size)
	for count := 0; count*size <= free; count++ {
		s.counts[index] = count
		s.visit(index+1, free-count*size)
	}
	s.counts[index] = 0
}

// assign picks the members of all groups of the current split. It reports
// whether there are enough candidates for each group.
func (s *search) assign() ([]Group, bool) {
	taken := make(map[string]bool, len(s.candidates))
	var groups []Group
	for i, model := range s.models {
		for range s.counts[i] {
			group, ok := s.pickMembers(model, taken)
			if !ok {
				return nil, false
			}
			groups = append(groups, group)
		}
	}
	return groups, true
}

// pickMembers returns a group of the candidates that are ready soonest and not
// taken, and marks them as taken. Among candidates that are ready equally soon,
// it prefers those that can join groups of the fewest models.
func (s *search) pickMembers(model Model, taken map[string]bool) (Group, bool) {
	var able []Candidate
	for _, candidate := range s.candidates {
		if _, ok := candidate.Delays[model.ID]; ok && !taken[candidate.ID] {
			able = append(able, candidate)
		}
	}
	if len(able) < model.Size {
		return Group{}, false
	}
	slices.SortStableFunc(able, func(a, b Candidate) int {
		return cmp.Or(
			cmp.Compare(a.Delays[model.ID], b.Delays[model.ID]),
			cmp.Compare(len(a.Delays), len(b.Delays)),
			cmp.Compare(a.ID, b.ID),
		)
	})
	group := Group{ModelID: model.ID}
	for _, member := range able[:model.Size] {
		taken[member.ID] = true
		group.Members = append(group.Members, member.ID)
		group.Delay = max(group.Delay, member.Delays[model.ID])
		group.Waits = group.Waits || member.Busy
		if member.LastModel != "" && member.LastModel != model.ID {
			group.ModelChanges++
		}
	}
	return group, true
}
