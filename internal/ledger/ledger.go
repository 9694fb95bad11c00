// Package ledger puts each request that entry hosts refused, failed or answered late
// down to one cause. It reads the hosts' logs.
package ledger

import (
	"cmp"
	"slices"
	"time"
)

// Cause is why a request was not answered in time.
type Cause int

// Causes, in the order of reports.
const (
	// CauseNoGroup is a model or service without any instance that serves it.
	CauseNoGroup Cause = iota
	// CauseFull is a model whose groups are at capacity, beside free instances that
	// suffice for no other group.
	CauseFull
	// CauseFullWhileForming is the same while another group of the model forms.
	CauseFullWhileForming
	// CauseFullBesideFree is the same while free instances suffice for another group.
	CauseFullBesideFree
	// CauseGroupLost is a group or an instance that failed under the request.
	CauseGroupLost
	// CauseNoPath is a host without a path to the instances and a peer that helps.
	CauseNoPath
	// CausePrompt is a request, or a part of its prompt, that crashes instances.
	CausePrompt
	// CauseConfiguration is a configuration that is missing or was confirmed too long ago.
	CauseConfiguration
	// CauseDenied is a request that the configuration does not allow.
	CauseDenied
	// CauseRetryBudget is a repeat for which the retry budget has no room.
	CauseRetryBudget
	// CauseStop is a host that stops.
	CauseStop
	// CauseWaited is an answer that is late because the request waited for a slot.
	CauseWaited
	// CauseSlow is an answer that is late although the request soon had a slot.
	CauseSlow
	// CauseDeadline is a request whose time ended at an instance.
	CauseDeadline
	// CauseOther is any other cause.
	CauseOther
)

//go:generate go tool -modfile=../../tools/go.mod enumer -type=Cause -transform=snake -trimprefix=Cause -text -output=cause_enumer.go

// Outcome is how a request ended that was not answered in time.
type Outcome int

// Outcomes.
const (
	OutcomeRefused Outcome = iota // not run
	OutcomeFailed                 // may have run, or broke off
	OutcomeLate
)

//go:generate go tool -modfile=../../tools/go.mod enumer -type=Outcome -transform=snake -trimprefix=Outcome -text -output=outcome_enumer.go

// Loss is a request that was not answered in time.
type Loss struct {
	Cause   Cause
	Outcome Outcome
	Model   string // empty for plain services and requests without a route
	At      time.Time
}

// Entry counts the losses of one model with the same cause and outcome.
type Entry struct {
	Cause   Cause   `json:"cause"`
	Outcome Outcome `json:"outcome"`
	Model   string  `json:"model"`
	Count   int     `json:"count"`
	// Peak is the second with the most of them.
	Peak time.Time `json:"peak"`
}

// Second holds what happened in one second.
type Second struct {
	At       time.Time     `json:"at"`
	Requests int           `json:"requests"`
	Lost     map[Cause]int `json:"lost,omitempty"`
	// Fleet is the latest statement of the leader, by model.
	Fleet map[string]Fleet `json:"fleet,omitempty"`
}

// Fleet is what the leader states about a model and its service.
type Fleet struct {
	Demand  float64 `json:"demand"`  // engine seconds a second
	Groups  int     `json:"groups"`  // that serve the model
	Pending int     `json:"pending"` // groups that form
	Free    int     `json:"free"`    // instances of the service in no group
	// Formable is how many groups the free instances of each domain suffice for.
	Formable int `json:"formable"`
}

// Report is the ledger of a period.
type Report struct {
	From     time.Time `json:"from"`
	To       time.Time `json:"to"`
	Requests int       `json:"requests"`
	Answered int       `json:"answered"` // in time or late
	Left     int       `json:"left"`     // by their callers
	Entries  []Entry   `json:"entries"`  // most frequent first
	Seconds  []Second  `json:"seconds"`
	// Unread counts the lines that are no log lines.
	Unread int `json:"unread"`
}

// Count returns the number of requests with the outcome.
func (r *Report) Count(outcome Outcome) int {
	count := 0
	for _, entry := range r.Entries {
		if entry.Outcome == outcome {
			count += entry.Count
		}
	}
	return count
}

// entryKey identifies an entry of a report.
type entryKey struct {
	cause   Cause
	outcome Outcome
	model   string
}

// collect returns the entries for losses, most frequent first.
func collect(losses []Loss) []Entry {
	bySecond := make(map[entryKey]map[time.Time]int)
	for _, loss := range losses {
		key := entryKey{loss.Cause, loss.Outcome, loss.Model}
		if bySecond[key] == nil {
			bySecond[key] = make(map[time.Time]int)
		}
		bySecond[key][loss.At.Truncate(time.Second)]++
	}
	entries := make([]Entry, 0, len(bySecond))
	for key, seconds := range bySecond {
		entry := Entry{Cause: key.cause, Outcome: key.outcome, Model: key.model}
		for second, count := range seconds {
			entry.Count += count
			if most := seconds[entry.Peak]; count > most || (count == most && second.Before(entry.Peak)) {
				entry.Peak = second
			}
		}
		entries = append(entries, entry)
	}
	slices.SortFunc(entries, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Cause, b.Cause), cmp.Compare(a.Outcome, b.Outcome), cmp.Compare(a.Model, b.Model))
	})
	return entries
}
