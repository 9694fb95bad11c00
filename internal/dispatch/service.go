package dispatch

import (
	"context"
	"net/http"
	"time"

	"github.com/go-kit/log/level"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/routing"
)

// call is the state of one call to a plain service.
type call struct {
	flamingodoor.ServiceCall
	idempotent bool
	search     *search
	waitUntil  time.Time
	attempts   int
	runState   flamingodoor.RunState // over all attempts
}

// CallService runs an idempotent call. After a failure, or a response with an
// HTTP status of an unavailable endpoint, it tries other endpoints.
func (d *Dispatcher) CallService(ctx context.Context, serviceCall flamingodoor.ServiceCall) (flamingodoor.ServiceAnswer, error) {
	return d.run(ctx, d.newCall(serviceCall, true))
}

// DispatchOnce sends a non-idempotent call to one endpoint. It tries another
// endpoint only if it is certain that nothing was sent.
func (d *Dispatcher) DispatchOnce(ctx context.Context, serviceCall flamingodoor.ServiceCall) (flamingodoor.ServiceAnswer, error) {
	return d.run(ctx, d.newCall(serviceCall, false))
}

func (d *Dispatcher) newCall(serviceCall flamingodoor.ServiceCall, idempotent bool) *call {
	now := d.now()
	d.parts.RetryBudget.CountRequest(now)
	c := &call{
		ServiceCall: serviceCall, idempotent: idempotent, waitUntil: now,
		runState: flamingodoor.RunStateNotRun,
		search: &search{
			listCandidates: func(now time.Time) []routing.Candidate { return d.serviceCandidates(serviceCall.Service, now) },
			avoidUntil:     map[string]time.Time{},
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
		chosen, acquireErr := d.acquireTarget(ctx, c.search, c.waitUntil)
		if acquireErr != nil {
			// The outcome of an earlier attempt is more useful to the caller
			// than CodeNoEndpoint.
			if c.attempts == 0 || flamingodoor.CodeOf(acquireErr) != flamingodoor.CodeNoEndpoint {
				answer, err = flamingodoor.ServiceAnswer{}, acquireErr
			}
			break
		}
		if !d.maySend(c.search, chosen) {
			d.releasePermit(ctx, chosen)
			c.search.avoidUntil[chosen.Endpoint.ID] = d.now().Add(firstSearchWait)
			continue
		}
		c.attempts++
		answer, err = d.sendCall(ctx, chosen, c)
		if !c.retryable(answer, err) || ctx.Err() != nil || c.attempts >= d.maxAttempts || !d.parts.RetryBudget.TryRetry(d.now()) {
			break
		}
		c.search.avoidUntil[chosen.Endpoint.ID] = d.now().Add(d.avoidTime)
	}
	if err != nil {
		return flamingodoor.ServiceAnswer{}, flamingodoor.NewError(flamingodoor.CodeOf(err), c.runState, err)
	}
	return answer, nil
}

// retryable reports whether another attempt may succeed and cannot run a
// non-idempotent call twice.
func (c *call) retryable(answer flamingodoor.ServiceAnswer, err error) bool {
	if c.idempotent {
		return err != nil || unavailable(answer.Status)
	}
	return err != nil && flamingodoor.RunStateOf(err) == flamingodoor.RunStateNotRun
}

func (d *Dispatcher) sendCall(parent context.Context, t target, c *call) (flamingodoor.ServiceAnswer, error) {
	ctx := parent
	if c.idempotent {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(parent, d.serviceAttemptTimeout)
		defer cancel()
	}
	d.loads.add(t.Endpoint.ID, d.now(), 1)
	answer, err := d.parts.Service.Call(ctx, t.Endpoint, c.ServiceCall)
	d.loads.add(t.Endpoint.ID, d.now(), -1)
	if err == nil {
		c.runState = flamingodoor.RunStateRan
		d.releasePermit(parent, t)
		return answer, nil
	}
	c.runState = max(c.runState, flamingodoor.RunStateOf(err))
	if flamingodoor.RunStateOf(err) == flamingodoor.RunStateNotRun {
		d.releasePermit(parent, t)
	} else {
		t.abandonPermit()
	}
	_ = level.Warn(d.parts.Logger).Log("event", "call_failed", "request_id", c.RequestID, "service", c.Service,
		"endpoint", t.Endpoint.ID, "run_state", flamingodoor.RunStateOf(err), "err", err)
	// A timeout alone does not show that the endpoint failed.
	if parent.Err() == nil && flamingodoor.CodeOf(err) == flamingodoor.CodeEndpointFailed {
		d.parts.HealthRecorder.Invalidate(t.Endpoint.ID, d.now())
	}
	return answer, err
}

// unavailable reports whether a status means that another endpoint may serve
// the call.
func unavailable(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	default:
		return false
	}
}
