package proxy_test

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/hedging"
	"flamingodoor.example/flamingodoor/internal/proxy"
)

// usualRequests are enough requests for a percentile.
const usualRequests = 25

// hedgingSetup is a host that has measured a usual time to the first event, with two
// instances: the first is local, chosen first, and stands still once it is slow.
type hedgingSetup struct {
	*setup

	first, other *standstill
	slots        int // of each
}

// newHedgingSetup returns a host that has served some requests at once.
func newHedgingSetup(t *testing.T, limit float64) hedgingSetup {
	t.Helper()
	return newHedgingSetupOf(t, newSetup(t, proxy.WithHedgeLimit(limit)))
}

// newHedgingSetupOf makes a host serve some requests.
func newHedgingSetupOf(t *testing.T, s *setup) hedgingSetup {
	t.Helper()
	c := hedgingSetup{setup: s, slots: 2, first: newStandstill(t, 0, false), other: newStandstill(t, lastEvent, false)}
	fast := newEndpoint(t, events(lastEvent, 0))
	c.register(fast.instance("i-0", "llm"))
	for range usualRequests {
		got := c.send("/stream/x")
		assert.Equal(t, got.body, allEvents(lastEvent))
	}
	return c
}

// begin registers both instances and sends a stream that reaches the slow one.
func (c hedgingSetup) begin(t *testing.T) <-chan reply {
	t.Helper()
	return c.beginAt(t, c.setup)
}

// beginAt is begin with a stream that is sent to the given host.
func (c hedgingSetup) beginAt(t *testing.T, s *setup) <-chan reply {
	t.Helper()
	first, other := c.first.instance("i-1", "llm"), c.other.instance("i-2", "llm")
	other.DataCentre = "dc-b" // local instances come first
	first.Slots, other.Slots = c.slots, c.slots
	c.register(first, other)
	replies := make(chan reply, 1)
	go func() { replies <- s.send("/stream/x") }()
	await(t, c.first.reached, "silence")
	return replies
}

// changeRoute changes the route of the streams.
func (c hedgingSetup) changeRoute(edit func(route *flamingodoor.Route)) {
	changed := *c.catalogue.Index().Catalogue
	changed.Version++
	changed.Routes = []flamingodoor.Route{route("/stream/", flamingodoor.RouteKindStreaming, "llm", 2)}
	edit(&changed.Routes[0])
	c.catalogue.Configure(&changed)
}

// Guards against a late stream that is not hedged, against events of both attempts in one
// answer, and against a cancelled attempt that goes on at its instance, keeps its slot, or
// counts as a failure of the instance or of the request.
func TestHedgeWinsAgainstASlowInstance(t *testing.T) {
	c := newHedgingSetup(t, hedging.MaxLimit)
	got := <-c.begin(t)
	assert.Equal(t, got.body, allEvents(lastEvent))
	await(t, c.first.left, "end of the first attempt")
	assert.Equal(t, c.first.runs.Load(), int64(1))
	assert.Equal(t, c.other.runs.Load(), int64(1))
	counts := c.proxy.HedgeCounts()
	assert.Equal(t, counts.Started, int64(1))
	assert.Equal(t, counts.Won, int64(1))
	assert.Assert(t, counts.EngineTime > 0)
	assert.Equal(t, c.parts.broken.Load(), int64(0), "the cancelled attempt was reported")
	assert.Equal(t, c.paths.failed.Load(), int64(0), "the cancelled attempt was taken for a lost path")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(c.tracker.OwnInFlight()) == 0 {
			return poll.Success()
		}
		return poll.Continue("slots in use: %v", c.tracker.OwnInFlight())
	}, poll.WithTimeout(2*time.Second))
}

// Guards against a hedge that goes on after the first attempt has had the first event, and
// against a slot that it keeps.
func TestFirstAttemptWinsAgainstItsHedge(t *testing.T) {
	c := newHedgingSetup(t, hedging.MaxLimit)
	c.other = newStandstill(t, 0, false)
	replies := c.begin(t)
	await(t, c.other.reached, "hedge")
	close(c.first.goOn)
	got := <-replies
	assert.Equal(t, got.body, allEvents(lastEvent))
	await(t, c.other.left, "end of the hedge")
	assert.Equal(t, c.proxy.HedgeCounts().Started, int64(1))
	assert.Equal(t, c.proxy.HedgeCounts().Won, int64(0))
}

// Guards against a slot of the first attempt that stays in use until the stream of the
// hedge ends: load reports would count it.
func TestCancelledAttemptReleasesItsSlot(t *testing.T) {
	c := newHedgingSetup(t, hedging.MaxLimit)
	c.other = newStandstill(t, 1, false) // stands still after the first event
	replies := c.begin(t)
	await(t, c.other.reached, "first event of the hedge")
	await(t, c.first.left, "end of the first attempt")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if c.tracker.InFlight("i-1") == 0 {
			return poll.Success()
		}
		return poll.Continue("the slot is in use")
	}, poll.WithTimeout(2*time.Second))
	assert.Equal(t, c.tracker.InFlight("i-2"), 1)
	close(c.other.goOn)
	got := <-replies
	assert.Equal(t, got.body, allEvents(lastEvent))
}

// Guards against sending a request twice that must not be repeated, against hedges where
// operators allow none, and against those of a full fleet and beyond max_attempts.
func TestLateRequestIsNotHedged(t *testing.T) {
	for name, test := range map[string]struct {
		limit   float64
		prepare func(c *hedgingSetup)
	}{
		"limit 0":        {0, func(*hedgingSetup) {}},
		"not repeatable": {hedging.MaxLimit, func(c *hedgingSetup) { c.changeRoute(func(r *flamingodoor.Route) { r.Resumable = false }) }},
		"one attempt":    {hedging.MaxLimit, func(c *hedgingSetup) { c.changeRoute(func(r *flamingodoor.Route) { r.MaxAttempts = 1 }) }},
		"full fleet":     {hedging.MaxLimit, func(c *hedgingSetup) { c.slots = 1 }},
		"limit used up":  {0.001, func(*hedgingSetup) {}},
	} {
		t.Run(name, func(t *testing.T) {
			c := newHedgingSetup(t, test.limit)
			test.prepare(&c)
			replies := c.begin(t)
			time.Sleep(300 * time.Millisecond)
			close(c.first.goOn)
			got := <-replies
			assert.Equal(t, got.status, http.StatusOK)
			assert.Equal(t, got.body, allEvents(lastEvent))
			assert.Equal(t, c.other.runs.Load(), int64(0))
			assert.Equal(t, c.proxy.HedgeCounts().Started, int64(0))
		})
	}
}

// Guards against hedges beyond the retry budget.
func TestHedgeNeedsRetryBudget(t *testing.T) {
	s := newSetup(t, proxy.WithHedgeLimit(hedging.MaxLimit))
	s.proxy.SetLimits(proxy.Limits{RevokeWithin: 5 * time.Second})
	c := newHedgingSetupOf(t, s)
	replies := c.begin(t)
	time.Sleep(300 * time.Millisecond)
	close(c.first.goOn)
	got := <-replies
	assert.Equal(t, got.body, allEvents(lastEvent))
	assert.Equal(t, c.proxy.HedgeCounts().Started, int64(0))
}

// Guards against hedges by both hosts of a forwarded request.
func TestForwardedRequestIsNotHedged(t *testing.T) {
	c := newHedgingSetupOf(t, newHost(t, "host-2", proxy.WithHedgeLimit(hedging.MaxLimit)))
	f := newFleet(t, 0)
	server := httptest.NewServer(c.proxy.PeerHandler(http.NotFoundHandler()))
	defer server.Close()
	f.list.peers = []flamingodoor.EntryPeer{{ID: "host-2", Address: netip.MustParseAddrPort(server.Listener.Addr().String())}}
	replies := c.beginAt(t, f.setup)
	time.Sleep(300 * time.Millisecond)
	close(c.first.goOn)
	got := <-replies
	assert.Equal(t, got.body, allEvents(lastEvent))
	assert.Equal(t, c.other.runs.Load(), int64(0))
}

// Guards against a hedge that breaks and takes the first attempt with it.
func TestFirstAttemptGoesOnAfterItsHedgeBroke(t *testing.T) {
	c := newHedgingSetup(t, hedging.MaxLimit)
	c.other = newStandstill(t, 0, true)
	close(c.other.goOn)
	replies := c.begin(t)
	await(t, c.other.reached, "hedge")
	time.Sleep(transitTime)
	close(c.first.goOn)
	got := <-replies
	assert.Equal(t, got.body, allEvents(lastEvent))
	assert.Equal(t, c.other.runs.Load(), int64(1))
}

// Guards against a suspicion that is lost because it came during a hedge.
func TestSuspicionDuringAHedgeBeginsABackup(t *testing.T) {
	c := newHedgingSetup(t, hedging.MaxLimit)
	c.changeRoute(func(r *flamingodoor.Route) { r.MaxAttempts = 3 })
	c.other = newStandstill(t, 0, true)
	replies := c.begin(t)
	await(t, c.other.reached, "hedge")
	c.suspect("i-1")
	third := newEndpoint(t, events(lastEvent, 0))
	c.register(c.first.instance("i-1", "llm"), c.other.instance("i-2", "llm"), third.instance("i-3", "llm"))
	close(c.other.goOn)
	got := <-replies
	assert.Equal(t, got.body, allEvents(lastEvent))
	assert.Equal(t, third.runs.Load(), int64(1))
	await(t, c.first.left, "end of the first attempt")
}
