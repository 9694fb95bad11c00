package proxy

import (
	"cmp"
	"errors"
	"math"
	"net/http"
	"slices"
	"time"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/balance"
	"flamingodoor.example/flamingodoor/internal/catalogue"
	"flamingodoor.example/flamingodoor/internal/explain"
)

// Explain returns what this host would do with a request now. It sends, reserves, counts and
// logs nothing.
func (p *Proxy) Explain(request explain.Request) explain.Answer {
	answer := explain.Answer{
		Host: p.hostID, Model: request.Model, Workspace: request.Workspace, PromptTokens: request.PromptTokens, MaxOutputTokens: request.MaxOutputTokens,
		Candidates: []explain.Candidate{},
	}
	current := p.configuration()
	index := current.Index
	if index == nil || !p.partTracker.Loaded() {
		answer.Refusal = refusalOf(http.StatusServiceUnavailable, "no_configuration", shortRetryAfter, shortRetryAfter)
		return answer
	}
	answer.ConfigVersion = index.Version
	route, workspace, status, reason := p.described(current, request)
	if status != 0 {
		answer.Refusal = refusalOf(status, reason, shortRetryAfter, shortRetryAfter)
		return answer
	}
	now := p.now()
	j := p.describedJob(request, index, route, workspace, now)
	answer.Route, answer.Service, answer.Priority = route.Name, j.service.Name, j.priority
	if workspace != nil && workspace.HasPriority {
		answer.PrioritySource = explain.PrioritySourceWorkspace
	}
	p.explainQueue(&answer, j, now)
	err := p.explainPlacement(&answer, j, now)
	p.explainOutcome(&answer, j, err, now)
	return answer
}

// described returns the route and the workspace of a described request, or the status and
// reason of its rejection.
func (p *Proxy) described(current configuration, request explain.Request) (*flamingodoor.Route, *flamingodoor.Workspace, int, string) {
	route, ok := current.Route(request.Host, request.Path)
	if request.Route != "" {
		route, ok = named(current.Routes, func(route *flamingodoor.Route) bool { return route.Name == request.Route })
	}
	if !ok || (request.Service != "" && !leadsTo(route, request.Service)) {
		status, reason := p.denial(current, http.StatusNotFound, "no_route")
		return nil, nil, status, reason
	}
	if route.Public || len(current.Workspaces) == 0 {
		return route, nil, 0, ""
	}
	if !p.keysConfirmed(current) {
		return nil, nil, http.StatusServiceUnavailable, "keys_unconfirmed"
	}
	if request.Workspace == "" {
		return route, nil, 0, ""
	}
	workspace, ok := named(current.Workspaces, func(workspace *flamingodoor.Workspace) bool { return workspace.Name == request.Workspace })
	if !ok {
		status, reason := p.denial(current, http.StatusUnauthorized, "unknown_workspace")
		return nil, nil, status, reason
	}
	return route, workspace, 0, ""
}

// named returns the first element for which the function returns true.
func named[T any](elements []T, matches func(*T) bool) (*T, bool) {
	for i := range elements {
		if matches(&elements[i]) {
			return &elements[i], true
		}
	}
	return nil, false
}

// describedJob returns the job of a described request that arrives now.
func (p *Proxy) describedJob(request explain.Request, index *catalogue.Index, route *flamingodoor.Route, workspace *flamingodoor.Workspace, now time.Time) *job {
	service := request.Service
	if service == "" {
		service = slices.MaxFunc(route.Split, func(a, b flamingodoor.SplitShare) int { return cmp.Compare(a.Weight, b.Weight) }).Service
	}
	j := &job{
		explained: true, route: route, service: index.Services[service], workspace: request.Workspace, model: request.Model,
		promptTokens: request.PromptTokens, maxOutputTokens: request.MaxOutputTokens, receivedAt: now, priority: priorityOf(route, workspace),
		deadline: now.Add(route.Timeout), queuedBehind: -1,
	}
	if limit := now.Add(request.Deadline); request.Deadline > 0 && limit.Before(j.deadline) {
		j.deadline = limit
	}
	j.waitUntil = p.lastPlacement(j)
	return j
}

// explainQueue describes the queue before a job.
func (p *Proxy) explainQueue(answer *explain.Answer, j *job, now time.Time) {
	answer.Queue.MaxWaitMS = j.waitUntil.Sub(now).Milliseconds()
	if turn, known := p.expectedTurn(j, now); known {
		wait := max(0, turn.Sub(now)).Milliseconds()
		answer.Queue.TurnMS = &wait
	}
	q, ok := p.existingQueue(j)
	if !ok {
		return
	}
	request := p.queueRequest(j, j.waitUntil)
	q.mu.Lock()
	defer q.mu.Unlock()
	answer.Queue.Waiting, answer.Queue.Ahead = q.line.Len(), q.line.Ahead(request, now)
}

// errForwarded means that another entry host takes the job.
var errForwarded = flamingodoor.Errorf(flamingodoor.CodeNoEndpoint, "another entry host takes the request")

// explainPlacement describes the candidates of a job and the one that tryAcquire would most
// likely choose. It returns why there is none.
func (p *Proxy) explainPlacement(answer *explain.Answer, j *job, now time.Time) error {
	var excluded []exclusion
	set := p.findUsable(j, &excluded, now)
	before := ownLimits(set.candidates)
	p.limitToPart(j, &set, now)
	prospects, likeliest := p.tracker.Preview(set.candidates, p.unreportedRequests(j, now), now)
	for i := range prospects {
		described := describe(set.candidates[i], set.destinations[i], &prospects[i], now)
		if prospects[i].Room == balance.RoomAtOwnLimit {
			described.Reason = ownLimitReason(&set, i, before[i])
		}
		answer.Candidates = append(answer.Candidates, described)
	}
	slices.SortStableFunc(answer.Candidates, func(a, b explain.Candidate) int {
		return cmp.Or(cmp.Compare(min(1, a.Reason), min(1, b.Reason)), cmp.Compare(a.Load, b.Load))
	})
	for i := range excluded {
		answer.Candidates = append(answer.Candidates, describeExcluded(&excluded[i], now))
	}
	hasPeer := p.peers.HasPeer(now)
	switch {
	case hasPeer && (p.paths.Stranded() || p.paths.Suspected() || (likeliest < 0 && set.unreachable > len(set.candidates))):
		return errForwarded
	case likeliest >= 0:
		answer.Choice = set.candidates[likeliest].ID
		return nil
	case len(set.candidates) > 0:
		return errFull
	}
	err := set.emptyError()
	if set.unreachable > 0 && errors.Is(err, errNoInstance) {
		return errNoPath
	}
	return err
}

// ownLimits returns how many requests this host may have in flight at each candidate.
func ownLimits(candidates []balance.Candidate) []int {
	limits := make([]int, 0, len(candidates))
	for i := range candidates {
		limits = append(limits, candidates[i].OwnLimit)
	}
	return limits
}

// ownLimitReason returns what limits this host's requests at a candidate, whose limit was
// the given one before the slots were divided.
func ownLimitReason(set *candidateSet, index, undivided int) explain.Reason {
	switch {
	case set.candidates[index].OwnLimit < undivided:
		return explain.ReasonOwnPart
	case slices.Contains(set.retried, index):
		return explain.ReasonSlowRetried
	default:
		return explain.ReasonOwnLimit
	}
}

// describe returns a candidate without the reason for a limit of this host.
func describe(candidate balance.Candidate, dest destination, prospect *balance.Prospect, now time.Time) explain.Candidate {
	described := describeInstance(dest)
	described.Capacity, described.InFlight = candidate.Capacity, prospect.Own+prospect.Others
	described.OwnLimit, described.OwnInFlight = candidate.OwnLimit, prospect.Own
	described.SpeedPercent = 100
	if candidate.Speed > 0 {
		described.SpeedPercent = int(math.Round(100 * candidate.Speed))
	}
	described.RoundTripMS, described.PredictedMS = inMilliseconds(candidate.RoundTrip), inMilliseconds(prospect.Predicted)
	described.Load, described.MayBeChosen = prospect.Load, prospect.MayPick
	switch prospect.Room {
	case balance.RoomAtCapacity:
		described.Reason = explain.ReasonAtCapacity
	case balance.RoomPaused:
		described.Reason, described.UntilMS = explain.ReasonPaused, prospect.PausedUntil.Sub(now).Milliseconds()
	case balance.RoomAtOwnLimit:
		described.Reason = explain.ReasonOwnLimit
	case balance.RoomFree:
	}
	return described
}

func describeExcluded(out *exclusion, now time.Time) explain.Candidate {
	described := describeInstance(out.destination)
	described.Reason = out.reason
	if !out.until.IsZero() {
		described.UntilMS = max(0, out.until.Sub(now)).Milliseconds()
	}
	return described
}

func describeInstance(dest destination) explain.Candidate {
	described := explain.Candidate{Instance: dest.instance.ID, DataCentre: dest.instance.DataCentre}
	if dest.group != nil {
		described.Group = dest.group.Name
	}
	return described
}

func inMilliseconds(duration time.Duration) float64 {
	return float64(duration) / float64(time.Millisecond)
}

// explainOutcome describes what becomes of a job for which there is the given reason against
// a slot, or nil, as acquire does.
func (p *Proxy) explainOutcome(answer *explain.Answer, j *job, err error, now time.Time) {
	waits := answer.Queue.Waiting > 0 && !p.skipsQueue(j)
	if waits && err == nil {
		answer.Choice, err = "", errFull
	}
	switch {
	case errors.Is(err, errForwarded):
		answer.Outcome = explain.OutcomeForwarded
		return
	case err == nil:
		answer.Outcome = explain.OutcomePlaced
		return
	case !mustNotWait(err, j.holdLimit(j.waitUntil, now)) && (!p.refusable(j) || p.mayWait(j, now)):
		answer.Outcome = explain.OutcomeWaits
		// The refusal is that of a wait in vain. The estimates are of the present time, because
		// those of a later one would discard what is counted until then.
		waited := j.copy()
		waited.deadline = j.deadline.Add(now.Sub(j.waitUntil))
		j = &waited
	}
	answer.Refusal = refusalOf(http.StatusServiceUnavailable, noSlotReason(err), p.retryAfterAt(j, now, 0), p.retryAfterAt(j, now, 1))
}

// mayWait reports whether the turn of a job that arrives now is not known to come too late.
func (p *Proxy) mayWait(j *job, now time.Time) bool {
	q, ok := p.existingQueue(j)
	if !ok {
		return now.Before(j.waitUntil)
	}
	request := p.queueRequest(j, j.waitUntil)
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.line.MayWait(request, now)
}

// refusalOf returns a refusal with a Retry-After between the given ones, if its status
// invites a retry.
func refusalOf(status int, reason string, least, most time.Duration) *explain.Refusal {
	refusal := &explain.Refusal{Status: status, Reason: reason}
	if status == http.StatusServiceUnavailable {
		refusal.MinRetryAfterMS, refusal.MaxRetryAfterMS = least.Milliseconds(), most.Milliseconds()
	}
	return refusal
}
