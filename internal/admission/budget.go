package admission

import (
	"sync"
	"time"
)

// The buckets cover the last 10 s.
const (
	bucketCount = 10
	bucketWidth = time.Second
)

// RetryBudget limits retries to a ratio of the requests of the last 10 s, plus a
// floor for hosts with few requests. It is safe for concurrent use.
type RetryBudget struct {
	ratio float64
	floor int

	mu        sync.Mutex
	buckets   [bucketCount]bucket
	startedAt time.Time
}

// bucket counts the attempts of one second.
type bucket struct {
	index    int64
	requests int
	retries  int
}

// NewRetryBudget returns a budget of `ratio` retries per request plus `floor`
// retries in 10 s.
func NewRetryBudget(ratio float64, floor int) *RetryBudget {
	return &RetryBudget{ratio: ratio, floor: floor}
}

// SetFloor changes the floor, which is this host's part of a floor that all hosts
// share.
func (b *RetryBudget) SetFloor(floor int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.floor = floor
}

// CountRequest counts a first attempt.
func (b *RetryBudget) CountRequest(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bucket(now).requests++
}

// TryRetry takes one retry from the budget. It returns false if none is left.
func (b *RetryBudget) TryRetry(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	current := b.bucket(now)
	requests, retries := 0, 0
	for i := range b.buckets {
		if current.index-b.buckets[i].index < bucketCount {
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

// bucket returns the bucket of the given time, cleared if it held an earlier
// second. Time is measured from the first call, by the monotonic clock.
func (b *RetryBudget) bucket(now time.Time) *bucket {
	if b.startedAt.IsZero() {
		b.startedAt = now
	}
	index := int64(max(0, now.Sub(b.startedAt)) / bucketWidth)
	current := &b.buckets[index%bucketCount]
	if current.index != index {
		*current = bucket{index: index}
	}
	return current
}
