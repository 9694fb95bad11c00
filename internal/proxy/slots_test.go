package proxy_test

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/proxy"
	"flamingodoor.example/flamingodoor/internal/share"
)

const (
	// sharingHosts is more than a group has slots, so that hosts divide them.
	sharingHosts = 30
	// sharingDelay is the report delay at which a single request makes the slots scarce.
	sharingDelay = 100 * time.Millisecond
)

func sharingHostIDs() []string {
	ids := make([]string, sharingHosts)
	for i := range ids {
		ids[i] = fmt.Sprint("host-", i+1)
	}
	return ids
}

// instanceOfRank returns an instance of whose slots host-1 gets the first one of an even
// division, or none of the first ten.
func instanceOfRank(e *endpoint, first bool) flamingodoor.Instance {
	divider := share.NewDivider("host-1")
	divider.SetHosts(sharingHostIDs())
	for i := 0; ; i++ {
		id := fmt.Sprint("i-", i)
		if first && divider.Share(id, 1) == 1 || !first && divider.Share(id, 10) == 0 {
			return e.instance(id, "llm")
		}
	}
}

// shareSlots makes this host one of many, and waits until the groups count as no longer new.
func (s *setup) shareSlots(delay time.Duration) {
	s.proxy.SetHosts(sharingHostIDs(), delay)
	time.Sleep(sharingDelay + 20*time.Millisecond)
}

// awaitInFlight waits until this host has the given number of requests at an instance.
func (s *setup) awaitInFlight(id string, requests int) {
	s.t.Helper()
	poll.WaitOn(s.t, func(poll.LogT) poll.Result {
		if inFlight := s.tracker.OwnInFlight()[id]; inFlight != requests {
			return poll.Continue("%d requests are in flight", inFlight)
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
}

func secondTry(request *http.Request) { request.Header.Set(headers.DeadlineMS, "1000") }

func urgent(request *http.Request) { request.Header.Set("Authorization", "Bearer "+urgentKey) }

// holding returns an endpoint whose requests end when the channel is closed or sent to.
func holding(t *testing.T) (e *endpoint, finish chan struct{}) {
	t.Helper()
	finish = make(chan struct{})
	return newEndpoint(t, func(writer http.ResponseWriter, request *http.Request) {
		<-finish
		events(1, 0)(writer, request)
	}), finish
}

// Guards against a host that takes every slot which it sees as free, and against one that is
// not tried again when its own slot ends.
func TestHostAtItsPartWaitsForItsOwnSlot(t *testing.T) {
	s := newSetup(t)
	s.prioritise()
	e, finish := holding(t)
	instance := instanceOfRank(e, true)
	instance.Slots = 4
	s.register(instance)
	s.shareSlots(sharingDelay)
	q := queued{statuses: make(chan int, 2)}
	s.enqueue(&q, "r1")
	s.awaitInFlight(instance.ID, 1)
	s.enqueue(&q, "r2")
	s.awaitWaiting(1)
	assert.Equal(t, s.tracker.InFlight(instance.ID), 1, "three slots are free")
	finish <- struct{}{}
	s.awaitWaiting(0)
	close(finish)
	q.wait.Wait()
	assert.Equal(t, <-q.statuses, http.StatusOK)
	assert.Equal(t, <-q.statuses, http.StatusOK)
}

// Guards against a host whose callers are all refused because there are fewer slots than
// hosts, and against one that then places more than a single request.
func TestHostWithoutAPartPlacesOneRequest(t *testing.T) {
	s := newSetup(t)
	s.prioritise()
	e, finish := holding(t)
	instance := instanceOfRank(e, false)
	s.register(instance)
	s.shareSlots(sharingDelay)
	q := queued{statuses: make(chan int, 2)}
	s.enqueue(&q, "r1")
	s.awaitInFlight(instance.ID, 1)
	s.enqueue(&q, "r2")
	s.awaitWaiting(1)
	assert.Equal(t, s.tracker.InFlight(instance.ID), 1)
	close(finish)
	q.wait.Wait()
	assert.Equal(t, <-q.statuses, http.StatusOK)
	assert.Equal(t, <-q.statuses, http.StatusOK)
}

// Guards against a limit while reports show all requests soon enough: a host without a part
// uses all free slots.
func TestSteadyLoadIsNotDivided(t *testing.T) {
	s := newSetup(t)
	e, finish := holding(t)
	instance := instanceOfRank(e, false)
	s.register(instance)
	s.shareSlots(100 * time.Microsecond)
	q := queued{statuses: make(chan int, 2)}
	s.enqueue(&q, "r1")
	s.enqueue(&q, "r2")
	s.awaitInFlight(instance.ID, 2)
	close(finish)
	q.wait.Wait()
	assert.Equal(t, <-q.statuses, http.StatusOK)
	assert.Equal(t, <-q.statuses, http.StatusOK)
}

// Guards against second tries that no host without a part places, although a slot is free and
// no other request is expected: they waited until their callers gave up.
func TestSecondTryIsPlacedByAHostWithoutAPart(t *testing.T) {
	s := newSetup(t)
	s.prioritise()
	e := newEndpoint(t, events(1, 0))
	s.register(instanceOfRank(e, false))
	s.shareSlots(sharingDelay)
	assert.Equal(t, s.send("/stream/x").status, http.StatusOK)
	sent := time.Now()
	assert.Equal(t, s.send("/stream/x", secondTry).status, http.StatusOK)
	assert.Assert(t, time.Since(sent) < 500*time.Millisecond, "placed after %s", time.Since(sent))
}

// Guards against a group that has just opened and gets a request of each of the hosts that
// have no part of it.
func TestHostWithoutAPartLeavesANewGroupToOthers(t *testing.T) {
	s := newSetup(t)
	e := newEndpoint(t, events(1, 0))
	s.proxy.SetHosts(sharingHostIDs(), time.Minute)
	s.register(instanceOfRank(e, false))
	assert.Equal(t, s.send("/stream/x").status, http.StatusServiceUnavailable)
	assert.Equal(t, e.runs.Load(), int64(0))
}

// Guards against a second try of an urgent workspace that leaves its slot to requests in time
// and keeps a less urgent one of these from it.
func TestYieldedSlotGoesToALessUrgentRequestInTime(t *testing.T) {
	s := newSetup(t)
	s.prioritise()
	e := newEndpoint(t, events(1, 0))
	free, other := instanceOfRank(e, true), instanceOfRank(e, false)
	s.register(free, other)
	assert.Equal(t, s.send("/stream/x").status, http.StatusOK) // shows the time that first tries have
	s.fill(free.ID)
	s.fill(other.ID) // beyond this host's part
	s.shareSlots(sharingDelay)
	q, first := queued{statuses: make(chan int, 1)}, queued{statuses: make(chan int, 1)}
	s.enqueue(&q, "r1", secondTry, urgent)
	s.awaitWaiting(1)
	s.enqueue(&first, "r2")
	s.awaitWaiting(2)
	for range 2 {
		s.tracker.Release(free.ID)
	}
	s.awaitWaiting(1)
	first.wait.Wait()
	assert.Equal(t, <-first.statuses, http.StatusOK)
	for range 2 {
		s.tracker.Release(other.ID)
	}
	q.wait.Wait()
	assert.Equal(t, <-q.statuses, http.StatusOK)
}

// Guards against second tries that come after first ones at a service without an engine,
// where none is known to be late: the request that came first gets the slot.
func TestSecondTryKeepsItsPlaceWithoutAnEngine(t *testing.T) {
	s := newSetup(t)
	s.allowLongRequests(2*time.Second, 4*time.Second)
	var order []string
	e := newEndpoint(t, func(writer http.ResponseWriter, request *http.Request) {
		order = append(order, request.Header.Get(headers.RequestID)) // one request at a time
		signed("done")(writer, request)
	})
	instance := e.instance("i-1", "plain")
	instance.Slots = 1
	s.register(instance)
	named := func(id string) func(*http.Request) {
		return func(request *http.Request) { request.Header.Set(headers.RequestID, id) }
	}
	assert.Equal(t, s.send("/read/x", named("r0")).status, http.StatusOK)
	s.fill("i-1")
	s.tracker.Release("i-1")
	var q queued
	awaitPlain := func(requests int64) {
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if s.proxy.WaitingRequests()[proxy.DemandKey{Service: "plain"}] != requests {
				return poll.Continue("not %d requests wait", requests)
			}
			return poll.Success()
		}, poll.WithDelay(time.Millisecond))
	}
	q.wait.Go(func() { s.send("/read/x", named("r1"), secondTry) })
	awaitPlain(1)
	q.wait.Go(func() { s.send("/read/x", named("r2")) })
	awaitPlain(2)
	s.tracker.Release("i-1")
	q.wait.Wait()
	assert.Assert(t, slices.Equal(order, []string{"r0", "r1", "r2"}), "%v", order)
}
