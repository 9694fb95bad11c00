// Package formation decides which replica groups to form of the free
// instances of a fabric domain.
package formation

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// sharpness shapes the value of groups against the work asked for: a model
	// with as many groups as its work fills serves four fifths of it in time,
	// one with twice as many nearly all.
	sharpness = 1.6
	// horizon is the time over which a group is expected to pay back: groups
	// are lost about as often.
	horizon = 30 * time.Second
	// leastWork keeps a model without requests from having no value.
	leastWork = 0.05
	// worthwhile is the least value of forming a group.
	worthwhile = 1e-6
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

// Value returns the worth of having so many groups for the work asked for.
func Value(work, groups float64) float64 {
	work = max(work, leastWork)
	return work * (1 - math.Exp(-sharpness*groups/work))
}

// Choose returns the groups of the free instances of one domain that add the
// most value.
func Choose(candidates []Candidate, models []Model) []Group {
	search := &search{models: models, counts: make([]int, len(models)), candidates: candidates}
	search.visit(0, len(candidates))
	return search.best
}

// search tries every number of groups of each model.
type search struct {
	models     []Model
	candidates []Candidate
	counts     []int
	best       []Group
	bestValue  float64
}

func (s *search) visit(index, free int) {
	if index == len(s.models) {
		s.evaluate()
		return
	}
	size := max(1, s.models[index].Size)
	for count := 0; count*size <= free; count++ {
		s.counts[index] = count
		s.visit(index+1, free-count*size)
	}
	s.counts[index] = 0
}

func (s *search) evaluate() {
	groups, ok := s.assign()
	if !ok {
		return
	}
	value := 0.0
	for i, model := range s.models {
		weight := 0.0
		for _, group := range groups {
			if group.ModelID == model.ID {
				weight += max(0, 1-group.Delay.Seconds()/horizon.Seconds())
			}
		}
		value += Value(s.models[i].Work, model.Groups+weight) - Value(s.models[i].Work, model.Groups)
	}
	if value > s.bestValue+worthwhile {
		s.best, s.bestValue = groups, value
	}
}

// assign gives each group the members that are ready soonest, and leaves
// those that other models need.
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
