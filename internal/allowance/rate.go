package allowance

import (
	"time"

	"golang.org/x/time/rate"

	"flamingodoor.example/flamingodoor"
)

// FullUntil returns when this host may send the next request to a process of an
// instance, or false if it may send one now.
func (b *Book) FullUntil(instance flamingodoor.Instance, now time.Time) (time.Time, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	known := b.limitOf(instance, now)
	if known == nil {
		return time.Time{}, false
	}
	missing := 1 - known.bucket.TokensAt(now)
	if missing <= 0 && known.bucket.Limit() > 0 {
		return time.Time{}, false
	}
	expiry := known.At.Add(statementTTL)
	if known.bucket.Limit() <= 0 {
		return expiry, true
	}
	wait := time.Duration(missing / float64(known.bucket.Limit()) * float64(time.Second))
	if room := now.Add(wait + time.Millisecond); room.Before(expiry) { // rounded up
		return room, true
	}
	return expiry, true
}

// Reserve counts a request to an instance. It returns false, and counts nothing,
// if this host may not send one now.
func (b *Book) Reserve(instance flamingodoor.Instance, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	known := b.limitOf(instance, now)
	return known == nil || (known.bucket.Limit() > 0 && known.bucket.AllowN(now, 1))
}

// limitOf returns the limit of a process of an instance, with this host's present
// part of it, or nil if it has none.
func (b *Book) limitOf(instance flamingodoor.Instance, now time.Time) *entry {
	known, ok := b.entries[instance.ID]
	if !ok || known.PerSecond == 0 || !known.StartedAt.Equal(instance.StartedAt) || now.Sub(known.At) >= statementTTL {
		return nil
	}
	part := b.divider.RateShare(instance.ID, known.PerSecond)
	if known.bucket.Limit() != rate.Limit(part) {
		known.bucket.SetLimitAt(now, rate.Limit(part))
		// A second's worth of requests may be sent at once.
		known.bucket.SetBurstAt(now, max(1, int(part)))
	}
	return known
}
