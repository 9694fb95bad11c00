package admission_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/admission"
)

type outcome struct {
	ticket  admission.Ticket
	release func()
	err     error
}

// submit queues tickets in order and returns a channel of their outcomes. It
// queues the next ticket when each previous one is waiting, admitted or shed.
func submit(t *testing.T, queue *admission.Queue, tickets ...admission.Ticket) <-chan outcome {
	t.Helper()
	outcomes := make(chan outcome, len(tickets))
	alreadyWaiting := queue.Waiting()
	for i, ticket := range tickets {
		go func() {
			release, err := queue.Acquire(t.Context(), ticket)
			outcomes <- outcome{ticket, release, err}
		}()
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if queue.Waiting()-alreadyWaiting+len(outcomes) == i+1 {
				return poll.Success()
			}
			return poll.Continue("ticket %d is not queued yet", i)
		}, poll.WithDelay(time.Millisecond))
	}
	return outcomes
}

func tickets(clubID string, priority, count int) []admission.Ticket {
	list := make([]admission.Ticket, count)
	for i := range list {
		list[i] = admission.Ticket{ClubID: clubID, Priority: priority}
	}
	return list
}

// Guards against a club that takes the share of the others, in the queue or in
// flight, by sending many requests of the highest priority.
func TestEachClubGetsItsShareUnderOverload(t *testing.T) {
	queue := admission.New(admission.WithCapacity(0), admission.WithMaxWaiting(60))
	queue.SetClubs([]flamingodoor.Club{{ID: "large", Weight: 3}, {ID: "small", Weight: 1}})
	small := submit(t, queue, tickets("small", 0, 15)...)
	large := submit(t, queue, tickets("large", 9, 100)...)
	queue.SetCapacity(20)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if inUse := queue.InFlight(); inUse["large"] == 15 && inUse["small"] == 5 {
			return poll.Success()
		}
		return poll.Continue("slots in use: %v", queue.InFlight())
	})
	// Each slot that becomes free goes to the club below its share.
	for range 10 {
		(<-small).release()
	}
	assert.DeepEqual(t, queue.InFlight(), map[string]int{"large": 15, "small": 5})
	for range 5 {
		(<-small).release()
	}
	assert.DeepEqual(t, queue.InFlight(), map[string]int{"large": 20}) // the idle club's share is used
	shed := 0
	for range 55 + 20 {
		if result := <-large; result.err != nil {
			assert.Equal(t, flamingodoor.CodeOf(result.err), flamingodoor.CodeOverloaded)
			assert.Equal(t, flamingodoor.RunStateOf(result.err), flamingodoor.RunStateNotRun)
			shed++
		}
	}
	assert.Equal(t, shed, 55) // of 100, the queue kept 45
}

// Guards against admission out of order within a club, and against shedding a
// request while one of lower priority waits.
func TestPriorityWithinAClub(t *testing.T) {
	queue := admission.New(admission.WithCapacity(1), admission.WithMaxWaiting(3))
	first := <-submit(t, queue, admission.Ticket{ClubID: "a"})
	assert.NilError(t, first.err)
	outcomes := submit(t, queue,
		admission.Ticket{ClubID: "a", Priority: 1}, admission.Ticket{ClubID: "a", Priority: 5},
		admission.Ticket{ClubID: "a", Priority: 3}, admission.Ticket{ClubID: "a", Priority: 2})
	shed := <-outcomes
	assert.Equal(t, shed.ticket.Priority, 1)
	assert.Equal(t, flamingodoor.CodeOf(shed.err), flamingodoor.CodeOverloaded)
	first.release()
	for _, priority := range []int{5, 3, 2} {
		next := <-outcomes
		assert.NilError(t, next.err)
		assert.Equal(t, next.ticket.Priority, priority)
		next.release()
		next.release() // a second release frees no second slot
	}
	assert.Equal(t, len(queue.InFlight()), 0)
}

// peerUsage is a stand-in for the usage of clubs at the other hosts.
type peerUsage map[string]int

func (p peerUsage) PeerInFlight(clubID string, _ time.Time) int { return p[clubID] }

// Guards against counting only the slots in use at this host: a club that uses
// slots at other hosts would be admitted before an idle one.
func TestUsageAtOtherHostsCounts(t *testing.T) {
	queue := admission.New(admission.WithCapacity(0), admission.WithClubUsage(peerUsage{"busy": 5}))
	outcomes := submit(t, queue, admission.Ticket{ClubID: "busy"}, admission.Ticket{ClubID: "idle"})
	queue.SetCapacity(1)
	assert.Equal(t, (<-outcomes).ticket.ClubID, "idle")
}

// Guards against a request that waits beyond its deadline or blocks the queue
// after it.
func TestDeadlineWhileWaiting(t *testing.T) {
	queue := admission.New(admission.WithCapacity(2))
	held := <-submit(t, queue, admission.Ticket{ClubID: "a"})
	large := submit(t, queue, admission.Ticket{ClubID: "b", Cost: 2, Deadline: time.Now().Add(50 * time.Millisecond)})
	result := <-large
	assert.Equal(t, flamingodoor.CodeOf(result.err), flamingodoor.CodeDeadlineExceeded)
	assert.Equal(t, flamingodoor.RunStateOf(result.err), flamingodoor.RunStateNotRun)
	assert.Equal(t, queue.Waiting(), 0)
	held.release()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := queue.Acquire(ctx, admission.Ticket{ClubID: "a"})
	assert.Equal(t, flamingodoor.RunStateOf(err), flamingodoor.RunStateNotRun)
	assert.Equal(t, len(queue.InFlight()), 0)
}

// Guards against retries that multiply the load during an outage.
func TestRetryBudget(t *testing.T) {
	budget := admission.NewRetryBudget(0.1, 2)
	now := time.Unix(1_000_000, 0)
	for range 100 {
		budget.CountRequest(now)
	}
	granted := 0
	for range 100 {
		if budget.TryRetry(now.Add(time.Second)) {
			granted++
		}
	}
	assert.Equal(t, granted, 12)
	assert.Assert(t, budget.TryRetry(now.Add(20*time.Second))) // the floor of a new window
}
