package gateway

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"github.com/go-kit/log/level"
	"golang.org/x/sync/errgroup"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/roster"
	"flamingodoor.example/flamingodoor/internal/stall"
)

// finding is what an inspection found of a member of a group.
type finding struct {
	instance flamingodoor.Instance
	report   flamingodoor.InstanceReport
	answers  bool // this host
	lost     bool // witnesses confirm that it answers nobody
}

// inspect probes the members of a silent group. Those that do not answer get no
// requests of this host; if witnesses confirm it, they are reported to the peers as
// lost. A member that asked for no requests and was probed since is left out.
func (g *Gateway) inspect(ctx context.Context, group *roster.Group) stall.Inspection {
	inspection := stall.Inspection{Slowdown: noSlowdown}
	findings := make([]*finding, len(group.Members))
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
			findings[rank] = g.examineMember(ctx, member.Instance)
			return nil
		})
	}
	_ = probes.Wait() // probes write to the findings and return no errors
	lost := 0
	for rank, found := range findings {
		if found == nil {
			continue
		}
		inspection.Slowdown = max(inspection.Slowdown, found.report.Slowdown)
		if rank == 0 {
			inspection.HeadLoad = stall.HeadLoad{Running: found.report.Running, KVTokensUsed: found.report.KVTokensUsed}
		}
		if found.lost {
			lost++
		}
		// The streams of a head that this host does not reach go on elsewhere,
		// whatever other hosts see of it.
		if found.lost || (rank == 0 && !found.answers) {
			inspection.Lost = append(inspection.Lost, found.instance.ID)
		}
	}
	unreachable := g.recordFindings(findings)
	_ = level.Info(g.logger).Log("event", "group_inspected", "group", group.Name, "epoch", group.Epoch,
		"lost", lost, "unreachable", unreachable, "pace", inspection.Slowdown, "running", inspection.HeadLoad.Running, "memory", inspection.HeadLoad.KVTokensUsed)
	return inspection
}

// examineMember probes a member of a silent group. Witnesses are asked together with
// the second probe, or at once if the first one fails.
func (g *Gateway) examineMember(ctx context.Context, instance flamingodoor.Instance) *finding {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	confirmed := make(chan bool, 1)
	ask := sync.OnceFunc(func() { confirmed <- g.exchanger.AskWitnesses(ctx, instance).Confirms() })
	timer := time.AfterFunc(secondProbeDelay, ask)
	defer timer.Stop()
	report, answers := g.probe(ctx, instance)
	if answers {
		return &finding{instance: instance, report: report, answers: true}
	}
	go ask()
	return &finding{instance: instance, lost: <-confirmed && !g.paths.Stranded()}
}

// recordFindings updates the marks of the members, reports those that are lost to
// the peers, and returns how many do not answer this host.
func (g *Gateway) recordFindings(findings []*finding) (unreachable int) {
	now := time.Now()
	var losses []lossReport
	for _, found := range findings {
		if found == nil {
			continue
		}
		if found.answers {
			g.roster.MarkReached(found.instance.ID, found.instance.StartedAt, now)
			continue
		}
		unreachable++
		g.roster.MarkUnreachable(found.instance.ID, found.instance.StartedAt, now)
		if found.lost {
			g.roster.MarkLost(found.instance.ID, found.instance.StartedAt, now)
			losses = append(losses, lossReport{instanceID: found.instance.ID, startedAt: found.instance.StartedAt, at: now})
		}
	}
	g.roster.Publish(now)
	if len(losses) > 0 {
		g.shared.publishLosses(losses...)
	}
	if unreachable > 0 {
		g.tracker.Wake()
	}
	return unreachable
}

// probe asks an instance for its report, and asks again on a new connection
// while the first answer is still awaited, so that one lost packet does not
// count as a loss. It reports whether the process that registered the instance
// answered, rather than another process at its address.
func (g *Gateway) probe(ctx context.Context, instance flamingodoor.Instance) (report flamingodoor.InstanceReport, alive bool) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	type answer struct {
		report flamingodoor.InstanceReport
		err    error
	}
	answers := make(chan answer, probeAttempts)
	requestReport := func() {
		report, err := g.report(ctx, instance)
		answers <- answer{report, err}
	}
	go requestReport()
	timer := time.NewTimer(secondProbeDelay)
	defer timer.Stop()
	for waiting := 1; waiting > 0; {
		select {
		case <-timer.C:
			waiting++
			go requestReport()
		case received := <-answers:
			waiting--
			if received.err == nil {
				return received.report, sameProcess(received.report, instance)
			}
			_ = level.Info(g.logger).Log("event", "member_silent", "instance", instance.ID, "err", received.err)
		}
	}
	return flamingodoor.InstanceReport{}, false
}

// report asks an instance for its report, and records whether this host has a path
// to it.
func (g *Gateway) report(ctx context.Context, instance flamingodoor.Instance) (flamingodoor.InstanceReport, error) {
	report, err := g.platform.Instances.Report(ctx, instance.Address)
	switch {
	case err == nil:
		g.paths.Heard(instance, time.Now())
	case !errors.Is(ctx.Err(), context.Canceled):
		g.paths.Failed(instance, time.Now())
	}
	return report, err
}

func sameProcess(report flamingodoor.InstanceReport, instance flamingodoor.Instance) bool {
	return report.StartedAt.IsZero() || instance.StartedAt.IsZero() || report.StartedAt.Equal(instance.StartedAt)
}

// hasEnded reports whether the process of an instance has ended: its port is
// closed, or another process answers there. Silence does not show that. The port
// may take a moment to close. A partition can refuse connections as well, so
// witnesses have to confirm that.
func (g *Gateway) hasEnded(ctx context.Context, instance flamingodoor.Instance) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	for range probeAttempts {
		report, err := g.report(ctx, instance)
		switch {
		case errors.Is(err, syscall.ECONNREFUSED):
			return g.exchanger.AskWitnesses(ctx, instance).Confirms() && !g.paths.Stranded()
		case err == nil:
			return !sameProcess(report, instance)
		}
		pause(ctx, closingTime)
	}
	return false
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
