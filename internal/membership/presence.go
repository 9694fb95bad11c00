// Package membership keeps the member list of the entry hosts in the log up to
// date with the hosts that run.
package membership

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"flamingodoor.example/flamingodoor"
)

const (
	// GoneAfter is how long the platform's list must omit a host before the
	// host counts as gone. It covers successive reads from copies of the list
	// that differ.
	GoneAfter    = 10 * time.Second
	pollInterval = 1 * time.Second
	pollTimeout  = 2 * time.Second
	// minMissedReads is the least number of consecutive reads that did not show
	// the host before it counts as gone, so that one outdated read after a pause
	// of this process is not enough.
	minMissedReads = 5
)

// PresenceOption configures a Presence.
type PresenceOption func(*Presence)

// WithPresenceLogger sets the logger for failed reads of the list.
func WithPresenceLogger(logger log.Logger) PresenceOption {
	return func(p *Presence) { p.logger = logger }
}

// absence records since when the list has not shown a host.
type absence struct {
	joined uint64    // JoinOffset of the host at the latest read
	since  time.Time // zero while the list shows the host
	latest time.Time // latest read that did not show the host
	reads  int       // consecutive reads that did not show the host
}

// Presence tracks which members the platform's host list no longer shows.
type Presence struct {
	source flamingodoor.ConfigurationSource
	list   flamingodoor.HostList
	logger log.Logger

	mu       sync.Mutex
	absences map[string]absence
}

// NewPresence returns a Presence that counts every member as present until it
// has observed the list.
func NewPresence(
	source flamingodoor.ConfigurationSource, list flamingodoor.HostList, options ...PresenceOption,
) *Presence {
	p := &Presence{
		source:   source,
		list:     list,
		logger:   log.NewNopLogger(),
		absences: make(map[string]absence),
	}
	for _, option := range options {
		option(p)
	}
	return p
}

// Run reads the list each second until the context ends.
func (p *Presence) Run(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		p.poll(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (p *Presence) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	shown, err := p.list.Hosts(ctx)
	if err != nil {
		_ = level.Warn(p.logger).Log("event", "host_list_read_failed", "err", err)
		return
	}
	p.Observe(shown, time.Now())
}

// Observe applies one read of the list.
func (p *Presence) Observe(shown []flamingodoor.PlatformHost, now time.Time) {
	listed := make(map[string]bool, len(shown))
	for _, host := range shown {
		listed[host.ID] = true
	}
	hosts := p.source.Current().EntryHosts()
	p.mu.Lock()
	defer p.mu.Unlock()
	next := make(map[string]absence, len(hosts))
	for _, host := range hosts {
		known := p.absences[host.ID]
		// A host that joined again is a new process, so its absence starts
		// again.
		if listed[host.ID] || known.joined != host.JoinOffset {
			known = absence{joined: host.JoinOffset}
		}
		if !listed[host.ID] {
			if known.since.IsZero() {
				known.since = now
			}
			known.latest = now
			known.reads++
		}
		next[host.ID] = known
	}
	p.absences = next
}

// Gone reports whether the list has not shown the member for GoneAfter, which
// is 10 s. A host that joined again since the latest read counts as present.
func (p *Presence) Gone(hostID string, now time.Time) bool {
	return p.goneFor(hostID, now) >= 0
}

// goneFor returns how long the member has counted as gone, or a negative
// duration if it does not.
func (p *Presence) goneFor(hostID string, now time.Time) time.Duration {
	joined := uint64(0)
	for _, host := range p.source.Current().EntryHosts() {
		if host.ID == hostID {
			joined = host.JoinOffset
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	known, ok := p.absences[hostID]
	if !ok || known.joined != joined || known.reads < minMissedReads || known.latest.Sub(known.since) < GoneAfter {
		return -1
	}
	return now.Sub(known.since) - GoneAfter
}
