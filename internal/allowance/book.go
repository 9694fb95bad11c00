// Package allowance keeps the request rates that instances stated they accept
// from all entry hosts together, and limits this host to its part of them.
package allowance

import (
	"maps"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"flamingodoor.example/flamingodoor/internal/share"
)

const (
	// MinPerSecond is the lowest rate that is enforced. An instance that got no
	// requests at all could not state that it accepts more again.
	MinPerSecond = 0.2
	// MaxPerSecond is the highest rate that is enforced. No instance serves as many.
	MaxPerSecond = 1e6

	// statementTTL is how long a statement counts without a newer one. An instance
	// with the lowest rate gets several requests in this time.
	statementTTL = 30 * time.Second
	// shareTime is how long a statement is part of the messages to the peers, so
	// that it outlasts lost messages. It covers several rounds of the exchange.
	shareTime = time.Second
	// renewInterval is the time after which a repeated statement is sent again.
	renewInterval = 3 * time.Second
	// urgentInterval bounds how often the statements of one instance are sent at
	// once, in case they change with each response.
	urgentInterval = time.Second
	// urgentDrop is the ratio of a new rate to the previous one below which the
	// peers must know at once.
	urgentDrop = 0.75
)

// Statement is what a process of an instance stated in a response.
type Statement struct {
	InstanceID string
	StartedAt  time.Time // of the process
	PerSecond  float64   // requests accepted from all hosts together; 0 if there is no limit any more
	// At is when the response arrived. For a response without a limit it is when its
	// request was sent: the instance may have begun the response before it stated the
	// limit.
	At time.Time
}

// Book holds the newest statement of each instance and counts the requests of this
// host against its part of the rate. It is safe for concurrent use.
type Book struct {
	divider *share.Divider

	mu      sync.Mutex
	entries map[string]*entry // by instance
}

// entry is the newest statement of an instance.
type entry struct {
	Statement
	bucket   *rate.Limiter
	sharedAt time.Time // when the messages to the peers began to contain it
	urgentAt time.Time // when it was last sent at once
}

// NewBook returns a book without statements. While the divider knows no hosts,
// limited instances get no requests from this host.
func NewBook(divider *share.Divider) *Book {
	return &Book{divider: divider, entries: make(map[string]*entry)}
}

// Recorded is the effect of a statement.
type Recorded struct {
	Began  bool // the instance had no limit before
	Ended  bool // the instance has no limit any more
	Urgent bool // the peers must know at once
}

// Record applies a statement of an instance, unless a newer one is known. If
// `forward` is set, the messages to the peers contain it.
func (b *Book) Record(statement Statement, forward bool, now time.Time) Recorded {
	b.mu.Lock()
	defer b.mu.Unlock()
	current, ok := b.entries[statement.InstanceID]
	if ok && !statement.newerThan(current.Statement) {
		return Recorded{}
	}
	if !ok || !statement.StartedAt.Equal(current.StartedAt) {
		current = &entry{bucket: rate.NewLimiter(0, 1)}
	}
	before := current.PerSecond
	if before == 0 && statement.PerSecond == 0 {
		return Recorded{}
	}
	current.Statement = statement
	b.entries[statement.InstanceID] = current
	recorded := Recorded{Began: before == 0, Ended: statement.PerSecond == 0}
	if forward {
		recorded.Urgent = current.forward(before, now)
	}
	return recorded
}

// newerThan reports whether a statement replaces the known one.
func (s Statement) newerThan(known Statement) bool {
	if !s.StartedAt.Equal(known.StartedAt) {
		return s.StartedAt.After(known.StartedAt)
	}
	return s.At.After(known.At)
}

// forward makes the messages to the peers contain the statement, unless they did
// lately, and reports whether the peers must know it at once.
func (e *entry) forward(before float64, now time.Time) (urgent bool) {
	if before != e.PerSecond || now.Sub(e.sharedAt) >= renewInterval {
		e.sharedAt = now
	}
	began, fell := before == 0, e.PerSecond > 0 && e.PerSecond < urgentDrop*before
	if (!began && !fell) || now.Sub(e.urgentAt) < urgentInterval {
		return false
	}
	e.urgentAt = now
	return true
}

// RecordNoLimit applies a response without a limit to a request that was sent at
// the given time. It ends a limit that was stated before that.
func (b *Book) RecordNoLimit(instanceID string, startedAt, sentAt, now time.Time) Recorded {
	return b.Record(Statement{InstanceID: instanceID, StartedAt: startedAt, At: sentAt}, true, now)
}

// Shared returns the statements for the next message to the peers. It deletes those
// that have not been repeated for statementTTL.
func (b *Book) Shared(now time.Time) []Statement {
	b.mu.Lock()
	defer b.mu.Unlock()
	maps.DeleteFunc(b.entries, func(_ string, known *entry) bool { return now.Sub(known.At) >= statementTTL })
	var statements []Statement
	for _, known := range b.entries {
		if now.Sub(known.sharedAt) < shareTime {
			statements = append(statements, known.Statement)
		}
	}
	return statements
}

// Count returns the number of instances with a limit.
func (b *Book) Count(now time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	count := 0
	for _, known := range b.entries {
		if known.PerSecond > 0 && now.Sub(known.At) < statementTTL {
			count++
		}
	}
	return count
}
