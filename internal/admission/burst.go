package admission

import (
	"sync"
	"time"
)

// Burst is this host's part of the retries that all hosts may make beyond the ratio to
// their requests. A larger part holds only after the window of the budget: until then,
// retries count that others, or an earlier process of this host, made with their parts.
// The zero value is a part of 0 retries. It is safe for concurrent use.
type Burst struct {
	mu sync.Mutex
	// parts rise; the first holds until the second is older than the window.
	parts []burstPart
}

type burstPart struct {
	retries int
	since   time.Time
}

// SetPart changes the part. The first part that is set holds at once.
func (b *Burst) SetPart(retries int, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	since := now
	for last := len(b.parts) - 1; last >= 0 && b.parts[last].retries >= retries; last-- {
		since = b.parts[last].since
		b.parts = b.parts[:last]
	}
	b.parts = append(b.parts, burstPart{retries: retries, since: since})
}

// Part returns the smallest part that was set within the window.
func (b *Burst) Part(now time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(b.parts) > 1 && now.Sub(b.parts[1].since) >= bucketCount*bucketWidth {
		b.parts = b.parts[1:]
	}
	if len(b.parts) == 0 {
		return 0
	}
	return b.parts[0].retries
}
