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
}

type peerUse struct {
	uses     map[string]int
	deadline time.Time
}

// New returns a tracker without work.
func New() *Tracker {
	return &Tracker{
		own: make(map[string]int), peers: make(map[string]peerUse), total: make(map[string]int),
		refused: make(map[string]time.Time), changed: make(chan struct{}),
	}
}

// Pick reserves a place at the candidate with the most room, and prefers one
// of this data centre if it is about as free. Without room it returns false.
func (t *Tracker) Pick(candidates []Candidate, now time.Time) (string, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	best, bestScore := -1, 0.0
	for i, candidate := range candidates {
		used := t.own[candidate.ID] + t.total[candidate.ID]
		if used >= candidate.Capacity || t.own[candidate.ID] >= candidate.Own || now.Before(t.refused[candidate.ID]) {
			continue
		}
		score := t.score(candidate, used)
		if best < 0 || score < bestScore {
			best, bestScore = i, score
		}
	}
	if best < 0 {
		return "", false
	}
	id := candidates[best].ID
	t.own[id]++
	return id, true
}

// Weights of the score, in parts of an instance's capacity.
const (
	// remoteCost makes a request cross to another data centre only for a
	// clearly freer instance.
	remoteCost = 0.2
	// jitter spreads hosts that see the same uses.
	jitter = 0.06
)

func (t *Tracker) score(candidate Candidate, used int) float64 {
	speed := candidate.Speed
	if speed <= 0 {
		speed = 1
	}
	score := float64(used+1)/float64(candidate.Capacity)/speed + jitter*rand.Float64() //nolint:gosec // spreading only
	if !candidate.Local {
		score += remoteCost
	}
	return score
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
