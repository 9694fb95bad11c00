package proxy

import (
	"sync"
	"time"
)

const (
	// minSuspicionTime is the shortest time after which an attempt without a response is
	// examined.
	minSuspicionTime = 400 * time.Millisecond
	// meanWeight and deviationWeight are the weights of the newest response time, and
	// deviationFactor times the mean deviation is added to the mean, as in RFC 6298.
	meanWeight      = 0.125
	deviationWeight = 0.25
	deviationFactor = 4
)

// responseKey names requests that take about the same time.
type responseKey struct {
	route string
	model string
}

// responseTime is the usual time until the response to a request begins.
type responseTime struct {
	mean      time.Duration
	deviation time.Duration // mean of the absolute deviations
}

// responseTimes holds the usual response times of endpoints. It is safe for concurrent
// use.
type responseTimes struct {
	mu    sync.Mutex
	times map[responseKey]responseTime
}

func newResponseTimes() *responseTimes {
	return &responseTimes{times: make(map[responseKey]responseTime)}
}

// add records the time until a response began.
func (r *responseTimes) add(j *job, took time.Duration) {
	key := responseKey{route: j.route.Name, model: j.model}
	r.mu.Lock()
	defer r.mu.Unlock()
	usual, ok := r.times[key]
	if !ok {
		r.times[key] = responseTime{mean: took, deviation: took / 2}
		return
	}
	usual.deviation += time.Duration(deviationWeight * float64((took-usual.mean).Abs()-usual.deviation))
	usual.mean += time.Duration(meanWeight * float64(took-usual.mean))
	r.times[key] = usual
}

// mean returns the usual time, or false if none was recorded.
func (r *responseTimes) mean(j *job) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	usual, ok := r.times[responseKey{route: j.route.Name, model: j.model}]
	return usual.mean, ok
}

// suspectAt returns when the response to a request that is sent now has usually begun.
func (r *responseTimes) suspectAt(j *job, now time.Time) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	usual, ok := r.times[responseKey{route: j.route.Name, model: j.model}]
	if !ok {
		return now.Add(max(minSuspicionTime, j.route.LatencyObjective))
	}
	return now.Add(max(minSuspicionTime, usual.mean+deviationFactor*usual.deviation))
}
