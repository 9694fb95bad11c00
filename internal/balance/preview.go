package balance

import (
	"cmp"
	"slices"
	"time"
)

// Room is whether an instance takes one more request of this host.
type Room int

// Rooms.
const (
	RoomFree       Room = iota
	RoomAtCapacity      // all hosts together use the capacity
	RoomAtOwnLimit      // this host uses its part
	RoomPaused          // the instance has refused a request
)

//go:generate go tool -modfile=../../tools/go.mod enumer -type=Room -transform=snake -trimprefix=Room -output=room_enumer.go

// Prospect is what Pick knows of a candidate.
type Prospect struct {
	Room        Room
	PausedUntil time.Time // zero if it is not paused
	Own         int       // requests in flight of this host
	Others      int       // requests in flight of the other hosts
	Load        float64   // compared with those of the other candidates
	Predicted   time.Duration
	MayPick     bool // Pick may return it, depending on its random numbers
}

// Preview returns a prospect for each candidate and the index of the one that Pick would
// most likely return, or -1 if none has a free slot. It reserves nothing.
func (t *Tracker) Preview(candidates []Candidate, unreported float64, now time.Time) (prospects []Prospect, likeliest int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	prospects = make([]Prospect, 0, len(candidates))
	available := make([]candidateLoad, 0, len(candidates))
	for _, candidate := range candidates {
		load := t.loadAt(candidate, now)
		prospect := Prospect{
			Room: t.roomAt(&candidate, now), Own: t.own[candidate.ID], Others: t.peerTotals[candidate.ID], Load: load.load,
		}
		if paused := t.pausedUntil[candidate.ID]; now.Before(paused) {
			prospect.PausedUntil = paused
		}
		if candidate.Timing != nil {
			prompts := max(0, t.promptsUntil[candidate.ID].Sub(now))
			prospect.Predicted = candidate.RoundTrip + candidate.Timing.firstEvent(prospect.Own, prospect.Others, prompts, speedOf(candidate))
		}
		if prospect.Room == RoomFree {
			available = append(available, load)
		}
		prospects = append(prospects, prospect)
	}
	if len(available) == 0 {
		return prospects, -1
	}
	pickable, picked := pickable(available, unreported)
	for i := range candidates {
		prospects[i].MayPick = slices.Contains(pickable, candidates[i].ID)
	}
	return prospects, slices.IndexFunc(candidates, func(candidate Candidate) bool { return candidate.ID == picked })
}

// pickable returns the candidates that leastLoaded or waterFill may select, and the
// likeliest one.
func pickable(available []candidateLoad, unreported float64) (ids []string, likeliest string) {
	if unreported >= 1 {
		slices.SortFunc(available, func(a, b candidateLoad) int { return cmp.Compare(a.load, b.load) })
		level, reached := waterLevel(available, unreported)
		most := 0.0
		for _, candidate := range available[:reached] {
			ids = append(ids, candidate.id)
			if part := (level - candidate.load) * candidate.capacity; part > most || likeliest == "" {
				most, likeliest = part, candidate.id
			}
		}
		return ids, likeliest
	}
	best := leastLoaded(available, func() float64 { return 0 })
	for _, candidate := range available {
		if candidate.load+1/candidate.capacity < best.load+1/best.capacity+jitter {
			ids = append(ids, candidate.id)
		}
	}
	return ids, best.id
}
