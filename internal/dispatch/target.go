package dispatch

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/go-kit/log/level"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/routing"
)

const (
	// The wait between two searches for an endpoint grows from firstSearchWait
	// to maxSearchWait, because each search may request a permit from three
	// watchers.
	firstSearchWait = 25 * time.Millisecond
	maxSearchWait   = 400 * time.Millisecond

	maxCancelAttempts    = 4
	cancelAttemptTimeout = 2 * time.Second
	releaseTimeout       = 2 * time.Second
)

// search is the state of the search for an endpoint for one request.
type search struct {
	listCandidates func(now time.Time) []routing.Candidate
	request        routing.Request
	avoidUntil     map[string]time.Time // by endpoint ID
	// suspicion is set once the request is a suspect: it was in flight at two
	// crashes, each together with other requests, and has to run without other
	// suspects.
	suspicion *flamingodoor.Suspicion
}

// narrowForSuspect leaves at most one candidate for a suspect, chosen by its
// rank. Every host sorts the same candidates, without those that crashed, so
// that suspects of different ranks rarely share an endpoint.
func (s *search) narrowForSuspect(candidates []routing.Candidate) []routing.Candidate {
	if s.suspicion == nil {
		return candidates
	}
	candidates = slices.DeleteFunc(candidates, func(c routing.Candidate) bool {
		return slices.Contains(s.suspicion.CrashedIncarnations, c.Report.Incarnation)
	})
	if len(candidates) == 0 {
		return nil
	}
	slices.SortFunc(candidates, func(a, b routing.Candidate) int { return strings.Compare(a.Endpoint.ID, b.Endpoint.ID) })
	n := s.suspicion.Rank % len(candidates)
	return candidates[n : n+1]
}

// target is a chosen candidate, with a permit if the endpoint is cold.
type target struct {
	routing.Candidate
	permit flamingodoor.Permit
}

// groupCandidates returns the groups of a model version that may receive
// requests.
func (d *Dispatcher) groupCandidates(modelID, version string, now time.Time) []routing.Candidate {
	configuration := d.parts.Configuration.Current()
	var candidates []routing.Candidate
	for _, group := range configuration.GroupsOfModel(modelID) {
		if group.Version != version || len(group.EndpointIDs) == 0 || !d.groupEligible(configuration, group, now) {
			continue
		}
		head, _ := configuration.Endpoint(group.EndpointIDs[0])
		if candidate, ok := d.candidate(head, now); ok {
			candidate.Group = group
			candidates = append(candidates, candidate)
		}
	}
	return candidates
}

// groupEligible reports whether the group is serving and each of its endpoints
// may receive requests.
func (d *Dispatcher) groupEligible(configuration flamingodoor.Configuration, group flamingodoor.Group, now time.Time) bool {
	for _, id := range group.EndpointIDs {
		endpoint, ok := configuration.Endpoint(id)
		if !ok || !d.endpointEligible(configuration, endpoint) {
			return false
		}
		if health, ok := d.parts.Health.Endpoint(id, now); ok && health.Report.State == flamingodoor.EndpointStateLeaving {
			return false
		}
	}
	serving, _ := d.parts.Health.GroupServing(group, now)
	return serving
}

// endpointEligible reports whether the configuration and the restrictions of
// data centres allow requests to the endpoint.
func (d *Dispatcher) endpointEligible(configuration flamingodoor.Configuration, endpoint flamingodoor.Endpoint) bool {
	if endpoint.Leaving || d.parts.Freshness.Restricted(endpoint.DataCentre) {
		return false
	}
	dataCentre, ok := configuration.DataCentre(endpoint.DataCentre)
	return !ok || !dataCentre.OutOfService
}

// serviceCandidates returns the endpoints of a service that may receive
// requests.
func (d *Dispatcher) serviceCandidates(service string, now time.Time) []routing.Candidate {
	configuration := d.parts.Configuration.Current()
	var candidates []routing.Candidate
	for _, endpoint := range configuration.ServiceEndpoints(service) {
		if !d.endpointEligible(configuration, endpoint) {
			continue
		}
		if candidate, ok := d.candidate(endpoint, now); ok {
			candidates = append(candidates, candidate)
		}
	}
	return candidates
}

// candidate returns the endpoint with its latest report and this host's load,
// or false if there is no valid report or the endpoint is neither warm nor cold.
func (d *Dispatcher) candidate(endpoint flamingodoor.Endpoint, now time.Time) (routing.Candidate, bool) {
	health, ok := d.parts.Health.Endpoint(endpoint.ID, now)
	if !ok || !now.Before(health.Deadline) {
		return routing.Candidate{}, false
	}
	if state := health.Report.State; state != flamingodoor.EndpointStateWarm && state != flamingodoor.EndpointStateCold {
		return routing.Candidate{}, false
	}
	inFlight, delta := d.loads.get(endpoint.ID, health.ProbedAt)
	return routing.Candidate{
		Endpoint: endpoint, Report: health.Report, ReportedAt: health.ProbedAt,
		InFlight: inFlight, InFlightDelta: delta,
	}, true
}

// acquireTarget returns a target that may receive the request now. It waits for
// a permit until ctx ends, but for an available endpoint or the host's
// freshness lease only until waitUntil.
func (d *Dispatcher) acquireTarget(ctx context.Context, s *search, waitUntil time.Time) (target, error) {
	waits := backoff.NewExponentialBackOff()
	waits.InitialInterval, waits.MaxInterval = firstSearchWait, maxSearchWait
	for {
		if ctx.Err() != nil {
			return target{}, flamingodoor.NewError(flamingodoor.CodeDeadlineExceeded, flamingodoor.RunStateNotRun, context.Cause(ctx))
		}
		now := d.now()
		var failure error
		if !d.parts.Freshness.Fresh(now) {
			failure = flamingodoor.Errorf(flamingodoor.CodeNotFresh, "freshness lease of the host has expired")
		} else {
			chosen, denied, ok := d.chooseTarget(ctx, s, now)
			if ok {
				return chosen, nil
			}
			if !denied {
				failure = flamingodoor.Errorf(flamingodoor.CodeNoEndpoint, "no endpoint is available for the request")
			}
		}
		if failure != nil && !now.Before(waitUntil) {
			return target{}, failure
		}
		select {
		case <-time.After(waits.NextBackOff()):
		case <-ctx.Done():
		}
	}
}

// chooseTarget tries the candidates in the order of the chooser and acquires a
// permit if the candidate is cold. denied reports whether a permit was denied,
// or would have been.
func (d *Dispatcher) chooseTarget(ctx context.Context, s *search, now time.Time) (chosen target, denied, ok bool) {
	candidates := slices.DeleteFunc(s.narrowForSuspect(s.listCandidates(now)), func(c routing.Candidate) bool { return now.Before(s.avoidUntil[c.Endpoint.ID]) })
	for {
		candidate, found := d.parts.Chooser.Choose(now, s.request, candidates)
		if !found {
			return target{}, denied, false
		}
		if !candidate.Cold() {
			return target{Candidate: candidate}, denied, true
		}
		// Beyond the allowance the watchers would deny the permit.
		if candidate.InFlight < candidate.Endpoint.ColdAllowance {
			if chosen, err := d.acquirePermit(ctx, candidate); err == nil {
				return chosen, denied, true
			}
		}
		denied = true
		candidates = slices.DeleteFunc(candidates, func(c routing.Candidate) bool { return c.Endpoint.ID == candidate.Endpoint.ID })
	}
}

// acquirePermit acquires a permit for a cold candidate. The permit outlives a
// failed request until the endpoint has confirmed its cancellation.
func (d *Dispatcher) acquirePermit(ctx context.Context, candidate routing.Candidate) (target, error) {
	ctx, cancel := context.WithTimeout(ctx, d.permitTimeout)
	defer cancel()
	permit, err := d.parts.Permits.Acquire(ctx, candidate.Endpoint, candidate.Report.Incarnation)
	if err != nil {
		return target{}, err
	}
	return target{Candidate: candidate, permit: permit}, nil
}

// maySend repeats the checks just before the request is sent, because acquiring
// a permit took time and the process may have been paused.
func (d *Dispatcher) maySend(s *search, t target) bool {
	now := d.now()
	if !d.parts.Freshness.Fresh(now) {
		return false
	}
	if t.permit != nil && (permitLost(t.permit) || !now.Before(t.permit.Deadline())) {
		return false
	}
	for _, current := range s.listCandidates(now) {
		if current.Endpoint.ID == t.Endpoint.ID {
			return current.Report.Incarnation == t.Report.Incarnation &&
				current.Group.FencingNumber == t.Group.FencingNumber &&
				(t.permit != nil || !current.Cold())
		}
	}
	return false
}

func permitLost(permit flamingodoor.Permit) bool {
	select {
	case <-permit.Lost():
		return true
	default:
		return false
	}
}

// inBackground runs a task that may outlive the request. Drain waits for it.
func (d *Dispatcher) inBackground(ctx context.Context, task func(ctx context.Context)) {
	d.background.Go(func() { task(context.WithoutCancel(ctx)) })
}

// releasePermit releases the permit, if there is one, in the background. The
// endpoint must no longer run the request.
func (d *Dispatcher) releasePermit(ctx context.Context, t target) {
	if t.permit == nil {
		return
	}
	d.inBackground(ctx, func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
		defer cancel()
		t.permit.Release(ctx)
	})
}

// abandonPermit lets the permit, if there is one, expire. It is called if the
// endpoint may still run the request.
func (t *target) abandonPermit() {
	if t.permit != nil {
		t.permit.Abandon()
	}
}

// cancelAttempt cancels an attempt at its engine in the background. Once the
// engine has confirmed, the permit is released; otherwise it is left to expire.
func (d *Dispatcher) cancelAttempt(ctx context.Context, t target, requestID string, attempt int) {
	d.inBackground(ctx, func(ctx context.Context) {
		_, err := backoff.Retry(ctx, func() (struct{}, error) {
			ctx, cancel := context.WithTimeout(ctx, cancelAttemptTimeout)
			defer cancel()
			return struct{}{}, d.parts.Engine.Cancel(ctx, t.Endpoint, requestID, attempt)
		}, backoff.WithMaxTries(maxCancelAttempts))
		if err != nil {
			_ = level.Warn(d.parts.Logger).Log("event", "cancel_failed", "endpoint", t.Endpoint.ID, "request_id", requestID, "attempt", attempt, "err", err)
			t.abandonPermit()
			return
		}
		d.releasePermit(ctx, t)
	})
}
