package planner

import (
	"context"
	"time"

	"github.com/go-kit/log/level"
	"golang.org/x/sync/errgroup"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/roster"
)

// probeUnlisted probes members whose registration expired. A member that only
// lost its connection to the platform's store still serves; one that does not
// answer is marked lost.
func (p *Planner) probeUnlisted(ctx context.Context, view *roster.View, now time.Time) {
	var probes errgroup.Group
	for _, group := range view.Groups {
		if p.dissolving[group.Key()] != nil {
			continue
		}
		for _, member := range group.Members {
			if member.ID == "" || member.Listed || view.Lost(member.Instance, now) || now.Sub(p.probedAt[member.ID]) < probeInterval {
				continue
			}
			p.probedAt[member.ID] = now
			probes.Go(func() error {
				p.probeMember(ctx, member.Instance)
				return nil
			})
		}
	}
	_ = probes.Wait() // results are stored in the roster
}

// recheckLost probes listed instances that some host reported lost, because that
// host itself may be cut off or slow.
func (p *Planner) recheckLost(ctx context.Context, view *roster.View, now time.Time) {
	for _, entry := range view.Entries {
		if !entry.Listed || !view.Lost(entry.Instance, now) || now.Sub(p.probedAt[entry.ID]) < probeInterval {
			continue
		}
		p.probedAt[entry.ID] = now
		p.background(func() { p.recheckInstance(ctx, entry.Instance, now) })
	}
}

// recheckInstance announces an instance as reachable if it answers. stepTime is
// the time of the planning step that started the probe.
func (p *Planner) recheckInstance(ctx context.Context, instance flamingodoor.Instance, stepTime time.Time) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	report, err := p.Instances.Report(ctx, instance.Address)
	if err != nil || !report.StartedAt.Equal(instance.StartedAt) {
		return // lost, or replaced by a restarted process
	}
	_ = level.Info(p.Logger).Log("event", "member_found", "instance", instance.ID)
	p.AnnounceReachable(instance, stepTime)
}

// probeMember marks an instance as lost in the roster unless it answers.
func (p *Planner) probeMember(ctx context.Context, instance flamingodoor.Instance) {
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
