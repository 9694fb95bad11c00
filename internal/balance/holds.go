package balance

import (
	"maps"
	"sync"
	"time"
)

// Holds records until when processes of instances asked this host to send them
// nothing. It is safe for concurrent use.
type Holds struct {
	mu   sync.Mutex
	held map[string]hold // by instance
}

// hold is what one process of an instance asked for.
type hold struct {
	startedAt time.Time
	until     time.Time
	probed    bool
}

// NewHolds returns holds of no instance.
func NewHolds() *Holds {
	return &Holds{held: make(map[string]hold)}
}

// Extend holds a process of an instance until the given time, and reports whether
// that is longer than before.
func (h *Holds) Extend(id string, startedAt, until, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	maps.DeleteFunc(h.held, func(_ string, current hold) bool { return !now.Before(current.until) })
	current, ok := h.held[id]
	if !now.Before(until) || (ok && startedAt.Before(current.startedAt)) {
		return false
	}
	if !ok || !startedAt.Equal(current.startedAt) {
		h.held[id] = hold{startedAt: startedAt, until: until}
		return true
	}
	if !until.After(current.until) {
		return false
	}
	current.until = until
	h.held[id] = current
	return true
}

// Until returns when the hold of a process ends, or false if it is not held.
func (h *Holds) Until(id string, startedAt, now time.Time) (time.Time, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	current, ok := h.held[id]
	if !ok || !startedAt.Equal(current.startedAt) || !now.Before(current.until) {
		return time.Time{}, false
	}
	return current.until, true
}

// Any reports whether any process is held.
func (h *Holds) Any(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, current := range h.held {
		if now.Before(current.until) {
			return true
		}
	}
	return false
}

// MayProbe reports whether a process may be probed: at any time if it is not
// held, and once during a hold.
func (h *Holds) MayProbe(id string, startedAt, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	current, ok := h.held[id]
	if !ok || !startedAt.Equal(current.startedAt) || !now.Before(current.until) {
		return true
	}
	allowed := !current.probed
	current.probed = true
	h.held[id] = current
	return allowed
}
