package planner

import (
	"context"
	"time"

	"github.com/go-kit/log/level"
	"golang.org/x/sync/errgroup"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/roster"
)

// probeGhosts asks members whose entry lapsed: one that only lost the store
// serves on, one that does not answer is lost.
func (p *Planner) probeGhosts(ctx context.Context, view *roster.View, now time.Time) {
	var group errgroup.Group
	for _, each := range view.Groups {
		if p.dissolving[each.Key()] != nil {
			continue
		}
		for _, member := range each.Members {
			if member.ID == "" || member.Listed || view.Lost(member.Instance, now) || now.Sub(p.probed[member.ID]) < probeEvery {
				continue
			}
			p.probed[member.ID] = now
			group.Go(func() error {
				p.probe(ctx, member.Instance)
				return nil
			})
		}
	}
	_ = group.Wait() // probes report through the roster
}

// checkLosses asks listed instances that a host found lost. The host may be the
// one that is cut off or slow.
func (p *Planner) checkLosses(ctx context.Context, view *roster.View, now time.Time) {
	for _, entry := range view.Entries {
		if !entry.Listed || !view.Lost(entry.Instance, now) || now.Sub(p.probed[entry.ID]) < probeEvery {
			continue
		}
		p.probed[entry.ID] = now
		p.background(func() { p.checkLoss(ctx, entry.Instance, now) })
	}
}

func (p *Planner) checkLoss(ctx context.Context, instance flamingodoor.Instance, asked time.Time) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	report, err := p.Instances.Report(ctx, instance.Address)
	if err != nil || !report.StartedAt.Equal(instance.StartedAt) {
		return // lost, or replaced by another life
	}
	_ = level.Info(p.Logger).Log("event", "member_found", "instance", instance.ID)
	p.Found(instance, asked)
}

func (p *Planner) probe(ctx context.Context, instance flamingodoor.Instance) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	report, err := p.Instances.Report(ctx, instance.Address)
	if err == nil && report.StartedAt.Equal(instance.StartedAt) {
		return
	}
	now := p.now()
	_ = level.Info(p.Logger).Log("event", "member_lost", "instance", instance.ID, "err", err)
	p.Roster.MarkLost(instance.ID, instance.StartedAt, now)
	p.Roster.Publish(now)
}
