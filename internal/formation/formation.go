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
	// kneeLoad is the load of a group at which half of its answers are late.
	kneeLoad = 0.95
	// steepness is how fast answers get late around that load.
	steepness = 4
	// fairness weighs the worst-served model against the sum of all: operators
	// judge the worst-served kind of request by itself.
	fairness = 0.6
	// horizon is the time over which a group is expected to pay back: groups
	// are lost about as often.
	horizon = 30 * time.Second
	// leastWork keeps a model without requests from having no value.
	leastWork = 0.05
	// worthwhile is the least value of a change.
	worthwhile = 1e-6
	// maxRounds bounds the improvement of a plan; it settles in two or three.
	maxRounds = 8
)

// Model is what the choice needs to know of a model.
type Model struct {
	ID     string
	Size   int
	Work   float64 // engine seconds asked a second
	Groups float64 // that serve or form now
}

// Candidate is a free instance.
type Candidate struct {
	ID     string
	Delays map[string]time.Duration // until it is ready, by model; absent if not soon
}

// Group is a group to form, the head first.
type Group struct {
	ModelID string
	Members []string
	Delay   time.Duration
}

// Served returns the part of the work that so many groups answer in time.
func Served(work, groups float64) float64 {
	if groups <= 0 {
		return 0
	}
	load := max(work, leastWork) / groups
	return 1 / (1 + math.Pow(load/kneeLoad, steepness))
}

// Value returns the worth of a number of groups of each model.
func Value(models []Model) float64 {
	sum, total, worst := 0.0, 0.0, 1.0
	for _, model := range models {
		work := max(model.Work, leastWork)
		served := Served(work, model.Groups)
		sum += work * served
		total += work
		worst = min(worst, served)
	}
	return sum + fairness*total*worst
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
			if value := sumServed(With(state, groups)); value > bestValue+worthwhile {
				best, bestValue = j, value
			}
		}
		chosen[i] = best
		state = With(state, options[i][best])
	}
}

func improve(options [][][]Group, chosen []int, models []Model) bool {
	improved := false
	for i := range options {
		others := slices.Clone(models)
		for j := range options {
			if j != i {
				others = With(others, options[j][chosen[j]])
			}
		}
		bestValue := Value(With(others, options[i][chosen[i]]))
		for j, groups := range options[i] {
			if value := Value(With(others, groups)); value > bestValue+worthwhile {
				chosen[i], bestValue, improved = j, value, true
			}
		}
	}
	return improved
}

func sumServed(models []Model) float64 {
	sum := 0.0
	for _, model := range models {
		// The logarithm prefers a group to none whatever the load.
		sum += max(model.Work, leastWork) * math.Log1p(model.Groups)
	}
	return sum
}

// With adds groups to the models; one that takes long counts for less.
func With(models []Model, groups []Group) []Model {
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
	}
	return group, true
}
