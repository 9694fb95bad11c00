package proxy

import (
	"sync"
	"time"
)

// answerTimeWindow is the number of newest answers whose times are averaged.
const answerTimeWindow = 100

// answerTimes holds the mean time from placement to the end of the answers of each model.
// It is safe for concurrent use.
type answerTimes struct {
	mu    sync.Mutex
	means map[DemandKey]movingMean
}

// movingMean is the mean of the newest values.
type movingMean struct {
	seconds float64
	count   float64
}

func newAnswerTimes() *answerTimes {
	return &answerTimes{means: make(map[DemandKey]movingMean)}
}

// add counts a complete answer of an engine.
func (a *answerTimes) add(j *job, now time.Time) {
	if j.service.Engine == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	mean := a.means[j.key()]
	mean.count = min(mean.count+1, answerTimeWindow)
	mean.seconds += (now.Sub(j.placedAt).Seconds() - mean.seconds) / mean.count
	a.means[j.key()] = mean
}

// mean returns how long the answers of a job's model take, or 0 before any has ended.
func (a *answerTimes) mean(j *job) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return time.Duration(a.means[j.key()].seconds * float64(time.Second))
}

// endedPart returns the part of a model's requests in flight that end within the time.
func (a *answerTimes) endedPart(j *job, within time.Duration) float64 {
	mean := a.mean(j)
	if mean <= 0 {
		return 0
	}
	return within.Seconds() / mean.Seconds()
}
