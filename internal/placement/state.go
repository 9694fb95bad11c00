package placement

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"flamingodoor.example/flamingodoor"
)

// shape is the size of each group of a model.
type shape struct {
	hosts   int
	perHost int // accelerators on each host
}

func (s shape) accelerators() int { return s.hosts * s.perHost }

// domain is a fabric domain with the shapes of its groups and its free hosts in
// the order in which they are allocated: those with the fewest accelerators
// first.
type domain struct {
	id     string
	free   []flamingodoor.Endpoint
	groups []shape
}

// fitting returns the free hosts with at least perHost accelerators.
func (d *domain) fitting(perHost int) []flamingodoor.Endpoint {
	// The free hosts are sorted by accelerators.
	first, _ := slices.BinarySearchFunc(d.free, perHost, func(endpoint flamingodoor.Endpoint, want int) int {
		return cmp.Compare(endpoint.Accelerators, want)
	})
	return d.free[first:]
}

// allocate removes hosts from the free list, those that just suffice first, and
// returns their endpoints.
func (d *domain) allocate(count, perHost int) []string {
	fitting := d.fitting(perHost)
	allocated := make([]string, 0, count)
	for _, endpoint := range fitting[:count] {
		allocated = append(allocated, endpoint.ID)
	}
	first := len(d.free) - len(fitting)
	d.free = slices.Delete(d.free, first, first+count)
	return allocated
}

// planState is a group plan with its groups as they are after the actions
// decided so far.
type planState struct {
	plan       flamingodoor.GroupPlan
	shape      shape
	club       *clubState
	modelKnown bool // the model exists
	groups     []flamingodoor.Group
}

func (p *planState) missingGroups() int { return max(0, p.plan.Groups-len(p.groups)) }

// outdated reports whether the group differs from the plan's model, version or
// group size.
func (p *planState) outdated(group flamingodoor.Group) bool {
	return group.ModelID != p.plan.ModelID || group.Version != p.plan.Version ||
		len(group.EndpointIDs) != p.shape.hosts
}

// groupID returns the unused identifier with the lowest index. Planners that
// form the same missing group choose the same identifier, so the state machine
// accepts only one of their records.
func (p *planState) groupID() string {
	for index := 0; ; index++ {
		name := GroupID(p.plan.ID, index)
		if !slices.ContainsFunc(p.groups, func(group flamingodoor.Group) bool { return group.ID == name }) {
			return name
		}
	}
}

// GroupID returns the identifier of the group with the given index in a plan.
func GroupID(planID string, index int) string {
	return planID + "-" + strconv.Itoa(index)
}

// clubState is a club with the accelerators that its group plans need and its
// groups use.
type clubState struct {
	id        string
	share     int // accelerators that the club may use
	used      int // accelerators of the club's groups
	planned   int // accelerators of the club's plans
	plans     []*planState
	dissolved []string // groups dissolved by the actions decided so far
}

// unmetDemand returns the planned accelerators that are not in use although the
// share allows them.
func (c *clubState) unmetDemand() int { return max(0, min(c.share, c.planned)-c.used) }

// state is the input of one call of Plan with the actions decided so far
// applied to it.
type state struct {
	policy      *Policy
	now         time.Time
	input       Input
	domains     []*domain // sorted by identifier
	plans       []*planState
	clubs       []*clubState
	shapes      []shape
	quarantined bool            // a free endpoint is in quarantine
	replaced    map[string]bool // groups with a Replace among the actions
	actions     []Action
}

func newState(policy *Policy, now time.Time, input Input) *state {
	s := &state{policy: policy, now: now, input: input, replaced: map[string]bool{}}
	s.readPlans()
	s.readDomains()
	return s
}

func (s *state) readPlans() {
	clubs := map[string]*clubState{}
	for _, plan := range s.input.Configuration.GroupPlans() {
		club := clubs[plan.ClubID]
		if club == nil {
			found, _ := s.input.Configuration.Club(plan.ClubID)
			club = &clubState{id: plan.ClubID, share: found.Accelerators}
			clubs[plan.ClubID] = club
			s.clubs = append(s.clubs, club)
		}
		model, known := s.input.Configuration.Model(plan.ModelID)
		entry := &planState{
			plan:       plan,
			shape:      shape{hosts: model.HostsPerGroup, perHost: model.AcceleratorsPerHost},
			club:       club,
			modelKnown: known && model.HostsPerGroup > 0,
		}
		if entry.modelKnown && !slices.Contains(s.shapes, entry.shape) {
			s.shapes = append(s.shapes, entry.shape)
		}
		if entry.modelKnown {
			club.planned += plan.Groups * entry.shape.accelerators()
		}
		club.plans = append(club.plans, entry)
		s.plans = append(s.plans, entry)
	}
	slices.SortFunc(s.clubs, func(a, b *clubState) int { return cmp.Compare(a.id, b.id) })
	for _, group := range s.input.Configuration.Groups() {
		if plan := s.planOf(group); plan != nil {
			plan.groups = append(plan.groups, group)
			plan.club.used += s.acceleratorsOf(group)
		}
	}
	for _, plan := range s.plans {
		slices.SortFunc(plan.groups, compareAge)
	}
}

func (s *state) readDomains() {
	domains := map[string]*domain{}
	unavailable := s.unavailableHosts()
	for _, endpoint := range s.input.Configuration.Endpoints() {
		if endpoint.Kind != flamingodoor.EndpointKindEngine {
			continue
		}
		entry := domains[endpoint.FabricDomain]
		if entry == nil {
			entry = &domain{id: endpoint.FabricDomain}
			domains[endpoint.FabricDomain] = entry
			s.domains = append(s.domains, entry)
		}
		if s.usable(endpoint) && !unavailable[endpoint.HostID] {
			// Groups use only one endpoint of a host.
			unavailable[endpoint.HostID] = true
			entry.free = append(entry.free, endpoint)
		}
	}
	for _, group := range s.input.Configuration.Groups() {
		if entry := domains[group.FabricDomain]; entry != nil {
			hosts := len(group.EndpointIDs)
			entry.groups = append(entry.groups, shape{hosts: hosts, perHost: s.acceleratorsOf(group) / max(1, hosts)})
		}
	}
	for _, entry := range s.domains {
		slices.SortStableFunc(entry.free, func(a, b flamingodoor.Endpoint) int {
			return cmp.Or(cmp.Compare(a.Accelerators, b.Accelerators), cmp.Compare(a.ID, b.ID))
		})
	}
	slices.SortFunc(s.domains, func(a, b *domain) int { return cmp.Compare(a.id, b.id) })
}

// unavailableHosts returns the hosts with an engine endpoint that is in a group
// or in quarantine.
func (s *state) unavailableHosts() map[string]bool {
	unavailable := map[string]bool{}
	for _, endpoint := range s.input.Configuration.Endpoints() {
		if endpoint.Kind != flamingodoor.EndpointKindEngine {
			continue
		}
		if _, grouped := s.input.Configuration.GroupOfEndpoint(endpoint.ID); grouped {
			unavailable[endpoint.HostID] = true
			continue
		}
		freedAt := s.input.Endpoints[endpoint.ID].FreedAt
		if !freedAt.IsZero() && s.now.Sub(freedAt) < s.policy.quarantine {
			s.quarantined = true
			unavailable[endpoint.HostID] = true
		}
	}
	return unavailable
}

// usable reports whether a group may run on the endpoint: it is a live engine
// that is not leaving, in a data centre that is in service.
func (s *state) usable(endpoint flamingodoor.Endpoint) bool {
	observed := s.input.Endpoints[endpoint.ID]
	_, out := s.outSince(endpoint.DataCentre)
	return endpoint.Kind == flamingodoor.EndpointKindEngine &&
		observed.Live && !observed.Leaving && !endpoint.Leaving && !out
}

// outSince reports whether the data centre is out of service or under a
// provisional restriction, and since when.
func (s *state) outSince(dataCentre string) (time.Time, bool) {
	if since, out := s.input.OutSince[dataCentre]; out {
		return since, true
	}
	found, _ := s.input.Configuration.DataCentre(dataCentre)
	return s.now, found.OutOfService
}

func (s *state) planOf(group flamingodoor.Group) *planState {
	for _, plan := range s.plans {
		if plan.plan.ID == group.PlanID {
			return plan
		}
	}
	return nil
}

// domainOf returns an empty domain if the identifier is unknown.
func (s *state) domainOf(id string) *domain {
	for _, domain := range s.domains {
		if domain.id == id {
			return domain
		}
	}
	return &domain{id: id}
}

// acceleratorsOf returns the accelerators of the club's share that a group uses.
func (s *state) acceleratorsOf(group flamingodoor.Group) int {
	model, _ := s.input.Configuration.Model(group.ModelID)
	return len(group.EndpointIDs) * model.AcceleratorsPerHost
}

// inFlight returns the number of requests that run on the group: the most that
// any live member reports.
func (s *state) inFlight(group flamingodoor.Group) int {
	highest := 0
	for _, id := range group.EndpointIDs {
		if observed := s.input.Endpoints[id]; observed.Live {
			highest = max(highest, observed.InFlight)
		}
	}
	return highest
}

// dissolve adds a Dissolve action and returns the group's accelerators to the
// share. The group's hosts do not become free in this call of Plan, because
// they enter quarantine first.
func (s *state) dissolve(group flamingodoor.Group, reason string) {
	s.actions = append(s.actions, Dissolve{
		GroupID:       group.ID,
		FencingNumber: group.FencingNumber,
		FabricDomain:  group.FabricDomain,
		Reason:        reason,
	})
	plan := s.planOf(group)
	if plan == nil {
		return
	}
	plan.groups = slices.DeleteFunc(plan.groups, func(kept flamingodoor.Group) bool { return kept.ID == group.ID })
	plan.club.used -= s.acceleratorsOf(group)
	plan.club.dissolved = append(plan.club.dissolved, group.ID)
}

// compareAge orders groups from the oldest to the youngest.
func compareAge(a, b flamingodoor.Group) int {
	return cmp.Or(cmp.Compare(a.FencingNumber, b.FencingNumber), cmp.Compare(a.ID, b.ID))
}
