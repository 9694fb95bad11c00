// Package readahead decides how many bytes are held for callers that read slowly, and
// which of these callers is ended when there is no more room.
package readahead

import (
	"sync"
	"time"
)

const (
	// MaxCallerBytes is how much is held for one caller: a response that is buffered
	// in whole, so that its handler and its instance are done with it.
	MaxCallerBytes = 256 << 10
	// MaxStall is how long a caller may accept nothing while a response waits for
	// room. A closed TCP window opens again only after a sixteenth of the receive
	// buffer was read: up to 8 KB, which takes 8 s at 1 KB/s. A shorter time would end
	// callers that read steadily.
	MaxStall = 10 * time.Second
	// MaxIdle is how long a caller may accept nothing of what is held for it while
	// nothing waits.
	MaxIdle = time.Minute
	// memoryDivisor sets the part of a host's memory that is held: a sixteenth.
	memoryDivisor = 16
	// defaultMemoryBytes is the memory of a host whose settings state none.
	defaultMemoryBytes = 160 << 20
)

// Budget counts the bytes that are held for all callers. It is safe for concurrent use.
type Budget struct {
	mu      sync.Mutex
	limit   int64
	held    int64
	ended   int64
	callers map[*Caller]struct{} // for which bytes are held
}

// Caller is the part of a Budget that is used for one connection. Its fields are
// guarded by the lock of the Budget.
type Caller struct {
	end        func(reason string)
	held       int64
	acceptedAt time.Time // when the caller last accepted bytes, or the first were held
	isEnded    bool
}

// New returns a budget for a host with the given memory in bytes; 0 if it is not known.
func New(memory int64) *Budget {
	if memory <= 0 {
		memory = defaultMemoryBytes
	}
	return &Budget{limit: memory / memoryDivisor, callers: make(map[*Caller]struct{})}
}

// NewCaller returns a caller for which nothing is held. `end` is called at most once,
// without the lock of the budget, to end the connection.
func NewCaller(end func(reason string)) *Caller {
	return &Caller{end: end}
}

// Hold takes room for up to `wanted` bytes and returns how many may be held. If the
// process has no room, it ends the caller that has accepted nothing for longest, if
// that is at least MaxStall.
func (b *Budget) Hold(caller *Caller, wanted int64, now time.Time) int64 {
	b.mu.Lock()
	granted := max(0, min(wanted, MaxCallerBytes-caller.held, b.limit-b.held))
	if granted > 0 {
		if caller.held == 0 {
			caller.acceptedAt = now
			b.callers[caller] = struct{}{}
		}
		caller.held += granted
		b.held += granted
	}
	var slowest *Caller
	if granted == 0 && b.held >= b.limit {
		slowest = b.slowest(now)
	}
	b.mu.Unlock()
	if slowest != nil {
		slowest.end("no_room")
	}
	return granted
}

// slowest returns the caller to end, or nil, and marks it. It is called with the lock
// held.
func (b *Budget) slowest(now time.Time) *Caller {
	var slowest *Caller
	for caller := range b.callers {
		if !caller.isEnded && now.Sub(caller.acceptedAt) >= MaxStall && (slowest == nil || caller.acceptedAt.Before(slowest.acceptedAt)) {
			slowest = caller
		}
	}
	if slowest != nil {
		slowest.isEnded = true
		b.ended++
	}
	return slowest
}

// Accepted records that the caller has accepted bytes, and gives up the room of those
// that need not be held any more.
func (b *Budget) Accepted(caller *Caller, count int64, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	caller.acceptedAt = now
	b.release(caller, count)
}

// Drop gives up the room of all bytes that are held for the caller.
func (b *Budget) Drop(caller *Caller) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.release(caller, caller.held)
}

func (b *Budget) release(caller *Caller, count int64) {
	caller.held -= count
	b.held -= count
	if caller.held == 0 {
		delete(b.callers, caller)
	}
}

// EndIfStalled ends a caller that has accepted nothing for too long. `waiting` states
// that a response waits for room.
func (b *Budget) EndIfStalled(caller *Caller, waiting bool, now time.Time) bool {
	limit, reason := MaxIdle, "idle"
	if waiting {
		limit, reason = MaxStall, "stalled"
	}
	b.mu.Lock()
	stalled := !caller.isEnded && caller.held > 0 && now.Sub(caller.acceptedAt) >= limit
	if stalled {
		caller.isEnded = true
		b.ended++
	}
	b.mu.Unlock()
	if stalled {
		caller.end(reason)
	}
	return stalled
}

// End ends a caller for which there is no room and that has accepted nothing for MaxStall.
func (b *Budget) End(caller *Caller, reason string) {
	b.mu.Lock()
	ended := caller.isEnded
	if !ended {
		caller.isEnded = true
		b.ended++
	}
	b.mu.Unlock()
	if !ended {
		caller.end(reason)
	}
}

// HeldBytes returns how many bytes are held for all callers.
func (b *Budget) HeldBytes() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held
}

// EndedCallers returns how many callers were ended.
func (b *Budget) EndedCallers() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ended
}
