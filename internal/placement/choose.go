package placement

import "cmp"

// chooseFirstFit returns the first fabric domain with enough free hosts.
func chooseFirstFit(state *state, want shape) *domain {
	for _, domain := range state.domains {
		if len(domain.fitting(want.perHost)) >= want.hosts {
			return domain
		}
	}
	return nil
}

// chooseRobust returns the fabric domain in which forming the group costs the
// least capacity for further whole groups. Among equals it prefers the domain
// where the group adds the least to the accelerators that a host failure would
// cost, then the one with the fewest hosts left free.
func chooseRobust(state *state, want shape) *domain {
	var best *domain
	var bestScore score
	for _, domain := range state.domains {
		if len(domain.fitting(want.perHost)) < want.hosts {
			continue
		}
		score := newScore(state.shapes, domain, want)
		if best == nil || score.compare(bestScore) < 0 {
			best, bestScore = domain, score
		}
	}
	return best
}

// score ranks the domains for a group by its fields in turn; lower is better.
type score struct {
	lostCapacity int // accelerators of the whole groups that no longer fit
	addedRisk    int // increase in accelerators lost by one host failure, summed over hosts
	freeHosts    int // hosts left free
}

func (s score) compare(other score) int {
	return cmp.Or(
		cmp.Compare(s.lostCapacity, other.lostCapacity),
		cmp.Compare(s.addedRisk, other.addedRisk),
		cmp.Compare(s.freeHosts, other.freeHosts),
	)
}

// newScore returns the score of forming a group of the wanted shape in the
// domain.
func newScore(shapes []shape, before *domain, want shape) score {
	after := &domain{free: append(before.free[:0:0], before.free...), groups: append(before.groups[:0:0], before.groups...)}
	after.allocate(want.hosts, want.perHost)
	after.groups = append(after.groups, want)
	return score{
		lostCapacity: groupCapacity(shapes, before, 0) - groupCapacity(shapes, after, 0),
		addedRisk:    failureRisk(shapes, after) - failureRisk(shapes, before),
		freeHosts:    len(after.free),
	}
}

// groupCapacity returns the accelerators of the whole groups that fit on the
// free hosts after the given number of hosts is excluded, summed over the shapes
// of all plans.
func groupCapacity(shapes []shape, domain *domain, excluded int) int {
	total := 0
	for _, shape := range shapes {
		hosts := max(0, len(domain.fitting(shape.perHost))-excluded)
		total += hosts / shape.hosts * shape.accelerators()
	}
	return total
}

// runningGroupWeight is the factor by which the loss of a running group counts
// more than the loss of free hosts on which a group could form. A running group
// is down until it has formed again.
const runningGroupWeight = 2

// failureRisk returns the accelerators lost by the failure of each host in
// turn, added up. A spare host replaces a failed member; a group without a
// spare is lost. That loss counts once for each shape, because groupCapacity
// adds up all shapes.
func failureRisk(shapes []shape, domain *domain) int {
	lossPerHost := groupCapacity(shapes, domain, 0) - groupCapacity(shapes, domain, 1)
	total := len(domain.free) * lossPerHost
	for _, group := range domain.groups {
		if len(domain.fitting(group.perHost)) > 0 {
			total += group.hosts * lossPerHost
			continue
		}
		total += group.hosts * group.accelerators() * len(shapes) * runningGroupWeight
	}
	return total
}
