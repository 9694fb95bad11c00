// Package stall detects replica groups and connections that have stopped making
// progress, from the events of the streams that this host relays.
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
	// scanInterval is the interval between scans, and so the resolution of all
	// times below.
	scanInterval = 50 * time.Millisecond
	// silenceThreshold is how long a group may send no event before its members
	// are inspected. A pass of a full engine with a long prompt takes about two
	// thirds of it.
	silenceThreshold = 250 * time.Millisecond
	// firstEventThreshold replaces silenceThreshold for a group from which this
	// host awaits only first events, because a long prompt is processed between
	// the tokens of other requests.
	firstEventThreshold = 500 * time.Millisecond
	// slowFactor times the mean gap between events replaces silenceThreshold for
	// slow groups. It also bounds the factor on the timeouts of a group with a
	// slow member.
	slowFactor = 4
	// inspectionInterval is the shortest time between two inspections of a
	// group.
	inspectionInterval = 400 * time.Millisecond
	// inspectionJitterPerHost times the number of entry hosts, but at most
	// maxInspectionJitter, bounds the random delay before an inspection. All
	// hosts may see the same silence; the first that inspects the group informs
	// the others.
	inspectionJitterPerHost = 12 * time.Millisecond
	maxInspectionJitter     = 400 * time.Millisecond
	// stallTimeout is how long a group whose members respond may make no
	// progress before its streams are suspected. Callers give up after a pause
	// of 2 s.
	stallTimeout = 1200 * time.Millisecond
	// silentStreamTimeout is how long a stream may have no event while its group
	// sends events on other streams.
	silentStreamTimeout = time.Second
	// inspectionTimeout bounds the duration of an inspection.
	inspectionTimeout = 700 * time.Millisecond
	// gapWeight is the weight of the newest gap in the moving average.
	gapWeight = 0.2
	// speedValidity is how long a measured speed counts without a newer one, here and
	// at the other hosts, and so how long a slow group is avoided. One of many hosts may
	// send a group a request only every few seconds.
	speedValidity = 3 * time.Second
	// slowTolerance times the expected gap still counts as full speed, because
	// prompts are processed between the tokens of other requests.
	slowTolerance = 2.0
	// minSpeed is the lowest speed that a group is given.
	minSpeed = 0.1
)

// Inspection holds what the reports of a group's members show.
type Inspection struct {
	Lost     []string // members that do not respond
	Slowdown float64  // of the slowest member; above 1 for a slow one
	HeadLoad HeadLoad
	// HeadUnknown is set if the head was not asked: its load may have changed.
	HeadUnknown bool
}

// HeadLoad is the load of the head of a group. It changes while the group makes
// progress on the requests of any host.
type HeadLoad struct {
	Running      int
	KVTokensUsed int
}

// Inspector requests reports from the members of a group.
type Inspector func(ctx context.Context, group *roster.Group) Inspection

// Causes for which streams are suspected. None of them proves that a stream does not go
// on: an instance may stand still for a second or so.
var (
	ErrLost    = flamingodoor.Errorf(flamingodoor.CodeEndpointFailed, "a member of the group does not respond")
	ErrStalled = flamingodoor.Errorf(flamingodoor.CodeEndpointFailed, "the group makes no progress")
	ErrSilent  = flamingodoor.Errorf(flamingodoor.CodeEndpointFailed, "the connection delivers no events while the group makes progress")
)

// Option configures a Monitor.
type Option func(*Monitor)

// WithSilenceListener sets the function that is called once for each silence of a
// group, without the random delay of an inspection.
func WithSilenceListener(silent func(group *roster.Group)) Option {
	return func(m *Monitor) { m.silent = silent }
}

// WithPeerSpeeds sets the speeds that other hosts measured. Without it, only those that
// this host measured count.
func WithPeerSpeeds(speeds *PeerSpeeds) Option {
	return func(m *Monitor) { m.peerSpeeds = speeds }
}

// Monitor suspects the streams of groups and connections that make no progress.
// It is safe for concurrent use.
type Monitor struct {
	inspect Inspector
	stalled func(key roster.GroupKey)
	silent  func(group *roster.Group)
	now     func() time.Time
	hosts   func() int
	mu      sync.Mutex
	groups  map[roster.GroupKey]*groupState
	speeds  map[string]*speed // by head

	peerSpeeds *PeerSpeeds
	slowAt     map[string]time.Time // when a group was last believed to be below retriedBelow, by head
}

// groupState is the state of a group with streams of this host.
type groupState struct {
	group            *roster.Group
	watches          map[*Watch]struct{}
	progress         time.Time     // of the latest event on any stream
	silenceReported  time.Time     // when a silence was reported last
	inspected        time.Time     // start of the latest inspection
	inspectionDelay  time.Duration // random delay of the next inspection beyond silenceLimit
	cleanInspections int           // inspections without a lost member since the latest event
	headLoad         HeadLoad      // at the latest inspection
	headLoadRead     time.Time     // end of the latest inspection
	headLoadChanged  time.Time     // when an inspection last found that the head's load had changed
	inspecting       bool
	suspected        bool    // all streams are suspected; none has begun or had an event since
	slowdown         float64 // of the slowest member at the latest inspection
}

// speed is the measured speed of a group.
type speed struct {
	gap      time.Duration // moving average
	expected time.Duration // usual gap of a full engine
	at       time.Time
}

// Watch follows the events of one stream.
type Watch struct {
	monitor   *Monitor
	group     *groupState
	suspect   func(cause error)
	expected  time.Duration
	lastEvent time.Time // start of the watch before the first event
	hasEvents bool
}

// New returns a monitor. It calls `stalled` for groups that make no progress
// although their members respond. `hosts` returns the number of entry hosts.
func New(inspect Inspector, stalled func(key roster.GroupKey), hosts func() int, now func() time.Time, options ...Option) *Monitor {
	m := &Monitor{
		inspect: inspect, stalled: stalled, silent: func(*roster.Group) {}, hosts: hosts, now: now,
		groups: make(map[roster.GroupKey]*groupState), speeds: make(map[string]*speed), peerSpeeds: NewPeerSpeeds(), slowAt: make(map[string]time.Time),
	}
	for _, option := range options {
		option(m)
	}
	return m
}

// Begin starts to follow a stream of the group. `expected` is the usual time
// between two events of a full engine. `suspect` is called with the cause when the stream
// seems not to go on. It must not block.
func (m *Monitor) Begin(group *roster.Group, expected time.Duration, suspect func(cause error)) *Watch {
	now := m.now()
	m.mu.Lock()
	defer m.mu.Unlock()
	state, ok := m.groups[group.Key()]
	if !ok {
		state = &groupState{group: group, watches: make(map[*Watch]struct{}), progress: now, slowdown: 1, inspectionDelay: m.jitter()}
		m.groups[group.Key()] = state
	}
	watch := &Watch{monitor: m, group: state, suspect: suspect, expected: expected, lastEvent: now}
	if len(state.watches) == 0 {
		// An idle group made no progress because it had no requests of this
		// host.
		state.progress = now
	}
	state.watches[watch] = struct{}{}
	state.suspected = false
	return watch
}

// Progress records an event of the stream.
func (w *Watch) Progress() {
	m := w.monitor
	now := m.now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if w.hasEvents {
		m.recordGap(w.group.group.Head().ID, now.Sub(w.lastEvent), w.expected, now)
	}
	w.hasEvents, w.lastEvent = true, now
	w.group.progress, w.group.cleanInspections, w.group.suspected = now, 0, false
}

// End stops following the stream.
func (w *Watch) End() {
	m := w.monitor
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(w.group.watches, w)
}

// recordGap adds a gap between two events to the measured speed of the head's
// group.
func (m *Monitor) recordGap(head string, gap, expected time.Duration, now time.Time) {
	measured, ok := m.speeds[head]
	if !ok || now.Sub(measured.at) > speedValidity {
		measured = &speed{gap: gap}
		m.speeds[head] = measured
	}
	measured.gap += time.Duration(gapWeight * float64(gap-measured.gap))
	measured.expected, measured.at = expected, now
}

// Speed returns the speed of a head's group as a fraction of the expected speed,
// from minSpeed to 1: by this host's own measurement if there is a recent one, else by
// those of other hosts. It is 1 for a group without either.
func (m *Monitor) Speed(head string) float64 {
	speed, _ := m.Believed(head)
	return speed
}

// Run scans for stalls until the context ends.
func (m *Monitor) Run(ctx context.Context) {
	ticker := time.NewTicker(scanInterval)
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

// Scan checks all groups for stalls once, and suspects streams or starts
// inspections.
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

// scanGroup checks one group. It suspects streams that make no progress or starts
// an inspection of a group that sends no events.
func (m *Monitor) scanGroup(ctx context.Context, state *groupState, now time.Time) {
	if state.suspected {
		return
	}
	silence := now.Sub(state.progress)
	waiting, hasEvents := false, false
	for watch := range state.watches {
		idle := now.Sub(watch.lastEvent)
		waiting = waiting || idle > silenceThreshold
		hasEvents = hasEvents || watch.hasEvents
		if watch.hasEvents && idle > m.scaleBySlowdown(state, silentStreamTimeout) && silence < silenceThreshold {
			watch.suspect(ErrSilent)
		}
	}
	limit := m.silenceLimit(state, hasEvents)
	if !waiting || silence <= limit {
		return
	}
	if !state.silenceReported.After(state.progress) {
		state.silenceReported = now
		m.silent(state.group)
	}
	if silence <= limit+state.inspectionDelay {
		return
	}
	if m.isStalled(state, silence, now) {
		m.suspectAll(state, ErrStalled)
		m.stalled(state.group.Key())
		return
	}
	if state.inspecting || now.Sub(state.inspected) < m.inspectionPause(state, silence, now) {
		return
	}
	state.inspectionDelay = m.jitter()
	state.inspecting, state.inspected = true, now
	go m.runInspection(ctx, state)
}

// isStalled reports whether a silent group makes no progress. Requests of this host may
// wait in the queue of a group that serves those of other hosts, so the load of the head
// must have stopped changing too, and must have been read lately.
func (m *Monitor) isStalled(state *groupState, silence time.Duration, now time.Time) bool {
	return state.cleanInspections >= minInspections && now.Sub(state.headLoadRead) <= inspectionInterval &&
		min(silence, now.Sub(state.headLoadChanged)) > m.scaleBySlowdown(state, stallTimeout)
}

// inspectionPause returns the time between two inspections of a silent group. It grows,
// but the load is read again before it would show a stall.
func (m *Monitor) inspectionPause(state *groupState, silence time.Duration, now time.Time) time.Duration {
	unchanged := min(silence, now.Sub(state.headLoadChanged))
	if state.cleanInspections >= minInspections && unchanged > m.scaleBySlowdown(state, stallTimeout)-inspectionInterval {
		return inspectionInterval
	}
	return inspectionInterval << min(max(0, state.cleanInspections-1), maxBackoff)
}

// silenceLimit returns how long the group may send no event before it is
// inspected. It is longer for a slow group, and for one that has sent no event
// yet on the streams of this host.
func (m *Monitor) silenceLimit(state *groupState, hasEvents bool) time.Duration {
	limit := silenceThreshold
	if !hasEvents {
		limit = firstEventThreshold
	}
	measured, ok := m.speeds[state.group.Head().ID]
	if !ok {
		return limit
	}
	return max(limit, min(slowFactor*measured.gap, stallTimeout))
}

// scaleBySlowdown lengthens a time for a group with a slow member, by at most
// slowFactor.
func (m *Monitor) scaleBySlowdown(state *groupState, usual time.Duration) time.Duration {
	return time.Duration(max(1, min(state.slowdown, slowFactor)) * float64(usual))
}

// runInspection inspects the group and suspects its streams if a member is lost.
func (m *Monitor) runInspection(ctx context.Context, state *groupState) {
	ctx, cancel := context.WithTimeout(ctx, inspectionTimeout)
	defer cancel()
	result := m.inspect(ctx, state.group)
	m.mu.Lock()
	defer m.mu.Unlock()
	state.inspecting = false
	if result.Slowdown > 0 {
		state.slowdown = result.Slowdown
	}
	if state.cleanInspections > 0 && (result.HeadUnknown || result.HeadLoad != state.headLoad) {
		state.headLoadChanged = m.now()
	}
	state.headLoad, state.headLoadRead = result.HeadLoad, m.now()
	state.cleanInspections++
	if len(result.Lost) > 0 {
		state.cleanInspections = 0
		m.suspectAll(state, ErrLost)
	}
}

// minInspections is the number of inspections needed to see whether the load of
// the head changes.
const minInspections = 2

// maxBackoff is the largest number of times that inspectionInterval is doubled,
// for a group that stays silent although no member is lost.
const maxBackoff = 3

// jitter returns a random delay, so that the hosts do not all inspect a group at
// the same time.
func (m *Monitor) jitter() time.Duration {
	longest := min(maxInspectionJitter, time.Duration(m.hosts())*inspectionJitterPerHost)
	return time.Duration(rand.Float64() * float64(longest)) //nolint:gosec // need not be unpredictable
}

// SuspectGroup suspects all streams of a group that another host found lost or
// stalled.
func (m *Monitor) SuspectGroup(key roster.GroupKey, cause error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if state, ok := m.groups[key]; ok {
		m.suspectAll(state, cause)
	}
}

func (m *Monitor) suspectAll(state *groupState, cause error) {
	state.suspected = true
	for watch := range state.watches {
		watch.suspect(cause)
	}
}
