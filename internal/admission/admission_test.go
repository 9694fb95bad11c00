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

// submit queues tickets one after the other and returns their outcomes. Each
// ticket either waits or, by being shed or admitted, leads to an outcome.
func submit(t *testing.T, queue *admission.Queue, tickets ...admission.Ticket) <-chan outcome {
	t.Helper()
	outcomes := make(chan outcome, len(tickets))
	others := queue.Waiting()
	for i, ticket := range tickets {
		go func() {
			release, err := queue.Acquire(t.Context(), ticket)
			outcomes <- outcome{ticket, release, err}
		}()
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if queue.Waiting()-others+len(outcomes) == i+1 {
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

// Guards against a club that floods the queue with its highest priority and
// takes the share of the others, in the queue or in flight.
func TestEachClubGetsItsShareUnderOverload(t *testing.T) {
	queue := admission.New(admission.WithCapacity(0), admission.WithMaxWaiting(60))
	queue.SetClubs([]flamingodoor.Club{{ID: "large", Weight: 3}, {ID: "small", Weight: 1}})
	small := submit(t, queue, tickets("small", 0, 15)...)
	large := submit(t, queue, tickets("large", 9, 100)...)
	queue.SetCapacity(20)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if uses := queue.Uses(); uses["large"] == 15 && uses["small"] == 5 {
			return poll.Success()
		}
		return poll.Continue("uses are %v", queue.Uses())
	})
	// Each place that becomes free goes to the club below its share.
	for range 10 {
		(<-small).release()
	}
	assert.DeepEqual(t, queue.Uses(), map[string]int{"large": 15, "small": 5})
	for range 5 {
		(<-small).release()
	}
	assert.DeepEqual(t, queue.Uses(), map[string]int{"large": 20}) // lent
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

// Guards against wrong order within a club and against shedding a request
// that is worth more than another one.
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
		next.release() // a second release gives no second place
	}
	assert.Equal(t, len(queue.Uses()), 0)
}

type fleet map[string]int

func (f fleet) PeerInFlight(clubID string, _ time.Time) int { return f[clubID] }

// Guards against counting the use of this host only.
func TestFleetUseCounts(t *testing.T) {
	queue := admission.New(admission.WithCapacity(0), admission.WithClubUses(fleet{"busy": 5}))
	outcomes := submit(t, queue, admission.Ticket{ClubID: "busy"}, admission.Ticket{ClubID: "idle"})
	queue.SetCapacity(1)
	assert.Equal(t, (<-outcomes).ticket.ClubID, "idle")
}

// Guards against a waiter that outlives its deadline or blocks the queue.
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
	assert.Equal(t, len(queue.Uses()), 0)
}

// Guards against retries that multiply the load of an outage.
func TestRetryBudget(t *testing.T) {
	budget := admission.NewRetryBudget(0.1, 2)
	now := time.Unix(1_000_000, 0)
	for range 100 {
		budget.Request(now)
	}
	granted := 0
	for range 100 {
		if budget.Retry(now.Add(time.Second)) {
			granted++
		}
	}
	assert.Equal(t, granted, 12)
	assert.Assert(t, budget.Retry(now.Add(20*time.Second))) // the floor of a new window
}
