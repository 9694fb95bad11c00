// Package stall finds replica groups and connections that stopped making
// progress, from the answers that this host waits for.
package stall

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/roster"
)

const (
	// scanEvery is the resolution of all times below.
	scanEvery = 50 * time.Millisecond
	// silentTime without any answer of a group makes its members be asked. A
	// pass of a full engine with a long prompt takes about two thirds of it.
	silentTime = 250 * time.Millisecond
	// firstTime replaces it for a group of which this host awaits first events
	// only: a long prompt is read between the tokens of others.
	firstTime = 500 * time.Millisecond
	// slowFactor on the usual gap replaces silentTime for slow groups.
	slowFactor = 4
	// askAgainAfter separates two inspections of one group.
	askAgainAfter = 400 * time.Millisecond
	// askSpread for each entry host that may see the same silence, up to
	// maxAskSpread: the first that asks tells the others.
	askSpread    = 12 * time.Millisecond
	maxAskSpread = 400 * time.Millisecond
	// stalledTime without progress ends the wait for a group whose members
	// answer. Callers leave after a pause of 2 s.
	stalledTime = 1200 * time.Millisecond
	// silentConnectionTime without an event ends a stream whose group makes
	// progress for others.
	silentConnectionTime = time.Second
	// inspectTime bounds one inspection.
	inspectTime = 700 * time.Millisecond
	// gapWeight is the weight of the newest gap in the mean.
	gapWeight = 0.2
	// speedValidity is how long a slow group is avoided without news.
	speedValidity = 2 * time.Second
	// slowTolerance on the expected gap is still full speed, because prompts
	// are read between the tokens of others.
	slowTolerance = 2.0
	minimalSpeed  = 0.1
)

// Inspection is what an inspection of a group found.
type Inspection struct {
	Lost     []string // members that do not answer
	Slowdown float64  // of the slowest member
	HeadLoad HeadLoad // at the head
}

// HeadLoad is what the head of a group has to do. It changes while the group makes
// progress for the requests of any host.
type HeadLoad struct {
	Running      int
	KVTokensUsed int // tokens
}

// Inspector asks the members of a group.
type Inspector func(ctx context.Context, group *roster.Group) Inspection

// Causes of ended waits.
var (
	ErrLost    = flamingodoor.Errorf(flamingodoor.CodeEndpointFailed, "a member of the group does not answer")
	ErrStalled = flamingodoor.Errorf(flamingodoor.CodeEndpointFailed, "the group stands still")
	ErrSilent  = flamingodoor.Errorf(flamingodoor.CodeEndpointFailed, "the connection is silent")
)

// Monitor is safe for concurrent use.
type Monitor struct {
	inspect Inspector
	stalled func(key roster.GroupKey)
	now     func() time.Time
	hosts   func() int
	mu      sync.Mutex
	groups  map[roster.GroupKey]*watched
	speeds  map[string]*speed // by head
}

type watched struct {
	group     *roster.Group
	watches   map[*Watch]struct{}
	progress  time.Time
	inspected time.Time
	askAfter  time.Duration // beyond the silence that is usual
	sound     int           // inspections in a row that found nothing
	work      HeadLoad      // at the latest inspection
	moved     time.Time     // when the work was last seen to change
	busy      bool
	ended     bool // all waits were ended since the last one began
	pace      float64
}

type speed struct {
	gap      time.Duration
	expected time.Duration
	at       time.Time
}

// Watch follows one stream.
type Watch struct {
	monitor  *Monitor
	group    *watched
	cancel   context.CancelCauseFunc
	expected time.Duration
	last     time.Time
	begun    bool
}

// New returns a monitor. `stalled` is told of groups that stand still although
// their members answer; `hosts` counts the entry hosts.
func New(inspect Inspector, stalled func(key roster.GroupKey), hosts func() int, now func() time.Time) *Monitor {
	return &Monitor{
		inspect: inspect, stalled: stalled, hosts: hosts, now: now,
		groups: make(map[roster.GroupKey]*watched), speeds: make(map[string]*speed),
	}
}

// Begin follows a stream of the group. `expected` is the usual time between
// two events of a full engine. `cancel` is called with the cause when the
// wait is over.
func (m *Monitor) Begin(group *roster.Group, expected time.Duration, cancel context.CancelCauseFunc) *Watch {
	now := m.now()
	m.mu.Lock()
	defer m.mu.Unlock()
	state, ok := m.groups[group.Key()]
	if !ok {
		state = &watched{group: group, watches: make(map[*Watch]struct{}), progress: now, pace: 1, askAfter: m.spread()}
		m.groups[group.Key()] = state
	}
	watch := &Watch{monitor: m, group: state, cancel: cancel, expected: expected, last: now}
	if len(state.watches) == 0 {
		// An idle group made no progress because nobody asked.
		state.progress = now
	}
	state.watches[watch] = struct{}{}
	state.ended = false
	return watch
}

// Progress notes an event of the stream.
func (w *Watch) Progress() {
	m := w.monitor
	now := m.now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if w.begun {
		m.learn(w.group.group.Head().ID, now.Sub(w.last), w.expected, now)
	}
	w.begun, w.last, w.group.progress, w.group.sound = true, now, now, 0
}

// End stops following the stream.
func (w *Watch) End() {
	m := w.monitor
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(w.group.watches, w)
}

func (m *Monitor) learn(head string, gap, expected time.Duration, now time.Time) {
	known, ok := m.speeds[head]
	if !ok || now.Sub(known.at) > speedValidity {
		known = &speed{gap: gap}
		m.speeds[head] = known
	}
	known.gap += time.Duration(gapWeight * float64(gap-known.gap))
	known.expected, known.at = expected, now
}

// Speed returns the speed of a head's group, 1 for one that is as fast as
// expected.
func (m *Monitor) Speed(head string) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	known, ok := m.speeds[head]
	if !ok || m.now().Sub(known.at) > speedValidity || known.gap <= 0 || known.expected <= 0 {
		return 1
	}
	return max(minimalSpeed, min(1, slowTolerance*float64(known.expected)/float64(known.gap)))
}

// Run looks for stalls until the context ends.
func (m *Monitor) Run(ctx context.Context) {
	ticker := time.NewTicker(scanEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			m.Scan(ctx)
		}
	}
}

// Scan looks for stalls once.
func (m *Monitor) Scan(ctx context.Context) {
	now := m.now()
	m.mu.Lock()
	defer m.mu.Unlock()
	for key, state := range m.groups {
		if len(state.watches) == 0 {
			if now.Sub(state.progress) > speedValidity {
				delete(m.groups, key)
			}
			continue
		}
		m.scanGroup(ctx, state, now)
	}
}

func (m *Monitor) scanGroup(ctx context.Context, state *watched, now time.Time) {
	if state.ended {
		return
	}
	silence := now.Sub(state.progress)
	waiting, begun := false, false
	for watch := range state.watches {
		idle := now.Sub(watch.last)
		waiting = waiting || idle > silentTime
		begun = begun || watch.begun
		if watch.begun && idle > m.patience(state, silentConnectionTime) && silence < silentTime {
			watch.cancel(ErrSilent)
		}
	}
	if !waiting || silence <= m.quietTime(state, begun)+state.askAfter {
		return
	}
	// Requests of this host may wait in the queue of a group that answers others.
	if state.sound >= leastInspections && min(silence, now.Sub(state.moved)) > m.patience(state, stalledTime) {
		m.end(state, ErrStalled)
		m.stalled(state.group.Key())
		return
	}
	if state.busy || now.Sub(state.inspected) < askAgainAfter<<min(max(0, state.sound-1), maxSound) {
		return
	}
	state.askAfter = m.spread()
	state.busy, state.inspected = true, now
	go m.ask(ctx, state)
}

// quietTime is longer for a group that is known as slow, and for one that has
// begun none of this host's answers.
func (m *Monitor) quietTime(state *watched, begun bool) time.Duration {
	quiet := silentTime
	if !begun {
		quiet = firstTime
	}
	known, ok := m.speeds[state.group.Head().ID]
	if !ok {
		return quiet
	}
	return max(quiet, min(slowFactor*known.gap, stalledTime))
}

func (m *Monitor) patience(state *watched, usual time.Duration) time.Duration {
	return time.Duration(max(1, min(state.pace, slowFactor)) * float64(usual))
}

func (m *Monitor) ask(ctx context.Context, state *watched) {
	ctx, cancel := context.WithTimeout(ctx, inspectTime)
	defer cancel()
	verdict := m.inspect(ctx, state.group)
	m.mu.Lock()
	defer m.mu.Unlock()
	state.busy = false
	if verdict.Slowdown > 0 {
		state.pace = verdict.Slowdown
	}
	if state.sound > 0 && verdict.HeadLoad != state.work {
		state.moved = m.now()
	}
	state.work = verdict.HeadLoad
	state.sound++
	if len(verdict.Lost) > 0 {
		state.sound = 0
		m.end(state, ErrLost)
	}
}

// leastInspections show whether the work at the head changes.
const leastInspections = 2

// maxSound doublings of the time between inspections are reached by a group
// that is slow and not lost.
const maxSound = 3

// spread is a random part of the time in which one of the hosts asks first.
func (m *Monitor) spread() time.Duration {
	longest := min(maxAskSpread, time.Duration(m.hosts())*askSpread)
	return time.Duration(rand.Float64() * float64(longest)) //nolint:gosec // spreading only
}

// CancelGroup ends all waits for a group that another host found lost.
func (m *Monitor) CancelGroup(key roster.GroupKey, cause error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if state, ok := m.groups[key]; ok {
		m.end(state, cause)
	}
}

func (m *Monitor) end(state *watched, cause error) {
	state.ended = true
	for watch := range state.watches {
		watch.cancel(cause)
	}
}
