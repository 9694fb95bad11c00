package balance

import (
	"sync"
	"time"
)

// roundTripWeight is the weight of a longer round trip in the mean of a data centre. A
// shorter one replaces the mean: a connection may take longer because a machine is busy
// or a packet was lost, but not shorter.
const roundTripWeight = 0.05

// RoundTrips holds the round trips to data centres, as the opening of connections to
// their instances shows them. It is safe for concurrent use.
type RoundTrips struct {
	mu    sync.RWMutex
	trips map[string]time.Duration // by data centre
}

// NewRoundTrips returns round trips of no data centre.
func NewRoundTrips() *RoundTrips {
	return &RoundTrips{trips: make(map[string]time.Duration)}
}

// Observe records how long the opening of a connection took.
func (r *RoundTrips) Observe(dataCentre string, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	mean, ok := r.trips[dataCentre]
	if !ok || took < mean {
		r.trips[dataCentre] = took
		return
	}
	r.trips[dataCentre] = mean + time.Duration(roundTripWeight*float64(took-mean))
}

// To returns the round trip to a data centre, or 0 until one is measured.
func (r *RoundTrips) To(dataCentre string) time.Duration {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.trips[dataCentre]
}
