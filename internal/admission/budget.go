package admission

import (
	"sync"
	"time"
)

const (
	budgetBuckets     = 10
	budgetBucketWidth = time.Second
)

// RetryBudget limits retries to a ratio of the requests of the last 10 s,
// plus a floor for hosts with few requests.
type RetryBudget struct {
	ratio float64
	floor int

	mu      sync.Mutex
	buckets [budgetBuckets]bucket
	origin  time.Time
}

type bucket struct {
	index    int64
	requests int
	retries  int
}

// NewRetryBudget returns a budget of ratio retries for each request and floor
// retries in 10 s.
func NewRetryBudget(ratio float64, floor int) *RetryBudget {
	return &RetryBudget{ratio: ratio, floor: floor}
}

// SetFloor changes the floor, which is a share of one budget of all hosts.
func (b *RetryBudget) SetFloor(floor int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.floor = floor
}

// Request counts a first attempt.
func (b *RetryBudget) Request(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bucket(now).requests++
}

// Retry takes one retry from the budget, or reports that it is used up.
func (b *RetryBudget) Retry(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	current := b.bucket(now)
	requests, retries := 0, 0
	for i := range b.buckets {
		if current.index-b.buckets[i].index < budgetBuckets {
			requests += b.buckets[i].requests
			retries += b.buckets[i].retries
		}
	}
	if float64(retries+1) > b.ratio*float64(requests)+float64(b.floor) {
		return false
	}
	current.retries++
	return true
}

// bucket counts time from the first call, on the monotonic clock.
func (b *RetryBudget) bucket(now time.Time) *bucket {
	if b.origin.IsZero() {
		b.origin = now
	}
	index := int64(max(0, now.Sub(b.origin)) / budgetBucketWidth)
	current := &b.buckets[index%budgetBuckets]
	if current.index != index {
		*current = bucket{index: index}
	}
	return current
}
