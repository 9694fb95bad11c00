// Package freshness decides whether this host may accept new work. It may do
// so while it holds a freshness lease, which proves that it complies with every
// configuration change that was accepted before the lease began. A host renews
// its lease by reading the log to its tail or by grants of a majority of voters.
package freshness

import (
	"slices"
	"sync"
	"time"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/member"
)

const (
	// LeaseDuration is the validity of a lease from the start of its renewal.
	// With 3 s, a change is in force on all hosts 3 s after its acceptance, and
	// a host that renews every 500 ms tolerates several failed renewals.
	LeaseDuration = 3 * time.Second
	// maxRecorded is the number of recorded commands that are remembered, so
	// that their restrictions are not added again.
	maxRecorded = 1024
)

// Option changes a default of a Lease.
type Option func(*Lease)

// WithApplied sets the function that returns the offset that this host has
// applied. Without it the offset is 0, and a host that has acknowledged a change
// is never fresh.
func WithApplied(applied func() uint64) Option {
	return func(l *Lease) { l.applied = applied }
}

// Lease is the freshness lease of this host, together with the state from which
// the host, as a voter, grants leases to others. It is safe for concurrent use.
type Lease struct {
	hostID  string
	applied func() uint64

	mu           sync.Mutex
	deadline     time.Time
	floor        uint64 // lowest applied offset with which a caller gets a lease
	granting     bool
	restrictions []flamingodoor.Restriction // provisional, see AddRestriction
	recorded     []string                   // identifiers of commands, oldest first
}

var _ flamingodoor.FreshnessGate = (*Lease)(nil)

// New returns an expired lease. The host grants no leases until StartGranting.
func New(hostID string, options ...Option) *Lease {
	l := &Lease{hostID: hostID, applied: func() uint64 { return 0 }}
	for _, option := range options {
		option(l)
	}
	return l
}

// Fresh reports whether the lease is valid and this host has applied every change
// that it has acknowledged.
func (l *Lease) Fresh(now time.Time) bool {
	applied := l.applied()
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Before(l.deadline) && applied >= l.floor
}

// Restricted reports whether a provisional restriction covers the data centre.
func (l *Lease) Restricted(dataCentre string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.ContainsFunc(l.restrictions, func(r flamingodoor.Restriction) bool {
		return r.DataCentre == dataCentre
	})
}

// RenewFromLog extends the lease after a read of the log that started at the
// given time, reached the tail and was applied.
func (l *Lease) RenewFromLog(start time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.extendFrom(start)
}

// RenewFromVoters extends the lease and returns true if a majority of the voters
// of the configuration granted it. The configuration is the one whose applied
// offset was sent to the voters, and start is a time before the request. This
// host counts itself if it is a voter and may grant.
func (l *Lease) RenewFromVoters(start time.Time, granted []string, configuration flamingodoor.Configuration) bool {
	voters := member.Voters(configuration)
	l.mu.Lock()
	defer l.mu.Unlock()
	grants := 0
	for _, voter := range voters {
		self := voter.ID == l.hostID && l.granting && configuration.Applied() >= l.floor
		if self || voter.ID != l.hostID && slices.Contains(granted, voter.ID) {
			grants++
		}
	}
	if 2*grants <= len(voters) {
		return false
	}
	l.extendFrom(start)
	return true
}

// extendFrom makes the lease valid for LeaseDuration from start. A renewal that
// started before an already successful one does not shorten the lease.
func (l *Lease) extendFrom(start time.Time) {
	if deadline := start.Add(LeaseDuration); deadline.After(l.deadline) {
		l.deadline = deadline
	}
}

// StartGranting makes this host grant leases. It is called when the log holds the
// record with which this process joined the entry hosts, and raises the floor to
// the offset of that record: the floor is kept in memory only, and a restarted
// process must not grant leases below the offset that its predecessor
// acknowledged.
func (l *Lease) StartGranting(joined uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.granting = true
	l.floor = max(l.floor, joined)
}

// StopGranting makes this host refuse all leases. A host calls it before it
// appends the record that removes it from the entry hosts, because afterwards
// changes are accepted without its acknowledgement.
func (l *Lease) StopGranting() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.granting = false
}

// Grant reports whether this host grants a lease to a caller that has applied the
// given offset. It also returns the floor, the lowest offset for which it does.
func (l *Lease) Grant(callerApplied uint64) (granted bool, floor uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.granting && callerApplied >= l.floor, l.floor
}

// Acknowledge raises the floor to an offset. The host must have applied the
// offset before.
func (l *Lease) Acknowledge(offset uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.floor = max(l.floor, offset)
}

// Acknowledged returns the floor, the lowest applied offset with which a host
// gets a lease from this host.
func (l *Lease) Acknowledged() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.floor
}

// AddRestriction adds a provisional restriction, which takes a data centre out of
// service until the log holds a verdict for its command. A restriction whose
// command already has one is ignored, because a peer that lags behind may still
// send it.
func (l *Lease) AddRestriction(r flamingodoor.Restriction) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := slices.ContainsFunc(l.restrictions, func(existing flamingodoor.Restriction) bool {
		return existing.CommandID == r.CommandID
	})
	if !known && !slices.Contains(l.recorded, r.CommandID) {
		l.restrictions = append(l.restrictions, r)
	}
}

// Restrictions returns the provisional restrictions.
func (l *Lease) Restrictions() []flamingodoor.Restriction {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.restrictions)
}

// DropRecorded drops the restrictions whose command has a verdict in the log.
// From then on the configuration determines whether the data centre is out of
// service. The floor rises to the offset that this host has applied, because its
// grants no longer carry the restriction to a host that has not applied the
// record.
func (l *Lease) DropRecorded(configuration flamingodoor.Configuration, hasVerdict func(commandID string) bool) {
	if configuration == nil || hasVerdict == nil {
		return
	}
	// hasVerdict may lock the registry and is called without holding the mutex.
	var recorded []string
	for _, r := range l.Restrictions() {
		if hasVerdict(r.CommandID) {
			recorded = append(recorded, r.CommandID)
		}
	}
	if len(recorded) == 0 {
		return
	}
	// The configuration can be older than the verdicts, so the applied offset is
	// read after them.
	applied := max(configuration.Applied(), l.applied())
	l.mu.Lock()
	defer l.mu.Unlock()
	l.floor = max(l.floor, applied)
	l.restrictions = slices.DeleteFunc(l.restrictions, func(r flamingodoor.Restriction) bool {
		return slices.Contains(recorded, r.CommandID)
	})
	l.recorded = append(l.recorded, recorded...)
	l.recorded = l.recorded[max(0, len(l.recorded)-maxRecorded):]
}
