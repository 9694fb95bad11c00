package placement

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"flamingodoor.example/flamingodoor"
)

// shape is what a group of a model needs.
type shape struct {
	hosts   int
	perHost int // accelerators
}

func (s shape) accelerators() int { return s.hosts * s.perHost }

// domain is a fabric domain with its free hosts in the order of use.
type domain struct {
	id     string
	free   []flamingodoor.Endpoint
	groups []shape
}

// fitting returns the free hosts with enough accelerators.
func (d *domain) fitting(perHost int) []flamingodoor.Endpoint {
	// The hosts are sorted by accelerators.
	first, _ := slices.BinarySearchFunc(d.free, perHost, func(endpoint flamingodoor.Endpoint, want int) int {
		return cmp.Compare(endpoint.Accelerators, want)
	})
	return d.free[first:]
}

// take removes hosts from the free list, smallest sufficient ones first.
func (d *domain) take(count, perHost int) []string {
	fitting := d.fitting(perHost)
	taken := make([]string, 0, count)
	for _, endpoint := range fitting[:count] {
		taken = append(taken, endpoint.ID)
	}
	first := len(d.free) - len(fitting)
	d.free = slices.Delete(d.free, first, first+count)
	return taken
}

// planState is a plan with the groups that it keeps.
type planState struct {
	plan   flamingodoor.GroupPlan
	shape  shape
	club   *clubState
	known  bool // the model exists
	groups []flamingodoor.Group
}

func (p *planState) missing() int { return max(0, p.plan.Groups-len(p.groups)) }

func (p *planState) outdated(group flamingodoor.Group) bool {
	return group.ModelID != p.plan.ModelID || group.Version != p.plan.Version ||
		len(group.EndpointIDs) != p.shape.hosts
}

// groupID returns the lowest free name. Planners that fill the same place
// choose the same name, so the state machine accepts only one of them.
func (p *planState) groupID() string {
	for place := 0; ; place++ {
		name := GroupID(p.plan.ID, place)
		if !slices.ContainsFunc(p.groups, func(group flamingodoor.Group) bool { return group.ID == name }) {
			return name
		}
	}
}

// GroupID names the group in a place of a plan.
func GroupID(planID string, place int) string {
	return planID + "-" + strconv.Itoa(place)
}

// clubState is a club with the accelerators that its groups use.
type clubState struct {
	id        string
	share     int
	used      int
	wanted    int
	plans     []*planState
	dissolved []string
}

// unmet returns the accelerators that the share would still pay for.
func (c *clubState) unmet() int { return max(0, min(c.share, c.wanted)-c.used) }

// state is the view with the actions decided so far applied.
type state struct {
	policy      *Policy
	now         time.Time
	input       Input
	domains     []*domain // sorted by identifier
	plans       []*planState
	clubs       []*clubState
	shapes      []shape
	quarantined bool
	replaced    map[string]bool // groups replaced by this plan
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
			plan:  plan,
			shape: shape{hosts: model.HostsPerGroup, perHost: model.AcceleratorsPerHost},
			club:  club,
			known: known && model.HostsPerGroup > 0,
		}
		if entry.known && !slices.Contains(s.shapes, entry.shape) {
			s.shapes = append(s.shapes, entry.shape)
		}
		if entry.known {
			club.wanted += plan.Groups * entry.shape.accelerators()
		}
		club.plans = append(club.plans, entry)
		s.plans = append(s.plans, entry)
	}
	slices.SortFunc(s.clubs, func(a, b *clubState) int { return cmp.Compare(a.id, b.id) })
	for _, group := range s.input.Configuration.Groups() {
		if plan := s.planOf(group); plan != nil {
			plan.groups = append(plan.groups, group)
			plan.club.used += s.cost(group)
		}
	}
	for _, plan := range s.plans {
		slices.SortFunc(plan.groups, older)
	}
}

func (s *state) readDomains() {
	domains := map[string]*domain{}
	taken := s.takenHosts()
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
		if s.usable(endpoint) && !taken[endpoint.HostID] {
			// Only one endpoint of a host is used.
			taken[endpoint.HostID] = true
			entry.free = append(entry.free, endpoint)
		}
	}
	for _, group := range s.input.Configuration.Groups() {
		if entry := domains[group.FabricDomain]; entry != nil {
			hosts := len(group.EndpointIDs)
			entry.groups = append(entry.groups, shape{hosts: hosts, perHost: s.cost(group) / max(1, hosts)})
		}
	}
	for _, entry := range s.domains {
		slices.SortStableFunc(entry.free, func(a, b flamingodoor.Endpoint) int {
			return cmp.Or(cmp.Compare(a.Accelerators, b.Accelerators), cmp.Compare(a.ID, b.ID))
		})
	}
	slices.SortFunc(s.domains, func(a, b *domain) int { return cmp.Compare(a.id, b.id) })
}

// takenHosts returns the hosts with an endpoint that is in a group or in
// quarantine.
func (s *state) takenHosts() map[string]bool {
	taken := map[string]bool{}
	for _, endpoint := range s.input.Configuration.Endpoints() {
		if endpoint.Kind != flamingodoor.EndpointKindEngine {
			continue
		}
		if _, grouped := s.input.Configuration.GroupOfEndpoint(endpoint.ID); grouped {
			taken[endpoint.HostID] = true
			continue
		}
		freedAt := s.input.Endpoints[endpoint.ID].FreedAt
		if !freedAt.IsZero() && s.now.Sub(freedAt) < s.policy.quarantine {
			s.quarantined = true
			taken[endpoint.HostID] = true
		}
	}
	return taken
}

// usable reports whether groups may run on the endpoint.
func (s *state) usable(endpoint flamingodoor.Endpoint) bool {
	seen := s.input.Endpoints[endpoint.ID]
	_, out := s.outSince(endpoint.DataCentre)
	return endpoint.Kind == flamingodoor.EndpointKindEngine &&
		seen.Live && !seen.Leaving && !endpoint.Leaving && !out
}

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

func (s *state) domainOf(id string) *domain {
	for _, domain := range s.domains {
		if domain.id == id {
			return domain
		}
	}
	return &domain{id: id}
}

// cost returns the accelerators that a group takes from the share.
func (s *state) cost(group flamingodoor.Group) int {
	model, _ := s.input.Configuration.Model(group.ModelID)
	return len(group.EndpointIDs) * model.AcceleratorsPerHost
}

// inFlight returns the requests that run on the group.
func (s *state) inFlight(group flamingodoor.Group) int {
	most := 0
	for _, id := range group.EndpointIDs {
		if seen := s.input.Endpoints[id]; seen.Live {
			most = max(most, seen.InFlight)
		}
	}
	return most
}

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
	plan.club.used -= s.cost(group)
	plan.club.dissolved = append(plan.club.dissolved, group.ID)
}

func older(a, b flamingodoor.Group) int {
	return cmp.Or(cmp.Compare(a.FencingNumber, b.FencingNumber), cmp.Compare(a.ID, b.ID))
}
