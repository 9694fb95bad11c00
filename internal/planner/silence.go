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
	// darkProbes is the number of consecutive probes, silenceProbeInterval apart, after
	// which a machine that answers no opening of a connection is gone. Together with
	// the time until a silence is noticed they take more than a second, for which a path may
	// pass nothing.
	darkProbes = 4
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
	// connects is set once the machine has answered the opening of a connection: the
	// process stands still.
	connects bool
	dark     int // latest consecutive probes in which no host could open a connection
}

// gone reports whether the group of the process has to do without it.
func (s *silence) gone(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isOver(now)
}

// isOver is gone for callers that hold the lock.
func (s *silence) isOver(now time.Time) bool {
	return s.ended || s.dark >= darkProbes || (s.unheard && now.Sub(s.since) >= silenceTimeout)
}

// isDark reports whether the machine of the process is dark.
func (s *silence) isDark() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dark >= darkProbes
}

// mustAsk reports whether the peers are to be asked after a probe that was sent at the
// given time and not answered.
func (s *silence) mustAsk(refused bool, sentAt time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isOver(sentAt) {
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

// mayBeDark reports whether the machine of the process has not answered the opening of
// a connection in this silence.
func (s *silence) mayBeDark() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.connects && s.dark < darkProbes
}

// recordDial records what the opening of connections showed, and reports whether the
// machine is found to be dark.
func (s *silence) recordDial(result flamingodoor.DialResult, noneConnects bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.connects = s.connects || result == flamingodoor.DialResultAnswered
	if s.connects || result != flamingodoor.DialResultUnanswered || !noneConnects {
		s.dark = 0
		return false
	}
	s.dark++
	return s.dark == darkProbes
}

// recordAnswer records that the process answered a host.
func (s *silence) recordAnswer() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.connects, s.dark = true, 0
}

// isGone reports whether an instance is marked as lost and found to have ended, to be
// on a dark machine or to have been silent for silenceTimeout.
func (p *Planner) isGone(view *roster.View, instance flamingodoor.Instance, now time.Time) bool {
	known := p.silences[instance.ID]
	return view.Lost(instance, now) && known != nil && known.startedAt.Equal(instance.StartedAt) && known.gone(now)
}

// isDark reports whether an instance is marked as lost and on a dark machine.
func (p *Planner) isDark(view *roster.View, instance flamingodoor.Instance, now time.Time) bool {
	known := p.silences[instance.ID]
	return view.Lost(instance, now) && known != nil && known.startedAt.Equal(instance.StartedAt) && known.isDark()
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
	var dialling sync.WaitGroup
	dialling.Go(func() { p.probeMachine(ctx, instance, silent) })
	defer dialling.Wait()
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
		silent.recordAnswer()
		_ = level.Info(p.Logger).Log("event", "member_found", "instance", instance.ID)
		p.Roster.MarkReached(instance.ID, instance.StartedAt, sentAt)
		p.AnnounceReachable(instance, sentAt)
		return
	case !silent.mustAsk(refused, sentAt):
		return
	}
	switch reached, known := p.ReachedElsewhere(ctx, instance); {
	case reached:
		silent.recordAnswer()
		_ = level.Info(p.Logger).Log("event", "member_found_elsewhere", "instance", instance.ID, "err", err)
		p.Roster.MarkUnreachable(instance.ID, instance.StartedAt, sentAt)
		p.AnnounceReachable(instance, sentAt)
		return
	case known:
		silent.recordUnanswered(refused, sentAt)
	}
	p.Wake()
}

// probeMachine opens a connection to the machine of a silent instance and has the peers
// do so, to tell a dark machine from a process that stands still.
func (p *Planner) probeMachine(ctx context.Context, instance flamingodoor.Instance, silent *silence) {
	if !silent.mayBeDark() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	noneConnects := make(chan bool, 1)
	go func() { noneConnects <- p.NoneConnects(ctx, instance) }()
	result := p.Instances.Dial(ctx, instance.Address)
	if silent.recordDial(result, result == flamingodoor.DialResultUnanswered && <-noneConnects) {
		_ = level.Info(p.Logger).Log("event", "machine_dark", "instance", instance.ID)
		p.Wake()
	}
}
