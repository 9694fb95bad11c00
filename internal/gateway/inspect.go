package gateway

import (
	"context"
	"time"

	"github.com/go-kit/log/level"
	"golang.org/x/sync/errgroup"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/reach"
	"flamingodoor.example/flamingodoor/internal/roster"
	"flamingodoor.example/flamingodoor/internal/stall"
)

// inspect probes the members of a silent group. Those that do not answer get no
// requests of this host; if witnesses confirm it, they are reported to the peers as
// lost. A member that asked for no requests and was probed since is left out.
func (g *Gateway) inspect(ctx context.Context, group *roster.Group) stall.Inspection {
	inspection := stall.Inspection{Slowdown: noSlowdown}
	findings := make([]reach.Finding, len(group.Members))
	var probes errgroup.Group
	g.paths.Failed(group.Head().Instance, time.Now())
	for rank, member := range group.Members {
		if member.ID == "" {
			continue
		}
		if !g.proxy.MayProbe(member.Instance) {
			inspection.HeadUnknown = inspection.HeadUnknown || rank == 0
			continue
		}
		probes.Go(func() error {
			findings[rank] = g.prober.Examine(ctx, member.Instance)
			return nil
		})
	}
	_ = probes.Wait() // probes write to the findings and return no errors
	lost := 0
	for rank, found := range findings {
		if found.Instance.ID == "" {
			continue
		}
		inspection.Slowdown = max(inspection.Slowdown, found.Report.Slowdown)
		if rank == 0 {
			inspection.HeadLoad = stall.HeadLoad{Running: found.Report.Running, KVTokensUsed: found.Report.KVTokensUsed}
		}
		if found.Lost {
			lost++
		}
		// The streams of a head that this host does not reach go on elsewhere,
		// whatever other hosts see of it.
		if found.Lost || (rank == 0 && !found.Answers) {
			inspection.Lost = append(inspection.Lost, found.Instance.ID)
		}
	}
	unreachable := g.recordFindings(findings)
	_ = level.Info(g.logger).Log("event", "group_inspected", "group", group.Name, "epoch", group.Epoch,
		"lost", lost, "unreachable", unreachable, "pace", inspection.Slowdown, "running", inspection.HeadLoad.Running, "memory", inspection.HeadLoad.KVTokensUsed)
	return inspection
}

// recordFindings updates the marks of the members, reports those that are lost to
// the peers, and returns how many do not answer this host.
func (g *Gateway) recordFindings(findings []reach.Finding) (unreachable int) {
	now := time.Now()
	var losses []lossReport
	for _, found := range findings {
		if found.Instance.ID == "" {
			continue
		}
		if found.Answers {
			g.roster.MarkReached(found.Instance.ID, found.Instance.StartedAt, now)
			continue
		}
		unreachable++
		g.roster.MarkUnreachable(found.Instance.ID, found.Instance.StartedAt, now)
		if found.Lost {
			g.roster.MarkLost(found.Instance.ID, found.Instance.StartedAt, now)
			losses = append(losses, lossReport{instanceID: found.Instance.ID, startedAt: found.Instance.StartedAt, at: now})
		}
	}
	g.roster.Publish(now)
	if len(losses) > 0 {
		g.shared.publishLosses(losses...)
	}
	if unreachable > 0 {
		g.tracker.Wake()
		g.planner.Wake()
	}
	return unreachable
}

// markCrashed records that the process of an instance has ended, as a witness confirms,
// and sends this to the peers.
func (g *Gateway) markCrashed(instance flamingodoor.Instance) {
	now := time.Now()
	g.roster.MarkLost(instance.ID, instance.StartedAt, now)
	g.roster.Publish(now)
	g.shared.publishLosses(lossReport{instanceID: instance.ID, startedAt: instance.StartedAt, at: now})
	g.suspectStreamsOfLostGroups(now)
	g.tracker.Wake()
	g.planner.Wake()
}

// markStalled records that a group makes no progress and sends this to the peers. A
// stranded host knows nothing of the group's progress.
func (g *Gateway) markStalled(key roster.GroupKey) {
	if g.paths.Stranded() {
		return
	}
	now := time.Now()
	_ = level.Info(g.logger).Log("event", "group_stalled", "group", key.Name, "epoch", key.Epoch)
	g.roster.MarkStalled(key, now)
	g.roster.Publish(now)
	g.shared.publishLosses(lossReport{group: key, at: now})
}
