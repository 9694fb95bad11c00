package proxy_test

import (
	"io"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/proxy"
)

// urgentKey is the key of a workspace whose requests come before those of the route.
const urgentKey = "urgent-secret"

// prioritise makes the routes less urgent than one of two workspaces.
func (s *setup) prioritise() {
	changed := *s.catalogue.Index().Catalogue
	changed.Version++
	changed.Routes = slices.Clone(changed.Routes)
	for i := range changed.Routes {
		changed.Routes[i].Priority, changed.Routes[i].LatencyObjective = 5, 1600*time.Millisecond
	}
	changed.Workspaces = append(slices.Clone(changed.Workspaces), flamingodoor.Workspace{Name: "urgent", Keys: []string{urgentKey}, HasPriority: true})
	s.catalogue.Configure(&changed)
}

// awaitWaiting waits until the given number of requests wait for a slot of the engine.
func (s *setup) awaitWaiting(requests int64) {
	s.t.Helper()
	poll.WaitOn(s.t, func(poll.LogT) poll.Result {
		if waiting := s.proxy.WaitingRequests()[proxy.DemandKey{Service: "llm", Model: model}]; waiting != requests {
			return poll.Continue("%d requests wait", waiting)
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
}

// queued sends requests whose statuses arrive on the channel.
type queued struct {
	wait     sync.WaitGroup
	statuses chan int
}

func (s *setup) enqueue(q *queued, id string, changes ...func(*http.Request)) {
	named := func(request *http.Request) { request.Header.Set(headers.RequestID, id) }
	q.wait.Go(func() { q.statuses <- s.send("/stream/x", append(changes, named)...).status })
}

// Guards against the race for slots, in which priority had no effect: of requests that
// wait at a full model, the most urgent gets the slot that becomes free, whenever it came.
func TestMostUrgentWaitingRequestGetsTheNextSlot(t *testing.T) {
	s := newSetup(t)
	s.prioritise()
	var mu sync.Mutex
	var order []string
	finish := make(chan struct{})
	e := newEndpoint(t, func(writer http.ResponseWriter, request *http.Request) {
		mu.Lock()
		order = append(order, request.Header.Get(headers.Workspace))
		mu.Unlock()
		<-finish
		events(1, 0)(writer, request)
	})
	s.register(e.instance("i-1", "llm"))
	s.fill("i-1")
	q := queued{statuses: make(chan int, 3)}
	s.enqueue(&q, "r1")
	s.awaitWaiting(1)
	s.enqueue(&q, "r2", func(request *http.Request) { request.Header.Set("Authorization", "Bearer "+urgentKey) })
	s.awaitWaiting(2)
	s.tracker.Release("i-1")
	s.awaitWaiting(1)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		mu.Lock()
		defer mu.Unlock()
		if len(order) == 0 {
			return poll.Continue("no request is at the instance")
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
	mu.Lock()
	assert.DeepEqual(t, order, []string{"urgent"})
	mu.Unlock()
	close(finish)
	q.wait.Wait()
	assert.Equal(t, <-q.statuses, http.StatusOK)
	assert.Equal(t, <-q.statuses, http.StatusOK)
	s.awaitWaiting(0)
}

// Guards against the rule that refused a caller's second try while any first one waited:
// with two free slots, both are served.
func TestSecondTryWaitsBesideFirstOnes(t *testing.T) {
	s := newSetup(t)
	s.prioritise()
	e := newEndpoint(t, events(1, 0))
	s.register(e.instance("i-1", "llm"))
	assert.Equal(t, s.send("/stream/x").status, http.StatusOK) // shows the time that first tries have
	s.fill("i-1")
	q := queued{statuses: make(chan int, 2)}
	s.enqueue(&q, "r1")
	s.awaitWaiting(1)
	s.enqueue(&q, "r2", func(request *http.Request) { request.Header.Set(headers.DeadlineMS, "1000") })
	s.awaitWaiting(2)
	s.tracker.Release("i-1")
	s.tracker.Release("i-1")
	q.wait.Wait()
	assert.Equal(t, <-q.statuses, http.StatusOK)
	assert.Equal(t, <-q.statuses, http.StatusOK)
}

// Guards against a request that may not go where a slot is free, because the instance
// refused it, and that keeps the slot from those behind it.
func TestRequestThatFailedAtAnInstanceDoesNotBlockOthersThere(t *testing.T) {
	s := newSetup(t)
	s.prioritise()
	var refused atomic.Bool
	e := newEndpoint(t, func(writer http.ResponseWriter, request *http.Request) {
		if !refused.Swap(true) {
			writer.Header().Set(headers.NotRun, "1")
			writer.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		events(1, 0)(writer, request)
	})
	other := newEndpoint(t, events(1, 0))
	s.register(e.instance("i-1", "llm"))
	full := other.instance("i-2", "llm")
	full.DataCentre = "dc-b"
	s.register(e.instance("i-1", "llm"), full)
	s.fill("i-2")
	q := queued{statuses: make(chan int, 2)}
	s.enqueue(&q, "r1", func(request *http.Request) { request.Header.Set("Authorization", "Bearer "+urgentKey) })
	s.awaitWaiting(1)
	got := s.send("/stream/x", func(request *http.Request) { request.Header.Set(headers.RequestID, "r2") })
	assert.Equal(t, got.status, http.StatusOK)
	s.tracker.Release("i-2")
	q.wait.Wait()
	assert.Equal(t, <-q.statuses, http.StatusOK)
	assert.Equal(t, e.runs.Load(), int64(2))
}

// Guards against a request that stays in the queue after its caller has left, or that
// gets a slot which nobody frees.
func TestRequestOfACallerThatLeftLeavesTheQueue(t *testing.T) {
	s := newSetup(t)
	s.prioritise()
	e := newEndpoint(t, events(1, 0))
	s.register(e.instance("i-1", "llm"))
	s.fill("i-1")
	client := &http.Client{Timeout: 100 * time.Millisecond}
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, s.front.URL+"/stream/x", http.NoBody)
	assert.NilError(t, err)
	request.Host = host
	request.Header.Set(headers.RequestID, "r1")
	request.Header.Set(headers.Model, model)
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := client.Do(request)
	if err == nil {
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
	assert.Assert(t, err != nil, "the model is full")
	s.awaitWaiting(0)
	s.tracker.Release("i-1")
	assert.Equal(t, s.tracker.InFlight("i-1"), 1)
	assert.Equal(t, s.send("/stream/x").status, http.StatusOK)
}

// Guards against callers that wait in vain: once the rate at which slots end is known, a
// request whose turn comes too late is refused at once, with a Retry-After within the
// caller's time.
func TestRequestBehindALongQueueIsRefusedAtOnce(t *testing.T) {
	var elapsed atomic.Int64
	now := func() time.Time { return time.Now().Add(time.Duration(elapsed.Load())) }
	s := newSetup(t, proxy.WithClock(now))
	e := newEndpoint(t, events(1, 0))
	s.register(e.instance("i-1", "llm"))
	s.proxy.SetHosts([]string{"host-1", "host-2", "host-3"}, 0) // more than the slots of a group
	s.allowLongRequests(30*time.Second, 800*time.Millisecond)
	// Requests with clearly less time than others of the route are second tries, which
	// wait for longer than the objective.
	firstTry := func(request *http.Request) { request.Header.Set(headers.DeadlineMS, "30000") }
	for range 12 { // slots end at 1.4 per second
		elapsed.Add(int64(700 * time.Millisecond))
		s.catalogue.Confirm(now())
		assert.Equal(t, s.send("/stream/x", firstTry).status, http.StatusOK)
	}
	s.fill("i-1")
	q := queued{statuses: make(chan int, 3)}
	patient := func(request *http.Request) { request.Header.Set(headers.DeadlineMS, "20000") }
	s.enqueue(&q, "r1", patient)
	s.awaitWaiting(1)
	s.enqueue(&q, "r2", patient)
	s.awaitWaiting(2)
	s.enqueue(&q, "r3", patient)
	s.awaitWaiting(3)
	// The turn of the next request is expected after 3.7 s, and its caller gives up after
	// four times the objective of 0.8 s.
	const limit = time.Second
	sent, runs := time.Now(), e.runs.Load()
	got := s.send("/stream/x", patient, func(request *http.Request) { request.Header.Set(headers.RequestID, "r4") })
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Assert(t, time.Since(sent) < limit, "refused after %s", time.Since(sent))
	after := retryAfterOf(t, got)
	assert.Assert(t, after > 0 && after <= 20*time.Second/3, "Retry-After %s", after)
	assert.Equal(t, e.runs.Load(), runs)
	for range 3 {
		s.tracker.Release("i-1")
	}
	q.wait.Wait()
	for range 3 {
		assert.Equal(t, <-q.statuses, http.StatusOK)
	}
}
