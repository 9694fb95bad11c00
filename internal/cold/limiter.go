// Package cold bounds the requests to instances that can bear only a little
// after their start.
package cold

import (
	"slices"
	"sync"
	"time"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/share"
)

// window is the time over which requests to a cold instance are counted.
const window = time.Second

// Limiter bounds the requests of this host to each cold instance. It is safe
// for concurrent use.
type Limiter struct {
	divider *share.Divider

	mu    sync.Mutex
	sends map[string][]time.Time // within the window, by instance
}

// NewLimiter returns a limiter that takes this host's part of what instances
// bear. It sends them nothing until the hosts are known.
func NewLimiter(divider *share.Divider) *Limiter {
	return &Limiter{divider: divider, sends: make(map[string][]time.Time)}
}

// HasRoom reports whether the instance may get a request of this host. `rate`
// is what it bears a second while it is cold; 0 has no limit.
func (l *Limiter) HasRoom(instance flamingodoor.Instance, rate float64, now time.Time) bool {
	if rate <= 0 || !now.Before(instance.ColdUntil) {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.recent(instance.ID, now)) < l.divider.Part(instance.ID, max(1, int(rate)))
}

// Take counts a request to the instance and reports whether there was room.
func (l *Limiter) Take(instance flamingodoor.Instance, rate float64, now time.Time) bool {
	if rate <= 0 || !now.Before(instance.ColdUntil) {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	recent := l.recent(instance.ID, now)
	if len(recent) >= l.divider.Part(instance.ID, max(1, int(rate))) {
		return false
	}
	l.sends[instance.ID] = append(recent, now)
	return true
}

// recent drops the requests that left the window.
func (l *Limiter) recent(instanceID string, now time.Time) []time.Time {
	recent := slices.DeleteFunc(l.sends[instanceID], func(sent time.Time) bool { return now.Sub(sent) >= window })
	if len(recent) == 0 {
		delete(l.sends, instanceID)
		return nil
	}
	l.sends[instanceID] = recent
	return recent
}
