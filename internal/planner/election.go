package planner

import (
	"context"
	"time"

	"github.com/go-kit/log/level"
)

const (
	// pathCheckInterval is the time between two looks at this host's paths while it
	// waits for the next round of the election.
	pathCheckInterval = 50 * time.Millisecond
	// standDelay is how long the paths of a host must have been back before it stands
	// for election again.
	standDelay = 500 * time.Millisecond
)

// candidacy is this host's part in the election. Only the goroutine that calls
// Campaign uses it.
type candidacy struct {
	stands   bool // whether this host should be a candidate
	joined   bool // whether the store may count it as one
	failed   bool // the latest renewal failed
	stranded bool // this host had no paths in the latest round
	cutOff   bool // and another host had
	cutOffAt time.Time
}

// Leads reports whether this host holds the leader lease. A host without paths to
// instances does not lead.
func (p *Planner) Leads() bool {
	if p.Stranded() {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.uptime().Before(p.leadsUntil)
}

// RunElection calls Campaign at every interval until the context ends, and at once
// if this host loses its paths to instances.
func (p *Planner) RunElection(ctx context.Context, interval time.Duration) {
	for ctx.Err() == nil {
		p.Campaign(ctx)
		p.awaitRenewal(ctx, interval)
	}
}

// Campaign runs one round of the election: it renews the leader lease, or gives it
// up if this host has no paths to instances and another one has.
func (p *Planner) Campaign(ctx context.Context) {
	if p.withdraws(ctx) {
		return
	}
	own := &p.candidacy
	own.stands = p.StandsForElection == nil || p.StandsForElection(own.stands)
	p.yields.Store(!own.stands)
	if !own.stands && !p.Leads() {
		return
	}
	own.joined = true // also if the answer is lost
	leads, deadline, err := p.Election.Renew(ctx)
	if err != nil && !own.failed {
		_ = level.Warn(p.Logger).Log("event", "election_lost_store", "err", err)
	}
	own.failed = err != nil
	if err == nil {
		p.setLeadership(leads, deadline)
	}
}

// withdraws reports whether this host has no paths to instances while another one has,
// or was in this position until lately. It then ends its term and leaves the election,
// so that the lease is not given to it.
func (p *Planner) withdraws(ctx context.Context) bool {
	own, now := &p.candidacy, p.now()
	own.stranded = p.Stranded()
	own.cutOff = own.stranded && p.HasSoundPeer()
	if own.cutOff {
		own.cutOffAt = now
	}
	if !own.cutOff && (own.cutOffAt.IsZero() || now.Sub(own.cutOffAt) >= standDelay) {
		return false
	}
	p.setLeadership(false, time.Time{})
	if !own.joined {
		return true
	}
	if err := p.Election.Resign(ctx); err != nil {
		_ = level.Warn(p.Logger).Log("event", "resign_failed", "err", err)
		return true
	}
	own.joined = false
	_ = level.Info(p.Logger).Log("event", "candidacy_withdrawn", "reason", "no paths to instances")
	return true
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

// awaitRenewal waits for the interval, or until Renew is called or the paths to
// instances are lost.
func (p *Planner) awaitRenewal(ctx context.Context, interval time.Duration) {
	timer := time.NewTimer(interval)
	defer timer.Stop()
	paths := time.NewTicker(pathCheckInterval)
	defer paths.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case <-p.renewals:
			return
		case <-paths.C:
			if p.Stranded() && (!p.candidacy.stranded || (!p.candidacy.cutOff && p.HasSoundPeer())) {
				return
			}
		}
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
