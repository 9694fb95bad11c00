package plan

import (
	"context"
	"net/netip"
	"strconv"
	"time"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/placement"
)

// orderProgress holds the steps that this planner took for an endpoint.
type orderProgress struct {
	callInFlight     bool      // a reservation or an order is in flight
	sentAt           time.Time // start of sending the last order that the engine accepted
	sentKey          string    // key of that order
	reservedTransfer string    // weight transfer that was reserved last
	transferStart    time.Time // earliest start of that transfer
}

// pendingOrder is an order that an endpoint has not carried out, according to its
// report.
type pendingOrder struct {
	key      string
	endpoint flamingodoor.Endpoint
	order    flamingodoor.Order
	probedAt time.Time // time of that report
	transfer string    // identifies the transfer of weights; empty for none
}

// sendOrders advances the orders that are due, and drops the progress of removed
// endpoints.
func (p *Planner) sendOrders(ctx context.Context, now time.Time, input placement.Input, actions []placement.Action) {
	for _, pending := range append(p.memberOrders(now, input.Configuration), p.freeingOrders(now, input.Configuration, actions)...) {
		if p.isDue(now, pending.key, pending.endpoint.FabricDomain) {
			p.advanceOrder(ctx, now, pending)
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for id := range p.orders {
		if _, known := input.Configuration.Endpoint(id); !known && !p.orders[id].callInFlight {
			delete(p.orders, id)
		}
	}
}

// memberOrders returns the orders for members whose report does not show their
// group, fencing number and member index. Members without health evidence get
// no order, because they are not reachable.
func (p *Planner) memberOrders(now time.Time, configuration flamingodoor.Configuration) []pendingOrder {
	var list []pendingOrder
	for _, group := range configuration.Groups() {
		model, _ := configuration.Model(group.ModelID)
		members := memberAddresses(configuration, group)
		for index, id := range group.EndpointIDs {
			endpoint, known := configuration.Endpoint(id)
			evidence, live := p.parts.Health.Endpoint(id, now)
			if !known || !live || needsNoOrder(evidence.Report, group, index) {
				continue
			}
			key := id + "/" + strconv.FormatUint(group.FencingNumber, 10) + "/" + strconv.Itoa(index)
			pending := pendingOrder{
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
				pending.transfer = key + "/" + evidence.Report.Incarnation
			}
			list = append(list, pending)
		}
	}
	return list
}

// freeingOrders returns an order without a group for each endpoint that reports
// a group although it is in none; the endpoint then leaves that group.
// Endpoints that an action is about to use get none.
func (p *Planner) freeingOrders(
	now time.Time, configuration flamingodoor.Configuration, actions []placement.Action,
) []pendingOrder {
	chosen := map[string]bool{}
	for _, action := range actions {
		switch change := action.(type) {
		case placement.Form:
			addAll(chosen, change.EndpointIDs)
		case placement.Replace:
			addAll(chosen, change.EndpointIDs)
		}
	}
	var list []pendingOrder
	for _, endpoint := range configuration.Endpoints() {
		_, grouped := configuration.GroupOfEndpoint(endpoint.ID)
		if endpoint.Kind != flamingodoor.EndpointKindEngine || grouped || chosen[endpoint.ID] {
			continue
		}
		evidence, live := p.parts.Health.Endpoint(endpoint.ID, now)
		if !live || evidence.Report.GroupID == "" || evidence.Report.State == flamingodoor.EndpointStateLeaving {
			continue
		}
		list = append(list, pendingOrder{
			key:      freePrefix + endpoint.ID + "/" + strconv.FormatUint(evidence.Report.FencingNumber, 10),
			endpoint: endpoint,
			probedAt: evidence.ProbedAt,
			order:    flamingodoor.Order{FencingNumber: configuration.Applied()},
		})
	}
	return list
}

func addAll(set map[string]bool, ids []string) {
	for _, id := range ids {
		set[id] = true
	}
}

// needsNoOrder reports whether the endpoint reports its group, fencing number
// and member index, or is leaving.
func needsNoOrder(report flamingodoor.Report, group flamingodoor.Group, index int) bool {
	return report.State == flamingodoor.EndpointStateLeaving ||
		(report.GroupID == group.ID && report.FencingNumber == group.FencingNumber && report.MemberIndex == index)
}

// holdsWeights reports whether the endpoint has already loaded its part of the
// model's weights, which depends on the member index.
func holdsWeights(report flamingodoor.Report, group flamingodoor.Group, index int) bool {
	loaded := report.State == flamingodoor.EndpointStateCold || report.State == flamingodoor.EndpointStateWarm
	return loaded && report.GroupID == group.ID && report.MemberIndex == index &&
		report.ModelID == group.ModelID && report.Version == group.Version
}

// memberAddresses returns the addresses of the group's members by member index.
func memberAddresses(configuration flamingodoor.Configuration, group flamingodoor.Group) []netip.AddrPort {
	list := make([]netip.AddrPort, 0, len(group.EndpointIDs))
	for _, id := range group.EndpointIDs {
		endpoint, _ := configuration.Endpoint(id)
		list = append(list, endpoint.Address)
	}
	return list
}

// advanceOrder starts the next step of an order: the reservation of the weight
// transfer or, once the transfer may start, the sending of the order. It is
// called in every round and does not wait. Only one call is in flight for an
// endpoint.
func (p *Planner) advanceOrder(ctx context.Context, now time.Time, pending pendingOrder) {
	p.mu.Lock()
	defer p.mu.Unlock()
	progress := p.orders[pending.endpoint.ID]
	if progress == nil {
		progress = &orderProgress{}
		p.orders[pending.endpoint.ID] = progress
	}
	// A report from before the last order does not show its effect.
	reportIsCurrent := progress.sentKey != pending.key || pending.probedAt.After(progress.sentAt)
	if progress.callInFlight || !reportIsCurrent {
		return
	}
	step := func() error {
		p.sendOrder(ctx, progress, pending)
		return nil
	}
	reserved := pending.transfer == "" || progress.reservedTransfer == pending.transfer
	switch {
	case !reserved:
		step = func() error {
			p.reserveTransfer(ctx, progress, pending)
			return nil
		}
	case pending.transfer != "" && now.Before(progress.transferStart):
		return
	}
	pending.order.Deadline = now.Add(OrderLifetime)
	progress.callInFlight = p.sends.TryGo(step)
}

func (p *Planner) reserveTransfer(ctx context.Context, progress *orderProgress, pending pendingOrder) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	transferStart, err := p.parts.Weights.Reserve(ctx, pending.endpoint.ID, pending.order.WeightBytes)
	p.mu.Lock()
	defer p.mu.Unlock()
	progress.callInFlight = false
	if err != nil {
		p.warn("weight_reservation_failed", err, "endpoint", pending.endpoint.ID)
		return
	}
	progress.reservedTransfer, progress.transferStart = pending.transfer, transferStart
}

func (p *Planner) sendOrder(ctx context.Context, progress *orderProgress, pending pendingOrder) {
	sentAt, err := p.submitOrder(ctx, pending)
	p.mu.Lock()
	defer p.mu.Unlock()
	progress.callInFlight = false
	if err != nil {
		p.warn("order_failed", err, "endpoint", pending.endpoint.ID, "group", pending.order.GroupID)
		return
	}
	progress.sentAt, progress.sentKey = sentAt, pending.key
	p.info("order_sent", "endpoint", pending.endpoint.ID, "group", pending.order.GroupID, "fencing_number", pending.order.FencingNumber)
}

// submitOrder sends the order unless the freshness lease or the order has expired,
// and returns the time at which it was sent.
func (p *Planner) submitOrder(ctx context.Context, pending pendingOrder) (time.Time, error) {
	if !p.parts.Freshness.Fresh(time.Now()) {
		return time.Time{}, flamingodoor.Errorf(flamingodoor.CodeNotFresh, "freshness lease expired before the order was sent")
	}
	// The last check before the order leaves this host. Both times carry a
	// monotonic clock reading, so a change of the wall clock has no effect.
	now := time.Now()
	if !now.Before(pending.order.Deadline) {
		return time.Time{}, flamingodoor.Errorf(flamingodoor.CodeDeadlineExceeded, "order expired before it was sent")
	}
	ctx, cancel := context.WithDeadline(ctx, pending.order.Deadline)
	defer cancel()
	err := p.parts.Engine.Order(ctx, pending.endpoint, pending.order)
	p.observer.OrderSent(err)
	return now, err
}
