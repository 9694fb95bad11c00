package plan_test

import (
	"cmp"
	"context"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"time"

	"flamingodoor.example/flamingodoor"
	recordv1 "flamingodoor.example/flamingodoor/gen/flamingodoor/record/v1"
)

// platform stands in for the registry, the health view, the engines and the
// weight store. The embedded interfaces are nil: the planner uses no more.
type platform struct {
	flamingodoor.Configuration
	flamingodoor.EngineClient
	mu        sync.Mutex
	offset    uint64
	endpoints []flamingodoor.Endpoint
	groups    []flamingodoor.Group
	wanted    int
	reports   map[string]flamingodoor.Report
	dead      map[string]bool
	orders    []flamingodoor.Order
	reserve   func() (time.Time, error)
	conflicts int
}

func newPlatform(wanted int, domains ...int) *platform {
	p := &platform{
		wanted: wanted, reports: map[string]flamingodoor.Report{}, dead: map[string]bool{},
		reserve: func() (time.Time, error) { return time.Now(), nil },
	}
	for d, hosts := range domains {
		for h := range hosts {
			id := fmt.Sprintf("d%d-h%d", d, h)
			p.endpoints = append(p.endpoints, flamingodoor.Endpoint{
				ID: id, HostID: id, FabricDomain: fmt.Sprintf("d%d", d), DataCentre: "dc", Accelerators: 1,
				Kind: flamingodoor.EndpointKindEngine, Address: netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(h)),
			})
			p.reports[id] = flamingodoor.Report{State: flamingodoor.EndpointStateCold}
		}
	}
	return p
}

// Current returns a copy, as the view of a registry is immutable.
func (p *platform) Current() flamingodoor.Configuration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return &platform{endpoints: p.endpoints, groups: slices.Clone(p.groups), wanted: p.wanted, offset: p.offset}
}

func (p *platform) Applied() uint64                        { return p.offset }
func (p *platform) Endpoints() []flamingodoor.Endpoint     { return p.endpoints }
func (p *platform) Groups() []flamingodoor.Group           { return p.groups }
func (p *platform) DataCentres() []flamingodoor.DataCentre { return nil }

func (p *platform) GroupPlans() []flamingodoor.GroupPlan {
	return []flamingodoor.GroupPlan{{ID: "p", ModelID: "m", Version: "1", ClubID: "c", Groups: p.wanted}}
}

func (p *platform) DataCentre(string) (flamingodoor.DataCentre, bool) {
	return flamingodoor.DataCentre{}, false
}

func (p *platform) Club(string) (flamingodoor.Club, bool) {
	return flamingodoor.Club{ID: "c", Accelerators: 100}, true
}

func (p *platform) Model(string) (flamingodoor.Model, bool) {
	return flamingodoor.Model{ID: "m", HostsPerGroup: 3, AcceleratorsPerHost: 1, WeightBytesPerHost: 1}, true
}

func (p *platform) Endpoint(id string) (flamingodoor.Endpoint, bool) {
	i := slices.IndexFunc(p.endpoints, func(e flamingodoor.Endpoint) bool { return e.ID == id })
	return p.endpoints[i], true
}

func (p *platform) Group(id string) (flamingodoor.Group, bool) {
	return p.group(func(g flamingodoor.Group) bool { return g.ID == id })
}

func (p *platform) GroupOfEndpoint(id string) (flamingodoor.Group, bool) {
	return p.group(func(g flamingodoor.Group) bool { return slices.Contains(g.EndpointIDs, id) })
}

func (p *platform) group(matches func(flamingodoor.Group) bool) (flamingodoor.Group, bool) {
	if i := slices.IndexFunc(p.groups, matches); i >= 0 {
		return p.groups[i], true
	}
	return flamingodoor.Group{}, false
}

// Record applies the rules of the state machine for groups.
func (p *platform) Record(_ context.Context, record *recordv1.Record) (*recordv1.Verdict, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.offset++
	formed, id := record.GetFormGroup(), record.GetDissolveGroup().GetGroupId()
	if formed != nil {
		id = formed.GetGroupId()
	}
	current, _ := p.Group(id)
	rejected := current.FencingNumber != record.GetExpectedRevision() || formed.GetReplaces() != record.GetExpectedRevision() && formed != nil
	for _, member := range formed.GetEndpointIds() {
		holder, grouped := p.GroupOfEndpoint(member)
		rejected = rejected || grouped && holder.ID != id
	}
	if rejected {
		p.conflicts++
		return &recordv1.Verdict{Offset: p.offset, Code: recordv1.VerdictCode_VERDICT_CODE_CONFLICT}, nil
	}
	p.groups = slices.DeleteFunc(p.groups, func(g flamingodoor.Group) bool { return g.ID == id })
	if formed != nil {
		p.groups = append(p.groups, flamingodoor.Group{
			ID: id, PlanID: "p", ModelID: "m", Version: "1", FabricDomain: formed.GetFabricDomain(),
			EndpointIDs: formed.GetEndpointIds(), FencingNumber: p.offset,
		})
	}
	slices.SortFunc(p.groups, func(a, b flamingodoor.Group) int { return cmp.Compare(a.ID, b.ID) })
	return &recordv1.Verdict{Offset: p.offset, Code: recordv1.VerdictCode_VERDICT_CODE_ACCEPTED}, nil
}

// Order is that of an engine that ignores fencing numbers.
func (p *platform) Order(_ context.Context, endpoint flamingodoor.Endpoint, order flamingodoor.Order) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.orders = append(p.orders, order)
	p.reports[endpoint.ID] = flamingodoor.Report{
		State: flamingodoor.EndpointStateWarm, GroupID: order.GroupID, FencingNumber: order.FencingNumber,
		MemberIndex: order.MemberIndex, ModelID: order.ModelID, Version: order.Version,
	}
	return nil
}

func (p *platform) Report(_ context.Context, endpoint flamingodoor.Endpoint) (flamingodoor.Report, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.dead[endpoint.ID] {
		return flamingodoor.Report{}, flamingodoor.Errorf(flamingodoor.CodeEndpointFailed, "dead")
	}
	return p.reports[endpoint.ID], nil
}

func (p *platform) Reserve(context.Context, string, uint64) (time.Time, error) { return p.reserve() }

// health is the evidence that one host has; blind hides the endpoints of a
// host that is cut off from its peers.
type health struct {
	*platform
	blind map[string]bool
}

func (h *health) Endpoint(id string, now time.Time) (flamingodoor.EndpointHealth, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return flamingodoor.EndpointHealth{Report: h.reports[id], ProbedAt: now}, !h.dead[id] && !h.blind[id]
}

func (h *health) GroupServing(group flamingodoor.Group, now time.Time) (bool, string) {
	for index, id := range group.EndpointIDs {
		evidence, live := h.Endpoint(id, now)
		if !live || evidence.Report.GroupID != group.ID || evidence.Report.MemberIndex != index ||
			evidence.Report.FencingNumber != group.FencingNumber {
			return false, id
		}
	}
	return true, ""
}
