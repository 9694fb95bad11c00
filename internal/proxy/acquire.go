package proxy

import (
	"context"
	"errors"
	"time"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/roster"
	"flamingodoor.example/flamingodoor/internal/upstream"
)

// shortRetryAfter is the Retry-After of refusals whose cause is expected to pass
// soon.
const shortRetryAfter = 300 * time.Millisecond

// minRetryAfterShare and maxRetryAfterShare bound the random share of the caller's
// remaining time that Retry-After is set to. The lower bound gives groups time to
// form, and the random spread keeps callers refused at the same moment from
// retrying at the same moment. Callers wait at most a third of their remaining
// time.
const (
	minRetryAfterShare = 0.2
	maxRetryAfterShare = 0.33
	// minRetrySpreadShare is the least part of the remaining time over which Retry-After
	// is spread, however late a slot is expected.
	minRetrySpreadShare = 0.05
)

// retryAfter returns the Retry-After of a refused job: when its queue is expected to have a
// slot for it, within the limits above, and spread at random.
func (p *Proxy) retryAfter(j *job) time.Duration {
	return p.retryAfterAt(j, p.now(), p.random())
}

// retryAfterAt returns the Retry-After of a job that is refused at the given time. `random`
// is a number from 0 to 1.
func (p *Proxy) retryAfterAt(j *job, now time.Time, random float64) time.Duration {
	left := max(0, j.deadline.Sub(now))
	least, most := time.Duration(minRetryAfterShare*float64(left)), time.Duration(maxRetryAfterShare*float64(left))
	if turn, known := p.expectedTurn(j, now); known {
		latest := most - time.Duration(minRetrySpreadShare*float64(left))
		least = min(max(least, turn.Sub(now)), latest)
	}
	return p.retryAfterHeld(j, least+time.Duration(random*float64(most-least)), now, random)
}

// retryAfterOr returns the Retry-After of a refused job if all its instances asked
// for no requests or no more from this host: when the first of them takes requests
// again, but not later than callers wait. Otherwise it returns the usual one.
func (p *Proxy) retryAfterOr(j *job, usual time.Duration) time.Duration {
	return p.retryAfterHeld(j, usual, p.now(), p.random())
}

func (p *Proxy) retryAfterHeld(j *job, usual time.Duration, now time.Time, random float64) time.Duration {
	roomAt, ok := p.roomAt(j, now)
	if !ok {
		return usual
	}
	left := max(0, j.deadline.Sub(now))
	// The random part spreads the retries of callers.
	spread := time.Duration(random * (maxRetryAfterShare - minRetryAfterShare) * float64(left))
	return min(roomAt.Sub(now)+spread, time.Duration(maxRetryAfterShare*float64(left)))
}

// destination is an instance that can take a job, or a peer that it is forwarded
// to.
type destination struct {
	instance flamingodoor.Instance
	group    *roster.Group           // nil for a service without an engine
	peer     *flamingodoor.EntryPeer // nil for an instance
}

// id returns the identifier of the instance or of the peer.
func (d destination) id() string {
	if d.peer != nil {
		return d.peer.ID
	}
	return d.instance.ID
}

func (d destination) target() upstream.Target {
	return upstream.Target{InstanceID: d.instance.ID, Address: d.instance.Address}
}

// Reasons why no slot is available.
var (
	errNoInstance = flamingodoor.Errorf(flamingodoor.CodeNoEndpoint, "no instance is available for the service and model")
	errNoPath     = flamingodoor.Errorf(flamingodoor.CodeNoEndpoint, "this host reaches no instance and no peer takes the request")
	errNoRetry    = flamingodoor.Errorf(flamingodoor.CodeOverloaded, "the retry budget is used up")
	errFull       = flamingodoor.Errorf(flamingodoor.CodeOverloaded, "all instances are at capacity")
)

// acquire reserves a slot at an instance. If all instances are at capacity, or other
// jobs wait already, it waits for its turn until the given time or the end of the context;
// if there is no instance it fails at once. If this host reaches none, it returns a peer.
func (p *Proxy) acquire(ctx context.Context, j *job, until time.Time) (destination, error) {
	q := p.queueOf(j)
	dest, err := destination{}, error(errFull)
	if q.waiting.Load() == 0 || p.skipsQueue(j) {
		j.yields = j.callerRetry && !j.responseStarted
		if dest, _, err = p.tryUnblocked(j); err == nil && dest.peer == nil {
			q.countServed(j, p.now())
		}
	} else {
		p.countArrival(j)
	}
	if err != nil && !mustNotWait(err, j.holdLimit(until, p.now())) {
		dest, err = q.wait(ctx, j, until, err)
	}
	if err == nil && j.placedAt.IsZero() {
		j.placedAt = p.now()
	}
	return dest, err
}

// tryUnblocked reserves a slot without waiting, unless a part of the prompt is known to
// crash instances.
func (p *Proxy) tryUnblocked(j *job) (destination, time.Time, error) {
	if p.partTracker.Blocked(j.parts, p.now()) {
		return destination{}, time.Time{}, errPartBlocked
	}
	return p.tryAcquire(j)
}

// mustNotWait reports whether a job that was not placed would wait in vain.
func mustNotWait(err error, until time.Time) bool {
	return errors.Is(err, errPartBlocked) || errors.Is(err, errNoInstance) || errors.Is(err, errNoPath) || errors.Is(err, errNoRetry) || isHeldPast(err, until)
}

// isHeldPast reports whether no instance takes requests of this host before the
// given time, because all of them asked for none or no more.
func isHeldPast(err error, until time.Time) bool {
	var held *heldError
	return errors.As(err, &held) && held.until.After(until)
}

// acquireAround returns a peer for a job if this host is stranded or suspects its own
// paths. It returns neither a peer nor an error if the job is to try these paths.
func (p *Proxy) acquireAround(j *job, now time.Time) (destination, error) {
	stranded := p.paths.Stranded()
	if !stranded && !p.paths.Suspected() {
		return destination{}, nil
	}
	dest, err := p.acquirePeer(j, now)
	if err == nil || (stranded && !p.reliesOnOwnPaths(j, now)) {
		return dest, err
	}
	// All paths may be sound, and instances merely slow.
	j.declines = 0
	return destination{}, nil
}

// tryAcquire reserves a slot without waiting. If there is none, it also returns when
// the first of the instances that asked for no requests, or no more, takes one again;
// the time is zero if none asked for that.
func (p *Proxy) tryAcquire(j *job) (destination, time.Time, error) {
	now := p.now()
	if dest, err := p.acquireAround(j, now); err != nil || dest.peer != nil {
		return dest, time.Time{}, err
	}
	if !p.grantRetry(j, now) {
		return p.acquireGrant(j, now)
	}
	set := p.findUsable(j, nil, now)
	if len(set.candidates) == 0 {
		return p.acquireElsewhere(j, &set, now)
	}
	p.countArrival(j)
	room := p.divideSlots(j, &set, now)
	id, ok := "", false
	if room {
		id, ok = p.pick(j, &set, now)
	}
	if !ok {
		return p.acquireBeyondFull(j, &set, now)
	}
	chosen := set.destination(id)
	if !p.cold.Reserve(chosen.instance, j.service.ColdRate, now) || !p.allowances.Reserve(chosen.instance, now) {
		p.tracker.Release(id)
		return destination{}, set.heldUntil, errFull
	}
	return chosen, time.Time{}, nil
}
