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
		if err == nil && j.placed.IsZero() {
			j.placed = r.now()
		}
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
	found := r.choices(j, r.roster.View(), now)
	if len(found.candidates) == 0 {
		if found.limited {
			return place{}, errFull
		}
		return place{}, errNoInstance
	}
	id, ok := r.tracker.Pick(found.candidates, r.unseen(j, now), now)
	if !ok {
		return place{}, errFull
	}
	chosen := found.places[id]
	if !r.cold.Take(chosen.instance, j.service.ColdRate, now) {
		r.tracker.Release(id)
		return place{}, errFull
	}
	return chosen, nil
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

// choices are the instances that may get a job.
type choices struct {
	candidates []balance.Candidate
	places     map[string]place
	limited    bool // a cold instance is left out that bears no more requests now
}

func (r *Relay) choices(j *job, view *roster.View, now time.Time) choices {
	found := choices{places: make(map[string]place)}
	if j.service.Engine != nil {
		r.addGroups(&found, j, view, now)
	} else {
		r.addPlain(&found, j, view, now)
	}
	return found
}

func (r *Relay) addGroups(found *choices, j *job, view *roster.View, now time.Time) {
	size := 0
	for _, model := range j.service.Engine.Models {
		if model.ID == j.model {
			size = model.InstancesPerGroup
		}
	}
	for _, group := range view.Groups {
		if group.Service == j.service.Name && group.ModelID == j.model && view.Serving(group, size, now) {
			r.addChoice(found, j, place{instance: group.Head().Instance, group: group}, now)
		}
	}
}

func (r *Relay) addPlain(found *choices, j *job, view *roster.View, now time.Time) {
	for _, entry := range view.ByService[j.service.Name] {
		if !entry.Leaving && !view.Lost(entry.Instance, now) {
			r.addChoice(found, j, place{instance: entry.Instance}, now)
		}
	}
}

// addChoice adds an instance unless the job or the moment rules it out.
func (r *Relay) addChoice(found *choices, j *job, at place, now time.Time) {
	instance := at.instance
	if j.avoid[instance.ID] || r.book.Evacuated(instance.DataCentre) {
		return
	}
	if !r.cold.HasRoom(instance, j.service.ColdRate, now) {
		found.limited = true
		return
	}
	capacity := instance.Slots
	if at.group != nil {
		capacity = j.capacity(instance.Slots)
	}
	found.places[instance.ID] = at
	found.candidates = append(found.candidates, balance.Candidate{
		ID: instance.ID, Capacity: capacity, Own: r.ownLimit(at, capacity, now), Speed: r.monitor.Speed(instance.ID), Local: instance.DataCentre == r.local,
	})
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

// ownLimit bounds this host's requests at a group that opened a moment ago to
// its part of the places: the other hosts find it empty as well, and what they
// send is known only later. Other places have no such bound.
func (r *Relay) ownLimit(at place, capacity int, now time.Time) int {
	if at.group == nil || !r.divider.Known() || now.Sub(at.group.OpenSince) >= time.Duration(r.spread.Load()) {
		return capacity
	}
	return r.divider.Part(at.instance.ID, capacity)
}

// unseen estimates how many requests the other hosts have sent since the uses
// that this one knows of: news is half as old as it gets.
func (r *Relay) unseen(j *job, now time.Time) float64 {
	age := time.Duration(r.spread.Load()) / 2
	return r.arrivals.perSecond(j.key(), now) * float64(r.hosts.Load()) * age.Seconds()
}
