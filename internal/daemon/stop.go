package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log/level"
)

const (
	// leaveTimeout bounds the removal from the member list, which is recorded in
	// the log.
	leaveTimeout = 5 * time.Second
	// goneTimeout bounds the announcement to the platform that this host is gone.
	goneTimeout = 2 * time.Second
)

// stop shuts the host down without interrupting requests in flight. It reports
// not ready, keeps serving until load balancers have noticed, waits for the
// requests in flight, leaves the member list and then stops the other servers.
// The peer server stops only after that, because peers use this host as voter,
// watcher and shard owner until it has left the list.
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

// leave removes this host from the member list and announces to the platform
// that it is gone.
func (d *Daemon) leave(ctx context.Context) {
	leaveCtx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	if err := d.membership.Leave(leaveCtx); err != nil {
		// The other hosts remove this one once it is missing from the
		// platform's host list.
		_ = level.Warn(d.logger).Log("event", "leave_failed", "err", err)
	}
	announceCtx, cancel := context.WithTimeout(ctx, goneTimeout)
	defer cancel()
	if err := d.hostList.Announce(announceCtx, d.settings.HostID, true, true); err != nil {
		_ = level.Debug(d.logger).Log("event", "announce_failed", "err", err)
	}
}

// shutDown closes the listener of a role and waits for its requests in flight.
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
