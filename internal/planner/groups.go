package planner

import (
	"context"
	"time"

	"github.com/go-kit/log/level"
	"golang.org/x/sync/errgroup"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/catalogue"
	"flamingodoor.example/flamingodoor/internal/roster"
)

// advancePending opens the pending groups whose members are all ready, and starts
// to dissolve those that failed or missed their deadline.
func (p *Planner) advancePending(ctx context.Context, view *roster.View, now time.Time) {
	var orders errgroup.Group
	for key, group := range p.pending {
		ready, failure := p.progress(view, key, group, now)
		switch {
		case group.opening && headIsOpen(view, key, group):
			delete(p.pending, key)
			_ = level.Info(p.Logger).Log("event", "group_open", "group", key.Name, "epoch", key.Epoch, "model", group.modelID)
		case failure != "" || now.After(group.deadline):
			delete(p.pending, key)
			if failure == "" {
				failure = "late"
			}
			p.startDissolution(key, failure, now)
		case ready && !group.opening:
			group.opening = true
			group.deadline = now.Add(completionMargin)
			head := group.members[0]
			state := p.stateOf(head)
			orders.Go(func() error {
				p.sendOrder(ctx, head, state, flamingodoor.InstanceOrder{
					Kind: flamingodoor.OrderKindOpen, Group: key.Name, Epoch: key.Epoch,
				})
				return nil
			})
		}
	}
	_ = orders.Wait() // results appear in the members' registrations
}

// progress reports whether all members of a pending group are ready, or why the
// group cannot be completed.
func (p *Planner) progress(view *roster.View, key roster.GroupKey, group *pendingGroup, now time.Time) (ready bool, failure string) {
	ready = true
	for rank, member := range group.members {
		entry, ok := view.Entries[member.ID]
		if !ok || !entry.StartedAt.Equal(member.StartedAt) || view.Lost(entry.Instance, now) {
			return false, "member_lost"
		}
		if entry.Leaving {
			return false, "member_leaving"
		}
		membership := entry.Membership
		if membership.Epoch > key.Epoch {
			return false, "member_taken"
		}
		joined := membership.Group == key.Name && membership.Epoch == key.Epoch && membership.Rank == rank
		if !joined || (membership.State != flamingodoor.MembershipStateReady && membership.State != flamingodoor.MembershipStateOpen) {
			ready = false
		}
	}
	return ready, ""
}

// headIsOpen reports whether the head of a pending group serves it.
func headIsOpen(view *roster.View, key roster.GroupKey, group *pendingGroup) bool {
	membership := view.Entries[group.members[0].ID].Membership
	return membership.Group == key.Name && membership.Epoch == key.Epoch && membership.State == flamingodoor.MembershipStateOpen
}

// reviewGroups starts to dissolve the groups that have to end and takes over
// those that an earlier leader left half formed. Groups of unknown models or in
// evacuated data centres are left as they are.
func (p *Planner) reviewGroups(index *catalogue.Index, view *roster.View, now time.Time) {
	for _, group := range view.Groups {
		key := group.Key()
		if _, forming := p.pending[key]; forming || p.dissolving[key] != nil {
			continue
		}
		spec, ok := modelSpec(index, group.Service, group.ModelID)
		if !ok || p.Catalogue.Evacuated(group.DataCentre) {
			continue
		}
		if reason := p.endReason(view, group, spec.InstancesPerGroup, now); reason != "" {
			p.startDissolution(key, reason, now)
		}
	}
	p.discardAbsentGroups(view)
}

// endReason returns why the group has to be dissolved, or an empty string if it
// may stay.
func (p *Planner) endReason(view *roster.View, group *roster.Group, size int, now time.Time) string {
	key := group.Key()
	leaving := false
	if len(group.Members) > size {
		return "size"
	}
	complete := len(group.Members) == size
	ready := complete
	for _, member := range group.Members {
		switch {
		case member.ID == "":
			complete, ready = false, false
		case view.Lost(member.Instance, now):
			return "member_lost"
		case member.Leaving:
			leaving = true
		case member.Membership.State != flamingodoor.MembershipStateReady:
			ready = false
		}
	}
	head := group.Members[0]
	if head.ID == "" {
		return "" // groupEnded decides when its members are free
	}
	if !head.Listed {
		return "head_unlisted"
	}
	open := head.Membership.State == flamingodoor.MembershipStateOpen
	if view.Stalled(key, now) {
		return "stalled"
	}
	if leaving {
		if p.drained(group, key, now) {
			return "member_leaving"
		}
		return ""
	}
	if complete && open {
		delete(p.impairedSince, key)
		return p.retirementReason(group, key, now)
	}
	if open {
		// The group opened when all members were ready, so one has left since.
		return "member_gone"
	}
	if head.Membership.State == flamingodoor.MembershipStateBroken {
		return "broken"
	}
	return p.adopt(group, ready, size, now)
}

// retirementReason returns the reason to dissolve a retiring group, and an empty
// string while it still drains. Draining takes at least a quarter of
// drainTimeout, until the group's requests have finished or drainTimeout is over.
func (p *Planner) retirementReason(group *roster.Group, key roster.GroupKey, now time.Time) string {
	since, ok := p.retiring[key]
	if !ok {
		return ""
	}
	waited := now.Sub(since)
	if waited > drainTimeout || (waited > drainTimeout/4 && p.InFlight(group.Head().ID) == 0) {
		return "rebalanced"
	}
	return ""
}

// adopt tracks a group of an earlier leader as pending if all members are ready.
// It returns the reason to dissolve a group that has stayed incomplete for too
// long, and otherwise an empty string.
func (p *Planner) adopt(group *roster.Group, ready bool, size int, now time.Time) string {
	key := group.Key()
	if ready {
		pending := &pendingGroup{service: group.Service, modelID: group.ModelID, deadline: now.Add(completionMargin)}
		for _, member := range group.Members {
			pending.members = append(pending.members, member.Instance)
		}
		p.pending[key] = pending
		return ""
	}
	since, ok := p.impairedSince[key]
	if !ok {
		p.impairedSince[key] = now
		return ""
	}
	if now.Sub(since) > incompleteTimeout+time.Duration(size)*rejoinDelay {
		return "incomplete"
	}
	return ""
}

// drained reports whether a group with a leaving member has finished its
// requests, after at least a quarter of drainTimeout, or drainTimeout is over.
func (p *Planner) drained(group *roster.Group, key roster.GroupKey, now time.Time) bool {
	since, ok := p.impairedSince[key]
	if !ok {
		p.impairedSince[key] = now
		return false
	}
	waited := now.Sub(since)
	return waited > drainTimeout || (waited > drainTimeout/4 && p.InFlight(group.Head().ID) == 0)
}

// discardAbsentGroups discards the state of groups that are no longer in the
// roster.
func (p *Planner) discardAbsentGroups(view *roster.View) {
	present := make(map[roster.GroupKey]bool, len(view.Groups))
	for _, group := range view.Groups {
		present[group.Key()] = true
	}
	for key := range p.retiring {
		if !present[key] {
			delete(p.retiring, key)
		}
	}
	for key := range p.impairedSince {
		if !present[key] {
			delete(p.impairedSince, key)
		}
	}
	for key, ending := range p.dissolving {
		if ending.done && !present[key] {
			delete(p.dissolving, key)
		}
	}
}

// startDissolution marks a group as ending for the given reason.
func (p *Planner) startDissolution(key roster.GroupKey, reason string, now time.Time) {
	p.dissolving[key] = &dissolution{reason: reason, since: now}
	_ = level.Info(p.Logger).Log("event", "group_ends", "group", key.Name, "epoch", key.Epoch, "reason", reason)
}

// dissolve orders the heads of ending groups to leave. The other members are
// free only once the head has left or is gone, because until then it may serve.
func (p *Planner) dissolve(ctx context.Context, view *roster.View, now time.Time) {
	var orders errgroup.Group
	for _, group := range view.Groups {
		ending := p.dissolving[group.Key()]
		if ending == nil || (ending.done && !ending.memberReturned(group)) {
			continue
		}
		ending.done = false
		head := group.Head()
		if head.ID == "" {
			ending.done = p.headLeft(view, group.Key()) || p.headlessTooLong(group, now)
			if ending.done {
				_ = level.Info(p.Logger).Log("event", "head_forgotten", "group", group.Name, "epoch", group.Epoch)
			}
			continue
		}
		state := p.stateOf(head.Instance)
		orders.Go(func() error {
			result := p.orderLeave(ctx, view, head, state, group.Key(), now)
			_ = level.Info(p.Logger).Log("event", "head_judged", "group", group.Name, "epoch", group.Epoch, "instance", head.ID,
				"listed", head.Listed, "state", result)
			ending.done = result.gone()
			ending.presumedGone, ending.listedBefore = result == headPresumedGone, listedMembers(group)
			return nil
		})
	}
	_ = orders.Wait() // results are stored in the dissolutions
}

// memberReturned reports whether a member is listed again that was not listed
// when the head was presumed gone. The head may have been cut off together with
// that member, and may still serve.
func (d *dissolution) memberReturned(group *roster.Group) bool {
	if !d.presumedGone {
		return false
	}
	returned := false
	for _, member := range group.Members {
		if !member.Listed {
			delete(d.listedBefore, member.ID)
		}
		returned = returned || (member.Listed && !d.listedBefore[member.ID])
	}
	return returned
}

// listedMembers returns the IDs of the members that are listed.
func listedMembers(group *roster.Group) map[string]bool {
	listed := make(map[string]bool, len(group.Members))
	for _, member := range group.Members {
		if member.Listed {
			listed[member.ID] = true
		}
	}
	return listed
}

//go:generate go tool -modfile=../../tools/go.mod enumer -type=headState -transform=snake -trimprefix=head -output=headstate_enumer.go

// headState is the result of probing the head of an ending group or ordering it
// to leave.
type headState int

const (
	headUnknown      headState = iota // it does not answer but may still serve
	headAnswers                       // it answers and may still serve
	headLeft                          // it has left the group
	headReplaced                      // another process answers at its address
	headRefuses                       // its address refuses connections
	headPresumedGone                  // it is not listed and answers no host
)

// gone reports whether the head no longer serves the group.
func (s headState) gone() bool {
	return s == headLeft || s == headReplaced || s == headRefuses || s == headPresumedGone
}

// orderLeave orders the head to leave the group and returns the state in which
// it found the head.
func (p *Planner) orderLeave(ctx context.Context, view *roster.View, head roster.Entry, state *instanceState, key roster.GroupKey, now time.Time) headState {
	if view.Lost(head.Instance, now) {
		if result := p.probeHead(ctx, head); result != headAnswers {
			return result
		}
	}
	switch p.sendOrder(ctx, head.Instance, state, flamingodoor.InstanceOrder{
		Kind: flamingodoor.OrderKindLeave, Group: key.Name, Epoch: key.Epoch,
	}) {
	case flamingodoor.OrderResultBegun, flamingodoor.OrderResultHolds:
		return headLeft
	case flamingodoor.OrderResultOther:
		return headReplaced
	case flamingodoor.OrderResultUnknown:
		return p.probeHead(ctx, head)
	default:
		if p.headReportsLeft(ctx, head, key) {
			return headLeft
		}
		return headAnswers
	}
}

// probeHead reports whether a head answers or is gone. It is gone if no process
// or another one listens at its address, and presumed gone if it is not listed
// and answers no other host either. A head that lost its connections to the
// platform's store and to some hosts may still serve the other hosts.
func (p *Planner) probeHead(ctx context.Context, head roster.Entry) headState {
	probeCtx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	report, err := p.Instances.Report(probeCtx, head.Address)
	switch {
	case err == nil && report.ID != "" && (report.ID != head.ID || !report.StartedAt.Equal(head.StartedAt)):
		return headReplaced
	case err == nil:
		return headAnswers
	case connectionRefused(err):
		return headRefuses
	case !head.Listed && !p.ReachedElsewhere(ctx, head.Instance):
		return headPresumedGone
	default:
		return headUnknown
	}
}

// headReportsLeft reports whether the head answers that it is no longer in the
// group.
func (p *Planner) headReportsLeft(ctx context.Context, head roster.Entry, key roster.GroupKey) bool {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	report, err := p.Instances.Report(ctx, head.Address)
	if err != nil {
		return false
	}
	membership := report.Membership
	return membership.Group != key.Name || membership.Epoch != key.Epoch
}
