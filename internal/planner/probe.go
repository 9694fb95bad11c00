package planner

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"flamingodoor.example/flamingodoor/internal/roster"
)

// probeDoubtful probes members whose registration expired and members that this host
// did not reach lately. A member that only lost its connection to the platform's store
// still serves; one that answers no host is marked lost.
func (p *Planner) probeDoubtful(ctx context.Context, view *roster.View, now time.Time) {
	for _, group := range view.Groups {
		if p.dissolving[group.Key()] != nil {
			continue
		}
		for _, member := range group.Members {
			doubtful := !member.Listed || view.Unreachable(member.Instance, now)
			if member.ID == "" || !doubtful || view.Lost(member.Instance, now) || now.Sub(p.probedAt[member.ID]) < probeInterval {
				continue
			}
			p.probedAt[member.ID] = now
			p.background(func() { p.probeMember(ctx, member) })
		}
	}
}

// probeUnanswered probes the instances that did not answer their latest order, unless
// their group repeats its orders: until they answer, they are given no others.
func (p *Planner) probeUnanswered(ctx context.Context, view *roster.View, now time.Time) {
	for id, state := range p.states {
		entry, ok := view.Entries[id]
		if !state.unanswered.Load() || !ok || !entry.StartedAt.Equal(state.startedAt) || view.Lost(entry.Instance, now) ||
			p.pending[groupKey(entry.Membership)] != nil || p.dissolving[groupKey(entry.Membership)] != nil || now.Sub(p.probedAt[id]) < probeInterval {
			continue
		}
		p.probedAt[id] = now
		p.background(func() {
			probeCtx, cancel := context.WithTimeout(ctx, orderTimeout)
			defer cancel()
			_, err := p.Instances.Report(probeCtx, entry.Address)
			state.unanswered.Store(err != nil)
		})
	}
}

// probeMember marks an instance as lost in the roster unless it answers this host or a
// peer. The silence of one that is listed is left to the hosts whose streams it holds up.
// A host whose own paths fail learns nothing of the instance, and asks no peer: it would
// have them all probe all instances at once.
func (p *Planner) probeMember(ctx context.Context, instance roster.Entry) {
	probeCtx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	report, err := p.Instances.Report(probeCtx, instance.Address)
	now := p.now()
	if err == nil && report.StartedAt.Equal(instance.StartedAt) {
		return
	}
	if err != nil && instance.Listed && !connectionRefused(err) {
		return
	}
	reached, known := false, true
	if err != nil {
		known = p.PathsSound(ctx, instance.Instance)
	}
	if err != nil && known {
		reached, known = p.ReachedElsewhere(ctx, instance.Instance)
	}
	switch {
	case reached, !known:
		p.Roster.MarkUnreachable(instance.ID, instance.StartedAt, now)
	default:
		_ = level.Info(p.Logger).Log("event", "member_lost", "instance", instance.ID, "err", err)
		p.Roster.MarkLost(instance.ID, instance.StartedAt, now)
		p.Wake()
	}
	p.Roster.Publish(now)
}
