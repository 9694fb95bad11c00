package placement

import (
	"cmp"
	"slices"

	"flamingodoor.example/flamingodoor"
)

// relocation moves a serving group to another fabric domain.
type relocation struct {
	plan  *planState
	group flamingodoor.Group
	to    *domain
}

// relocate makes room for one missing group by moving smaller groups out of a
// fabric domain. It waits until no host is in quarantine, since those hosts
// may already be the room. A move costs the moved group one load; without it
// a missing large group waits until enough hosts of one domain are free.
func (s *state) relocate() {
	if s.quarantined || slices.ContainsFunc(s.actions, frees) {
		return
	}
	for _, plan := range s.candidates() {
		moves := s.cheapestMoves(plan.shape)
		for _, move := range moves {
			s.dissolve(move.group, ReasonRelocated)
			s.formIn(move.plan, move.to, move.plan.club.dissolved)
		}
		if len(moves) > 0 {
			return
		}
	}
}

func frees(action Action) bool {
	_, forms := action.(Form)
	return !forms
}

// cheapestMoves returns the moves with the fewest accelerators that make room
// for the shape, or none.
func (s *state) cheapestMoves(want shape) []relocation {
	var best []relocation
	cost := want.accelerators()
	for _, domain := range s.domains {
		moves := s.movesOutOf(domain, want)
		total := 0
		for _, move := range moves {
			total += move.plan.shape.accelerators()
		}
		// A move of as many accelerators as it makes room for gains nothing.
		if len(moves) > 0 && total < cost {
			best, cost = moves, total
		}
	}
	return best
}

// movesOutOf returns moves that leave enough free hosts in the domain, or
// none.
func (s *state) movesOutOf(from *domain, want shape) []relocation {
	movable := s.movable(from, want)
	reserved := map[string]int{}
	var moves []relocation
	for needed := want.hosts - len(from.fitting(want.perHost)); needed > 0; {
		if len(movable) == 0 {
			return nil
		}
		// The smallest group that suffices, else the largest.
		next := slices.IndexFunc(movable, func(move relocation) bool { return move.plan.shape.hosts >= needed })
		if next < 0 {
			next = len(movable) - 1
		}
		move := movable[next]
		movable = slices.Delete(movable, next, next+1)
		if move.to = s.roomElsewhere(from, move.plan.shape, reserved); move.to == nil {
			continue
		}
		reserved[move.to.id] += move.plan.shape.hosts
		needed -= move.plan.shape.hosts
		moves = append(moves, move)
	}
	return moves
}

// movable returns the serving groups of a domain that are smaller than the
// shape and whose hosts suffice for it, smallest first.
func (s *state) movable(from *domain, want shape) []relocation {
	var list []relocation
	for _, plan := range s.plans {
		for _, group := range plan.groups {
			if group.FabricDomain == from.id && plan.shape.accelerators() < want.accelerators() &&
				s.input.Serving[group.ID] && s.dispensable(plan, group) && s.suffice(group, want.perHost) {
				list = append(list, relocation{plan: plan, group: group})
			}
		}
	}
	slices.SortStableFunc(list, func(a, b relocation) int {
		return cmp.Or(cmp.Compare(a.plan.shape.hosts, b.plan.shape.hosts), older(a.group, b.group))
	})
	return list
}

// dispensable reports whether the requests of a group can continue while it
// moves: it has none, or another group of the plan serves.
func (s *state) dispensable(plan *planState, group flamingodoor.Group) bool {
	return s.inFlight(group) == 0 || slices.ContainsFunc(plan.groups, func(other flamingodoor.Group) bool {
		return other.ID != group.ID && s.input.Serving[other.ID]
	})
}

// suffice reports whether every host of the group is usable and has enough
// accelerators.
func (s *state) suffice(group flamingodoor.Group, perHost int) bool {
	return all(group.EndpointIDs, func(id string) bool {
		endpoint, known := s.input.Configuration.Endpoint(id)
		return known && s.usable(endpoint) && endpoint.Accelerators >= perHost
	})
}

// roomElsewhere returns the domain with the fewest free hosts that still fits
// the shape beside the hosts reserved for other moves.
func (s *state) roomElsewhere(from *domain, want shape, reserved map[string]int) *domain {
	var best *domain
	least := 0
	for _, domain := range s.domains {
		room := len(domain.fitting(want.perHost)) - reserved[domain.id]
		if domain != from && room >= want.hosts && (best == nil || room < least) {
			best, least = domain, room
		}
	}
	return best
}
