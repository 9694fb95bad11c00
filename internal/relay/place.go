package relay

import (
	"context"
	"errors"
	"sync"
	"time"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/balance"
	"flamingodoor.example/flamingodoor/internal/roster"
	"flamingodoor.example/flamingodoor/internal/upstream"
)

// retrySoon is when a caller may come back after a refusal for a reason that
// passes in a moment.
const retrySoon = 300 * time.Millisecond

// A refused caller is asked to come back within these parts of the time that
// it has left: late enough for groups to form, and spread so that the callers
// of one moment do not meet again. Callers wait a third at most.
const (
	earliestReturn = 0.2
	latestReturn   = 0.33
)

// returnAfter chooses when the caller of a refused job comes back.
func (r *Relay) returnAfter(j *job) time.Duration {
	left := max(0, j.deadline.Sub(r.now()))
	return time.Duration((earliestReturn + r.random()*(latestReturn-earliestReturn)) * float64(left))
}

// place is an instance at which the job holds room.
type place struct {
	instance flamingodoor.Instance
	group    *roster.Group // nil for a plain service
}

func (p place) target() upstream.Target {
	return upstream.Target{InstanceID: p.instance.ID, Address: p.instance.Address}
}

// Reasons for which there is no place.
var (
	errNoInstance = flamingodoor.Errorf(flamingodoor.CodeNoEndpoint, "no instance serves this")
	errFull       = flamingodoor.Errorf(flamingodoor.CodeOverloaded, "all instances are full")
)

// acquire finds a place, waiting until the job may wait no longer.
func (r *Relay) acquire(ctx context.Context, j *job, until time.Time) (place, error) {
	timer := time.NewTimer(max(0, until.Sub(r.now())))
	defer timer.Stop()
	if !j.returning {
		defer r.waiting.enter(j)()
	}
	for {
		changed := r.tracker.Changed()
		found, err := r.tryAcquire(j)
		if err == nil || errors.Is(err, errNoInstance) {
			return found, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return place{}, err
		case <-ctx.Done():
			return place{}, ctx.Err()
		}
	}
}

func (r *Relay) tryAcquire(j *job) (place, error) {
	if j.returning && r.waiting.any(j) {
		// A place serves a caller better that can still be answered in time.
		return place{}, errFull
	}
	now := r.now()
	view := r.roster.View()
	var places map[string]place
	var candidates []balance.Candidate
	if j.service.Engine != nil {
		candidates, places = r.groupCandidates(j, view, now)
	} else {
		candidates, places = r.plainCandidates(j, view, now)
	}
	if len(candidates) == 0 {
		return place{}, errNoInstance
	}
	id, ok := r.tracker.Pick(candidates)
	if !ok {
		return place{}, errFull
	}
	found := places[id]
	if !r.cold.allow(found.instance, r.coldShare(j.service), now) {
		r.tracker.Release(id)
		return place{}, errFull
	}
	return found, nil
}

// waitingRoom counts the first attempts that wait for a place.
type waitingRoom struct {
	mu     sync.Mutex
	counts map[waitingFor]int
}

type waitingFor struct {
	service string
	model   string
}

func newWaitingRoom() *waitingRoom {
	return &waitingRoom{counts: make(map[waitingFor]int)}
}

// enter counts the job until the returned function is called.
func (w *waitingRoom) enter(j *job) (leave func()) {
	key := waitingFor{service: j.service.Name, model: j.model}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.counts[key]++
	return func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.counts[key]--; w.counts[key] == 0 {
			delete(w.counts, key)
		}
	}
}

func (w *waitingRoom) any(j *job) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.counts[waitingFor{service: j.service.Name, model: j.model}] > 0
}

func (r *Relay) groupCandidates(j *job, view *roster.View, now time.Time) ([]balance.Candidate, map[string]place) {
	size := 0
	for _, model := range j.service.Engine.Models {
		if model.ID == j.model {
			size = model.Size
		}
	}
	places := make(map[string]place)
	var candidates []balance.Candidate
	for _, group := range view.Groups {
		if group.Service != j.service.Name || group.ModelID != j.model || !view.Serving(group, size, now) {
			continue
		}
		head := group.Head()
		if j.avoid[head.ID] || r.book.Evacuated(group.DataCentre) {
			continue
		}
		places[head.ID] = place{instance: head.Instance, group: group}
		candidates = append(candidates, balance.Candidate{
			ID: head.ID, Capacity: j.capacity(head.Slots), Speed: r.monitor.Speed(head.ID), Local: group.DataCentre == r.local,
		})
	}
	return candidates, places
}

// resumeReserve of a group's slots, one in so many, is room beyond them for
// streams that go on from another group: the engine queues them first, and
// breaking one off wastes what its caller has.
const resumeReserve = 4

func (j *job) capacity(slots int) int {
	if j.begun {
		return slots + slots/resumeReserve
	}
	return slots
}

func (r *Relay) plainCandidates(j *job, view *roster.View, now time.Time) ([]balance.Candidate, map[string]place) {
	places := make(map[string]place)
	var candidates []balance.Candidate
	for _, entry := range view.ByService[j.service.Name] {
		if entry.Leaving || j.avoid[entry.ID] || r.book.Evacuated(entry.DataCentre) || view.Lost(entry.Instance, now) {
			continue
		}
		places[entry.ID] = place{instance: entry.Instance}
		candidates = append(candidates, balance.Candidate{
			ID: entry.ID, Capacity: entry.Slots, Speed: r.monitor.Speed(entry.ID), Local: entry.DataCentre == r.local,
		})
	}
	return candidates, places
}

func (r *Relay) coldShare(service flamingodoor.ServiceSpec) int {
	if service.ColdRate <= 0 {
		return 0
	}
	return max(1, int(service.ColdRate/float64(r.hosts.Load())))
}

// coldLimiter bounds the requests a second to each cold instance.
type coldLimiter struct {
	mu    sync.Mutex
	sends map[string][]time.Time
}

func newColdLimiter() *coldLimiter {
	return &coldLimiter{sends: make(map[string][]time.Time)}
}

// allow takes one of `share` requests a second; a share of 0 has no limit.
func (c *coldLimiter) allow(instance flamingodoor.Instance, share int, now time.Time) bool {
	if share == 0 || !now.Before(instance.ColdUntil) {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	recent := c.sends[instance.ID][:0]
	for _, sent := range c.sends[instance.ID] {
		if now.Sub(sent) < time.Second {
			recent = append(recent, sent)
		}
	}
	allowed := len(recent) < share
	if allowed {
		recent = append(recent, now)
	}
	c.sends[instance.ID] = recent
	return allowed
}
