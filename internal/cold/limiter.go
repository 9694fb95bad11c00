// Package cold limits the rate of requests to instances that have been started
// recently and cannot take their full load yet.
package cold

import (
	"slices"
	"sync"
	"time"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/share"
)

// rateWindow is the sliding window over which requests to a cold instance are
// counted.
const rateWindow = time.Second

// Limiter limits the requests of this host to each cold instance. It is safe for
// concurrent use.
type Limiter struct {
	divider *share.Divider

	mu          sync.Mutex
	recentSends map[string][]time.Time // in the window, by instance
}

// NewLimiter returns a limiter that allows this host's part of each instance's
// rate. It allows no requests to cold instances with a rate until the divider
// knows the hosts.
func NewLimiter(divider *share.Divider) *Limiter {
	return &Limiter{divider: divider, recentSends: make(map[string][]time.Time)}
}

// HasRoom reports whether this host may send a request to the instance. `rate` is
// the number of requests per second that a cold instance can take from all hosts
// together. It is rounded down, but to at least 1; 0 means no limit.
func (l *Limiter) HasRoom(instance flamingodoor.Instance, rate float64, now time.Time) bool {
	if rate <= 0 || !now.Before(instance.ColdUntil) {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.prune(instance.ID, now)) < l.divider.Share(instance.ID, max(1, int(rate)))
}

// Reserve counts a request to a cold instance. It returns false, and counts
// nothing, if this host's part of the rate is used up.
func (l *Limiter) Reserve(instance flamingodoor.Instance, rate float64, now time.Time) bool {
	if rate <= 0 || !now.Before(instance.ColdUntil) {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	recent := l.prune(instance.ID, now)
	if len(recent) >= l.divider.Share(instance.ID, max(1, int(rate))) {
		return false
	}
	l.recentSends[instance.ID] = append(recent, now)
	return true
}

// prune deletes the requests of an instance that are older than the window, and
// returns the others.
func (l *Limiter) prune(instanceID string, now time.Time) []time.Time {
	recent := slices.DeleteFunc(l.recentSends[instanceID], func(sentAt time.Time) bool { return now.Sub(sentAt) >= rateWindow })
	if len(recent) == 0 {
		delete(l.recentSends, instanceID)
		return nil
	}
	l.recentSends[instanceID] = recent
	return recent
}
