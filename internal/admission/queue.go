// Package admission decides which waiting request goes next and which is
// refused.
package admission

import (
	"context"
	"sync"
	"time"

	"flamingodoor.example/flamingodoor"
)

const (
	defaultCapacity   = 64
	defaultMaxWaiting = 1024
)

// Ticket is a request for admission.
type Ticket struct {
	ClubID   string
	Priority int
	Deadline time.Time // zero: none
	Cost     int       // places that the request takes; at least 1
}

// Queue admits requests up to a capacity. The waiting request of the club
// with the smallest use relative to its weight goes first, so a share that
// its club does not use is lent to the others.
type Queue struct {
	now        func() time.Time
	uses       flamingodoor.ClubUsage
	maxWaiting int

	mu       sync.Mutex
	capacity int
	inFlight int
	sequence uint64
	waiting  int
	weights  map[string]int
	clubs    map[string]*club
}

type club struct {
	id       string
	inFlight int
	waiting  []*waiter // in order of arrival
}

type waiter struct {
	ticket   Ticket
	sequence uint64
	club     *club
	decided  bool
	answer   chan error // buffered; nil admits
}

// Option changes a default of the queue.
type Option func(*Queue)

// WithCapacity sets the places at the start.
func WithCapacity(places int) Option {
	return func(q *Queue) { q.capacity = places }
}

// WithMaxWaiting bounds the waiting requests.
func WithMaxWaiting(requests int) Option {
	return func(q *Queue) { q.maxWaiting = requests }
}

// WithClubUses adds the use of each club at the other hosts.
func WithClubUses(uses flamingodoor.ClubUsage) Option {
	return func(q *Queue) { q.uses = uses }
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

// SetCapacity sets the places. Requests in flight beyond it finish.
func (q *Queue) SetCapacity(places int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.capacity = places
	q.admit()
}

// SetClubs sets the weights. A club that is not listed has weight 1.
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

// Uses returns the places in use by each club at this host.
func (q *Queue) Uses() map[string]int {
	q.mu.Lock()
	defer q.mu.Unlock()
	uses := make(map[string]int, len(q.clubs))
	for id, club := range q.clubs {
		if club.inFlight > 0 {
			uses[id] = club.inFlight
		}
	}
	return uses
}

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.waiting
}

// Acquire waits for admission. The error is a refusal of a request that was
// not run: CodeOverloaded when it was shed, CodeDeadlineExceeded when the
// deadline passed or ctx ended first.
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
	case err = <-w.answer:
	case <-ctx.Done():
		if q.withdraw(w) {
			return nil, flamingodoor.NewError(flamingodoor.CodeDeadlineExceeded, flamingodoor.RunStateNotRun, context.Cause(ctx))
		}
		err = <-w.answer
	}
	if err != nil {
		return nil, err
	}
	return sync.OnceFunc(func() { q.release(w) }), nil
}

func (q *Queue) enqueue(ticket Ticket) *waiter {
	q.mu.Lock()
	defer q.mu.Unlock()
	owner, ok := q.clubs[ticket.ClubID]
	if !ok {
		owner = &club{id: ticket.ClubID}
		q.clubs[ticket.ClubID] = owner
	}
	q.sequence++
	w := &waiter{ticket: ticket, sequence: q.sequence, club: owner, answer: make(chan error, 1)}
	owner.waiting = append(owner.waiting, w)
	q.waiting++
	q.admit()
	if q.waiting > q.maxWaiting {
		q.decide(q.victim(), flamingodoor.Errorf(flamingodoor.CodeOverloaded, "admission queue is full"))
	}
	return w
}

// withdraw removes a waiter and reports whether it was still undecided.
func (q *Queue) withdraw(w *waiter) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if w.decided {
		return false
	}
	q.decide(w, nil)
	// A large request at the front may have held up smaller ones.
	q.admit()
	return true
}

func (q *Queue) release(w *waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.inFlight -= w.ticket.Cost
	w.club.inFlight -= w.ticket.Cost
	q.drop(w.club)
	q.admit()
}

// decide takes a waiter from its queue and answers it.
func (q *Queue) decide(w *waiter, answer error) {
	w.decided = true
	for i, other := range w.club.waiting {
		if other == w {
			w.club.waiting = append(w.club.waiting[:i], w.club.waiting[i+1:]...)
			break
		}
	}
	q.waiting--
	q.drop(w.club)
	w.answer <- answer
}

// drop forgets an idle club, so that the map does not grow with old names.
func (q *Queue) drop(c *club) {
	if c.inFlight == 0 && len(c.waiting) == 0 {
		delete(q.clubs, c.id)
	}
}
