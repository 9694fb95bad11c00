package proxy

import (
	"context"
	"sync"

	"flamingodoor.example/flamingodoor"
)

// errUnreached is the cause of attempts that end because this host has lost its
// paths to all instances.
var errUnreached = flamingodoor.Errorf(flamingodoor.CodeEndpointFailed, "this host reaches no instance")

// running is a list of what can be cancelled. It is safe for concurrent use.
type running struct {
	mu    sync.Mutex
	first *runningEntry
	ended error // the cause with which later entries are cancelled at once
}

// runningEntry is what the list holds. One is part of each job, so that adding it
// allocates nothing.
type runningEntry struct {
	previous, next *runningEntry
	cancel         context.CancelCauseFunc // nil if the entry is in no list
}

func (r *running) add(entry *runningEntry, cancel context.CancelCauseFunc) {
	r.mu.Lock()
	defer r.mu.Unlock()
	entry.cancel, entry.previous, entry.next = cancel, nil, r.first
	if r.first != nil {
		r.first.previous = entry
	}
	r.first = entry
	if r.ended != nil {
		cancel(r.ended)
	}
}

// remove takes an entry off the list if it is in it.
func (r *running) remove(entry *runningEntry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if entry.cancel == nil {
		return
	}
	if entry.previous != nil {
		entry.previous.next = entry.next
	} else {
		r.first = entry.next
	}
	if entry.next != nil {
		entry.next.previous = entry.previous
	}
	*entry = runningEntry{}
}

// cancelAll cancels all entries with the cause.
func (r *running) cancelAll(cause error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for entry := r.first; entry != nil; entry = entry.next {
		entry.cancel(cause)
	}
}

// end cancels all entries, and those that are added later, with the cause.
func (r *running) end(cause error) {
	r.mu.Lock()
	r.ended = cause
	r.mu.Unlock()
	r.cancelAll(cause)
}

// EndUnreached ends the attempts at instances that have no response yet and may be
// repeated, and suspects the streams that may be resumed, so that they go through a
// peer, if there is one. It is called when this host has lost its paths to all instances:
// none of the streams has had an event since.
func (p *Proxy) EndUnreached() {
	if p.peers.HasPeer(p.now()) {
		p.unanswered.cancelAll(errUnreached)
	}
	p.tracker.Wake()
}

// awaitResponse lets EndUnreached end or suspect an attempt of a job that may be
// repeated.
func (p *Proxy) awaitResponse(j *job, cancel context.CancelCauseFunc) {
	p.unanswered.add(&j.unanswered, cancel)
	if p.paths.Stranded() && p.peers.HasPeer(p.now()) {
		cancel(errUnreached)
	}
}
