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
	"flamingodoor.example/flamingodoor/internal/engine"
	standinendpoint "flamingodoor.example/flamingodoor/internal/standin/endpoint"
)

const tokens = 16

// Guards against an incomplete or repeated text after an engine crashed or
// stalled, and against a retry before the strike is reported.
func TestAnswerResumesAfterACrash(t *testing.T) {
	c := newCluster(t, dispatch.WithEndpointWait(0, 2*time.Second))
	for _, id := range []string{"a", "b"} {
		c.add(t, id, standinendpoint.WithCrash("boom", 5, c.stop(id)))
	}
	c.reports["b"] = flamingodoor.Report{} // not available until the crash of a was reported
	go func() {
		for {
			c.mu.Lock()
			struck := len(c.strikes) > 0
			if struck {
				c.reports["b"] = flamingodoor.Report{Incarnation: "i-b", State: flamingodoor.EndpointStateWarm}
				c.mu.Unlock()
				return
			}
			c.mu.Unlock()
			time.Sleep(time.Millisecond)
		}
	}()
	text, result, err := c.generate(t, "boom", 5*time.Second)
	// The second crash blocks the request.
	assert.Equal(t, flamingodoor.CodeOf(err), flamingodoor.CodePoisonRequest)
	assert.Equal(t, flamingodoor.RunStateOf(err), flamingodoor.RunStateRan)
	assert.Equal(t, text, standinendpoint.Answer("boom", 10))
	assert.Equal(t, result.Attempts, 2)
	assert.DeepEqual(t, c.strikes, []string{"i-a", "i-b"})
	assert.DeepEqual(t, c.invalidated, []string{"a", "b"})

	c.strikes = nil
	c.add(t, "c")
	c.add(t, "d", standinendpoint.WithTokenTimes(0, time.Minute)) // stalls after its first token
	for range 8 {
		c.mu.Lock()
		c.reports["d"] = flamingodoor.Report{Incarnation: "i-d", State: flamingodoor.EndpointStateWarm}
		c.mu.Unlock()
		text, result, err = c.generate(t, "stall", 5*time.Second)
		assert.NilError(t, err)
		assert.Equal(t, text, standinendpoint.Answer("stall", tokens))
		assert.Equal(t, result.Tokens, tokens)
	}
	assert.Equal(t, len(c.strikes), 0) // the stalled process still answers
	assert.Equal(t, c.servers["c"].Statistics().WrongResumes, 0)
}

// Guards against a retry storm while one of two endpoints is down: the retries
// must stay within the budget, a tenth of the requests plus 10 in 10 s, and
// requests that fail beyond it must be reported as not run.
func TestRetriesStayWithinTheBudget(t *testing.T) {
	const (
		requests = 100
		maxSends = requests + requests/10 + 10
	)
	// Time must not run out while the machine pauses: a request that is cut off has run.
	const patience = time.Minute
	c := newCluster(t)
	parts := c.parts()
	parts.Engine = engine.NewClient(engine.WithChunkGapTimeout(patience))
	c.dispatcher = dispatch.New(parts, dispatch.WithEndpointWait(time.Second, time.Second))
	c.add(t, "a", standinendpoint.WithTokenTimes(0, 0))
	c.add(t, "b", standinendpoint.WithTokenTimes(0, 0))
	c.stop("a")()
	sends, refused := 0, 0
	for n := range requests {
		// In the worst case the evidence still shows the stopped endpoint as
		// warm.
		c.mu.Lock()
		c.reports["a"] = flamingodoor.Report{Incarnation: "i-a", State: flamingodoor.EndpointStateWarm}
		c.mu.Unlock()
		_, result, err := c.generate(t, strconv.Itoa(n), patience)
		sends += result.Attempts
		if err != nil {
			refused++
			assert.Equal(t, flamingodoor.RunStateOf(err), flamingodoor.RunStateNotRun, "%v", err)
		}
	}
	t.Logf("%d requests: %d sends, %d refused", requests, sends, refused)
	assert.Assert(t, sends <= maxSends, "%d sends", sends)
	assert.Equal(t, c.servers["b"].Statistics().Completed, requests-refused)
}

// Guards against a strike for a crash that happened before the request was
// sent: a host with outdated evidence still sends to the dead process.
func TestKnownCrashIsNoStrike(t *testing.T) {
	for _, known := range []bool{true, false} {
		c := newCluster(t)
		c.add(t, "a", standinendpoint.WithCrash("boom", 0, c.stop("a")))
		if known {
			c.reportedCrashes = []string{"i-a"}
		}
		_, _, err := c.generate(t, "boom", time.Second)
		assert.Assert(t, err != nil)
		assert.Equal(t, len(c.strikes) == 0, known)
	}
}

// Guards against sending a request to a group that must not receive it.
func TestNothingIsSentToAnIneligibleGroup(t *testing.T) {
	cases := map[string]struct {
		change func(*cluster)
		code   flamingodoor.Code
	}{
		"not fresh":            {func(c *cluster) { c.stale = true }, flamingodoor.CodeNotFresh},
		"data centre out":      {func(c *cluster) { c.outDataCentre = "dc-a" }, flamingodoor.CodeNoEndpoint},
		"restricted":           {func(c *cluster) { c.restrictedDataCentre = "dc-a" }, flamingodoor.CodeNoEndpoint},
		"leaving by operator":  {func(c *cluster) { c.endpoints[0].Leaving = true }, flamingodoor.CodeNoEndpoint},
		"not serving":          {func(c *cluster) { c.notServingGroup = "g-a" }, flamingodoor.CodeNoEndpoint},
		"other version":        {func(c *cluster) { c.groups[0].Version = "old" }, flamingodoor.CodeNoEndpoint},
		"leaving by report":    {func(c *cluster) { c.reports["a"] = flamingodoor.Report{State: flamingodoor.EndpointStateLeaving} }, flamingodoor.CodeNoEndpoint},
		"blocked by strikes":   {func(c *cluster) { c.strikes = []string{"x", "y"} }, flamingodoor.CodePoisonRequest},
		"cold without permits": {func(c *cluster) { c.reports["a"] = flamingodoor.Report{State: flamingodoor.EndpointStateCold} }, flamingodoor.CodeDeadlineExceeded},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t)
			c.add(t, "a")
			test.change(c)
			_, _, err := c.generate(t, "p", 100*time.Millisecond)
			assert.Equal(t, flamingodoor.CodeOf(err), test.code)
			assert.Equal(t, flamingodoor.RunStateOf(err), flamingodoor.RunStateNotRun)
			assert.Equal(t, c.received(), 0)
		})
	}
}

// Guards against exceeding the allowance of a cold endpoint, and against
// refusing requests that only have to wait for a permit.
func TestRequestsWaitForPermits(t *testing.T) {
	c := newCluster(t)
	c.slots = 1
	c.add(t, "a", standinendpoint.WithColdRequests(1000))
	var group sync.WaitGroup
	for _, prompt := range []string{"p1", "p2", "p3", "p4", "p5"} {
		group.Go(func() {
			text, _, err := c.generate(t, prompt, 10*time.Second)
			assert.Check(t, err)
			assert.Check(t, text == standinendpoint.Answer(prompt, tokens))
		})
	}
	group.Wait()
	assert.NilError(t, c.dispatcher.Drain(t.Context()))
	assert.Equal(t, c.servers["a"].Statistics().ColdInFlightMax, 1)
	assert.Equal(t, c.released, 5)
}

// Guards against a request that continues at a cold endpoint after its permit
// is lost, and against releasing the permit before the engine has confirmed the
// cancellation.
func TestLostPermitCancelsTheRequest(t *testing.T) {
	c := newCluster(t)
	c.slots = 1
	c.add(t, "a", standinendpoint.WithColdRequests(9), standinendpoint.WithColdDelay(time.Minute), standinendpoint.WithRunAfterDisconnect())
	time.AfterFunc(100*time.Millisecond, func() { close(c.permitLost) })
	_, _, err := c.generate(t, "p", 10*time.Second)
	assert.Equal(t, flamingodoor.RunStateOf(err), flamingodoor.RunStateMayHaveRun)
	assert.NilError(t, c.dispatcher.Drain(t.Context()))
	assert.Equal(t, c.servers["a"].Statistics().Cancelled, 1)
	assert.Equal(t, c.released, 1)
	assert.Equal(t, len(c.invalidated), 0)
}

// Guards against releasing a permit, or renewing it for ever, although the
// engine has not confirmed the cancellation of the request.
func TestUnconfirmedCancellationAbandonsThePermit(t *testing.T) {
	c := newCluster(t)
	c.slots = 1
	c.add(t, "a", standinendpoint.WithColdRequests(9), standinendpoint.WithCrash("boom", 1, c.stop("a")))
	_, _, err := c.generate(t, "boom", 10*time.Second)
	assert.Equal(t, flamingodoor.RunStateOf(err), flamingodoor.RunStateRan)
	assert.NilError(t, c.dispatcher.Drain(t.Context()))
	assert.Equal(t, c.abandoned, 1)
	assert.Equal(t, c.released, 0)
}

// Guards against relying on the reported state of a process that has since been
// replaced.
func TestRestartedEngineIsNotUsed(t *testing.T) {
	c := newCluster(t)
	c.add(t, "a")
	c.reports["a"] = flamingodoor.Report{Incarnation: "before", State: flamingodoor.EndpointStateWarm}
	text, _, err := c.generate(t, "p", time.Second)
	assert.Equal(t, flamingodoor.RunStateOf(err), flamingodoor.RunStateMayHaveRun)
	assert.Equal(t, text, "")
	assert.DeepEqual(t, c.invalidated, []string{"a"})
	assert.Equal(t, len(c.strikes), 0)
}

// Guards against failing a request whose endpoint is overloaded only briefly,
// against an unbounded number of sends while the request waits, and against
// reporting a request that every engine refused as run.
func TestRequestWaitsForAnOverloadedEndpoint(t *testing.T) {
	const (
		avoid    = 200 * time.Millisecond
		deadline = 2 * time.Second
		// The first send, the 10 retries of the budget's floor, and then at
		// most one send in each half of the avoid time.
		maxSends = 1 + 10 + int(deadline/(avoid/2))
	)
	c := newCluster(t)
	// A deadline that passes while an attempt is in flight leaves its outcome
	// unknown, see TestDeadlineDuringAnAttempt.
	parts := c.parts()
	parts.Engine = uncancelledEngine{parts.Engine}
	c.dispatcher = dispatch.New(parts, dispatch.WithMaxAttempts(3), dispatch.WithAvoidTime(avoid), dispatch.WithEndpointWait(time.Second, time.Second))
	c.add(t, "a", standinendpoint.WithLoadTime(time.Minute)) // answers 429
	c.reports["a"] = flamingodoor.Report{Incarnation: "i-a", State: flamingodoor.EndpointStateWarm}
	_, result, err := c.generate(t, "p", deadline)
	assert.Equal(t, flamingodoor.CodeOf(err), flamingodoor.CodeOverloaded)
	assert.Equal(t, flamingodoor.RunStateOf(err), flamingodoor.RunStateNotRun)
	assert.Equal(t, c.received(), result.Attempts)
	assert.Assert(t, result.Attempts > 3 && result.Attempts <= maxSends, "%d sends", result.Attempts)

	busy := newCluster(t, dispatch.WithAvoidTime(avoid), dispatch.WithEndpointWait(time.Second, time.Second))
	busy.add(t, "a", standinendpoint.WithLoadTime(300*time.Millisecond))
	busy.reports["a"] = flamingodoor.Report{Incarnation: "i-a", State: flamingodoor.EndpointStateWarm}
	text, _, err := busy.generate(t, "p", 10*deadline)
	assert.NilError(t, err)
	assert.Equal(t, text, standinendpoint.Answer("p", tokens))
}

// Guards against reporting a request as not run although its deadline passed while
// an attempt was in flight.
func TestDeadlineDuringAnAttempt(t *testing.T) {
	c := newCluster(t)
	c.add(t, "a", standinendpoint.WithTokenTimes(time.Minute, 0))
	_, result, err := c.generate(t, "p", time.Second)
	assert.Equal(t, flamingodoor.CodeOf(err), flamingodoor.CodeDeadlineExceeded)
	assert.Equal(t, flamingodoor.RunStateOf(err), flamingodoor.RunStateMayHaveRun)
	assert.Equal(t, result.Attempts, 1)
}

func post(id string) flamingodoor.ServiceCall {
	return flamingodoor.ServiceCall{
		RequestID: id, Service: "ledger", Method: http.MethodPost, Path: "/postings", Body: []byte(id),
		Deadline: time.Now().Add(300 * time.Millisecond),
	}
}

// Guards against running a payment posting twice, and against giving up
// although the first endpoint provably received nothing.
func TestDispatchOnceSendsOnce(t *testing.T) {
	c := newCluster(t)
	c.addService(t, "a", time.Minute)
	c.addService(t, "b", time.Minute)
	_, err := c.dispatcher.DispatchOnce(t.Context(), post("slow"))
	assert.Equal(t, flamingodoor.RunStateOf(err), flamingodoor.RunStateMayHaveRun)
	assert.Equal(t, c.received(), 1)

	c = newCluster(t)
	c.addService(t, "a", 0)
	c.addService(t, "b", 0)
	c.stop("a")()
	for _, id := range []string{"1", "2", "3", "4", "5", "6"} {
		answer, err := c.dispatcher.DispatchOnce(t.Context(), post(id))
		assert.NilError(t, err)
		assert.Equal(t, answer.Status, http.StatusOK)
		assert.Equal(t, c.servers["b"].Statistics().RunsByRequest[id], 1)
	}
	c.stop("b")()
	_, err = c.dispatcher.DispatchOnce(t.Context(), post("7"))
	assert.Equal(t, flamingodoor.RunStateOf(err), flamingodoor.RunStateNotRun)
}

// Guards against failing an idempotent call when only the first endpoint that
// was tried is unavailable.
func TestIdempotentCallMovesOn(t *testing.T) {
	c := newCluster(t, dispatch.WithServiceAttemptTimeout(100*time.Millisecond))
	c.addService(t, "a", time.Minute)
	c.addService(t, "b", 0)
	for range 8 {
		call := post("lookup")
		call.Deadline = time.Now().Add(5 * time.Second)
		answer, err := c.dispatcher.CallService(t.Context(), call)
		assert.NilError(t, err)
		assert.Equal(t, answer.Status, http.StatusOK)
	}
	assert.Assert(t, c.servers["a"].Statistics().Received > 0)
}
