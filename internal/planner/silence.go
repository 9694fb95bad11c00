package planner

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/roster"
)

const (
	// silenceTimeout is how long a process that is marked as lost may be silent before
	// its group is dissolved. A sound one may stand still for a second or so.
	silenceTimeout = 2 * time.Second
	// silenceProbeInterval is the time between two probes of a process during its
	// silenceTimeout.
	silenceProbeInterval = 200 * time.Millisecond
	// lastQuestionDelay is when in its silence the peers are asked whether they reach
	// the process: late, and early enough for their answers to be there in time.
	lastQuestionDelay = silenceTimeout - 2*orderTimeout
)

// silence is what the planner knows of a process of an instance since it first found
// it marked as lost.
type silence struct {
	startedAt time.Time // of the process
	since     time.Time
	probedAt  time.Time

	mu      sync.Mutex
	asked   bool // peers have been asked whether they reach it
	ended   bool // no process listens at its address, or another one does
	unheard bool // no host got an answer towards the end of the silence
}

// gone reports whether the group of the process has to do without it.
func (s *silence) gone(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ended || (s.unheard && now.Sub(s.since) >= silenceTimeout)
}

// mustAsk reports whether the peers are to be asked after a probe that was sent at the
// given time and not answered.
func (s *silence) mustAsk(refused bool, sentAt time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended || (s.unheard && sentAt.Sub(s.since) >= silenceTimeout) {
		return false
	}
	first := !s.asked
	s.asked = true
	return first || refused || sentAt.Sub(s.since) >= lastQuestionDelay
}

// recordUnanswered records that no host got an answer to a probe that was sent at the
// given time.
func (s *silence) recordUnanswered(refused bool, sentAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = s.ended || refused
	s.unheard = s.unheard || sentAt.Sub(s.since) >= lastQuestionDelay
}

// isGone reports whether an instance is marked as lost and found to have ended or to
// have been silent for silenceTimeout.
func (p *Planner) isGone(view *roster.View, instance flamingodoor.Instance, now time.Time) bool {
	known := p.silences[instance.ID]
	return view.Lost(instance, now) && known != nil && known.startedAt.Equal(instance.StartedAt) && known.gone(now)
}

// probeLost probes the instances that are marked as lost: a host that reported one may
// itself be cut off or slow, and a sound instance may stand still for a while.
func (p *Planner) probeLost(ctx context.Context, view *roster.View, now time.Time) {
	for id := range p.silences {
		if entry, ok := view.Entries[id]; !ok || !view.Lost(entry.Instance, now) {
			delete(p.silences, id)
		}
	}
	for _, entry := range view.Entries {
		if !view.Lost(entry.Instance, now) {
			continue
		}
		known := p.silenceOf(entry, now)
		interval := probeInterval
		if now.Sub(known.since) < silenceTimeout && !known.gone(now) {
			interval = silenceProbeInterval
		}
		if now.Sub(known.probedAt) < interval {
			continue
		}
		known.probedAt = now
		p.background(func() { p.probeSilent(ctx, entry.Instance, known, now) })
	}
}

// silenceOf returns the silence of an instance that is marked as lost. It starts a new
// one if the process is another.
func (p *Planner) silenceOf(entry *roster.Entry, now time.Time) *silence {
	known := p.silences[entry.ID]
	if known != nil && known.startedAt.Equal(entry.StartedAt) {
		return known
	}
	known = &silence{startedAt: entry.StartedAt, since: now}
	if !entry.Listed && now.Sub(entry.UnlistedAt) < silenceTimeout {
		// The platform's store has not heard from it for longer.
		known.since = entry.UnlistedAt
	}
	p.silences[entry.ID] = known
	return known
}

// probeSilent probes an instance that is marked as lost and records what it finds. If
// the instance answers this host or a peer, all hosts are told. sentAt is the time of
// the planning step that started the probe.
func (p *Planner) probeSilent(ctx context.Context, instance flamingodoor.Instance, silent *silence, sentAt time.Time) {
	probeCtx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	report, err := p.Instances.Report(probeCtx, instance.Address)
	refused := connectionRefused(err)
	switch {
	case err == nil && isOtherProcess(report.Instance, instance):
		silent.recordUnanswered(true, sentAt)
		p.Wake()
		return
	case err == nil:
		_ = level.Info(p.Logger).Log("event", "member_found", "instance", instance.ID)
		p.Roster.MarkReached(instance.ID, instance.StartedAt, sentAt)
		p.AnnounceReachable(instance, sentAt)
		return
	case !silent.mustAsk(refused, sentAt):
		return
	}
	switch reached, known := p.ReachedElsewhere(ctx, instance); {
	case reached:
		_ = level.Info(p.Logger).Log("event", "member_found_elsewhere", "instance", instance.ID, "err", err)
		p.Roster.MarkUnreachable(instance.ID, instance.StartedAt, sentAt)
		p.AnnounceReachable(instance, sentAt)
		return
	case known:
		silent.recordUnanswered(refused, sentAt)
	}
	p.Wake()
}
