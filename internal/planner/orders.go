package planner

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log/level"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/roster"
)

// instanceState is what the planner knows about an instance in addition to its
// registration.
type instanceState struct {
	mu              sync.Mutex // held during an order, so that one is sent at a time
	startedAt       time.Time
	sequence        int64           // number of orders the instance has accepted; negative if unknown
	group           roster.GroupKey // of which the instance is a member after these orders
	lastModel       string
	stagingModel    string
	unanswered      atomic.Bool // it did not answer this host's latest call
	stagingDeadline time.Time   // until then, the instance counts as loading stagingModel
}

// stateOf returns the state kept for an instance. It starts a new one if the
// instance is unknown or has restarted.
func (p *Planner) stateOf(instance flamingodoor.Instance) *instanceState {
	state, ok := p.states[instance.ID]
	if !ok || !state.startedAt.Equal(instance.StartedAt) {
		state = &instanceState{startedAt: instance.StartedAt, sequence: -1}
		p.states[instance.ID] = state
	}
	return state
}

// sendOrder sends an order with the number of orders that the instance has
// accepted so far. The instance rejects an order that arrives late, because its
// number no longer matches.
func (p *Planner) sendOrder(ctx context.Context, instance flamingodoor.Instance, state *instanceState, order flamingodoor.InstanceOrder) flamingodoor.OrderResult {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	state.mu.Lock()
	defer state.mu.Unlock()
	if !p.Leads() {
		return flamingodoor.OrderResultUnknown
	}
	if state.sequence < 0 {
		report, err := p.Instances.Report(ctx, instance.Address)
		state.unanswered.Store(err != nil)
		if err != nil {
			_ = level.Info(p.Logger).Log("event", "report_failed", "instance", instance.ID, "err", err)
			return flamingodoor.OrderResultUnknown
		}
		state.sequence, state.group = report.OrderSequence, groupKey(report.Membership)
	}
	if order.Kind == flamingodoor.OrderKindJoin && isMemberElsewhere(state.group, groupKey(instance.Membership), orderKey(order)) {
		_ = level.Warn(p.Logger).Log("event", "join_withheld", "instance", instance.ID, "group", order.Group, "epoch", order.Epoch,
			"member_of", state.group.Name, "member_epoch", state.group.Epoch)
		state.sequence = -1
		return flamingodoor.OrderResultConflict
	}
	if !p.Leads() {
		return flamingodoor.OrderResultUnknown // the term ended during the report
	}
	order.Sequence = state.sequence
	result, err := p.Instances.Order(ctx, instance, order)
	state.unanswered.Store(err != nil)
	state.record(order, result)
	_ = level.Info(p.Logger).Log("event", "order", "kind", order.Kind, "instance", instance.ID, "group", order.Group,
		"epoch", order.Epoch, "model", order.ModelID, "sequence", order.Sequence, "result", result, "err", err)
	return result
}

// record updates the state after an order with the result.
func (i *instanceState) record(order flamingodoor.InstanceOrder, result flamingodoor.OrderResult) {
	accepted := result == flamingodoor.OrderResultBegun || result == flamingodoor.OrderResultHolds
	switch {
	case !accepted:
		i.sequence = -1
		return
	case result == flamingodoor.OrderResultBegun, order.Kind == flamingodoor.OrderKindLeave:
		// A leave takes effect immediately and counts as accepted.
		i.sequence++
	}
	switch {
	case order.Kind == flamingodoor.OrderKindJoin:
		i.group = orderKey(order)
	case order.Kind == flamingodoor.OrderKindLeave && i.group == orderKey(order):
		i.group = roster.GroupKey{}
	}
}

func groupKey(membership flamingodoor.Membership) roster.GroupKey {
	return roster.GroupKey{Name: membership.Group, Epoch: membership.Epoch}
}

func orderKey(order flamingodoor.InstanceOrder) roster.GroupKey {
	return roster.GroupKey{Name: order.Group, Epoch: order.Epoch}
}

// isMemberElsewhere reports whether an instance that is ordered to join a group
// is a member of another one, other than the one that the order is based on: it
// joined that group after its registration was written.
func isMemberElsewhere(current, registered, ordered roster.GroupKey) bool {
	return current.Name != "" && current != registered && current != ordered
}
