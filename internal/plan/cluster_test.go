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

// cluster stands in for the registry, the health view, the engines and the weight
// store. The embedded interfaces are nil, because the planner uses only the
// methods defined here.
type cluster struct {
	flamingodoor.Configuration
	flamingodoor.EngineClient
	mu        sync.Mutex
	offset    uint64 // of the last record
	endpoints []flamingodoor.Endpoint
	groups    []flamingodoor.Group
	wanted    int // groups of the only plan
	reports   map[string]flamingodoor.Report
	failed    map[string]bool
	orders    []flamingodoor.Order
	reserve   func() (time.Time, error)
	conflicts int // rejected records
}

func newCluster(wanted int, domains ...int) *cluster {
	c := &cluster{
		wanted: wanted, reports: map[string]flamingodoor.Report{}, failed: map[string]bool{},
		reserve: func() (time.Time, error) { return time.Now(), nil },
	}
	for d, hosts := range domains {
		for h := range hosts {
			id := fmt.Sprintf("d%d-h%d", d, h)
			c.endpoints = append(c.endpoints, flamingodoor.Endpoint{
				ID: id, HostID: id, FabricDomain: fmt.Sprintf("d%d", d), DataCentre: "dc", Accelerators: 1,
				Kind: flamingodoor.EndpointKindEngine, Address: netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(h)),
			})
			c.reports[id] = flamingodoor.Report{State: flamingodoor.EndpointStateCold}
		}
	}
	return c
}

// Current returns a copy, because a registry's configuration is immutable.
func (c *cluster) Current() flamingodoor.Configuration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return &cluster{endpoints: c.endpoints, groups: slices.Clone(c.groups), wanted: c.wanted, offset: c.offset}
}

func (c *cluster) Applied() uint64                        { return c.offset }
func (c *cluster) Endpoints() []flamingodoor.Endpoint     { return c.endpoints }
func (c *cluster) Groups() []flamingodoor.Group           { return c.groups }
func (c *cluster) DataCentres() []flamingodoor.DataCentre { return nil }

func (c *cluster) GroupPlans() []flamingodoor.GroupPlan {
	return []flamingodoor.GroupPlan{{ID: "p", ModelID: "m", Version: "1", ClubID: "c", Groups: c.wanted}}
}

func (c *cluster) DataCentre(string) (flamingodoor.DataCentre, bool) {
	return flamingodoor.DataCentre{}, false
}

func (c *cluster) Club(string) (flamingodoor.Club, bool) {
	return flamingodoor.Club{ID: "c", Accelerators: 100}, true
}

func (c *cluster) Model(string) (flamingodoor.Model, bool) {
	return flamingodoor.Model{ID: "m", HostsPerGroup: 3, AcceleratorsPerHost: 1, WeightBytesPerHost: 1}, true
}

func (c *cluster) Endpoint(id string) (flamingodoor.Endpoint, bool) {
	i := slices.IndexFunc(c.endpoints, func(e flamingodoor.Endpoint) bool { return e.ID == id })
	return c.endpoints[i], true
}

func (c *cluster) Group(id string) (flamingodoor.Group, bool) {
	return c.group(func(g flamingodoor.Group) bool { return g.ID == id })
}

func (c *cluster) GroupOfEndpoint(id string) (flamingodoor.Group, bool) {
	return c.group(func(g flamingodoor.Group) bool { return slices.Contains(g.EndpointIDs, id) })
}

func (c *cluster) group(matches func(flamingodoor.Group) bool) (flamingodoor.Group, bool) {
	if i := slices.IndexFunc(c.groups, matches); i >= 0 {
		return c.groups[i], true
	}
	return flamingodoor.Group{}, false
}

// Record applies the state machine's rules for groups.
func (c *cluster) Record(_ context.Context, record *recordv1.Record) (*recordv1.Verdict, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.offset++
	formed, id := record.GetFormGroup(), record.GetDissolveGroup().GetGroupId()
	if formed != nil {
		id = formed.GetGroupId()
	}
	current, _ := c.Group(id)
	rejected := current.FencingNumber != record.GetExpectedRevision() || formed.GetReplaces() != record.GetExpectedRevision() && formed != nil
	for _, member := range formed.GetEndpointIds() {
		holder, grouped := c.GroupOfEndpoint(member)
		rejected = rejected || grouped && holder.ID != id
	}
	if rejected {
		c.conflicts++
		return &recordv1.Verdict{Offset: c.offset, Code: recordv1.VerdictCode_VERDICT_CODE_CONFLICT}, nil
	}
	c.groups = slices.DeleteFunc(c.groups, func(g flamingodoor.Group) bool { return g.ID == id })
	if formed != nil {
		c.groups = append(c.groups, flamingodoor.Group{
			ID: id, PlanID: "p", ModelID: "m", Version: "1", FabricDomain: formed.GetFabricDomain(),
			EndpointIDs: formed.GetEndpointIds(), FencingNumber: c.offset,
		})
	}
	slices.SortFunc(c.groups, func(a, b flamingodoor.Group) int { return cmp.Compare(a.ID, b.ID) })
	return &recordv1.Verdict{Offset: c.offset, Code: recordv1.VerdictCode_VERDICT_CODE_ACCEPTED}, nil
}

// Order accepts every order, like an engine that ignores fencing numbers.
func (c *cluster) Order(_ context.Context, endpoint flamingodoor.Endpoint, order flamingodoor.Order) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.orders = append(c.orders, order)
	c.reports[endpoint.ID] = flamingodoor.Report{
		State: flamingodoor.EndpointStateWarm, GroupID: order.GroupID, FencingNumber: order.FencingNumber,
		MemberIndex: order.MemberIndex, ModelID: order.ModelID, Version: order.Version,
	}
	return nil
}

func (c *cluster) Report(_ context.Context, endpoint flamingodoor.Endpoint) (flamingodoor.Report, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failed[endpoint.ID] {
		return flamingodoor.Report{}, flamingodoor.Errorf(flamingodoor.CodeEndpointFailed, "endpoint has failed")
	}
	return c.reports[endpoint.ID], nil
}

func (c *cluster) Reserve(context.Context, string, uint64) (time.Time, error) { return c.reserve() }

// health is the health view of one host. It has no evidence of the endpoints in
// hidden, as on a host that is cut off from its peers.
type health struct {
	*cluster
	hidden map[string]bool
}

func (h *health) Endpoint(id string, now time.Time) (flamingodoor.EndpointHealth, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return flamingodoor.EndpointHealth{Report: h.reports[id], ProbedAt: now}, !h.failed[id] && !h.hidden[id]
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
