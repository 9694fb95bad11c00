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
		ready, silent, failure := p.progress(view, key, group, now)
		switch {
		case group.opening && headIsOpen(view, key, group):
			delete(p.pending, key)
			_ = level.Info(p.Logger).Log("event", "group_open", "group", key.Name, "epoch", key.Epoch, "model", group.modelID)
		case failure == "" && silent:
			// The deadline waits until the member answers or is found to be gone.
			group.deadline = group.deadline.Add(now.Sub(p.steppedAt))
		case failure != "" || (group.late(now) && !p.headAwaitsPath(view, group, ready, now)):
			delete(p.pending, key)
			if failure == "" {
				failure = "late"
			}
			p.startDissolution(key, failure)
		case ready && !group.opening && !now.Before(group.retryAt):
			if group.retryAt.IsZero() {
				group.deadline = now.Add(completionMargin) // of orders to open
			}
			group.opening, group.retryAt = true, now.Add(probeInterval)
			head := group.members[0]
			state := p.stateOf(head)
			orders.Go(func() error {
				result := p.sendOrder(ctx, head, state, flamingodoor.InstanceOrder{
					Kind: flamingodoor.OrderKindOpen, Group: key.Name, Epoch: key.Epoch,
				})
				group.opening = result != flamingodoor.OrderResultUnknown
				if group.opening {
					group.deadline = now.Add(completionMargin)
				}
				return nil
			})
		case !ready:
			p.repeatJoins(ctx, key, group, now)
		}
	}
	_ = orders.Wait() // results appear in the members' registrations
}

// headAwaitsPath reports whether only the leader's lack of a path to the head keeps a
// pending group from opening.
func (p *Planner) headAwaitsPath(view *roster.View, group *pendingGroup, ready bool, now time.Time) bool {
	head := group.members[0]
	return ready && !group.opening && (view.Unreachable(head, now) || p.stateOf(head).unanswered.Load())
}

// progress reports whether all members of a pending group are ready and whether one is
// silent, or why the group cannot be completed.
func (p *Planner) progress(view *roster.View, key roster.GroupKey, group *pendingGroup, now time.Time) (ready, silent bool, failure string) {
	ready = true
	for rank, member := range group.members {
		entry, ok := view.Entries[member.ID]
		if !ok || !entry.StartedAt.Equal(member.StartedAt) || p.isGone(view, entry.Instance, now) {
			return false, false, "member_lost"
		}
		if entry.Leaving {
			return false, false, "member_leaving"
		}
		membership := entry.Membership
		if membership.Epoch > key.Epoch {
			return false, false, "member_taken"
		}
		silent = silent || view.Lost(entry.Instance, now)
		joined := membership.Group == key.Name && membership.Epoch == key.Epoch && membership.Rank == rank
		if !joined || (membership.State != flamingodoor.MembershipStateReady && membership.State != flamingodoor.MembershipStateOpen) {
			ready = false
		}
	}
	return ready, silent, ""
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
	clear(p.awaited)
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

// memberSummary tells what the members of a group are like.
type memberSummary struct {
	complete bool // every rank is reported
	ready    bool // and every member is ready or leaving
	gone     bool // one is lost for good
	silent   bool // one is marked as lost
	leaving  bool // one is leaving
}

func (p *Planner) summarise(view *roster.View, group *roster.Group, size int, now time.Time) memberSummary {
	complete := len(group.Members) == size
	found := memberSummary{complete: complete, ready: complete}
	for _, member := range group.Members {
		switch {
		case member.ID == "":
			found.complete, found.ready = false, false
		case view.Lost(member.Instance, now):
			found.silent = true
			found.gone = found.gone || p.isGone(view, member.Instance, now)
		case member.Leaving:
			found.leaving = true
		case member.Membership.State != flamingodoor.MembershipStateReady:
			found.ready = false
		}
	}
	return found
}

// endReason returns why the group has to be dissolved, or an empty string if it
// may stay.
func (p *Planner) endReason(view *roster.View, group *roster.Group, size int, now time.Time) string {
	key, head := group.Key(), group.Head()
	members := p.summarise(view, group, size, now)
	open := head.Membership.State == flamingodoor.MembershipStateOpen
	switch {
	case len(group.Members) > size:
		return "size"
	case members.gone:
		return "member_lost"
	case p.mayLackRegistrations(members, head, now):
		return ""
	case head.ID == "":
		return p.headlessReason(group, now)
	case !head.Listed:
		return "head_unlisted"
	case members.silent:
		p.awaited[key] = members.complete && open && !members.leaving
		return ""
	case view.Stalled(key, now):
		return "stalled"
	case members.leaving:
		return p.leavingReason(group, key, now)
	case members.complete && open:
		delete(p.impairedSince, key)
		return p.retirementReason(view, group, key, now)
	case open:
		// The group opened when all members were ready, so one has left since.
		return "member_gone"
	case head.Membership.State == flamingodoor.MembershipStateBroken:
		return "broken"
	default:
		return p.adopt(group, members.ready, size, now)
	}
}

// retirementReason returns the reason to dissolve a retiring group, and an empty
// string while it still drains. Draining takes at least a quarter of
// drainTimeout, until the group's requests have finished or drainTimeout is over.
func (p *Planner) retirementReason(view *roster.View, group *roster.Group, key roster.GroupKey, now time.Time) string {
	since, ok := p.retiring[key]
	if !ok && view.Retiring(key, now) {
		// An earlier leader retired the group, and no host sends to it.
		p.retiring[key], since, ok = now, now, true
	}
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
	if !ok || !p.listSettled(now) {
		p.impairedSince[key] = now
		return ""
	}
	if now.Sub(since) > incompleteTimeout+time.Duration(size)*rejoinDelay {
		return "incomplete"
	}
	return ""
}

// leavingReason returns the reason to dissolve a group with a leaving member once it
// has finished its requests, after at least a quarter of drainTimeout, or drainTimeout
// is over, and an empty string before that.
func (p *Planner) leavingReason(group *roster.Group, key roster.GroupKey, now time.Time) string {
	since, ok := p.impairedSince[key]
	if !ok {
		p.impairedSince[key] = now
		return ""
	}
	waited := now.Sub(since)
	if waited > drainTimeout || (waited > drainTimeout/4 && p.InFlight(group.Head().ID) == 0) {
		return "member_leaving"
	}
	return ""
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
