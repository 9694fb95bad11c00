package dispatch

import (
	"context"
	"net/http"
	"time"

	"github.com/go-kit/log/level"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/routing"
)

// call is a call of a plain service in progress.
type call struct {
	flamingodoor.ServiceCall
	idempotent bool
	search     *search
	waitUntil  time.Time
	attempts   int
	state      flamingodoor.RunState // over all tries
}

// CallService runs an idempotent call. It is tried at other endpoints after
// a failure or an answer that says the endpoint is unavailable.
func (d *Dispatcher) CallService(ctx context.Context, serviceCall flamingodoor.ServiceCall) (flamingodoor.ServiceAnswer, error) {
	return d.run(ctx, d.newCall(serviceCall, true))
}

// DispatchOnce sends a non-idempotent call to one endpoint. Another endpoint
// is tried only when the send provably sent nothing.
func (d *Dispatcher) DispatchOnce(ctx context.Context, serviceCall flamingodoor.ServiceCall) (flamingodoor.ServiceAnswer, error) {
	return d.run(ctx, d.newCall(serviceCall, false))
}

func (d *Dispatcher) newCall(serviceCall flamingodoor.ServiceCall, idempotent bool) *call {
	now := d.now()
	d.parts.RetryBudget.CountRequest(now)
	c := &call{
		ServiceCall: serviceCall, idempotent: idempotent, waitUntil: now,
		state: flamingodoor.RunStateNotRun,
		search: &search{
			find:  func(now time.Time) []routing.Candidate { return d.serviceCandidates(serviceCall.Service, now) },
			avoid: map[string]time.Time{},
		},
	}
	if d.parts.Freshness.Fresh(now) {
		c.waitUntil = now.Add(d.endpointWait)
	}
	return c
}

func (d *Dispatcher) run(ctx context.Context, c *call) (flamingodoor.ServiceAnswer, error) {
	if !c.Deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, c.Deadline)
		defer cancel()
	}
	var answer flamingodoor.ServiceAnswer
	var err error
	for {
		chosen, missing := d.acquire(ctx, c.search, c.waitUntil)
		if missing != nil {
			// The outcome of an earlier try says more than a missing endpoint.
			if c.attempts == 0 || flamingodoor.CodeOf(missing) != flamingodoor.CodeNoEndpoint {
				answer, err = flamingodoor.ServiceAnswer{}, missing
			}
			break
		}
		if !d.maySend(c.search, chosen) {
			d.releasePermit(ctx, chosen)
			c.search.avoid[chosen.Leader.ID] = d.now().Add(firstSearchWait)
			continue
		}
		c.attempts++
		answer, err = d.tryCall(ctx, chosen, c)
		if !c.repeatable(answer, err) || ctx.Err() != nil || c.attempts >= d.maxAttempts || !d.parts.RetryBudget.TryRetry(d.now()) {
			break
		}
		c.search.avoid[chosen.Leader.ID] = d.now().Add(d.avoidTime)
	}
	if err != nil {
		return flamingodoor.ServiceAnswer{}, flamingodoor.NewError(flamingodoor.CodeOf(err), c.state, err)
	}
	return answer, nil
}

// repeatable reports whether another try is of use and does no harm.
func (c *call) repeatable(answer flamingodoor.ServiceAnswer, err error) bool {
	if c.idempotent {
		return err != nil || unavailable(answer.Status)
	}
	return err != nil && flamingodoor.RunStateOf(err) == flamingodoor.RunStateNotRun
}

func (d *Dispatcher) tryCall(parent context.Context, t target, c *call) (flamingodoor.ServiceAnswer, error) {
	ctx := parent
	if c.idempotent {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(parent, d.serviceTryTimeout)
		defer cancel()
	}
	d.loads.add(t.Leader.ID, d.now(), 1)
	answer, err := d.parts.Service.Call(ctx, t.Leader, c.ServiceCall)
	d.loads.add(t.Leader.ID, d.now(), -1)
	if err == nil {
		c.state = flamingodoor.RunStateRan
		d.releasePermit(parent, t)
		return answer, nil
	}
	c.state = max(c.state, flamingodoor.RunStateOf(err))
	if flamingodoor.RunStateOf(err) == flamingodoor.RunStateNotRun {
		d.releasePermit(parent, t)
	} else {
		t.abandonPermit()
	}
	_ = level.Warn(d.parts.Logger).Log("event", "call_failed", "request_id", c.RequestID, "service", c.Service,
		"endpoint", t.Leader.ID, "run_state", flamingodoor.RunStateOf(err), "err", err)
	// A slow call does not show that its endpoint failed.
	if parent.Err() == nil && flamingodoor.CodeOf(err) == flamingodoor.CodeEndpointFailed {
		d.parts.HealthRecorder.Suspect(t.Leader.ID, d.now())
	}
	return answer, err
}

func unavailable(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	default:
		return false
	}
}
