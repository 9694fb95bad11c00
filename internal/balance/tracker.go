// Package balance tracks the requests that this entry host and the others have in
// flight at each instance, and selects the instance for the next request.
package balance

import (
	"maps"
	"math/rand/v2"
	"sync"
	"time"
)

// peerReportTTL is how long the report of a peer counts. It is longer than the
// exchange takes to reach each of 75 hosts in turn.
const peerReportTTL = 3 * time.Second

// Candidate is an instance that can take a request.
type Candidate struct {
	ID        string
	Capacity  int           // limit of requests in flight, of all hosts
	OwnLimit  int           // limit of requests in flight, of this host
	Speed     float64       // relative to the nominal speed; 0 means nominal
	Local     bool          // in this host's data centre
	RoundTrip time.Duration // to the instance; 0 if it is not known
	Timing    *Timing       // of the request; nil for services without declared times
}

// Tracker counts the requests in flight at each instance. It is safe for
// concurrent use.
type Tracker struct {
	mu          sync.Mutex
	own         map[string]int        // requests in flight of this host, by instance
	peers       map[string]peerReport // by host
	peerTotals  map[string]int        // requests in flight of all peers, by instance
	pausedUntil map[string]time.Time  // until when Pick skips an instance
	// promptsUntil is when the prompts of this host are expected to be processed, by
	// instance.
	promptsUntil map[string]time.Time
	changed      chan struct{}
	random       func() float64
}

// Option changes a setting of a Tracker.
type Option func(*Tracker)

// WithRandom replaces the source of the random numbers from 0 to 1 that spread
// requests.
func WithRandom(random func() float64) Option {
	return func(t *Tracker) { t.random = random }
}

// peerReport holds the requests that a peer has in flight at each instance.
type peerReport struct {
	inFlight map[string]int
	deadline time.Time
}

// New returns a tracker without requests in flight.
func New(options ...Option) *Tracker {
	t := &Tracker{
		own: make(map[string]int), peers: make(map[string]peerReport), peerTotals: make(map[string]int),
		pausedUntil: make(map[string]time.Time), promptsUntil: make(map[string]time.Time), changed: make(chan struct{}),
		random: rand.Float64,
	}
	for _, option := range options {
		option(t)
	}
	return t
}

// Pick reserves a slot at one of the least loaded candidates and returns its
// identifier. It prefers candidates in this data centre if their load is about as
// low. It returns false if no candidate has a free slot.
//
// Peers report their requests in flight with a delay. If each host selected the
// least loaded candidate, all hosts would send there until the reports arrived,
// and then to the next one. `unreported` estimates the requests that are missing
// from the reports: Pick draws a candidate as if these requests were distributed
// to level the loads (water-filling).
func (t *Tracker) Pick(candidates []Candidate, unreported float64, now time.Time) (string, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	available := make([]candidateLoad, 0, len(candidates))
	for _, candidate := range candidates {
		if t.roomAt(&candidate, now) == RoomFree {
			available = append(available, t.loadAt(candidate, now))
		}
	}
	if len(available) == 0 {
		return "", false
	}
	picked := leastLoaded(available, t.random)
	if unreported >= 1 {
		picked = waterFill(available, unreported, t.random)
	}
	t.own[picked.id]++
	if picked.prompt > 0 {
		until := later(now, t.promptsUntil[picked.id]).Add(picked.prompt)
		if longest := now.Add(maxPromptWait); until.After(longest) {
			until = longest
		}
		t.promptsUntil[picked.id] = until
	}
	return picked.id, true
}

// roomAt reports whether an instance takes one more request. The caller holds the mutex.
func (t *Tracker) roomAt(candidate *Candidate, now time.Time) Room {
	own, others := t.own[candidate.ID], t.peerTotals[candidate.ID]
	switch {
	case own+others >= candidate.Capacity:
		return RoomAtCapacity
	case own >= candidate.OwnLimit:
		return RoomAtOwnLimit
	case now.Before(t.pausedUntil[candidate.ID]):
		return RoomPaused
	default:
		return RoomFree
	}
}

// loadAt returns the load of a candidate. The caller holds the mutex.
func (t *Tracker) loadAt(candidate Candidate, now time.Time) candidateLoad {
	return loadOf(candidate, t.own[candidate.ID], t.peerTotals[candidate.ID], max(0, t.promptsUntil[candidate.ID].Sub(now)))
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// PauseUntil makes Pick skip an instance, which has refused a request, until the
// deadline.
func (t *Tracker) PauseUntil(id string, deadline, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.pausedUntil, func(_ string, until time.Time) bool { return !now.Before(until) })
	t.pausedUntil[id] = deadline
}

// Release frees a slot that Pick reserved.
func (t *Tracker) Release(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.own[id]--
	if t.own[id] <= 0 {
		delete(t.own, id)
		delete(t.promptsUntil, id)
	}
	t.wakeWaiters()
}

// Changed returns a channel that is closed when slots may have become free.
func (t *Tracker) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// Wake closes the channel that Changed returned, so that waiting requests try
// again. It is called when instances have changed or a pause has ended.
func (t *Tracker) Wake() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.wakeWaiters()
}

func (t *Tracker) wakeWaiters() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// Use returns the requests in flight at the candidates, of this host and of all hosts, and
// their capacity.
func (t *Tracker) Use(candidates []Candidate) (own, all, capacity int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, candidate := range candidates {
		own += t.own[candidate.ID]
		all += t.own[candidate.ID] + t.peerTotals[candidate.ID]
		capacity += candidate.Capacity
	}
	return own, all, capacity
}

// OwnInFlight returns the requests in flight of this host, by instance.
func (t *Tracker) OwnInFlight() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	inFlight := make(map[string]int, len(t.own))
	for id, count := range t.own {
		inFlight[id] = count
	}
	return inFlight
}

// InFlight returns the requests in flight of all hosts at an instance.
func (t *Tracker) InFlight(id string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.own[id] + t.peerTotals[id]
}

// SetPeerInFlight replaces the requests in flight of a peer, by instance.
func (t *Tracker) SetPeerInFlight(hostID string, inFlight map[string]int, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.peers[hostID] = peerReport{inFlight: inFlight, deadline: now.Add(peerReportTTL)}
	t.sumPeers(now)
	t.wakeWaiters()
}

// DropPeer deletes the requests in flight of a peer that stopped.
func (t *Tracker) DropPeer(hostID string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.peers, hostID)
	t.sumPeers(now)
	t.wakeWaiters()
}

// sumPeers recomputes the totals of all peers and deletes expired reports.
func (t *Tracker) sumPeers(now time.Time) {
	clear(t.peerTotals)
	for host, peer := range t.peers {
		if now.After(peer.deadline) {
			delete(t.peers, host)
			continue
		}
		for id, count := range peer.inFlight {
			t.peerTotals[id] += count
		}
	}
}
