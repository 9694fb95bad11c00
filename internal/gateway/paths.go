package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/reach"
	"flamingodoor.example/flamingodoor/internal/upstream"
)

const (
	// reprobeInterval is the time between two probes of the instances that this host
	// does not reach.
	reprobeInterval = time.Second
	// maxReprobes bounds how many of them are probed at the same time.
	maxReprobes = 16
)

func (g *Gateway) newPaths() *reach.Paths {
	return reach.New(reach.WithProbe(func(ctx context.Context, instance flamingodoor.Instance) bool {
		_, err := g.report(ctx, instance)
		return err == nil
	}), reach.WithInstances(g.probeCandidates), reach.WithListener(g.onPathChange),
		reach.WithControl(func(since time.Time) bool { return g.exchanger.AnsweredSince(since) }), reach.WithPartialListener(func() { g.requestReprobe(true) }))
}

// requestReprobe has the unreachable instances probed at once, or all instances.
func (g *Gateway) requestReprobe(all bool) {
	select {
	case g.reprobeNow <- all:
	default:
	}
}

func (g *Gateway) newProber() *reach.Prober {
	confirm := func(ctx context.Context, instance flamingodoor.Instance) bool {
		verdict := g.exchanger.AskWitnesses(ctx, instance)
		if verdict.Alone {
			return g.prober.Sound(ctx, instance)
		}
		return verdict.Confirms()
	}
	return reach.NewProber(g.paths, g.report, confirm, g.settings.DataCentre, g.logger)
}

// otherInstanceID stands for an instance that answers at the address of another and does
// not name itself.
const otherInstanceID = "another instance"

// report asks an instance for its report. Plain services have none and are asked for
// their health. An open connection alone proves no path: a proxy may accept it, and one
// of before may live on while new ones fail.
func (g *Gateway) report(ctx context.Context, instance flamingodoor.Instance) (flamingodoor.InstanceReport, error) {
	if path, ok := g.healthPath(instance.ID); ok {
		answers, err := g.platform.Probes.Health(ctx, instance, path)
		var report flamingodoor.InstanceReport
		if err == nil && (!answers || g.roster.View().Replaced(instance)) {
			report.ID = otherInstanceID
		}
		return report, err
	}
	return g.platform.Probes.Report(ctx, instance.Address)
}

// answersIdle reports whether an instance answers and has no requests. One that has some
// may have received those that are without a response.
func (g *Gateway) answersIdle(ctx context.Context, target upstream.Target) bool {
	entry, known := g.roster.View().Entries[target.InstanceID]
	if !known || entry.Address != target.Address || !g.proxy.MayProbe(entry.Instance) {
		return false
	}
	report, answers := g.prober.Probe(ctx, entry.Instance)
	return answers && report.Running == 0 && report.Queued == 0
}

// healthPath returns the path of the health check of an instance of a plain service.
func (g *Gateway) healthPath(instanceID string) (string, bool) {
	entry, known := g.roster.View().Entries[instanceID]
	index := g.catalogue.Index()
	if !known || index == nil {
		return "", false
	}
	service, ok := index.Services[entry.Service]
	return service.HealthPath, ok && service.Engine == nil && service.HealthPath != ""
}

// probeCandidates returns the listed instances that are not leaving and did not ask
// for no requests: those with an engine if there are any, because a health check
// waits for a slot.
func (g *Gateway) probeCandidates() []flamingodoor.Instance {
	var instances, plain []flamingodoor.Instance
	for _, entries := range g.roster.View().ByService {
		for _, entry := range entries {
			if entry.Leaving || g.proxy.Held(entry.Instance) {
				continue
			}
			if _, isPlain := g.healthPath(entry.ID); isPlain {
				plain = append(plain, entry.Instance)
			} else {
				instances = append(instances, entry.Instance)
			}
		}
	}
	if len(instances) == 0 {
		return plain
	}
	return instances
}

// onPathChange tells the peers that this host became stranded or is no longer.
func (g *Gateway) onPathChange(change reach.Change) {
	g.updateSharers()
	elapsed := change.At.Sub(change.Since).Milliseconds()
	if change.Stranded {
		_ = level.Warn(g.logger).Log("event", "stranded", "since", change.Since.UTC(), "found_ms", elapsed)
		g.proxy.EndUnreached()
	} else {
		_ = level.Info(g.logger).Log("event", "paths_back", "since", change.Since.UTC(), "stranded_ms", elapsed)
		g.requestReprobe(false)
	}
	g.planner.Renew()
	g.exchanger.SendUrgent()
	g.tracker.Wake()
}

// updateSharers updates the hosts among which the limits are divided. A stranded host
// leaves its part to the others.
func (g *Gateway) updateSharers() {
	if !g.exchanger.DirectoryLoaded() {
		return
	}
	g.sharersMu.Lock()
	defer g.sharersMu.Unlock()
	g.proxy.SetSharers(g.exchanger.LimitSharers(), !g.paths.Stranded() && g.exchanger.MayShare())
	g.proxy.SetHosts(g.exchanger.LimitShareHosts(), g.exchanger.PropagationTime())
	g.proxy.SetFleetDemand(g.shared.totalDemands())
	g.tracker.Wake()
}

// runReprobes probes the instances that this host does not reach, until the context
// ends: each second, and at once when the host has paths again.
func (g *Gateway) runReprobes(ctx context.Context) {
	ticker := time.NewTicker(reprobeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			g.reprobe(ctx, g.roster.View().UnreachableInstances(time.Now()))
		case all := <-g.reprobeNow:
			if all {
				g.reprobe(ctx, g.probeCandidates())
			} else {
				g.reprobe(ctx, g.roster.View().UnreachableInstances(time.Now()))
			}
		}
	}
}

// reprobe probes instances, and renews or removes their marks as unreachable before
// requests try them. Those that the time does not suffice for are tried by requests
// once their marks expire. A stranded host probes on its own.
func (g *Gateway) reprobe(ctx context.Context, targets []flamingodoor.Instance) {
	if g.paths.Stranded() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, reprobeInterval)
	defer cancel()
	instances := make(chan flamingodoor.Instance)
	var probes sync.WaitGroup
	for range min(maxReprobes, len(targets)) {
		probes.Go(func() {
			for instance := range instances {
				g.reprobeInstance(ctx, instance)
			}
		})
	}
	defer probes.Wait()
	defer close(instances)
	for _, instance := range targets {
		select {
		case instances <- instance:
		case <-ctx.Done():
			return
		}
	}
}

func (g *Gateway) reprobeInstance(ctx context.Context, instance flamingodoor.Instance) {
	if !g.proxy.MayProbe(instance) {
		return
	}
	_, answers := g.prober.Probe(ctx, instance)
	if ctx.Err() != nil && !answers {
		return
	}
	now := time.Now()
	if !answers {
		if g.roster.MarkUnreachable(instance.ID, instance.StartedAt, now) {
			g.roster.Publish(now)
		}
		return
	}
	if g.roster.MarkReached(instance.ID, instance.StartedAt, now) {
		g.roster.Publish(now)
		g.tracker.Wake()
	}
}
