package placement

import "cmp"

// chooseFirst returns the first fabric domain with enough free hosts.
func chooseFirst(state *state, want shape) *domain {
	for _, domain := range state.domains {
		if len(domain.fitting(want.perHost)) >= want.hosts {
			return domain
		}
	}
	return nil
}

// chooseRobust returns the fabric domain whose use costs the fewest whole
// groups, now and after the next host failure; among equals the one with the
// fewest hosts left over.
func chooseRobust(state *state, want shape) *domain {
	var best *domain
	var bestScore score
	for _, domain := range state.domains {
		if len(domain.fitting(want.perHost)) < want.hosts {
			continue
		}
		score := scoreOf(state.shapes, domain, want)
		if best == nil || score.compare(bestScore) < 0 {
			best, bestScore = domain, score
		}
	}
	return best
}

// score orders the domains for a group; lower is better.
type score struct {
	lost     int // accelerators of whole groups no longer possible
	risk     int // the same after the next host failure, summed over hosts
	leftOver int // free hosts
}

func (s score) compare(other score) int {
	return cmp.Or(
		cmp.Compare(s.lost, other.lost),
		cmp.Compare(s.risk, other.risk),
		cmp.Compare(s.leftOver, other.leftOver),
	)
}

func scoreOf(shapes []shape, before *domain, want shape) score {
	after := &domain{free: append(before.free[:0:0], before.free...), groups: append(before.groups[:0:0], before.groups...)}
	after.take(want.hosts, want.perHost)
	after.groups = append(after.groups, want)
	return score{
		lost:     possible(shapes, before, 0) - possible(shapes, after, 0),
		risk:     risk(shapes, after) - risk(shapes, before),
		leftOver: len(after.free),
	}
}

// possible returns the accelerators of the whole groups that fit on the free
// hosts without some of them, summed over the shapes that plans ask for.
func possible(shapes []shape, domain *domain, without int) int {
	total := 0
	for _, shape := range shapes {
		hosts := max(0, len(domain.fitting(shape.perHost))-without)
		total += hosts / shape.hosts * shape.accelerators()
	}
	return total
}

// runningWeight makes the loss of a running group count more than the loss of
// room for one, because the running group is down until it has formed again.
const runningWeight = 2

// risk returns the accelerators lost by the failure of each host in turn: a
// spare takes the place of a member, and a group without a spare is lost.
func risk(shapes []shape, domain *domain) int {
	spareLost := possible(shapes, domain, 0) - possible(shapes, domain, 1)
	total := len(domain.free) * spareLost
	for _, group := range domain.groups {
		if len(domain.fitting(group.perHost)) > 0 {
			total += group.hosts * spareLost
			continue
		}
		total += group.hosts * group.accelerators() * len(shapes) * runningWeight
	}
	return total
}
