// Package demand sums the demand for models that the entry hosts report, and knows for
// how many of the known hosts the sum stands. After a change of the leader or of the
// relays a host has reports of only some hosts for about a second.
package demand

import (
	"sync"
	"time"
)

const (
	// reportTimeout is how long a report counts without a newer one of its sender: as
	// long as the sender counts as a live host.
	reportTimeout = 3 * time.Second
	// fullCoverage is the share of the known hosts from which the sum counts as that of
	// all: hosts that have just started or stopped are a few of them.
	fullCoverage = 0.9
	// maxRepeatedShare is the share of the known hosts up to which hosts may be in more
	// than one report: the reports of a former and a new relay overlap for some rounds.
	maxRepeatedShare = 0.1
	// holdTime is how long the last total with full coverage replaces the sum. Relays
	// have the reports of all their hosts within about a second, and hosts that are gone
	// are no longer known after 3 s.
	holdTime = 3 * time.Second
	// minCoverage is the least coverage by which a sum is divided: fewer hosts say too
	// little about the others.
	minCoverage = 0.1
)

// Key identifies a model of a service.
type Key struct {
	Service string
	Model   string
}

// Rates holds the engine seconds requested per second.
type Rates map[Key]float64

// Total is the demand at all hosts.
type Total struct {
	// Rates may be shared with other totals and must not be changed.
	Rates Rates
	// Coverage is the share of the known hosts that the latest reports stand for.
	Coverage float64
	// Held reports whether Rates is an earlier total, because the coverage is not full.
	Held bool
}

// Tracker keeps the latest reports of the other hosts and the last total with full
// coverage. It is safe for concurrent use.
type Tracker struct {
	self uint32

	mu        sync.Mutex
	reports   map[string]report // by sender
	full      Rates             // the last total with full coverage
	fullKnown []uint32          // the hosts that were known then
	heldUntil time.Time         // when full expires
	seen      map[uint32]int    // times that a known host is in the reports; reused by cover
}

type report struct {
	rates    Rates
	hosts    []uint32
	deadline time.Time
}

// NewTracker returns a tracker without reports for the host with the given hash.
func NewTracker(self uint32) *Tracker {
	return &Tracker{self: self, reports: make(map[string]report), seen: make(map[uint32]int)}
}

// Report replaces the demand that a sender reported. hosts are the hashes of the hosts
// that it stands for: the sender alone, those in a summary of a relay, or none if the
// demand of the sender is in a summary.
func (t *Tracker) Report(sender string, rates Rates, hosts []uint32, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reports[sender] = report{rates: rates, hosts: hosts, deadline: now.Add(reportTimeout)}
}

// Forget discards the report of a sender.
func (t *Tracker) Forget(sender string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.reports, sender)
}

// Any reports whether any other host has reported demand.
func (t *Tracker) Any() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, report := range t.reports {
		if len(report.rates) > 0 {
			return true
		}
	}
	return false
}

// Total returns the sum of this host's own demand and the reports, given the hashes of
// all known hosts. While the reports do not stand for these, the last total for which
// they did is returned for holdTime, and then the sum scaled to the known hosts. Hosts
// that were known for the last total count as known for holdTime, because a host that
// has lost its relay loses sight of most of the others. Total has to be called in each
// round of the exchange, so that the last total is recent.
func (t *Tracker) Total(own Rates, known []uint32, now time.Time) Total {
	t.mu.Lock()
	defer t.mu.Unlock()
	var remembered []uint32
	if now.Before(t.heldUntil) {
		remembered = t.fullKnown
	}
	sum := t.sum(own, now)
	count := t.cover(known, remembered)
	if count.full() {
		t.full, t.fullKnown, t.heldUntil = sum, known, now.Add(holdTime)
		return Total{Rates: sum, Coverage: count.coverage()}
	}
	if now.Before(t.heldUntil) {
		return Total{Rates: t.full, Coverage: count.coverage(), Held: true}
	}
	for key := range sum {
		sum[key] *= count.scale()
	}
	return Total{Rates: sum, Coverage: count.coverage()}
}

// hostCount counts hosts.
type hostCount struct {
	known    int
	covered  int // known hosts that reports stand for, and this one
	repeated int // times that one of them is in a further report
}

func (c hostCount) coverage() float64 {
	return float64(c.covered) / float64(max(1, c.known))
}

func (c hostCount) full() bool {
	return c.coverage() >= fullCoverage && float64(c.repeated) <= maxRepeatedShare*float64(c.known)
}

// scale returns the factor from the sum of the reports to that of the known hosts.
func (c hostCount) scale() float64 {
	return 1 / max(minCoverage, float64(c.covered+c.repeated)/float64(max(1, c.known)))
}

// sum drops the reports that have expired and adds up the others. The caller holds the
// mutex.
func (t *Tracker) sum(own Rates, now time.Time) Rates {
	sum := make(Rates, len(own))
	for key, rate := range own {
		sum[key] = rate
	}
	for sender, report := range t.reports {
		if now.After(report.deadline) {
			delete(t.reports, sender)
			continue
		}
		for key, rate := range report.rates {
			sum[key] += rate
		}
	}
	return sum
}

// cover counts the known hosts, and those of them that the reports stand for. Summaries
// list this host, without its demand. The caller holds the mutex.
func (t *Tracker) cover(known, remembered []uint32) hostCount {
	clear(t.seen)
	for _, host := range known {
		t.seen[host] = 0
	}
	for _, host := range remembered {
		t.seen[host] = 0
	}
	for _, report := range t.reports {
		for _, host := range report.hosts {
			if times, ok := t.seen[host]; ok {
				t.seen[host] = times + 1
			}
		}
	}
	if times, ok := t.seen[t.self]; ok {
		t.seen[t.self] = max(1, times)
	}
	count := hostCount{known: len(t.seen)}
	for _, times := range t.seen {
		count.covered += min(1, times)
		count.repeated += max(0, times-1)
	}
	return count
}
