package placement

import (
	"cmp"
	"slices"

	"flamingodoor.example/flamingodoor"
)

// relocation moves a serving group to another fabric domain.
type relocation struct {
	plan   *planState
	group  flamingodoor.Group
	target *domain
}

// relocate frees hosts for one missing group by moving smaller groups out of a
// fabric domain. It waits until no host is in quarantine, because those hosts
// may already suffice. Each moved group has to load its weights once more;
// without a move, a large group would wait until enough hosts of one domain
// happen to be free.
func (s *state) relocate() {
	if s.quarantined || slices.ContainsFunc(s.actions, freesHosts) {
		return
	}
	for _, plan := range s.candidatePlans() {
		moves := s.cheapestMoves(plan.shape)
		for _, move := range moves {
			s.dissolve(move.group, ReasonRelocated)
			s.formGroup(move.plan, move.target, move.plan.club.dissolved)
		}
		if len(moves) > 0 {
			return
		}
	}
}

// freesHosts reports whether the action frees hosts: it is a Replace or a
// Dissolve.
func freesHosts(action Action) bool {
	_, isForm := action.(Form)
	return !isForm
}

// cheapestMoves returns the moves of the fewest accelerators that free hosts for
// a group of the shape, or none.
func (s *state) cheapestMoves(want shape) []relocation {
	var best []relocation
	cost := want.accelerators()
	for _, domain := range s.domains {
		moves := s.movesOutOf(domain, want)
		total := 0
		for _, move := range moves {
			total += move.plan.shape.accelerators()
		}
		// Moving as many accelerators as the missing group has gains nothing.
		if len(moves) > 0 && total < cost {
			best, cost = moves, total
		}
	}
	return best
}

// movesOutOf returns moves that leave enough free hosts in the domain for a
// group of the shape, or none.
func (s *state) movesOutOf(from *domain, want shape) []relocation {
	movable := s.movableGroups(from, want)
	reserved := map[string]int{}
	var moves []relocation
	for needed := want.hosts - len(from.fitting(want.perHost)); needed > 0; {
		if len(movable) == 0 {
			return nil
		}
		// Prefer the smallest group that suffices, else take the largest.
		next := slices.IndexFunc(movable, func(move relocation) bool { return move.plan.shape.hosts >= needed })
		if next < 0 {
			next = len(movable) - 1
		}
		move := movable[next]
		movable = slices.Delete(movable, next, next+1)
		if move.target = s.bestFitElsewhere(from, move.plan.shape, reserved); move.target == nil {
			continue
		}
		reserved[move.target.id] += move.plan.shape.hosts
		needed -= move.plan.shape.hosts
		moves = append(moves, move)
	}
	return moves
}

// movableGroups returns the serving groups of a domain that use fewer
// accelerators than the shape and whose hosts suffice for it, smallest first.
func (s *state) movableGroups(from *domain, want shape) []relocation {
	var list []relocation
	for _, plan := range s.plans {
		for _, group := range plan.groups {
			if group.FabricDomain == from.id && plan.shape.accelerators() < want.accelerators() &&
				s.input.Serving[group.ID] && s.interruptible(plan, group) && s.hostsSuffice(group, want.perHost) {
				list = append(list, relocation{plan: plan, group: group})
			}
		}
	}
	slices.SortStableFunc(list, func(a, b relocation) int {
		return cmp.Or(cmp.Compare(a.plan.shape.hosts, b.plan.shape.hosts), compareAge(a.group, b.group))
	})
	return list
}

// interruptible reports whether a group can stop serving while it moves: it runs
// no requests, or another group of the plan serves.
func (s *state) interruptible(plan *planState, group flamingodoor.Group) bool {
	return s.inFlight(group) == 0 || slices.ContainsFunc(plan.groups, func(other flamingodoor.Group) bool {
		return other.ID != group.ID && s.input.Serving[other.ID]
	})
}

// hostsSuffice reports whether every host of the group is usable and has at
// least perHost accelerators.
func (s *state) hostsSuffice(group flamingodoor.Group, perHost int) bool {
	return all(group.EndpointIDs, func(id string) bool {
		endpoint, known := s.input.Configuration.Endpoint(id)
		return known && s.usable(endpoint) && endpoint.Accelerators >= perHost
	})
}

// bestFitElsewhere returns, of the other domains that fit the shape, the one
// with the fewest free hosts, not counting the hosts reserved for other moves.
// It returns nil if none fits.
func (s *state) bestFitElsewhere(from *domain, want shape, reserved map[string]int) *domain {
	var best *domain
	fewestFree := 0
	for _, domain := range s.domains {
		free := len(domain.fitting(want.perHost)) - reserved[domain.id]
		if domain != from && free >= want.hosts && (best == nil || free < fewestFree) {
			best, fewestFree = domain, free
		}
	}
	return best
}
