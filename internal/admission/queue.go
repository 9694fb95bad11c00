// Package admission queues requests when all slots are in use. It decides which
// waiting request is admitted next and which is shed when the queue is full.
package admission

import (
	"context"
	"sync"
	"time"

	"flamingodoor.example/flamingodoor"
)

const (
	defaultCapacity   = 64   // slots
	defaultMaxWaiting = 1024 // requests
)

// Ticket describes a request for admission.
type Ticket struct {
	ClubID   string
	Priority int       // within a club, the highest is admitted first
	Deadline time.Time // zero means no deadline
	Cost     int       // slots that the request takes; at least 1
}

// Queue admits requests up to a capacity. The next request comes from the club
// with the fewest slots in use relative to its weight, so that other clubs can
// use the share of an idle one. It is safe for concurrent use.
type Queue struct {
	now        func() time.Time
	usage      flamingodoor.ClubUsage
	maxWaiting int

	mu       sync.Mutex
	capacity int    // slots
	inFlight int    // slots in use
	sequence uint64 // of the newest request
	waiting  int
	weights  map[string]int
	clubs    map[string]*club
}

type club struct {
	id       string
	inFlight int       // slots in use
	waiting  []*waiter // in order of arrival
}

type waiter struct {
	ticket   Ticket
	sequence uint64
	club     *club
	resolved bool
	result   chan error // buffered; receives nil on admission
}

// Option changes a default of the queue.
type Option func(*Queue)

// WithCapacity sets the initial number of slots.
func WithCapacity(slots int) Option {
	return func(q *Queue) { q.capacity = slots }
}

// WithMaxWaiting limits the number of waiting requests.
func WithMaxWaiting(requests int) Option {
	return func(q *Queue) { q.maxWaiting = requests }
}

// WithClubUsage sets the source of the slots that each club uses at other hosts.
func WithClubUsage(usage flamingodoor.ClubUsage) Option {
	return func(q *Queue) { q.usage = usage }
}

// WithClock replaces time.Now.
func WithClock(now func() time.Time) Option {
	return func(q *Queue) { q.now = now }
}

// New returns an empty queue.
func New(options ...Option) *Queue {
	q := &Queue{
		now: time.Now, capacity: defaultCapacity, maxWaiting: defaultMaxWaiting,
		weights: map[string]int{}, clubs: map[string]*club{},
	}
	for _, option := range options {
		option(q)
	}
	return q
}

// SetCapacity sets the number of slots. Requests that are in flight beyond a
// smaller capacity run to their end.
func (q *Queue) SetCapacity(slots int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.capacity = slots
	q.admit()
}

// SetClubs sets the weights of clubs. A club that is not listed has weight 1.
func (q *Queue) SetClubs(clubs []flamingodoor.Club) {
	weights := make(map[string]int, len(clubs))
	for i := range clubs {
		weights[clubs[i].ID] = clubs[i].Weight
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.weights = weights
	q.admit()
}

// InFlight returns the slots in use by each club at this host, without idle clubs.
func (q *Queue) InFlight() map[string]int {
	q.mu.Lock()
	defer q.mu.Unlock()
	inUse := make(map[string]int, len(q.clubs))
	for id, club := range q.clubs {
		if club.inFlight > 0 {
			inUse[id] = club.inFlight
		}
	}
	return inUse
}

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.waiting
}

// Acquire waits until the request is admitted and returns a function that frees
// its slots. It fails with CodeOverloaded if the request was shed, and with
// CodeDeadlineExceeded if the deadline passed or ctx ended first. In both cases
// the request has not run.
func (q *Queue) Acquire(ctx context.Context, ticket Ticket) (release func(), err error) {
	ticket.Cost = max(ticket.Cost, 1)
	if !ticket.Deadline.IsZero() {
		remaining := ticket.Deadline.Sub(q.now())
		if remaining <= 0 {
			return nil, flamingodoor.Errorf(flamingodoor.CodeDeadlineExceeded, "deadline passed before admission")
		}
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, remaining)
		defer cancel()
	}
	if ctx.Err() != nil {
		return nil, flamingodoor.NewError(flamingodoor.CodeDeadlineExceeded, flamingodoor.RunStateNotRun, context.Cause(ctx))
	}
	w := q.enqueue(ticket)
	select {
	case err = <-w.result:
	case <-ctx.Done():
		if q.withdraw(w) {
			return nil, flamingodoor.NewError(flamingodoor.CodeDeadlineExceeded, flamingodoor.RunStateNotRun, context.Cause(ctx))
		}
		err = <-w.result
	}
	if err != nil {
		return nil, err
	}
	return sync.OnceFunc(func() { q.release(w) }), nil
}

// enqueue adds a waiter and sheds one if the queue is full.
func (q *Queue) enqueue(ticket Ticket) *waiter {
	q.mu.Lock()
	defer q.mu.Unlock()
	owner, ok := q.clubs[ticket.ClubID]
	if !ok {
		owner = &club{id: ticket.ClubID}
		q.clubs[ticket.ClubID] = owner
	}
	q.sequence++
	w := &waiter{ticket: ticket, sequence: q.sequence, club: owner, result: make(chan error, 1)}
	owner.waiting = append(owner.waiting, w)
	q.waiting++
	q.admit()
	if q.waiting > q.maxWaiting {
		q.resolve(q.victim(), flamingodoor.Errorf(flamingodoor.CodeOverloaded, "admission queue is full"))
	}
	return w
}

// withdraw removes a waiter. It returns false if the waiter was admitted or shed
// before.
func (q *Queue) withdraw(w *waiter) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if w.resolved {
		return false
	}
	q.resolve(w, nil)
	// A large request at the front may have blocked smaller ones.
	q.admit()
	return true
}

func (q *Queue) release(w *waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.inFlight -= w.ticket.Cost
	w.club.inFlight -= w.ticket.Cost
	q.dropIfIdle(w.club)
	q.admit()
}

// resolve removes a waiter from its queue and sends it the result.
func (q *Queue) resolve(w *waiter, result error) {
	w.resolved = true
	for i, other := range w.club.waiting {
		if other == w {
			w.club.waiting = append(w.club.waiting[:i], w.club.waiting[i+1:]...)
			break
		}
	}
	q.waiting--
	q.dropIfIdle(w.club)
	w.result <- result
}

// dropIfIdle deletes an idle club, so that the map does not grow with clubs that
// no longer send requests.
func (q *Queue) dropIfIdle(c *club) {
	if c.inFlight == 0 && len(c.waiting) == 0 {
		delete(q.clubs, c.id)
	}
}
