package stall_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/roster"
	"flamingodoor.example/flamingodoor/internal/stall"
)

const (
	usualGap = 50 * time.Millisecond
	scanTime = 50 * time.Millisecond
)

// scene is a monitor with a clock that the test moves.
type scene struct {
	t         *testing.T
	mu        sync.Mutex
	now       time.Time
	verdict   stall.Inspection
	inspected int
	asked     chan struct{}
	stalled   []roster.GroupKey
	monitor   *stall.Monitor
	group     *roster.Group
}

func newScene(t *testing.T) *scene {
	t.Helper()
	s := &scene{t: t, now: time.Unix(1_800_000_000, 0), asked: make(chan struct{}, 100), verdict: stall.Inspection{Slowdown: 1}}
	s.monitor = stall.New(s.inspect, func(key roster.GroupKey) { s.stalled = append(s.stalled, key) }, func() int { return 1 }, s.clock)
	s.group = &roster.Group{Name: "g", Epoch: 1, Members: []roster.Entry{{Instance: flamingodoor.Instance{ID: "head"}}}}
	return s
}

func (s *scene) clock() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.now
}

func (s *scene) inspect(context.Context, *roster.Group) stall.Inspection {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inspected++
	s.asked <- struct{}{}
	return s.verdict
}

func (s *scene) begin() (*stall.Watch, context.Context) {
	ctx, cancel := context.WithCancelCause(s.t.Context())
	return s.monitor.Begin(s.group, usualGap, cancel), ctx
}

// pass moves the clock and scans; active streams make progress meanwhile.
func (s *scene) pass(length time.Duration, active ...*stall.Watch) {
	for range int(length / scanTime) {
		s.mu.Lock()
		s.now = s.now.Add(scanTime)
		s.mu.Unlock()
		for _, watch := range active {
			watch.Progress()
		}
		s.monitor.Scan(s.t.Context())
		// Inspections run beside the scan.
		time.Sleep(2 * time.Millisecond)
	}
}

// A member of a group dies and all its streams fall silent at once: the wait
// ends in about half a second.
func TestSilentGroupWithALostMember(t *testing.T) {
	s := newScene(t)
	s.verdict.Lost = []string{"i-2"}
	watch, ctx := s.begin()
	s.pass(500*time.Millisecond, watch)
	assert.NilError(t, ctx.Err())
	s.pass(450 * time.Millisecond)
	assert.Assert(t, errors.Is(context.Cause(ctx), stall.ErrLost), "%v", context.Cause(ctx))
}

// A group whose members answer but that makes no progress is left before its
// callers leave.
func TestGroupThatStandsStill(t *testing.T) {
	s := newScene(t)
	watch, ctx := s.begin()
	watch.Progress()
	s.pass(1400 * time.Millisecond)
	assert.Assert(t, errors.Is(context.Cause(ctx), stall.ErrStalled))
	assert.DeepEqual(t, s.stalled, []roster.GroupKey{{Name: "g", Epoch: 1}})
}

// Pattern: a group opens while many wait, and its queue fills. A host whose
// requests wait there saw no event for 1.2 s and ended a group that answered
// others, which left all the more to wait.
func TestQueuedRequestsAreNoStall(t *testing.T) {
	s := newScene(t)
	_, ctx := s.begin()
	for i := range 6 {
		s.mu.Lock()
		s.verdict.HeadLoad = stall.HeadLoad{Running: 30, KVTokensUsed: 10_000 + i}
		s.mu.Unlock()
		s.pass(400 * time.Millisecond)
	}
	assert.NilError(t, ctx.Err())
	assert.Equal(t, len(s.stalled), 0)
	s.pass(1800 * time.Millisecond)
	assert.Assert(t, errors.Is(context.Cause(ctx), stall.ErrStalled), "%v", context.Cause(ctx))
}

// A slow member makes the group slow: it is waited for, since nothing is lost.
func TestSlowGroupIsWaitedFor(t *testing.T) {
	s := newScene(t)
	s.verdict.Slowdown = 3
	watch, ctx := s.begin()
	watch.Progress()
	s.pass(1400 * time.Millisecond)
	assert.NilError(t, ctx.Err())
}

// A connection that something between the ends lost track of: others of the
// group go on.
func TestSilentConnection(t *testing.T) {
	s := newScene(t)
	silent, ctx := s.begin()
	other, otherCtx := s.begin()
	silent.Progress()
	s.pass(1300*time.Millisecond, other)
	assert.Assert(t, errors.Is(context.Cause(ctx), stall.ErrSilent))
	assert.NilError(t, otherCtx.Err())
	assert.Equal(t, s.inspected, 0)
}

// A group that was idle is not silent when its first request comes.
func TestIdleGroupIsNotSilent(t *testing.T) {
	s := newScene(t)
	watch, _ := s.begin()
	watch.Progress()
	watch.End()
	s.pass(5 * time.Second)
	_, ctx := s.begin()
	s.pass(200 * time.Millisecond)
	assert.Equal(t, s.inspected, 0)
	assert.NilError(t, ctx.Err())
}

// Long prompts among short: a first event takes a while and is no stall.
func TestFirstEventsAreWaitedForLonger(t *testing.T) {
	s := newScene(t)
	_, ctx := s.begin()
	s.pass(450 * time.Millisecond)
	assert.Equal(t, s.inspected, 0)
	s.verdict.Lost = []string{"i-2"}
	s.pass(200 * time.Millisecond)
	assert.Assert(t, errors.Is(context.Cause(ctx), stall.ErrLost))
}

// A group that is slower than expected gets less work.
func TestSpeedFollowsTheGaps(t *testing.T) {
	s := newScene(t)
	watch, _ := s.begin()
	assert.Equal(t, s.monitor.Speed("head"), 1.0)
	s.pass(500*time.Millisecond, watch)
	assert.Equal(t, s.monitor.Speed("head"), 1.0)
	for range 20 {
		s.pass(300 * time.Millisecond)
		watch.Progress()
	}
	assert.Assert(t, s.monitor.Speed("head") < 0.5, "%f", s.monitor.Speed("head"))
	s.pass(5 * time.Second)
	assert.Equal(t, s.monitor.Speed("head"), 1.0)
}
