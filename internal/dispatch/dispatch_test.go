package dispatch_test

import (
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/dispatch"
	standinendpoint "flamingodoor.example/flamingodoor/internal/standin/endpoint"
)

const tokens = 16

// Guards against an incomplete or doubled text after a crash, and against a
// retry before the strike.
func TestAnswerResumesAfterACrash(t *testing.T) {
	w := newWorld(t, dispatch.WithEndpointWait(0, 2*time.Second))
	for _, id := range []string{"a", "b"} {
		w.add(t, id, standinendpoint.WithCrash("boom", 5, w.stop(id)))
	}
	w.reports["b"] = flamingodoor.Report{} // not ready until the first one crashed
	go func() {
		for {
			w.mu.Lock()
			struck := len(w.strikes) > 0
			if struck {
				w.reports["b"] = flamingodoor.Report{Incarnation: "i-b", State: flamingodoor.EndpointStateWarm}
				w.mu.Unlock()
				return
			}
			w.mu.Unlock()
			time.Sleep(time.Millisecond)
		}
	}()
	text, result, err := w.generate(t, "boom", 5*time.Second)
	// The second crash reaches the limit of strikes.
	assert.Equal(t, flamingodoor.CodeOf(err), flamingodoor.CodePoisonRequest)
	assert.Equal(t, flamingodoor.RunStateOf(err), flamingodoor.RunStateRan)
	assert.Equal(t, text, standinendpoint.Answer("boom", 10))
	assert.Equal(t, result.Attempts, 2)
	assert.DeepEqual(t, w.strikes, []string{"i-a", "i-b"})
	assert.DeepEqual(t, w.suspects, []string{"a", "b"})

	w.strikes = nil
	w.add(t, "c")
	w.add(t, "d", standinendpoint.WithTokenTimes(0, time.Minute)) // stalls after its first token
	for range 8 {
		w.mu.Lock()
		w.reports["d"] = flamingodoor.Report{Incarnation: "i-d", State: flamingodoor.EndpointStateWarm}
		w.mu.Unlock()
		text, result, err = w.generate(t, "stall", 5*time.Second)
		assert.NilError(t, err)
		assert.Equal(t, text, standinendpoint.Answer("stall", tokens))
		assert.Equal(t, result.Tokens, tokens)
	}
	assert.Equal(t, len(w.strikes), 0) // the stalled process still answers
	assert.Equal(t, w.servers["c"].Statistics().WrongResumes, 0)
}

// Guards against a retry storm: with one of two endpoints gone, sends stay
// within the retry budget of a tenth of the requests and 10 more in 10 s, and
// requests beyond it are refused truthfully.
func TestRetriesStayWithinTheBudget(t *testing.T) {
	const (
		requests  = 100
		mostSends = requests + requests/10 + 10
	)
	w := newWorld(t, dispatch.WithEndpointWait(time.Second, time.Second))
	w.add(t, "a", standinendpoint.WithTokenTimes(0, 0))
	w.add(t, "b", standinendpoint.WithTokenTimes(0, 0))
	w.stop("a")()
	sends, refused := 0, 0
	for n := range requests {
		// The worst case: the evidence does not show that the endpoint is gone.
		w.mu.Lock()
		w.reports["a"] = flamingodoor.Report{Incarnation: "i-a", State: flamingodoor.EndpointStateWarm}
		w.mu.Unlock()
		_, result, err := w.generate(t, strconv.Itoa(n), time.Second)
		sends += result.Attempts
		if err != nil {
			refused++
			assert.Equal(t, flamingodoor.RunStateOf(err), flamingodoor.RunStateNotRun)
		}
	}
	t.Logf("%d requests: %d sends, %d refused", requests, sends, refused)
	assert.Assert(t, sends <= mostSends, "%d sends", sends)
	assert.Equal(t, w.servers["b"].Statistics().Completed, requests-refused)
}

// Guards against a strike for a crash that happened before the request was
// sent: a host with old evidence still sends to the dead process.
func TestKnownCrashIsNoStrike(t *testing.T) {
	for _, known := range []bool{true, false} {
		w := newWorld(t)
		w.add(t, "a", standinendpoint.WithCrash("boom", 0, w.stop("a")))
		if known {
			w.crashed = []string{"i-a"}
		}
		_, _, err := w.generate(t, "boom", time.Second)
		assert.Assert(t, err != nil)
		assert.Equal(t, len(w.strikes) == 0, known)
	}
}

// Guards against sending work where it must not go.
func TestNothingIsSentToAnIneligibleGroup(t *testing.T) {
	cases := map[string]struct {
		change func(*world)
		code   flamingodoor.Code
	}{
		"not fresh":            {func(w *world) { w.stale = true }, flamingodoor.CodeNotFresh},
		"data centre out":      {func(w *world) { w.out = "dc-a" }, flamingodoor.CodeNoEndpoint},
		"restricted":           {func(w *world) { w.restricted = "dc-a" }, flamingodoor.CodeNoEndpoint},
		"leaving by operator":  {func(w *world) { w.endpoints[0].Leaving = true }, flamingodoor.CodeNoEndpoint},
		"not serving":          {func(w *world) { w.notServing = "g-a" }, flamingodoor.CodeNoEndpoint},
		"other version":        {func(w *world) { w.groups[0].Version = "old" }, flamingodoor.CodeNoEndpoint},
		"leaving by report":    {func(w *world) { w.reports["a"] = flamingodoor.Report{State: flamingodoor.EndpointStateLeaving} }, flamingodoor.CodeNoEndpoint},
		"blocked by strikes":   {func(w *world) { w.strikes = []string{"x", "y"} }, flamingodoor.CodePoisonRequest},
		"cold without permits": {func(w *world) { w.reports["a"] = flamingodoor.Report{State: flamingodoor.EndpointStateCold} }, flamingodoor.CodeDeadlineExceeded},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t)
			w.add(t, "a")
			test.change(w)
			_, _, err := w.generate(t, "p", 100*time.Millisecond)
			assert.Equal(t, flamingodoor.CodeOf(err), test.code)
			assert.Equal(t, flamingodoor.RunStateOf(err), flamingodoor.RunStateNotRun)
			assert.Equal(t, w.received(), 0)
		})
	}
}

// Guards against more requests at a cold endpoint than its allowance, and
// against refusing requests that only have to wait for a permit.
func TestRequestsWaitForPermits(t *testing.T) {
	w := newWorld(t)
	w.slots = 1
	w.add(t, "a", standinendpoint.WithColdRequests(1000))
	var group sync.WaitGroup
	for _, prompt := range []string{"p1", "p2", "p3", "p4", "p5"} {
		group.Go(func() {
			text, _, err := w.generate(t, prompt, 10*time.Second)
			assert.Check(t, err)
			assert.Check(t, text == standinendpoint.Answer(prompt, tokens))
		})
	}
	group.Wait()
	assert.NilError(t, w.dispatcher.Drain(t.Context()))
	assert.Equal(t, w.servers["a"].Statistics().ColdInFlightMax, 1)
	assert.Equal(t, w.released, 5)
}

// Guards against a request that goes on at a cold endpoint after its permit
// was lost, and against a release before the engine confirmed the end.
func TestLostPermitCancelsTheRequest(t *testing.T) {
	w := newWorld(t)
	w.slots = 1
	w.add(t, "a", standinendpoint.WithColdRequests(9), standinendpoint.WithColdDelay(time.Minute), standinendpoint.WithRunAfterDisconnect())
	time.AfterFunc(100*time.Millisecond, func() { close(w.lost) })
	_, _, err := w.generate(t, "p", 10*time.Second)
	assert.Equal(t, flamingodoor.RunStateOf(err), flamingodoor.RunStateMayHaveRun)
	assert.NilError(t, w.dispatcher.Drain(t.Context()))
	assert.Equal(t, w.servers["a"].Statistics().Cancelled, 1)
	assert.Equal(t, w.released, 1)
	assert.Equal(t, len(w.suspects), 0)
}

// Guards against a permit that is released, or renewed for ever, although the
// engine has not confirmed the end of the request.
func TestUnconfirmedCancellationAbandonsThePermit(t *testing.T) {
	w := newWorld(t)
	w.slots = 1
	w.add(t, "a", standinendpoint.WithColdRequests(9), standinendpoint.WithCrash("boom", 1, w.stop("a")))
	_, _, err := w.generate(t, "boom", 10*time.Second)
	assert.Equal(t, flamingodoor.RunStateOf(err), flamingodoor.RunStateRan)
	assert.NilError(t, w.dispatcher.Drain(t.Context()))
	assert.Equal(t, w.abandoned, 1)
	assert.Equal(t, w.released, 0)
}

// Guards against trusting the state of a process that has been replaced.
func TestRestartedEngineIsNotUsed(t *testing.T) {
	w := newWorld(t)
	w.add(t, "a")
	w.reports["a"] = flamingodoor.Report{Incarnation: "before", State: flamingodoor.EndpointStateWarm}
	text, _, err := w.generate(t, "p", time.Second)
	assert.Equal(t, flamingodoor.RunStateOf(err), flamingodoor.RunStateMayHaveRun)
	assert.Equal(t, text, "")
	assert.DeepEqual(t, w.suspects, []string{"a"})
	assert.Equal(t, len(w.strikes), 0)
}

// Guards against a request being refused while its endpoint is only busy for a
// moment, against an unbounded number of sends while it is held, and against a
// refusal by every engine being reported as run.
func TestRequestWaitsForAnOverloadedEndpoint(t *testing.T) {
	const (
		avoid    = 200 * time.Millisecond
		deadline = 2 * time.Second
		// The first send, the floor of the retry budget and then one send in
		// half the avoid time at most.
		mostSends = 1 + 10 + int(deadline/(avoid/2))
	)
	w := newWorld(t, dispatch.WithMaxAttempts(3), dispatch.WithAvoidTime(avoid), dispatch.WithEndpointWait(time.Second, time.Second))
	w.add(t, "a", standinendpoint.WithLoadTime(time.Minute)) // answers 429
	w.reports["a"] = flamingodoor.Report{Incarnation: "i-a", State: flamingodoor.EndpointStateWarm}
	_, result, err := w.generate(t, "p", deadline)
	assert.Equal(t, flamingodoor.CodeOf(err), flamingodoor.CodeOverloaded)
	assert.Equal(t, flamingodoor.RunStateOf(err), flamingodoor.RunStateNotRun)
	assert.Equal(t, w.received(), result.Attempts)
	assert.Assert(t, result.Attempts > 3 && result.Attempts <= mostSends, "%d sends", result.Attempts)

	busy := newWorld(t, dispatch.WithAvoidTime(avoid), dispatch.WithEndpointWait(time.Second, time.Second))
	busy.add(t, "a", standinendpoint.WithLoadTime(300*time.Millisecond))
	busy.reports["a"] = flamingodoor.Report{Incarnation: "i-a", State: flamingodoor.EndpointStateWarm}
	text, _, err := busy.generate(t, "p", 10*deadline)
	assert.NilError(t, err)
	assert.Equal(t, text, standinendpoint.Answer("p", tokens))
}

func post(id string) flamingodoor.ServiceCall {
	return flamingodoor.ServiceCall{
		RequestID: id, Service: "ledger", Method: http.MethodPost, Path: "/postings", Body: []byte(id),
		Deadline: time.Now().Add(300 * time.Millisecond),
	}
}

// Guards against a payment posting that runs twice, and against giving up
// when the first endpoint provably received nothing.
func TestDispatchOnceSendsOnce(t *testing.T) {
	w := newWorld(t)
	w.addService(t, "a", time.Minute)
	w.addService(t, "b", time.Minute)
	_, err := w.dispatcher.DispatchOnce(t.Context(), post("slow"))
	assert.Equal(t, flamingodoor.RunStateOf(err), flamingodoor.RunStateMayHaveRun)
	assert.Equal(t, w.received(), 1)

	w = newWorld(t)
	w.addService(t, "a", 0)
	w.addService(t, "b", 0)
	w.stop("a")()
	for _, id := range []string{"1", "2", "3", "4", "5", "6"} {
		answer, err := w.dispatcher.DispatchOnce(t.Context(), post(id))
		assert.NilError(t, err)
		assert.Equal(t, answer.Status, http.StatusOK)
		assert.Equal(t, w.servers["b"].Statistics().RunsByRequest[id], 1)
	}
	w.stop("b")()
	_, err = w.dispatcher.DispatchOnce(t.Context(), post("7"))
	assert.Equal(t, flamingodoor.RunStateOf(err), flamingodoor.RunStateNotRun)
}

// Guards against a lookup that fails with the endpoint that runs it.
func TestIdempotentCallMovesOn(t *testing.T) {
	w := newWorld(t, dispatch.WithServiceAttemptTimeout(100*time.Millisecond))
	w.addService(t, "a", time.Minute)
	w.addService(t, "b", 0)
	for range 8 {
		call := post("lookup")
		call.Deadline = time.Now().Add(5 * time.Second)
		answer, err := w.dispatcher.CallService(t.Context(), call)
		assert.NilError(t, err)
		assert.Equal(t, answer.Status, http.StatusOK)
	}
	assert.Assert(t, w.servers["a"].Statistics().Received > 0)
}
