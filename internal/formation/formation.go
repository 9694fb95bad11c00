// Package formation decides which replica groups to form of the free
// instances of the fabric domains.
package formation

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// usefulLoad is the part of a group's time that answers in time can fill.
	usefulLoad = 0.8
	// sharpness is how closely the part that is served follows the smaller of
	// what is asked and what fits.
	sharpness = 4
	// fairness weighs the worst-served model against the sum of all: operators
	// judge the worst-served kind of request by itself.
	fairness = 0.6
	// horizon is the time over which a group is expected to pay back: groups
	// are lost about as often.
	horizon = 30 * time.Second
	// leastWork keeps a model without requests from having no value.
	leastWork = 0.05
	// worthwhile is the least value of one more group. Instances that would add
	// less stay free for a model that is short of groups.
	worthwhile = 0.08
	// changeCost is the value of an instance that can still join its last model
	// at once and another from its staged weights.
	changeCost = 0.02
	// rounding is the least difference of two values.
	rounding = 1e-6
	// maxRounds bounds the improvement of a plan; it settles in two or three.
	maxRounds = 8
)

// Model is what the choice needs to know of a model.
type Model struct {
	ID     string
	Size   int
	Demand float64 // engine seconds asked a second
	Groups float64 // that serve or form now
}

// Candidate is a free instance.
type Candidate struct {
	ID        string
	LastModel string                   // model of its last group, which it joins again without weights
	Delays    map[string]time.Duration // until it is ready, by model; absent if not soon
}

// Group is a group to form, the head first.
type Group struct {
	ModelID      string
	Members      []string
	Delay        time.Duration
	ModelChanges int // members whose last group had another model
}

// ServedShare returns the part of the work that so many groups answer in time. What
// does not fit is refused, so that an overloaded group still serves its share.
func ServedShare(work, groups float64) float64 {
	if groups <= 0 {
		return 0
	}
	fits := usefulLoad * groups / max(work, leastWork)
	return fits / math.Pow(1+math.Pow(fits, sharpness), 1.0/sharpness)
}

// Value returns the worth of a number of groups of each model.
func Value(models []Model) float64 {
	sum, total, worst := 0.0, 0.0, 1.0
	for _, model := range models {
		work := max(model.Demand, leastWork)
		served := ServedShare(work, model.Groups)
		sum += work * served
		total += work
		worst = min(worst, served)
	}
	return sum + fairness*total*worst
}

// Gain is the value of one more group of a model.
func Gain(models []Model, modelID string) float64 {
	more := slices.Clone(models)
	for i := range more {
		if more[i].ID == modelID {
			more[i].Groups++
		}
	}
	return Value(more) - Value(models)
}

// Worthwhile reports whether one more group of a model would be formed.
func Worthwhile(models []Model, modelID string) bool {
	return Gain(models, modelID) > worthwhile
}

// Plan returns the groups to form in each domain. It first takes the best
// choice of one domain after the other, and then improves each against the
// others until nothing is gained.
func Plan(domains [][]Candidate, models []Model) [][]Group {
	options := make([][][]Group, len(domains))
	chosen := make([]int, len(domains))
	for i, domain := range domains {
		options[i] = enumerate(domain, models)
	}
	spread(options, chosen, models)
	for range maxRounds {
		if !improve(options, chosen, models) {
			break
		}
	}
	plan := make([][]Group, len(domains))
	for i := range domains {
		plan[i] = options[i][chosen[i]]
	}
	return plan
}

// spread starts with the choices that add the most work, without fairness:
// one domain alone cannot serve all models.
func spread(options [][][]Group, chosen []int, models []Model) {
	state := slices.Clone(models)
	for i := range options {
		best, bestValue := 0, math.Inf(-1)
		for j, groups := range options[i] {
			if value := sumServed(WithGroups(state, groups)); value > bestValue+rounding {
				best, bestValue = j, value
			}
		}
		chosen[i] = best
		state = WithGroups(state, options[i][best])
	}
}

func improve(options [][][]Group, chosen []int, models []Model) bool {
	improved := false
	for i := range options {
		others := slices.Clone(models)
		for j := range options {
			if j != i {
				others = WithGroups(others, options[j][chosen[j]])
			}
		}
		bestValue := net(others, options[i][chosen[i]])
		for j, groups := range options[i] {
			if value := net(others, groups); value > bestValue+rounding {
				chosen[i], bestValue, improved = j, value, true
			}
		}
	}
	return improved
}

// net is the value with further groups, less what each has to add at least.
func net(models []Model, groups []Group) float64 {
	value := Value(WithGroups(models, groups))
	for _, group := range groups {
		value -= worthwhile + changeCost*float64(group.ModelChanges)
	}
	return value
}

func sumServed(models []Model) float64 {
	sum := 0.0
	for _, model := range models {
		// The logarithm prefers a group to none whatever the load.
		sum += max(model.Demand, leastWork) * math.Log1p(model.Groups)
	}
	return sum
}

// WithGroups adds groups to the models; one that takes long counts for less.
func WithGroups(models []Model, groups []Group) []Model {
	added := slices.Clone(models)
	for _, group := range groups {
		for i := range added {
			if added[i].ID == group.ModelID {
				added[i].Groups += max(0, 1-group.Delay.Seconds()/horizon.Seconds())
			}
		}
	}
	return added
}

// enumerate lists the ways to split a domain into groups.
func enumerate(candidates []Candidate, models []Model) [][]Group {
	search := &search{models: models, counts: make([]int, len(models)), candidates: candidates}
	search.visit(0, len(candidates))
	return search.options
}

type search struct {
	models     []Model
	candidates []Candidate
	counts     []int
	options    [][]Group
}

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

// assign gives each group the members that are ready soonest.
func (s *search) assign() ([]Group, bool) {
	taken := make(map[string]bool, len(s.candidates))
	var groups []Group
	for i, model := range s.models {
		for range s.counts[i] {
			group, ok := s.pick(model, taken)
			if !ok {
				return nil, false
			}
			groups = append(groups, group)
		}
	}
	return groups, true
}

func (s *search) pick(model Model, taken map[string]bool) (Group, bool) {
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
		if member.LastModel != "" && member.LastModel != model.ID {
			group.ModelChanges++
		}
	}
	return group, true
}
