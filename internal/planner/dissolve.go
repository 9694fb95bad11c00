package planner

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log/level"
	"golang.org/x/sync/errgroup"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/roster"
)

// repeatedLeaveInterval is the time between two orders to leave to a silent head that
// is listed, or to an instance of a group whose head the planner has given up on.
const repeatedLeaveInterval = time.Second

// dissolution is the state of a group that is being dissolved. The instances of
// the group are free once its head has left. If the planner gives up on the head,
// which may still serve, each instance is free once it has left itself.
type dissolution struct {
	// orderedAt holds the latest order to leave of each instance, by ID: of the head
	// and, once the planner has given up on it, of the others.
	orderedAt map[string]time.Time
	since     time.Time // when the group began to end
	retired   bool      // all hosts were told to send nothing more to the head

	mu        sync.Mutex
	headLeft  bool
	silent    bool                 // the head did not answer the latest order
	abandoned bool                 // the planner has given up on the head
	left      map[string]time.Time // process start of the instances that have left, by ID
}

// released reports whether an instance of the group may join another one.
func (d *dissolution) released(instance flamingodoor.Instance) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	startedAt, left := d.left[instance.ID]
	return d.headLeft || (left && startedAt.Equal(instance.StartedAt))
}

// ended reports whether the head has left, and otherwise whether the planner has
// given up on it.
func (d *dissolution) ended() (headLeft, abandoned bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.headLeft, !d.headLeft && d.abandoned
}

// recordHead records what the planner found out about the head.
func (d *dissolution) recordHead(state headState) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.headLeft = d.headLeft || state.left()
	d.silent = state == headUnknown
	d.abandoned = d.abandoned || state.unreachable()
}

// awaitsHead reports whether the latest order to the head had no answer.
func (d *dissolution) awaitsHead() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.silent
}

// recordLeft records that an instance has left the group.
func (d *dissolution) recordLeft(instance flamingodoor.Instance) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.left[instance.ID] = instance.StartedAt
}

// mayOrder reports whether an instance may be ordered to leave again now, and records
// that it is.
func (d *dissolution) mayOrder(id string, now time.Time, interval time.Duration) bool {
	if now.Sub(d.orderedAt[id]) < interval {
		return false
	}
	d.orderedAt[id] = now
	return true
}

// startDissolution marks a group as ending for the given reason.
func (p *Planner) startDissolution(key roster.GroupKey, reason string) {
	p.dissolving[key] = &dissolution{since: p.now(), orderedAt: make(map[string]time.Time), left: make(map[string]time.Time)}
	_ = level.Info(p.Logger).Log("event", "group_ends", "group", key.Name, "epoch", key.Epoch, "reason", reason)
}

// headlessReason returns the reason to dissolve a group whose head is not known,
// and an empty string while the head may only have lost its connection to the
// platform's store.
func (p *Planner) headlessReason(group *roster.Group, now time.Time) string {
	switch {
	case p.headHasOtherGroup(group):
		return "head_in_other_group"
	case p.headlessTooLong(group, now):
		return "headless"
	default:
		return ""
	}
}

// headHasOtherGroup reports whether the missing head of a group has a later
// group in the head store or is listed with another membership.
func (p *Planner) headHasOtherGroup(group *roster.Group) bool {
	if p.inheritedHeads == nil {
		return false
	}
	head, ok := p.inheritedHeads[group.Key()]
	if !ok {
		return true
	}
	entry, known := p.Roster.View().Entries[head.ID]
	return known && entry.Listed
}

// headlessTooLong reports whether a group has had no known head for longer than
// headlessTimeout.
func (p *Planner) headlessTooLong(group *roster.Group, now time.Time) bool {
	since, ok := p.impairedSince[group.Key()]
	if !ok {
		p.impairedSince[group.Key()] = now
		return false
	}
	return now.Sub(since) > headlessTimeout
}

// dissolve orders the heads of ending groups to leave. A step does not wait for the
// repeated orders to a silent head. A head that cannot be
// reached may still serve, so the other members are ordered to leave as well:
// without them it serves no request, and breaks.
func (p *Planner) dissolve(ctx context.Context, view *roster.View, now time.Time) {
	var orders errgroup.Group
	for _, group := range view.Groups {
		ending := p.dissolving[group.Key()]
		if ending == nil {
			continue
		}
		left, abandoned := ending.ended()
		head := group.Head()
		switch {
		case left:
		case head.ID == "":
			ending.recordHead(headForgotten)
		case !abandoned && p.isDark(view, head.Instance, now):
			_ = level.Info(p.Logger).Log("event", "head_judged", "group", group.Name, "epoch", group.Epoch, "instance", head.ID,
				"listed", head.Listed, "state", headDark)
			ending.recordHead(headDark)
		case !abandoned && !ending.awaitsHead():
			ending.orderedAt[head.ID] = now
			state := p.stateOf(head.Instance)
			orders.Go(func() error {
				p.endHead(ctx, view, group, state, ending, now)
				return nil
			})
		case !abandoned && !head.Listed && ending.mayOrder(head.ID, now, probeInterval), ending.mayOrder(head.ID, now, repeatedLeaveInterval):
			state := p.stateOf(head.Instance)
			p.background(func() { p.endHead(ctx, view, group, state, ending, now) })
		}
	}
	_ = orders.Wait() // results are stored in the dissolutions
}

// endHead orders the head of an ending group to leave, and records the result.
func (p *Planner) endHead(ctx context.Context, view *roster.View, group *roster.Group, state *instanceState, ending *dissolution, now time.Time) {
	head := group.Head()
	found := p.orderLeave(ctx, view, head, state, group.Key(), now)
	_ = level.Info(p.Logger).Log("event", "head_judged", "group", group.Name, "epoch", group.Epoch, "instance", head.ID,
		"listed", head.Listed, "state", found)
	ending.recordHead(found)
}

// releaseMembers makes all hosts send nothing more to abandoned groups, and
// orders their members to leave. A step waits only for the first order to each.
func (p *Planner) releaseMembers(ctx context.Context, view *roster.View, now time.Time) {
	var orders errgroup.Group
	for _, group := range view.Groups {
		ending := p.dissolving[group.Key()]
		if ending == nil {
			continue
		}
		if _, abandoned := ending.ended(); !abandoned {
			continue
		}
		if !ending.retired {
			ending.retired = true
			p.Retire(group.Key())
		}
		for rank, member := range group.Members {
			if rank == 0 || member.ID == "" || !member.Listed || view.Lost(member.Instance, now) || ending.released(member.Instance) {
				continue
			}
			_, repeated := ending.orderedAt[member.ID]
			if !ending.mayOrder(member.ID, now, repeatedLeaveInterval) {
				continue
			}
			state := p.stateOf(member.Instance)
			release := func() {
				if p.sendLeave(ctx, member, state, group.Key()).left() {
					ending.recordLeft(member.Instance)
				}
			}
			if repeated {
				p.background(release)
				continue
			}
			orders.Go(func() error {
				release()
				return nil
			})
		}
	}
	_ = orders.Wait() // results are stored in the dissolutions
}

//go:generate go tool -modfile=../../tools/go.mod enumer -type=headState -transform=snake -trimprefix=head -output=headstate_enumer.go

// headState is what the planner knows about an instance of an ending group, in
// most cases its head.
type headState int

const (
	headUnknown   headState = iota // it does not answer but may still serve
	headAnswers                    // it answers and may still serve
	headLeft                       // it has left the group
	headReplaced                   // another process answers at its address
	headRefuses                    // its address refuses the connections of all hosts
	headUnlisted                   // it is not listed and answers no host
	headForgotten                  // it is not known
	headDark                       // no host can open a connection to its machine
)

// left reports whether the instance is known to have left the group.
func (s headState) left() bool {
	return s == headLeft || s == headReplaced
}

// unreachable reports whether the planner gives up on the instance, which may
// still serve.
func (s headState) unreachable() bool {
	return s == headRefuses || s == headUnlisted || s == headForgotten || s == headDark
}

// orderLeave orders the head to leave the group and returns the state in which
// it found the head.
func (p *Planner) orderLeave(ctx context.Context, view *roster.View, head roster.Entry, state *instanceState, key roster.GroupKey, now time.Time) headState {
	if view.Lost(head.Instance, now) {
		if found := p.probeHead(ctx, head); found != headAnswers {
			return found
		}
	}
	found := p.sendLeave(ctx, head, state, key)
	if found == headUnknown {
		return p.probeHead(ctx, head)
	}
	return found
}

// sendLeave orders an instance to leave the group.
func (p *Planner) sendLeave(ctx context.Context, instance roster.Entry, state *instanceState, key roster.GroupKey) headState {
	switch p.sendOrder(ctx, instance.Instance, state, flamingodoor.InstanceOrder{
		Kind: flamingodoor.OrderKindLeave, Group: key.Name, Epoch: key.Epoch,
	}) {
	case flamingodoor.OrderResultBegun, flamingodoor.OrderResultHolds:
		return headLeft
	case flamingodoor.OrderResultOther:
		return headReplaced
	case flamingodoor.OrderResultUnknown:
		return headUnknown
	default:
		// The order fits no longer if the instance has left. Reports show that
		// with a delay.
		p.pause(ctx, reportLag)
		if p.reportsLeft(ctx, instance, key) {
			return headLeft
		}
		return headAnswers
	}
}

// probeHead reports whether a head answers or another process does so at its
// address. If neither does, and it answers no other host, it is given up on where its
// port is closed or where it is not listed. A head that lost its connections to
// the platform's store and to some hosts may still serve the other hosts.
func (p *Planner) probeHead(ctx context.Context, head roster.Entry) headState {
	probeCtx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	report, err := p.Instances.Report(probeCtx, head.Address)
	switch {
	case err == nil && isOtherProcess(report.Instance, head.Instance):
		return headReplaced
	case err == nil:
		return headAnswers
	case connectionRefused(err) && p.reachedByNone(ctx, head.Instance):
		return headRefuses
	case connectionRefused(err):
		return headUnknown
	case !head.Listed && p.reachedByNone(ctx, head.Instance):
		return headUnlisted
	default:
		return headUnknown
	}
}

// reachedByNone reports whether an instance that does not answer this host is known to
// answer no peer either.
func (p *Planner) reachedByNone(ctx context.Context, instance flamingodoor.Instance) bool {
	reached, known := p.ReachedElsewhere(ctx, instance)
	return known && !reached
}

// isOtherProcess reports whether a report comes from a process other than the
// registered one. A field that either of them lacks says nothing about it.
func isOtherProcess(reported, registered flamingodoor.Instance) bool {
	return (reported.ID != "" && reported.ID != registered.ID) ||
		(!reported.StartedAt.IsZero() && !registered.StartedAt.IsZero() && !reported.StartedAt.Equal(registered.StartedAt))
}

// reportsLeft reports whether an instance answers that it is no longer in the
// group.
func (p *Planner) reportsLeft(ctx context.Context, instance roster.Entry, key roster.GroupKey) bool {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	report, err := p.Instances.Report(ctx, instance.Address)
	return err == nil && report.StartedAt.Equal(instance.StartedAt) && groupKey(report.Membership) != key
}
