// Package balance tracks the work in flight at each instance, of this entry
// host and of the others, and chooses where the next request goes.
package balance

import (
	"maps"
	"math/rand/v2"
	"sync"
	"time"
)

// peerUseTime is how long the uses of a peer count without news: longer than
// the exchange takes to reach each of 75 hosts in turn.
const peerUseTime = 3 * time.Second

// Candidate is an instance that may take a request.
type Candidate struct {
	ID       string
	Capacity int     // requests at once
	Own      int     // of this host at most
	Speed    float64 // relative to the nominal speed
	Local    bool    // in this host's data centre
}

// Tracker is safe for concurrent use.
type Tracker struct {
	mu      sync.Mutex
	own     map[string]int
	peers   map[string]peerUse   // by host
	total   map[string]int       // of all peers
	refused map[string]time.Time // until when an instance gets nothing
	changed chan struct{}
	random  func() float64
}

// Option changes a setting of a Tracker.
type Option func(*Tracker)

// WithRandom sets the numbers from 0 to 1 that spread requests.
func WithRandom(random func() float64) Option {
	return func(t *Tracker) { t.random = random }
}

type peerUse struct {
	uses     map[string]int
	deadline time.Time
}

// New returns a tracker without work.
func New(options ...Option) *Tracker {
	t := &Tracker{
		own: make(map[string]int), peers: make(map[string]peerUse), total: make(map[string]int),
		refused: make(map[string]time.Time), changed: make(chan struct{}),
		random: rand.Float64,
	}
	for _, option := range options {
		option(t)
	}
	return t
}

// Pick reserves a place at one of the freest candidates, and prefers those of
// this data centre if they are about as free. Without room it returns false.
//
// The uses of other hosts are a moment old. If each host took the freest
// candidate, all would send there until the news had spread, and then to the
// next. `unseen` estimates the requests of that moment: candidates are chosen
// as if so many requests levelled the loads (water-filling).
func (t *Tracker) Pick(candidates []Candidate, unseen float64, now time.Time) (string, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	open := make([]loaded, 0, len(candidates))
	for _, candidate := range candidates {
		used := t.own[candidate.ID] + t.total[candidate.ID]
		if used < candidate.Capacity && t.own[candidate.ID] < candidate.Own && !now.Before(t.refused[candidate.ID]) {
			open = append(open, loadOf(candidate, used))
		}
	}
	if len(open) == 0 {
		return "", false
	}
	id := leastLoaded(open, t.random)
	if unseen >= 1 {
		id = waterFill(open, unseen, t.random)
	}
	t.own[id]++
	return id, true
}

// Refuse keeps new work off an instance that turned a request away until the
// deadline.
func (t *Tracker) Refuse(id string, deadline, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.refused, func(_ string, until time.Time) bool { return !now.Before(until) })
	t.refused[id] = deadline
}

// Release frees a place.
func (t *Tracker) Release(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.own[id]--
	if t.own[id] <= 0 {
		delete(t.own, id)
	}
	t.wake()
}

// Changed returns a channel that is closed when places may have become free.
func (t *Tracker) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// Wake makes waiting requests look again, after instances changed.
func (t *Tracker) Wake() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.wake()
}

func (t *Tracker) wake() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// Own returns a copy of this host's uses.
func (t *Tracker) Own() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	uses := make(map[string]int, len(t.own))
	for id, used := range t.own {
		uses[id] = used
	}
	return uses
}

// InFlight returns the work in flight of all hosts at an instance.
func (t *Tracker) InFlight(id string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.own[id] + t.total[id]
}

// SetPeer replaces the uses of a peer.
func (t *Tracker) SetPeer(hostID string, uses map[string]int, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.peers[hostID] = peerUse{uses: uses, deadline: now.Add(peerUseTime)}
	t.sum(now)
	t.wake()
}

// DropPeer forgets a peer that stopped.
func (t *Tracker) DropPeer(hostID string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.peers, hostID)
	t.sum(now)
	t.wake()
}

func (t *Tracker) sum(now time.Time) {
	clear(t.total)
	for host, peer := range t.peers {
		if now.After(peer.deadline) {
			delete(t.peers, host)
			continue
		}
		for id, used := range peer.uses {
			t.total[id] += used
		}
	}
}
