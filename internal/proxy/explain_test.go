package proxy_test

import (
	"encoding/json"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/balance"
	"flamingodoor.example/flamingodoor/internal/explain"
	"flamingodoor.example/flamingodoor/internal/proxy"
	"flamingodoor.example/flamingodoor/internal/stall"
)

// described is the request that setup.send sends to the route of the engine.
var described = explain.Request{Host: host, Path: "/stream/x", Workspace: "billing", Model: model, PromptTokens: 100, MaxOutputTokens: 50} //nolint:gochecknoglobals // a constant structure

func candidateOf(t *testing.T, answer explain.Answer, id string) explain.Candidate {
	t.Helper()
	for _, candidate := range answer.Candidates {
		if candidate.Instance == id {
			return candidate
		}
	}
	t.Fatalf("no candidate %s in %+v", id, answer)
	return explain.Candidate{}
}

// Guards against an explanation that differs from what the next request does, and against
// one that reserves a slot, counts demand, makes a queue or shows a key.
func TestExplanationNamesTheNextChoiceAndReservesNothing(t *testing.T) {
	s := newSetup(t)
	s.prioritise()
	e := newEndpoint(t, events(1, 0))
	s.register(e.instance("i-1", "llm"), e.instance("i-2", "llm"), e.instance("i-3", "llm"))
	busy := []balance.Candidate{{ID: "i-1", Capacity: 2, OwnLimit: 2}}
	_, ok := s.tracker.Pick(busy, 0, time.Now())
	assert.Assert(t, ok)
	s.fill("i-3")
	before := s.tracker.OwnInFlight()
	for range 20 {
		answer := s.proxy.Explain(described)
		assert.Equal(t, answer.Outcome, explain.OutcomePlaced)
		assert.Equal(t, answer.Choice, "i-2")
		assert.Equal(t, answer.Priority, 5)
		assert.Equal(t, answer.Candidates[0].Instance, "i-2")
		assert.Assert(t, answer.Candidates[0].PredictedMS > 0)
		assert.Equal(t, candidateOf(t, answer, "i-1").Reason, explain.ReasonNone)
		assert.Equal(t, candidateOf(t, answer, "i-1").InFlight, 1)
		assert.Equal(t, candidateOf(t, answer, "i-3").Reason, explain.ReasonAtCapacity)
		encoded, err := json.Marshal(answer)
		assert.NilError(t, err)
		assert.Assert(t, !strings.Contains(string(encoded), key))
	}
	assert.DeepEqual(t, s.tracker.OwnInFlight(), before)
	assert.Equal(t, len(s.demand.Rates(time.Now())), 0)
	assert.Equal(t, len(s.proxy.WaitingRequests()), 0)
	assert.Assert(t, !s.proxy.RequestsReceived())
	assert.Equal(t, e.runs.Load(), int64(0))
	assert.Equal(t, s.send("/stream/x").status, http.StatusOK)
	assert.Equal(t, e.received(headers.ExpectInstance), "i-2")
	urgent := described
	urgent.Route, urgent.Workspace = "/stream/", "urgent"
	answer := s.proxy.Explain(urgent)
	assert.Equal(t, answer.Priority, 0)
	assert.Equal(t, answer.PrioritySource, explain.PrioritySourceWorkspace)
}

// Guards against an explanation of a full model that differs from the refusal of the next
// request, or whose estimates change those of requests.
func TestExplanationOfAFullModelHasItsRefusal(t *testing.T) {
	var elapsed atomic.Int64
	now := func() time.Time { return time.Now().Add(time.Duration(elapsed.Load())) }
	s := newSetup(t, proxy.WithClock(now))
	e := newEndpoint(t, events(1, 0))
	s.register(e.instance("i-1", "llm"))
	s.proxy.SetHosts([]string{"host-1", "host-2", "host-3"}, 0) // more than the slots of a group
	s.allowLongRequests(30*time.Second, 300*time.Millisecond)
	s.fill("i-1")
	answer := s.proxy.Explain(described)
	assert.Equal(t, answer.Outcome, explain.OutcomeWaits) // the rate at which slots end is not known
	assert.Equal(t, answer.Refusal.Reason, "full")
	s.tracker.Release("i-1")
	s.tracker.Release("i-1")
	firstTry := func(request *http.Request) { request.Header.Set(headers.DeadlineMS, "30000") }
	for range 12 { // slots end at 1.4 per second
		elapsed.Add(int64(700 * time.Millisecond))
		s.catalogue.Confirm(now())
		assert.Equal(t, s.send("/stream/x", firstTry).status, http.StatusOK)
	}
	s.fill("i-1")
	// A second try waits, for up to 2 s. A first try comes before it, but its turn is expected
	// after its objective.
	q := queued{statuses: make(chan int, 1)}
	s.enqueue(&q, "r2", func(request *http.Request) { request.Header.Set(headers.DeadlineMS, "20000") })
	s.awaitWaiting(1)
	for range 20 {
		answer = s.proxy.Explain(described)
	}
	assert.Equal(t, answer.Outcome, explain.OutcomeRefused)
	assert.Equal(t, answer.Choice, "")
	assert.Equal(t, answer.Queue.Waiting, 1)
	assert.Equal(t, answer.Queue.Ahead, 0)
	assert.Assert(t, *answer.Queue.TurnMS > answer.Queue.MaxWaitMS, "%+v", answer.Queue)
	assert.Equal(t, answer.Candidates[0].Reason, explain.ReasonAtCapacity)
	got := s.send("/stream/x", firstTry, func(request *http.Request) { request.Header.Set(headers.RequestID, "r3") })
	assert.Equal(t, got.status, answer.Refusal.Status)
	assert.Assert(t, strings.Contains(got.body, answer.Refusal.Reason), got.body)
	const tolerance = 50 * time.Millisecond // the time left falls between the two
	after := retryAfterOf(t, got)
	least, most := time.Duration(answer.Refusal.MinRetryAfterMS)*time.Millisecond, time.Duration(answer.Refusal.MaxRetryAfterMS)*time.Millisecond
	assert.Assert(t, after >= least-tolerance && after <= most+tolerance, "%s is not from %s to %s", after, least, most)
	s.tracker.Release("i-1")
	q.wait.Wait()
	assert.Equal(t, <-q.statuses, http.StatusOK)
}

// Guards against an explanation that gives a wrong reason, or none, for a group that is out.
func TestExplanationNamesTheReasonAgainstAGroup(t *testing.T) {
	for name, test := range map[string]struct {
		arrange func(s *setup)
		want    explain.Reason
	}{
		"slow until lately, with a request": {func(s *setup) {
			now := time.Now()
			s.speeds.Report("h1", []stall.Reading{{Head: "i-1", Speed: 0.2, At: now.Add(-2900 * time.Millisecond), Witnesses: 2}}, now)
			s.monitor.Believed("i-1")
			time.Sleep(110 * time.Millisecond)
			s.tracker.Pick([]balance.Candidate{{ID: "i-1", Capacity: 2, OwnLimit: 2}}, 0, time.Now())
		}, explain.ReasonSlowRetried},
		"evacuated": {func(s *setup) { s.catalogue.Evacuate([]string{"dc-b"}) }, explain.ReasonEvacuated},
		"full":      {func(s *setup) { s.fill("i-1") }, explain.ReasonAtCapacity},
		"new, with this host's part": {func(s *setup) {
			s.proxy.SetHosts([]string{"host-1", "host-2"}, time.Hour)
			s.tracker.Pick([]balance.Candidate{{ID: "i-1", Capacity: 2, OwnLimit: 2}}, 0, time.Now())
		}, explain.ReasonOwnLimit},
		"refused a request": {func(s *setup) { s.tracker.PauseUntil("i-1", time.Now().Add(time.Minute), time.Now()) }, explain.ReasonPaused},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSetup(t)
			e := newEndpoint(t, events(1, 0))
			out := e.instance("i-1", "llm")
			out.DataCentre = "dc-b"
			s.register(out, e.instance("i-2", "llm"))
			test.arrange(s)
			answer := s.proxy.Explain(described)
			assert.Equal(t, candidateOf(t, answer, "i-1").Reason, test.want)
			assert.Equal(t, answer.Choice, "i-2")
			assert.Equal(t, s.send("/stream/x").status, http.StatusOK)
			assert.Equal(t, e.received(headers.ExpectInstance), "i-2")
		})
	}
}

// Guards against an explanation that makes this host believe that a group was slow until
// lately, which limits it to single requests.
func TestExplanationDoesNotRecordASlowGroup(t *testing.T) {
	s := newSetup(t)
	e := newEndpoint(t, events(1, 0))
	s.register(e.instance("i-1", "llm"), e.instance("i-2", "llm"))
	now := time.Now()
	s.speeds.Report("h1", []stall.Reading{{Head: "i-1", Speed: 0.2, At: now.Add(-2900 * time.Millisecond), Witnesses: 2}}, now)
	answer := s.proxy.Explain(described)
	assert.Equal(t, candidateOf(t, answer, "i-1").SpeedPercent, 20)
	assert.Equal(t, answer.Choice, "i-2")
	time.Sleep(110 * time.Millisecond)
	_, retried := s.monitor.Believed("i-1")
	assert.Assert(t, !retried)
}

// Guards against an explanation of a request that is rejected before it becomes a job, or
// that has no candidate, which differs from the response.
func TestExplanationOfARejection(t *testing.T) {
	s := newSetup(t)
	e := newEndpoint(t, signed("done"))
	leaving := e.instance("i-1", "plain")
	leaving.Leaving = true
	s.register(leaving)
	for name, test := range map[string]struct {
		request explain.Request
		status  int
		reason  string
	}{
		"no route":          {explain.Request{Route: "other"}, http.StatusNotFound, "no_route"},
		"other service":     {explain.Request{Route: "/read/", Service: "llm"}, http.StatusNotFound, "no_route"},
		"unknown workspace": {explain.Request{Route: "/read/", Workspace: "other"}, http.StatusUnauthorized, "unknown_workspace"},
		"no instance":       {explain.Request{Route: "/read/"}, http.StatusServiceUnavailable, "no_instance"},
	} {
		answer := s.proxy.Explain(test.request)
		assert.Equal(t, answer.Outcome, explain.OutcomeRefused, name)
		assert.Equal(t, answer.Refusal.Status, test.status, name)
		assert.Equal(t, answer.Refusal.Reason, test.reason, name)
	}
	assert.Equal(t, candidateOf(t, s.proxy.Explain(explain.Request{Route: "/read/"}), "i-1").Reason, explain.ReasonLeaving)
	got := s.send("/read/x")
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Assert(t, strings.Contains(got.body, "no_instance"))
	ready := e.instance("i-1", "llm")
	ready.Membership.State = flamingodoor.MembershipStateReady
	s.register(ready)
	assert.Equal(t, candidateOf(t, s.proxy.Explain(described), "i-1").Reason, explain.ReasonNotServing)
}
