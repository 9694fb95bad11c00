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
	usualGap     = 50 * time.Millisecond
	scanInterval = 50 * time.Millisecond
)

// fixture is a monitor with a clock that the test advances.
type fixture struct {
	t          *testing.T
	mu         sync.Mutex
	now        time.Time
	inspection stall.Inspection
	examine    func(now time.Time) stall.Inspection // replaces inspection unless nil
	inspected  int
	inspecting chan struct{} // one value for each inspection
	stalled    []roster.GroupKey
	monitor    *stall.Monitor
	group      *roster.Group
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	s := &fixture{t: t, now: time.Unix(1_800_000_000, 0), inspecting: make(chan struct{}, 100), inspection: stall.Inspection{Slowdown: 1}}
	s.monitor = stall.New(s.inspect, func(key roster.GroupKey) { s.stalled = append(s.stalled, key) }, func() int { return 1 }, s.clock)
	s.group = &roster.Group{Name: "g", Epoch: 1, Members: []roster.Entry{{Instance: flamingodoor.Instance{ID: "head"}}}}
	return s
}

func (s *fixture) clock() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.now
}

func (s *fixture) inspect(context.Context, *roster.Group) stall.Inspection {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inspected++
	s.inspecting <- struct{}{}
	if s.examine != nil {
		return s.examine(s.now)
	}
	return s.inspection
}

func (s *fixture) begin() (*stall.Watch, context.Context) {
	ctx, cancel := context.WithCancelCause(s.t.Context())
	return s.monitor.Begin(s.group, usualGap, cancel), ctx
}

// advance advances the clock and scans at each step. The active streams make
// progress before each scan.
func (s *fixture) advance(length time.Duration, active ...*stall.Watch) {
	for range int(length / scanInterval) {
		s.mu.Lock()
		s.now = s.now.Add(scanInterval)
		s.mu.Unlock()
		for _, watch := range active {
			watch.Progress()
		}
		s.monitor.Scan(s.t.Context())
		// Inspections run concurrently with the scan.
		time.Sleep(2 * time.Millisecond)
	}
}

// When a member of a group dies, all streams of the group stop at once. They
// must be cancelled within about half a second.
func TestSilentGroupWithALostMember(t *testing.T) {
	s := newFixture(t)
	s.inspection.Lost = []string{"i-2"}
	watch, ctx := s.begin()
	s.advance(500*time.Millisecond, watch)
	assert.NilError(t, ctx.Err())
	s.advance(450 * time.Millisecond)
	assert.Assert(t, errors.Is(context.Cause(ctx), stall.ErrLost), "%v", context.Cause(ctx))
}

// Streams of a group that makes no progress although its members respond must be
// cancelled before the callers give up.
func TestGroupWithoutProgress(t *testing.T) {
	s := newFixture(t)
	watch, ctx := s.begin()
	watch.Progress()
	s.advance(1400 * time.Millisecond)
	assert.Assert(t, errors.Is(context.Cause(ctx), stall.ErrStalled))
	assert.DeepEqual(t, s.stalled, []roster.GroupKey{{Name: "g", Epoch: 1}})
}

// Guards against a group that is reported as stalled, and therefore dissolved, because
// its members stood still for 0.3 to 1.8 s again and again. One that does not answer
// within the 0.32 s of a probe is lost; one that does is inspected again.
func TestGroupThatStandsStillIsNotStalled(t *testing.T) {
	for silence := 300 * time.Millisecond; silence <= 1800*time.Millisecond; silence += 300 * time.Millisecond {
		s := newFixture(t)
		var goesOnAt time.Time
		s.examine = func(now time.Time) (inspection stall.Inspection) {
			inspection.Slowdown = 1
			if now.Add(320 * time.Millisecond).Before(goesOnAt) {
				inspection.Lost = []string{"i-2"}
			}
			return inspection
		}
		for range 4 {
			watch, _ := s.begin()
			s.mu.Lock()
			goesOnAt = s.now.Add(100*time.Millisecond + silence)
			s.mu.Unlock()
			s.advance(100*time.Millisecond, watch)
			s.advance(silence)
			s.advance(100*time.Millisecond, watch)
			watch.End()
		}
		assert.Equal(t, len(s.stalled), 0, "%v", silence)
	}
}

// Guards against cancelling streams that wait in the queue of a working group. A
// group opened while many requests waited, and its queue filled. A host whose
// requests were queued saw no event for 1.2 s and reported the group as stalled,
// although it was serving other hosts, and so made more requests wait.
func TestQueuedRequestsAreNoStall(t *testing.T) {
	s := newFixture(t)
	_, ctx := s.begin()
	s.serveOthers(6)
	assert.NilError(t, ctx.Err())
	assert.Equal(t, len(s.stalled), 0)
	s.advance(1800 * time.Millisecond)
	assert.Assert(t, errors.Is(context.Cause(ctx), stall.ErrStalled), "%v", context.Cause(ctx))
}

// serveOthers lets the load of the head change a number of times, every 0.4 s.
func (s *fixture) serveOthers(changes int) {
	for i := range changes {
		s.mu.Lock()
		s.inspection.HeadLoad = stall.HeadLoad{Running: 30, KVTokensUsed: 10_000 + i}
		s.mu.Unlock()
		s.advance(400 * time.Millisecond)
	}
}

// Guards against a working group that is taken for stalled because its load is read
// ever less often while a request of this host waits in its queue.
func TestLongQueueIsNoStall(t *testing.T) {
	s := newFixture(t)
	_, ctx := s.begin()
	s.serveOthers(30)
	assert.NilError(t, ctx.Err())
	assert.Assert(t, s.inspected < 20, "%d inspections in 12 s", s.inspected)
	s.advance(3 * time.Second)
	assert.Assert(t, errors.Is(context.Cause(ctx), stall.ErrStalled), "%v", context.Cause(ctx))
}

// A slow member makes the group slow. Its streams must not be cancelled, because
// no member is lost.
func TestSlowGroupIsWaitedFor(t *testing.T) {
	s := newFixture(t)
	s.inspection.Slowdown = 3
	watch, ctx := s.begin()
	watch.Progress()
	s.advance(1400 * time.Millisecond)
	assert.NilError(t, ctx.Err())
}

// A network device on the path drops the state of a connection. The stream on it
// must be cancelled, and other streams of the group must continue.
func TestSilentConnection(t *testing.T) {
	s := newFixture(t)
	silent, ctx := s.begin()
	active, activeCtx := s.begin()
	silent.Progress()
	s.advance(1300*time.Millisecond, active)
	assert.Assert(t, errors.Is(context.Cause(ctx), stall.ErrSilent))
	assert.NilError(t, activeCtx.Err())
	assert.Equal(t, s.inspected, 0)
}

// A group that was idle must not count as silent when it receives a request.
func TestIdleGroupIsNotSilent(t *testing.T) {
	s := newFixture(t)
	watch, _ := s.begin()
	watch.Progress()
	watch.End()
	s.advance(5 * time.Second)
	_, ctx := s.begin()
	s.advance(200 * time.Millisecond)
	assert.Equal(t, s.inspected, 0)
	assert.NilError(t, ctx.Err())
}

// The first event of a long prompt takes longer and is not a stall.
func TestFirstEventsAreWaitedForLonger(t *testing.T) {
	s := newFixture(t)
	_, ctx := s.begin()
	s.advance(450 * time.Millisecond)
	assert.Equal(t, s.inspected, 0)
	s.inspection.Lost = []string{"i-2"}
	s.advance(200 * time.Millisecond)
	assert.Assert(t, errors.Is(context.Cause(ctx), stall.ErrLost))
}

// The speed of a group falls when its gaps exceed the expected ones, so that it
// gets fewer requests, and is 1 again without recent events.
func TestSpeedFollowsTheGaps(t *testing.T) {
	s := newFixture(t)
	watch, _ := s.begin()
	assert.Equal(t, s.monitor.Speed("head"), 1.0)
	s.advance(500*time.Millisecond, watch)
	assert.Equal(t, s.monitor.Speed("head"), 1.0)
	for range 20 {
		s.advance(300 * time.Millisecond)
		watch.Progress()
	}
	assert.Assert(t, s.monitor.Speed("head") < 0.5, "%f", s.monitor.Speed("head"))
	s.advance(5 * time.Second)
	assert.Equal(t, s.monitor.Speed("head"), 1.0)
}

// The head of a group that asked for no requests is not probed each time. Its
// unknown load must not be taken for one that does not change.
func TestUnknownLoadOfTheHeadIsNoStall(t *testing.T) {
	s := newFixture(t)
	s.inspection.HeadUnknown = true
	_, ctx := s.begin()
	s.advance(2400 * time.Millisecond)
	assert.NilError(t, ctx.Err())
	assert.Equal(t, len(s.stalled), 0)
	assert.Assert(t, s.inspected > 2)
}

// Guards against hosts of a large fleet that learn later than those of a small one that
// all their groups are silent: the random delay of inspections grows with the fleet.
func TestSilenceIsReportedWithoutDelay(t *testing.T) {
	s, reports := newFixture(t), 0
	s.monitor = stall.New(s.inspect, func(roster.GroupKey) {}, func() int { return 200 }, s.clock,
		stall.WithSilenceListener(func(*roster.Group) { reports++ }))
	for before := range 3 {
		watch, _ := s.begin()
		watch.Progress()
		s.advance(250 * time.Millisecond)
		assert.Equal(t, reports, before)
		s.advance(200 * time.Millisecond)
		assert.Equal(t, reports, before+1, "a silence is reported once")
		watch.End()
	}
}
