package placement

import (
	"cmp"
	"slices"
	"time"

	"flamingodoor.example/flamingodoor"
)

// dropUnplanned dissolves groups without a plan and the youngest groups of
// plans that have more than they ask for.
func (s *state) dropUnplanned() {
	for _, group := range s.input.Configuration.Groups() {
		if plan := s.planOf(group); plan == nil || !plan.known {
			s.dissolve(group, ReasonPlanRemoved)
		}
	}
	for _, plan := range s.plans {
		for len(plan.groups) > plan.plan.Groups {
			s.dissolve(plan.groups[len(plan.groups)-1], ReasonPlanLowered)
		}
	}
}

// dropOverShare dissolves the youngest groups of clubs whose share was
// lowered below their use.
func (s *state) dropOverShare() {
	for _, club := range s.clubs {
		for club.used > club.share {
			var groups []flamingodoor.Group
			for _, plan := range club.plans {
				groups = append(groups, plan.groups...)
			}
			if len(groups) == 0 {
				break
			}
			s.dissolve(slices.MaxFunc(groups, older), ReasonShareLowered)
		}
	}
}

// broken is a group with members that are to be replaced.
type broken struct {
	plan  *planState
	group flamingodoor.Group
	lost  []string
}

// repair replaces lost members by free hosts of the same fabric domain, and
// dissolves the groups for which too few are left. Groups that need the
// fewest spares go first, which keeps the most groups whole.
func (s *state) repair() {
	var found []broken
	for _, plan := range s.plans {
		for _, group := range plan.groups {
			if lost := s.lostMembers(group); len(lost) > 0 {
				found = append(found, broken{plan: plan, group: group, lost: lost})
			}
		}
	}
	slices.SortStableFunc(found, func(a, b broken) int {
		return cmp.Or(cmp.Compare(len(a.lost), len(b.lost)), older(a.group, b.group))
	})
	for _, entry := range found {
		domain := s.domainOf(entry.group.FabricDomain)
		if entry.plan.outdated(entry.group) || len(domain.fitting(entry.plan.shape.perHost)) < len(entry.lost) {
			s.dissolve(entry.group, ReasonNoSpare)
			continue
		}
		s.replace(entry, domain.take(len(entry.lost), entry.plan.shape.perHost))
	}
}

func (s *state) replace(entry broken, spares []string) {
	action := Replace{
		Group:       entry.group,
		Spares:      make(map[string]string, len(spares)),
		EndpointIDs: slices.Clone(entry.group.EndpointIDs),
	}
	for i, lost := range entry.lost {
		action.Spares[lost] = spares[i]
		action.EndpointIDs[slices.Index(action.EndpointIDs, lost)] = spares[i]
	}
	s.actions = append(s.actions, action)
	s.replaced[entry.group.ID] = true
}

// lostMembers returns the members to replace. A leaving member of a group
// that still runs requests stays, because the replacement would interrupt
// them. Once a group is replaced, no member may be leaving or out of service:
// the state machine refuses such a record.
func (s *state) lostMembers(group flamingodoor.Group) []string {
	drained := s.inFlight(group) == 0
	var lost, unfit []string
	for _, id := range group.EndpointIDs {
		endpoint, known := s.input.Configuration.Endpoint(id)
		seen := s.input.Endpoints[id]
		_, out := s.outSince(endpoint.DataCentre)
		dead := !seen.Live && s.now.Sub(seen.LostAt) >= s.policy.replaceAfter
		leaving := endpoint.Leaving || (seen.Live && seen.Leaving)
		if !known || dead || (seen.Live && leaving && drained) {
			lost = append(lost, id)
		}
		if !known || dead || leaving || out {
			unfit = append(unfit, id)
		}
	}
	if len(lost) == 0 {
		return nil
	}
	return unfit
}

// renewOutdated dissolves one group of a plan whose model or version changed,
// while all its other groups serve. If the plan lacks a group, it waits until
// no host is in quarantine, so that hosts freed by the last renewal are used
// first.
func (s *state) renewOutdated() {
	for _, plan := range s.plans {
		if plan.missing() > 0 && s.quarantined {
			continue
		}
		serving := func(group flamingodoor.Group) bool {
			return s.input.Serving[group.ID] && !s.replaced[group.ID]
		}
		first := slices.IndexFunc(plan.groups, plan.outdated)
		if first < 0 || !all(plan.groups, serving) {
			continue
		}
		s.dissolve(plan.groups[first], ReasonPlanChanged)
	}
}

func all[T any](list []T, holds func(T) bool) bool {
	return !slices.ContainsFunc(list, func(item T) bool { return !holds(item) })
}

// form creates missing groups, the club with the largest unmet fraction of
// its share first. Among equals the larger group goes first, because it fits
// in fewer places.
func (s *state) form() {
	for {
		candidates := s.candidates()
		placed := false
		for _, plan := range candidates {
			if domain := s.policy.choose(s, plan.shape); domain != nil {
				s.formIn(plan, domain, plan.club.dissolved)
				placed = true
				break
			}
		}
		if !placed {
			return
		}
	}
}

func (s *state) candidates() []*planState {
	var list []*planState
	for _, plan := range s.plans {
		club := plan.club
		if plan.known && plan.missing() > 0 && club.used+plan.shape.accelerators() <= club.share {
			list = append(list, plan)
		}
	}
	slices.SortStableFunc(list, func(a, b *planState) int {
		// Compares unmet/share by cross-multiplication.
		return cmp.Or(
			cmp.Compare(b.club.unmet()*a.club.share, a.club.unmet()*b.club.share),
			cmp.Compare(b.shape.accelerators(), a.shape.accelerators()),
			cmp.Compare(b.missing()*a.plan.Groups, a.missing()*b.plan.Groups),
		)
	})
	return list
}

func (s *state) formIn(plan *planState, domain *domain, after []string) {
	action := Form{
		PlanID:       plan.plan.ID,
		GroupID:      plan.groupID(),
		ModelID:      plan.plan.ModelID,
		Version:      plan.plan.Version,
		FabricDomain: domain.id,
		EndpointIDs:  domain.take(plan.shape.hosts, plan.shape.perHost),
		After:        slices.Clone(after),
	}
	s.actions = append(s.actions, action)
	domain.groups = append(domain.groups, plan.shape)
	plan.groups = append(plan.groups, flamingodoor.Group{
		ID: action.GroupID, PlanID: action.PlanID, ModelID: action.ModelID, Version: action.Version,
		FabricDomain: action.FabricDomain, EndpointIDs: action.EndpointIDs,
	})
	plan.club.used += plan.shape.accelerators()
}

// moveOut moves groups of data centres that are out of service to free hosts
// elsewhere. A group that has no place elsewhere is kept: dissolving it would
// gain nothing, and it serves at once when the data centre returns.
func (s *state) moveOut() {
	for _, plan := range s.plans {
		for _, group := range slices.Clone(plan.groups) {
			since, out := s.groupOutSince(group)
			if !out || (s.inFlight(group) > 0 && s.now.Sub(since) < s.policy.drainWait) {
				continue
			}
			domain := s.policy.choose(s, plan.shape)
			if domain == nil || plan.club.used-s.cost(group)+plan.shape.accelerators() > plan.club.share {
				continue
			}
			s.dissolve(group, ReasonDataCentreOut)
			s.formIn(plan, domain, plan.club.dissolved)
		}
	}
}

func (s *state) groupOutSince(group flamingodoor.Group) (time.Time, bool) {
	for _, id := range group.EndpointIDs {
		endpoint, _ := s.input.Configuration.Endpoint(id)
		if since, out := s.outSince(endpoint.DataCentre); out {
			return since, true
		}
	}
	return time.Time{}, false
}
