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

// advance opens the groups whose members are all ready and gives up those
// that do not get there.
func (p *Planner) advance(ctx context.Context, view *roster.View, now time.Time) {
	var orders errgroup.Group
	for key, group := range p.pending {
		ready, failed := p.progress(view, key, group, now)
		switch {
		case group.opening && headOpen(view, key, group):
			delete(p.pending, key)
			_ = level.Info(p.Logger).Log("event", "group_open", "group", key.Name, "epoch", key.Epoch, "model", group.model)
		case failed != "" || now.After(group.deadline):
			delete(p.pending, key)
			if failed == "" {
				failed = "late"
			}
			p.end(key, failed, now)
		case ready && !group.opening:
			group.opening = true
			group.deadline = now.Add(formSlack)
			head := group.members[0]
			state := p.member(head)
			orders.Go(func() error {
				p.order(ctx, head, state, flamingodoor.InstanceOrder{
					Kind: flamingodoor.OrderKindOpen, Group: key.Name, Epoch: key.Epoch,
				})
				return nil
			})
		}
	}
	_ = orders.Wait() // results show in the members' entries
}

// progress reports whether all members are ready, or why one never will be.
func (p *Planner) progress(view *roster.View, key roster.GroupKey, group *pendingGroup, now time.Time) (ready bool, failed string) {
	ready = true
	for rank, member := range group.members {
		entry, ok := view.Entries[member.ID]
		if !ok || !entry.StartedAt.Equal(member.StartedAt) || view.Lost(entry.Instance, now) {
			return false, "member_lost"
		}
		if entry.Leaving {
			return false, "member_leaving"
		}
		held := entry.Membership
		if held.Epoch > key.Epoch {
			return false, "member_taken"
		}
		in := held.Group == key.Name && held.Epoch == key.Epoch && held.Rank == rank
		if !in || (held.State != flamingodoor.MembershipStateReady && held.State != flamingodoor.MembershipStateOpen) {
			ready = false
		}
	}
	return ready, ""
}

func headOpen(view *roster.View, key roster.GroupKey, group *pendingGroup) bool {
	held := view.Entries[group.members[0].ID].Membership
	return held.Group == key.Name && held.Epoch == key.Epoch && held.State == flamingodoor.MembershipStateOpen
}

// review looks for groups that have to end and for those that another planner
// left half formed.
func (p *Planner) review(index *catalogue.Index, view *roster.View, now time.Time) {
	for _, group := range view.Groups {
		key := group.Key()
		if _, forming := p.pending[key]; forming || p.dissolving[key] != nil {
			continue
		}
		spec, ok := modelSpec(index, group.Service, group.ModelID)
		if !ok || p.Book.Evacuated(group.DataCentre) {
			continue
		}
		if reason := p.verdict(view, group, spec.InstancesPerGroup, now); reason != "" {
			p.end(key, reason, now)
		}
	}
	p.forget(view)
}

// verdict returns why the group has to end, or nothing.
func (p *Planner) verdict(view *roster.View, group *roster.Group, size int, now time.Time) string {
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
		return "" // its members are free
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
		delete(p.firstSeen, key)
		return p.retired(group, key, now)
	}
	if open {
		// It opened when all were ready: one has left it since.
		return "member_gone"
	}
	if head.Membership.State == flamingodoor.MembershipStateBroken {
		return "broken"
	}
	return p.adopt(group, ready, size, now)
}

// retired reports whether a group that takes no more work has finished.
func (p *Planner) retired(group *roster.Group, key roster.GroupKey, now time.Time) string {
	since, ok := p.retiring[key]
	if !ok {
		return ""
	}
	waited := now.Sub(since)
	if waited > drainPatience || (waited > drainPatience/4 && p.InFlight(group.Head().ID) == 0) {
		return "rebalanced"
	}
	return ""
}

// adopt takes over a group that another planner left ready, and ends one that
// stays incomplete.
func (p *Planner) adopt(group *roster.Group, ready bool, size int, now time.Time) string {
	key := group.Key()
	if ready {
		pending := &pendingGroup{service: group.Service, model: group.ModelID, deadline: now.Add(formSlack)}
		for _, member := range group.Members {
			pending.members = append(pending.members, member.Instance)
		}
		p.pending[key] = pending
		return ""
	}
	seen, ok := p.firstSeen[key]
	if !ok {
		p.firstSeen[key] = now
		return ""
	}
	if now.Sub(seen) > adoptAfter+time.Duration(size)*rejoinDelay {
		return "incomplete"
	}
	return ""
}

// drained reports whether a group with a leaving member has no work left.
func (p *Planner) drained(group *roster.Group, key roster.GroupKey, now time.Time) bool {
	seen, ok := p.firstSeen[key]
	if !ok {
		p.firstSeen[key] = now
		return false
	}
	waited := now.Sub(seen)
	return waited > drainPatience || (waited > drainPatience/4 && p.InFlight(group.Head().ID) == 0)
}

func (p *Planner) forget(view *roster.View) {
	present := make(map[roster.GroupKey]bool, len(view.Groups))
	for _, group := range view.Groups {
		present[group.Key()] = true
	}
	for key := range p.retiring {
		if !present[key] {
			delete(p.retiring, key)
		}
	}
	for key := range p.firstSeen {
		if !present[key] {
			delete(p.firstSeen, key)
		}
	}
	for key, ending := range p.dissolving {
		if ending.done && !present[key] {
			delete(p.dissolving, key)
		}
	}
}

func (p *Planner) end(key roster.GroupKey, reason string, now time.Time) {
	p.dissolving[key] = &dissolution{reason: reason, since: now}
	_ = level.Info(p.Logger).Log("event", "group_ends", "group", key.Name, "epoch", key.Epoch, "reason", reason)
}

// dissolve tells the heads of ending groups to leave. The other members are
// free once the head has left or is gone: until then it might serve.
func (p *Planner) dissolve(ctx context.Context, view *roster.View, now time.Time) {
	var orders errgroup.Group
	for _, group := range view.Groups {
		ending := p.dissolving[group.Key()]
		if ending == nil || (ending.done && !ending.outdated(group)) {
			continue
		}
		ending.done = false
		head := group.Head()
		if head.ID == "" {
			ending.done = p.headElsewhereNow(view, group.Key()) || p.headless(group, now)
			continue
		}
		state := p.member(head.Instance)
		orders.Go(func() error {
			found := p.dismiss(ctx, view, head, state, group.Key(), now)
			ending.done = found == headGone || found == headPresumedGone
			ending.presumed, ending.listed = found == headPresumedGone, listedMembers(group)
			return nil
		})
	}
	_ = orders.Wait() // results are kept with the dissolutions
}

// outdated reports whether members came back that were not listed when the head
// was presumed gone: it may have been cut off with them, and serve.
func (d *dissolution) outdated(group *roster.Group) bool {
	if !d.presumed {
		return false
	}
	outdated := false
	for _, member := range group.Members {
		if !member.Listed {
			delete(d.listed, member.ID)
		}
		outdated = outdated || (member.Listed && !d.listed[member.ID])
	}
	return outdated
}

func listedMembers(group *roster.Group) map[string]bool {
	listed := make(map[string]bool, len(group.Members))
	for _, member := range group.Members {
		if member.Listed {
			listed[member.ID] = true
		}
	}
	return listed
}

// headState is what the planner finds of the head of an ending group.
type headState int

const (
	headUnknown headState = iota
	headAnswers
	headGone         // it leads the group no more
	headPresumedGone // it left the list and answers nobody
)

// dismiss tells the head to leave the group.
func (p *Planner) dismiss(ctx context.Context, view *roster.View, head roster.Entry, state *memberState, key roster.GroupKey, now time.Time) headState {
	if view.Lost(head.Instance, now) {
		if found := p.askHead(ctx, head); found != headAnswers {
			return found
		}
	}
	switch p.order(ctx, head.Instance, state, flamingodoor.InstanceOrder{
		Kind: flamingodoor.OrderKindLeave, Group: key.Name, Epoch: key.Epoch,
	}) {
	case flamingodoor.OrderResultBegun, flamingodoor.OrderResultHolds, flamingodoor.OrderResultOther:
		return headGone
	case flamingodoor.OrderResultUnknown:
		return p.askHead(ctx, head)
	default:
		if p.headElsewhere(ctx, head, key) {
			return headGone
		}
		return headAnswers
	}
}

// askHead reports whether a head answers or is gone: its host has no process at
// the address, or it left the list and answers no other host either. One that
// lost the store and some hosts may still serve the rest.
func (p *Planner) askHead(ctx context.Context, head roster.Entry) headState {
	asked, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	report, err := p.Instances.Report(asked, head.Address)
	switch {
	case err == nil && report.ID != "" && (report.ID != head.ID || !report.StartedAt.Equal(head.StartedAt)):
		return headGone
	case err == nil:
		return headAnswers
	case connectionRefused(err):
		return headGone
	case !head.Listed && !p.ReachedElsewhere(ctx, head.Instance):
		return headPresumedGone
	default:
		return headUnknown
	}
}

// headElsewhere reports whether the head says that it is in another group.
func (p *Planner) headElsewhere(ctx context.Context, head roster.Entry, key roster.GroupKey) bool {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	report, err := p.Instances.Report(ctx, head.Address)
	if err != nil {
		return false
	}
	held := report.Membership
	return held.Group != key.Name || held.Epoch != key.Epoch
}
