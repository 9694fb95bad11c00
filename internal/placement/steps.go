package placement

import (
	"cmp"
	"slices"
	"time"

	"flamingodoor.example/flamingodoor"
)

// dissolveUnplanned dissolves groups without a plan or a known model, and the
// youngest groups of plans that have more groups than planned.
func (s *state) dissolveUnplanned() {
	for _, group := range s.input.Configuration.Groups() {
		if plan := s.planOf(group); plan == nil || !plan.modelKnown {
			s.dissolve(group, ReasonPlanRemoved)
		}
	}
	for _, plan := range s.plans {
		for len(plan.groups) > plan.plan.Groups {
			s.dissolve(plan.groups[len(plan.groups)-1], ReasonPlanLowered)
		}
	}
}

// dissolveOverShare dissolves the youngest groups of clubs whose share was
// lowered below their use.
func (s *state) dissolveOverShare() {
	for _, club := range s.clubs {
		for club.used > club.share {
			var groups []flamingodoor.Group
			for _, plan := range club.plans {
				groups = append(groups, plan.groups...)
			}
			if len(groups) == 0 {
				break
			}
			s.dissolve(slices.MaxFunc(groups, compareAge), ReasonShareLowered)
		}
	}
}

// brokenGroup is a group with the members that must be replaced.
type brokenGroup struct {
	plan      *planState
	group     flamingodoor.Group
	toReplace []string
}

// repairGroups replaces lost members by free hosts of the same fabric domain.
// It dissolves a broken group that is outdated or for which too few hosts are
// left. Groups that need the fewest spares come first, so that the most groups
// survive.
func (s *state) repairGroups() {
	var broken []brokenGroup
	for _, plan := range s.plans {
		for _, group := range plan.groups {
			if lost := s.membersToReplace(group); len(lost) > 0 {
				broken = append(broken, brokenGroup{plan: plan, group: group, toReplace: lost})
			}
		}
	}
	slices.SortStableFunc(broken, func(a, b brokenGroup) int {
		return cmp.Or(cmp.Compare(len(a.toReplace), len(b.toReplace)), compareAge(a.group, b.group))
	})
	for _, entry := range broken {
		domain := s.domainOf(entry.group.FabricDomain)
		if entry.plan.outdated(entry.group) || len(domain.fitting(entry.plan.shape.perHost)) < len(entry.toReplace) {
			s.dissolve(entry.group, ReasonNoSpare)
			continue
		}
		s.replace(entry, domain.allocate(len(entry.toReplace), entry.plan.shape.perHost))
	}
}

// replace adds a Replace action. Each spare takes over the member index of the
// endpoint that it replaces.
func (s *state) replace(entry brokenGroup, spares []string) {
	action := Replace{
		Group:       entry.group,
		Spares:      make(map[string]string, len(spares)),
		EndpointIDs: slices.Clone(entry.group.EndpointIDs),
	}
	for i, lost := range entry.toReplace {
		action.Spares[lost] = spares[i]
		action.EndpointIDs[slices.Index(action.EndpointIDs, lost)] = spares[i]
	}
	s.actions = append(s.actions, action)
	s.replaced[entry.group.ID] = true
}

// membersToReplace returns the members to replace, or none if the group needs no
// repair. A group is repaired when a member is unknown, without health
// evidence for too long, or leaving. A leaving member of a group that still runs
// requests stays, because the replacement would interrupt them. When a group is
// repaired, all its leaving and out-of-service members are replaced too, because
// the state machine refuses a record that contains them.
func (s *state) membersToReplace(group flamingodoor.Group) []string {
	drained := s.inFlight(group) == 0
	var lost, unfit []string
	for _, id := range group.EndpointIDs {
		endpoint, known := s.input.Configuration.Endpoint(id)
		observed := s.input.Endpoints[id]
		_, out := s.outSince(endpoint.DataCentre)
		dead := !observed.Live && s.now.Sub(observed.LostAt) >= s.policy.replaceAfter
		leaving := endpoint.Leaving || (observed.Live && observed.Leaving)
		if !known || dead || (observed.Live && leaving && drained) {
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

// dissolveOutdated dissolves one outdated group of each plan whose groups all
// serve; the group then forms again with the new version. If the plan lacks a
// group, it waits until no host is in quarantine, so that the hosts of the
// group dissolved last are reused first.
func (s *state) dissolveOutdated() {
	for _, plan := range s.plans {
		if plan.missingGroups() > 0 && s.quarantined {
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

func all[T any](list []T, predicate func(T) bool) bool {
	return !slices.ContainsFunc(list, func(item T) bool { return !predicate(item) })
}

// formMissing forms missing groups, starting with the club with the largest unmet
// fraction of its share. Among equals the larger group comes first, because it
// fits in fewer domains, then the plan that lacks the larger fraction of its
// groups.
func (s *state) formMissing() {
	for {
		candidates := s.candidatePlans()
		formed := false
		for _, plan := range candidates {
			if domain := s.policy.choose(s, plan.shape); domain != nil {
				s.formGroup(plan, domain, plan.club.dissolved)
				formed = true
				break
			}
		}
		if !formed {
			return
		}
	}
}

// candidatePlans returns the plans that lack a group which still fits into
// their club's share, sorted by the order in which formMissing prefers them.
func (s *state) candidatePlans() []*planState {
	var list []*planState
	for _, plan := range s.plans {
		club := plan.club
		if plan.modelKnown && plan.missingGroups() > 0 && club.used+plan.shape.accelerators() <= club.share {
			list = append(list, plan)
		}
	}
	slices.SortStableFunc(list, func(a, b *planState) int {
		// Cross-multiplication compares the fractions without rounding.
		return cmp.Or(
			cmp.Compare(b.club.unmetDemand()*a.club.share, a.club.unmetDemand()*b.club.share),
			cmp.Compare(b.shape.accelerators(), a.shape.accelerators()),
			cmp.Compare(b.missingGroups()*a.plan.Groups, a.missingGroups()*b.plan.Groups),
		)
	})
	return list
}

// formGroup adds a Form action for one group of the plan in the domain; after
// lists the groups that must be dissolved first.
func (s *state) formGroup(plan *planState, domain *domain, after []string) {
	action := Form{
		PlanID:       plan.plan.ID,
		GroupID:      plan.groupID(),
		ModelID:      plan.plan.ModelID,
		Version:      plan.plan.Version,
		FabricDomain: domain.id,
		EndpointIDs:  domain.allocate(plan.shape.hosts, plan.shape.perHost),
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

// evacuateDataCentres moves groups of data centres that are out of service to
// free hosts elsewhere, once they have drained or the drain timeout has passed.
// A group that fits nowhere else is kept: dissolving it would gain nothing, and
// it serves at once when the data centre returns.
func (s *state) evacuateDataCentres() {
	for _, plan := range s.plans {
		for _, group := range slices.Clone(plan.groups) {
			since, out := s.groupOutSince(group)
			if !out || (s.inFlight(group) > 0 && s.now.Sub(since) < s.policy.drainTimeout) {
				continue
			}
			domain := s.policy.choose(s, plan.shape)
			if domain == nil || plan.club.used-s.acceleratorsOf(group)+plan.shape.accelerators() > plan.club.share {
				continue
			}
			s.dissolve(group, ReasonDataCentreOut)
			s.formGroup(plan, domain, plan.club.dissolved)
		}
	}
}

// groupOutSince reports whether the data centre of a member is out of service
// or under a provisional restriction, and since when.
func (s *state) groupOutSince(group flamingodoor.Group) (time.Time, bool) {
	for _, id := range group.EndpointIDs {
		endpoint, _ := s.input.Configuration.Endpoint(id)
		if since, out := s.outSince(endpoint.DataCentre); out {
			return since, true
		}
	}
	return time.Time{}, false
}
