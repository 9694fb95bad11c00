package hedging

import (
	"sync"
	"time"

	"flamingodoor.example/flamingodoor"
)

// MaxLimit is the largest share of the engine time of requests that operators may allow
// for hedges. A request is hedged after the 95th percentile, so that a larger share would
// hardly be used unless the percentile is out of date.
const MaxLimit = 0.2

// The budget covers budgetSlices*budgetSliceTime: long enough for a host with a few
// requests a second to gather the engine time of a hedge, short enough that a quiet time
// does not pay for a burst of hedges.
const (
	budgetSlices    = 10
	budgetSliceTime = time.Second
)

// CheckLimit returns an error unless the share is within 0 and MaxLimit.
func CheckLimit(limit float64) error {
	if limit >= 0 && limit <= MaxLimit {
		return nil
	}
	return flamingodoor.Errorf(flamingodoor.CodeInvalidConfiguration, "hedge limit %v is not within 0 and %v", limit, MaxLimit)
}

// Budget limits the engine time of the hedges of one host to a share of that of its
// requests. If each host keeps to the share, so does the fleet. It is safe for concurrent
// use.
type Budget struct {
	limit float64

	mu       sync.Mutex
	requests rollingSum
	hedges   rollingSum
}

// NewBudget returns a budget of which nothing is available yet.
func NewBudget(limit float64) *Budget {
	return &Budget{limit: limit}
}

// CountRequest adds the engine time of a request that is not a hedge.
func (b *Budget) CountRequest(engineSeconds float64, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests.add(engineSeconds, now)
}

// Available reports whether a hedge of the given engine time is within the limit.
func (b *Budget) Available(engineSeconds float64, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.available(engineSeconds, now)
}

// Charge takes the whole engine time of a hedge and reports whether it is within the
// limit. Nothing is given back if the hedge ends early: how much of its work an engine had
// done by then is not known. A hedge of unknown engine time is not allowed.
func (b *Budget) Charge(engineSeconds float64, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.available(engineSeconds, now) {
		return false
	}
	b.hedges.add(engineSeconds, now)
	return true
}

func (b *Budget) available(engineSeconds float64, now time.Time) bool {
	return engineSeconds > 0 && b.hedges.total(now)+engineSeconds <= b.limit*b.requests.total(now)
}

// rollingSum is the sum of the amounts of the latest slices. Its zero value is empty.
type rollingSum struct {
	slices     [budgetSlices]float64
	current    int
	sliceStart time.Time // of the current slice
}

func (r *rollingSum) add(amount float64, now time.Time) {
	r.rotate(now)
	r.slices[r.current] += amount
}

func (r *rollingSum) total(now time.Time) float64 {
	r.rotate(now)
	sum := 0.0
	for _, amount := range r.slices {
		sum += amount
	}
	return sum
}

// rotate clears the slices that have expired.
func (r *rollingSum) rotate(now time.Time) {
	if r.sliceStart.IsZero() {
		// Aligned, so that the slices of requests and of hedges expire together.
		r.sliceStart = now.Truncate(budgetSliceTime)
	}
	passed := int(now.Sub(r.sliceStart) / budgetSliceTime)
	if passed <= 0 {
		return
	}
	for range min(passed, budgetSlices) {
		r.current = (r.current + 1) % budgetSlices
		r.slices[r.current] = 0
	}
	r.sliceStart = r.sliceStart.Add(time.Duration(passed) * budgetSliceTime)
}
