package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log/level"
)

const (
	// leaveTimeout bounds the removal from the member list, which needs the log.
	leaveTimeout = 5 * time.Second
	goneTimeout  = 2 * time.Second
)

// stop ends the host without cutting a request in flight: it reports itself
// not ready, keeps serving until balancers have noticed, waits for the requests
// in flight, leaves the member list and then ends the other servers. Peers can
// use this host as voter, watcher and shard owner until then.
func (d *Daemon) stop(ctx context.Context) {
	_ = level.Info(d.logger).Log("event", "stopping")
	d.draining.Store(true)
	sleep(ctx, d.settings.StopDelay)
	d.stopping.Store(true)

	ctx, cancel := context.WithTimeout(ctx, d.settings.StopTimeout)
	defer cancel()
	d.shutDown(ctx, roleCaller)
	if err := d.dispatcher.Drain(ctx); err != nil {
		_ = level.Warn(d.logger).Log("event", "drain_incomplete", "err", err)
	}
	d.leave(ctx)
	var servers sync.WaitGroup
	for _, role := range []string{roleOperator, rolePeer, roleMetrics} {
		servers.Go(func() { d.shutDown(ctx, role) })
	}
	servers.Wait()
	d.runner.Close(ctx)
	_ = level.Info(d.logger).Log("event", "stopped")
}

// leave takes this host out of the member list and tells the platform.
func (d *Daemon) leave(ctx context.Context) {
	leaving, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	if err := d.membership.Leave(leaving); err != nil {
		// The other hosts remove this one once the platform's list drops it.
		_ = level.Warn(d.logger).Log("event", "leave_failed", "err", err)
	}
	gone, cancel := context.WithTimeout(ctx, goneTimeout)
	defer cancel()
	if err := d.hostList.Announce(gone, d.settings.HostID, true, true); err != nil {
		_ = level.Debug(d.logger).Log("event", "announce_failed", "err", err)
	}
}

// shutDown stops a listener and waits for its requests in flight.
func (d *Daemon) shutDown(ctx context.Context, role string) {
	for _, running := range d.servers {
		if running.role != role {
			continue
		}
		if err := running.server.Shutdown(ctx); err != nil {
			_ = level.Warn(d.logger).Log("event", "shutdown_incomplete", "role", role, "err", err)
			_ = running.server.Close()
		}
	}
}

func sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}
