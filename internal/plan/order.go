package plan

import (
	"context"
	"net/netip"
	"strconv"
	"time"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/placement"
)

// orderState is what this planner did for an endpoint.
type orderState struct {
	busy     bool      // a reservation or an order is in flight
	sentAt   time.Time // start of the last order that the engine took
	sentKey  string
	reserved string    // transfer that was booked
	startAt  time.Time // earliest start of that transfer
}

// wanted is an order that an endpoint's report calls for.
type wanted struct {
	key      string
	endpoint flamingodoor.Endpoint
	order    flamingodoor.Order
	probedAt time.Time
	transfer string // identifies the transfer of weights; empty for none
}

// order sends the orders that are due.
func (p *Planner) order(ctx context.Context, now time.Time, input placement.Input, actions []placement.Action) {
	for _, want := range append(p.memberOrders(now, input.Configuration), p.freeingOrders(now, input.Configuration, actions)...) {
		if p.due(now, want.key, want.endpoint.FabricDomain) {
			p.advance(ctx, now, want)
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for id := range p.orders {
		if _, known := input.Configuration.Endpoint(id); !known && !p.orders[id].busy {
			delete(p.orders, id)
		}
	}
}

// memberOrders returns the orders of members whose report does not name their
// place. Members without evidence get none: they could not be reached.
func (p *Planner) memberOrders(now time.Time, configuration flamingodoor.Configuration) []wanted {
	var list []wanted
	for _, group := range configuration.Groups() {
		model, _ := configuration.Model(group.ModelID)
		members := addresses(configuration, group)
		for index, id := range group.EndpointIDs {
			endpoint, known := configuration.Endpoint(id)
			evidence, live := p.parts.Health.Endpoint(id, now)
			if !known || !live || inPlace(evidence.Report, group, index) {
				continue
			}
			key := id + "/" + strconv.FormatUint(group.FencingNumber, 10) + "/" + strconv.Itoa(index)
			want := wanted{
				key:      orderPrefix + key,
				endpoint: endpoint,
				probedAt: evidence.ProbedAt,
				order: flamingodoor.Order{
					FencingNumber: group.FencingNumber,
					GroupID:       group.ID,
					MemberIndex:   index,
					Members:       members,
					ModelID:       group.ModelID,
					Version:       group.Version,
					Adapters:      model.Adapters,
					WeightBytes:   model.WeightBytesPerHost,
				},
			}
			if !holdsWeights(evidence.Report, group, index) {
				want.transfer = key + "/" + evidence.Report.Incarnation
			}
			list = append(list, want)
		}
	}
	return list
}

// freeingOrders returns the orders of endpoints that name a group although
// they are in none. Hosts that a new group is about to use need none.
func (p *Planner) freeingOrders(
	now time.Time, configuration flamingodoor.Configuration, actions []placement.Action,
) []wanted {
	chosen := map[string]bool{}
	for _, action := range actions {
		switch change := action.(type) {
		case placement.Form:
			mark(chosen, change.EndpointIDs)
		case placement.Replace:
			mark(chosen, change.EndpointIDs)
		}
	}
	var list []wanted
	for _, endpoint := range configuration.Endpoints() {
		_, grouped := configuration.GroupOfEndpoint(endpoint.ID)
		if endpoint.Kind != flamingodoor.EndpointKindEngine || grouped || chosen[endpoint.ID] {
			continue
		}
		evidence, live := p.parts.Health.Endpoint(endpoint.ID, now)
		if !live || evidence.Report.GroupID == "" || evidence.Report.State == flamingodoor.EndpointStateLeaving {
			continue
		}
		list = append(list, wanted{
			key:      freePrefix + endpoint.ID + "/" + strconv.FormatUint(evidence.Report.FencingNumber, 10),
			endpoint: endpoint,
			probedAt: evidence.ProbedAt,
			order:    flamingodoor.Order{FencingNumber: configuration.Applied()},
		})
	}
	return list
}

func mark(set map[string]bool, ids []string) {
	for _, id := range ids {
		set[id] = true
	}
}

// inPlace reports whether the endpoint has its order. A leaving endpoint
// gets no order.
func inPlace(report flamingodoor.Report, group flamingodoor.Group, index int) bool {
	return report.State == flamingodoor.EndpointStateLeaving ||
		(report.GroupID == group.ID && report.FencingNumber == group.FencingNumber && report.MemberIndex == index)
}

// holdsWeights reports whether the endpoint already has its part of the
// model, which depends on the member index.
func holdsWeights(report flamingodoor.Report, group flamingodoor.Group, index int) bool {
	loaded := report.State == flamingodoor.EndpointStateCold || report.State == flamingodoor.EndpointStateWarm
	return loaded && report.GroupID == group.ID && report.MemberIndex == index &&
		report.ModelID == group.ModelID && report.Version == group.Version
}

func addresses(configuration flamingodoor.Configuration, group flamingodoor.Group) []netip.AddrPort {
	list := make([]netip.AddrPort, 0, len(group.EndpointIDs))
	for _, id := range group.EndpointIDs {
		endpoint, _ := configuration.Endpoint(id)
		list = append(list, endpoint.Address)
	}
	return list
}

// advance takes the next step towards an order: it books the transfer, waits
// for its start over later rounds, and sends the order. Only one step is in
// flight for an endpoint.
func (p *Planner) advance(ctx context.Context, now time.Time, want wanted) {
	p.mu.Lock()
	defer p.mu.Unlock()
	state := p.orders[want.endpoint.ID]
	if state == nil {
		state = &orderState{}
		p.orders[want.endpoint.ID] = state
	}
	// A report from before the last order says nothing about its effect.
	answered := state.sentKey != want.key || want.probedAt.After(state.sentAt)
	if state.busy || !answered {
		return
	}
	step := func() error {
		p.send(ctx, state, want)
		return nil
	}
	booked := want.transfer == "" || state.reserved == want.transfer
	switch {
	case !booked:
		step = func() error {
			p.reserve(ctx, state, want)
			return nil
		}
	case want.transfer != "" && now.Before(state.startAt):
		return
	}
	want.order.Deadline = now.Add(OrderLifetime)
	state.busy = p.sends.TryGo(step)
}

func (p *Planner) reserve(ctx context.Context, state *orderState, want wanted) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	startAt, err := p.parts.Weights.Reserve(ctx, want.endpoint.ID, want.order.WeightBytes)
	p.mu.Lock()
	defer p.mu.Unlock()
	state.busy = false
	if err != nil {
		p.warn("weight_reservation_failed", err, "endpoint", want.endpoint.ID)
		return
	}
	state.reserved, state.startAt = want.transfer, startAt
}

func (p *Planner) send(ctx context.Context, state *orderState, want wanted) {
	sentAt, err := p.sendOnce(ctx, want)
	p.mu.Lock()
	defer p.mu.Unlock()
	state.busy = false
	if err != nil {
		p.warn("order_failed", err, "endpoint", want.endpoint.ID, "group", want.order.GroupID)
		return
	}
	state.sentAt, state.sentKey = sentAt, want.key
	p.info("order_sent", "endpoint", want.endpoint.ID, "group", want.order.GroupID, "fencing_number", want.order.FencingNumber)
}

func (p *Planner) sendOnce(ctx context.Context, want wanted) (time.Time, error) {
	if !p.parts.Freshness.Fresh(time.Now()) {
		return time.Time{}, flamingodoor.Errorf(flamingodoor.CodeNotFresh, "freshness lease expired before the order was sent")
	}
	// time.Now carries the monotonic clock, as does the deadline. This is the
	// last check before the order leaves this host.
	now := time.Now()
	if !now.Before(want.order.Deadline) {
		return time.Time{}, flamingodoor.Errorf(flamingodoor.CodeDeadlineExceeded, "order expired before it was sent")
	}
	ctx, cancel := context.WithDeadline(ctx, want.order.Deadline)
	defer cancel()
	err := p.parts.Engine.Order(ctx, want.endpoint, want.order)
	p.observer.OrderSent(err)
	return now, err
}
