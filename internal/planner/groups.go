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
			p.startDissolution(key, failure)
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
			p.startDissolution(key, reason)
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
		return p.headlessReason(group, now)
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
		if left, abandoned := ending.ended(); (left || abandoned) && !present[key] {
			delete(p.dissolving, key)
		}
	}
}
