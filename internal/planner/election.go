package planner

import (
	"context"
	"time"

	"github.com/go-kit/log/level"
)

// Leads reports whether this host holds the leader lease.
func (p *Planner) Leads() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.uptime().Before(p.leadsUntil)
}

// RunElection renews the leader lease at every interval until the context ends.
func (p *Planner) RunElection(ctx context.Context, interval time.Duration) {
	failed, stands := false, true
	for ctx.Err() == nil {
		stands = p.StandsForElection == nil || p.StandsForElection(stands)
		p.yields.Store(!stands)
		if !stands && !p.Leads() {
			p.awaitRenewal(ctx, interval)
			continue
		}
		leads, deadline, err := p.Election.Renew(ctx)
		if err != nil && !failed {
			_ = level.Warn(p.Logger).Log("event", "election_lost_store", "err", err)
		}
		failed = err != nil
		if err == nil {
			p.setLeadership(leads, deadline)
		}
		p.awaitRenewal(ctx, interval)
	}
}

// Renew makes RunElection renew the lease now, for instance because another
// host stopped and may have resigned.
func (p *Planner) Renew() {
	select {
	case p.renewals <- struct{}{}:
	default:
	}
}

// StoreRestored ends this host's term as leader, because the platform's store has come
// back from a copy that may lack what the term is based on: leases, epochs, heads and
// loads. Each host has to win the election in the restored store.
func (p *Planner) StoreRestored() {
	p.setLeadership(false, time.Time{})
	p.restored.Store(true)
	p.Renew()
}

func (p *Planner) awaitRenewal(ctx context.Context, interval time.Duration) {
	timer := time.NewTimer(interval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-p.renewals:
	}
}

func (p *Planner) setLeadership(leads bool, deadline time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !leads {
		deadline = time.Time{}
	}
	p.leadsUntil = deadline
}

// handOver resigns if this host came to lead before it knew that others should,
// and has given no orders yet that a successor would have to continue. It reports
// whether it did.
func (p *Planner) handOver(ctx context.Context) bool {
	if !p.yields.Load() || !p.NoRequestsYet() || len(p.pending) > 0 || len(p.dissolving) > 0 || len(p.activeLoads) > 0 || p.epoch > 0 {
		return false
	}
	if err := p.Election.Resign(ctx); err != nil {
		_ = level.Warn(p.Logger).Log("event", "resign_failed", "err", err)
		return false
	}
	p.setLeadership(false, time.Time{})
	_ = level.Info(p.Logger).Log("event", "handed_over", "reason", "other hosts are candidates")
	return true
}
