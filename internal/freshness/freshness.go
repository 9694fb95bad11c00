// Package freshness decides whether this host may take new work. A host may do
// so while it holds a freshness lease, which shows that it follows every
// configuration change that was accepted before the lease began.
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
	// With 3 s a change is in force 3 s after acceptance, and a host that
	// renews each 500 ms survives several lost rounds.
	LeaseDuration = 3 * time.Second
	// maxConfirmed bounds the remembered restrictions that the log confirmed.
	maxConfirmed = 1024
)

// Option changes a Lease at its construction.
type Option func(*Lease)

// WithApplied sets the function that returns the offset that this host has
// applied. Without it the offset counts as 0, so that a host which has
// acknowledged a change is not fresh.
func WithApplied(applied func() uint64) Option {
	return func(l *Lease) { l.applied = applied }
}

// Lease is the freshness lease of this host together with what the host, as a
// voter, has acknowledged. It is safe for concurrent use.
type Lease struct {
	hostID  string
	applied func() uint64

	mu           sync.Mutex
	deadline     time.Time
	floor        uint64
	granting     bool
	restrictions []flamingodoor.Restriction
	confirmed    []string // identifiers of commands, oldest first
}

var _ flamingodoor.FreshnessGate = (*Lease)(nil)

// New returns a lease that has expired, of a host that grants nothing yet.
func New(hostID string, options ...Option) *Lease {
	l := &Lease{hostID: hostID, applied: func() uint64 { return 0 }}
	for _, option := range options {
		option(l)
	}
	return l
}

// Fresh reports whether the lease holds and this host has applied whatever it
// has acknowledged.
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

// RenewFromLog extends the lease after a read of the log that began at start,
// reached the tail and was applied.
func (l *Lease) RenewFromLog(start time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.extend(start)
}

// RenewFromVoters extends the lease if the hosts that granted it after start
// are a majority of all voters of the configuration whose applied offset was
// sent to them. This host counts itself if it is a voter and may grant.
func (l *Lease) RenewFromVoters(start time.Time, granted []string, configuration flamingodoor.Configuration) bool {
	voters := member.Voters(configuration)
	l.mu.Lock()
	defer l.mu.Unlock()
	count := 0
	for _, voter := range voters {
		self := voter.ID == l.hostID && l.granting && configuration.Applied() >= l.floor
		if self || voter.ID != l.hostID && slices.Contains(granted, voter.ID) {
			count++
		}
	}
	if 2*count <= len(voters) {
		return false
	}
	l.extend(start)
	return true
}

// extend runs the lease from start. An attempt that began earlier than the
// latest one never shortens the lease.
func (l *Lease) extend(start time.Time) {
	if deadline := start.Add(LeaseDuration); deadline.After(l.deadline) {
		l.deadline = deadline
	}
}

// StartGranting lets this host grant leases once the log holds the record with
// which the running process joined the entry hosts. The floor rises to that
// offset: a process keeps its floor in memory only, and a restarted one must
// not grant below what its predecessor acknowledged.
func (l *Lease) StartGranting(joined uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.granting = true
	l.floor = max(l.floor, joined)
}

// StopGranting ends all granting. A host calls it before it appends the record
// that removes it from the entry hosts, because the voters that remain
// acknowledge changes without it.
func (l *Lease) StopGranting() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.granting = false
}

// Grant reports whether a caller that has applied the given offset gets a
// lease from this host, and the lowest offset that does.
func (l *Lease) Grant(callerApplied uint64) (granted bool, floor uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.granting && callerApplied >= l.floor, l.floor
}

// Acknowledge raises the floor. The caller has applied the offset before.
func (l *Lease) Acknowledge(offset uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.floor = max(l.floor, offset)
}

// Acknowledged returns the floor.
func (l *Lease) Acknowledged() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.floor
}

// AddRestriction takes a data centre out of service until the log confirms the
// command. A restriction that is already confirmed is ignored, because a peer
// that lags may still send it.
func (l *Lease) AddRestriction(r flamingodoor.Restriction) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := slices.ContainsFunc(l.restrictions, func(held flamingodoor.Restriction) bool {
		return held.CommandID == r.CommandID
	})
	if !known && !slices.Contains(l.confirmed, r.CommandID) {
		l.restrictions = append(l.restrictions, r)
	}
}

// Restrictions returns the provisional restrictions.
func (l *Lease) Restrictions() []flamingodoor.Restriction {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.restrictions)
}

// DropConfirmed drops the restrictions whose command has a verdict in the log; from
// then on the configuration itself tells whether the data centre is out. The
// floor rises to what this host has applied, since the grants of this host no
// longer carry the restriction to a host that has not applied the record.
func (l *Lease) DropConfirmed(configuration flamingodoor.Configuration, verdictOf func(commandID string) bool) {
	if configuration == nil || verdictOf == nil {
		return
	}
	// verdictOf may take locks of the registry, so that it is called unlocked.
	var done []string
	for _, r := range l.Restrictions() {
		if verdictOf(r.CommandID) {
			done = append(done, r.CommandID)
		}
	}
	if len(done) == 0 {
		return
	}
	// The configuration can be older than the verdicts; the applied offset is
	// read after them.
	applied := max(configuration.Applied(), l.applied())
	l.mu.Lock()
	defer l.mu.Unlock()
	l.floor = max(l.floor, applied)
	l.restrictions = slices.DeleteFunc(l.restrictions, func(r flamingodoor.Restriction) bool {
		return slices.Contains(done, r.CommandID)
	})
	l.confirmed = append(l.confirmed, done...)
	l.confirmed = l.confirmed[max(0, len(l.confirmed)-maxConfirmed):]
}
