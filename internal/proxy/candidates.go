package proxy

import (
	"slices"
	"time"

	"flamingodoor.example/flamingodoor/internal/balance"
	"flamingodoor.example/flamingodoor/internal/explain"
	"flamingodoor.example/flamingodoor/internal/roster"
)

// pick reserves a slot at the best of the candidates. The instance at which the job may
// be repeated comes first, so that the job reaches no more instances than needed.
func (p *Proxy) pick(j *job, set *candidateSet, now time.Time) (id string, ok bool) {
	unreported := p.unreportedRequests(j, now)
	again := set.index(j.repeatAt)
	if again >= 0 {
		if id, ok := p.tracker.Pick(set.candidates[again:again+1], unreported, now); ok {
			j.predicted = p.tracker.Predicted(set.candidates[again], now)
			return id, true
		}
	}
	if id, ok = p.tracker.Pick(set.candidates, unreported, now); ok {
		j.predicted = p.tracker.Predicted(set.candidate(id), now)
	}
	return id, ok
}

// candidateSet holds the instances that can take a job.
type candidateSet struct {
	candidates   []balance.Candidate
	destinations []destination // of the candidates
	coldLimited  bool          // a cold instance was excluded by its request rate
	// heldUntil is when the first of the instances that asked for no requests, or for
	// no more from this host, takes one again. It is zero if there is none.
	heldUntil   time.Time
	unreachable int             // instances that only the path from this host excludes
	timing      *balance.Timing // nil for a service without an engine
	excluded    *[]exclusion    // nil unless the job is explained
	retried     []int           // indices of the candidates that get a single request of this host at a time
}

// destination returns the candidate with the identifier.
func (c *candidateSet) destination(id string) destination {
	return c.destinations[c.index(id)]
}

func (c *candidateSet) candidate(id string) balance.Candidate {
	return c.candidates[c.index(id)]
}

func (c *candidateSet) index(id string) int {
	return slices.IndexFunc(c.candidates, func(candidate balance.Candidate) bool { return candidate.ID == id })
}

// emptyError returns why there is no candidate.
func (c *candidateSet) emptyError() error {
	switch {
	case c.coldLimited:
		return errFull
	case !c.heldUntil.IsZero():
		return &heldError{until: c.heldUntil}
	default:
		return errNoInstance
	}
}

// exclusion is why an instance does not get a job.
type exclusion struct {
	destination destination
	reason      explain.Reason
	until       time.Time // zero if it is not known
}

// exclude records an instance that does not get the job, for the given reason and until the
// given time, which is zero if it is not known.
func (c *candidateSet) exclude(dest destination, reason explain.Reason, until time.Time) {
	switch reason { //nolint:exhaustive // the others do not change the response
	case explain.ReasonUnreachable:
		c.unreachable++
	case explain.ReasonHeld, explain.ReasonRateUsed:
		c.addHeld(until)
	case explain.ReasonColdRateUsed:
		c.coldLimited = true
	}
	if c.excluded != nil {
		*c.excluded = append(*c.excluded, exclusion{destination: dest, reason: reason, until: until})
	}
}

// addHeld records an instance that is excluded until the given time.
func (c *candidateSet) addHeld(until time.Time) {
	if c.heldUntil.IsZero() || until.Before(c.heldUntil) {
		c.heldUntil = until
	}
}

// findCandidates returns the instances that can take the job: the heads of
// serving groups for a service with an engine, else the instances of the service
// that are neither leaving nor lost.
func (p *Proxy) findCandidates(j *job, view *roster.View, now time.Time) candidateSet {
	return p.examine(j, view, nil, now)
}

// findUsable returns the instances that can take the job, also those that this host does
// not reach if there is no other way. It appends those that are out to `excluded`, unless
// that is nil.
func (p *Proxy) findUsable(j *job, excluded *[]exclusion, now time.Time) candidateSet {
	view := p.roster.View()
	set := p.examine(j, view, excluded, now)
	if len(set.candidates) == 0 && set.unreachable > 0 && len(j.failedInstances) < j.route.MaxAttempts && p.reliesOnOwnPaths(j, now) {
		if excluded != nil {
			*excluded = nil
		}
		return p.examine(j, view.IgnoringPaths(), excluded, now)
	}
	return set
}

// examine does what findCandidates does, and appends the instances that are out to
// `excluded`, unless that is nil.
func (p *Proxy) examine(j *job, view *roster.View, excluded *[]exclusion, now time.Time) candidateSet {
	set := candidateSet{excluded: excluded}
	if j.service.Engine != nil {
		p.addGroups(&set, j, view, now)
	} else {
		p.addInstances(&set, j, view, now)
	}
	return set
}

func (p *Proxy) addGroups(set *candidateSet, j *job, view *roster.View, now time.Time) {
	set.timing = balance.NewTiming(j.service.Engine, j.model, j.promptTokens)
	size := 0
	for _, model := range j.service.Engine.Models {
		if model.ID == j.model {
			size = model.InstancesPerGroup
		}
	}
	for _, group := range view.Groups {
		if group.Service != j.service.Name || group.ModelID != j.model {
			continue
		}
		dest := destination{instance: group.Head().Instance, group: group}
		if !view.Serving(group, size, now) {
			set.exclude(dest, explain.ReasonNotServing, time.Time{})
			continue
		}
		p.addCandidate(set, j, view, dest, now)
	}
	set.limitRetried()
}

// limitRetried limits the groups that were slow until lately to a single request of this
// host, which shows whether they still are, if there are other groups.
func (c *candidateSet) limitRetried() {
	if len(c.retried) == len(c.candidates) {
		return
	}
	for _, index := range c.retried {
		c.candidates[index].OwnLimit = min(1, c.candidates[index].OwnLimit)
	}
}

func (p *Proxy) addInstances(set *candidateSet, j *job, view *roster.View, now time.Time) {
	for _, entry := range view.ByService[j.service.Name] {
		dest := destination{instance: entry.Instance}
		switch {
		case entry.Leaving:
			set.exclude(dest, explain.ReasonLeaving, time.Time{})
		case view.Lost(entry.Instance, now):
			set.exclude(dest, explain.ReasonLost, time.Time{})
		default:
			p.addCandidate(set, j, view, dest, now)
		}
	}
}

// exclusionReason returns why an instance does not get the job: its data centre is
// evacuated, this host does not reach it, it failed the job before, it asked for no
// requests, or this host has used up its part of the request rate of the instance, which
// the instance stated or which holds while it is cold. It also returns until when, if that
// is known.
func (p *Proxy) exclusionReason(j *job, view *roster.View, dest destination, now time.Time) (explain.Reason, time.Time) {
	instance := dest.instance
	if p.catalogue.Evacuated(instance.DataCentre) {
		return explain.ReasonEvacuated, time.Time{}
	}
	if view.Unreachable(instance, now) {
		return explain.ReasonUnreachable, time.Time{}
	}
	if j.failed(dest) || (j.repeatAt != "" && instance.ID != j.repeatAt && j.exhausted()) {
		return explain.ReasonTried, time.Time{}
	}
	if until, held := p.holds.Until(instance.ID, instance.StartedAt, now); held {
		return explain.ReasonHeld, until
	}
	if until, full := p.allowances.FullUntil(instance, now); full {
		return explain.ReasonRateUsed, until
	}
	if !p.cold.HasRoom(instance, j.service.ColdRate, now) {
		return explain.ReasonColdRateUsed, time.Time{}
	}
	return explain.ReasonNone, time.Time{}
}

// believedSpeed returns the speed of a group, and whether it was slow until lately.
func (p *Proxy) believedSpeed(j *job, instanceID string) (speed float64, retried bool) {
	if j.explained {
		return p.monitor.Peek(instanceID)
	}
	return p.monitor.Believed(instanceID)
}

// addCandidate adds an instance unless there is a reason to exclude it.
func (p *Proxy) addCandidate(set *candidateSet, j *job, view *roster.View, dest destination, now time.Time) {
	instance := dest.instance
	if reason, until := p.exclusionReason(j, view, dest, now); reason != explain.ReasonNone {
		set.exclude(dest, reason, until)
		return
	}
	capacity := instance.Slots
	if dest.group != nil {
		capacity = j.capacity(instance.Slots)
	}
	speed, retried := p.believedSpeed(j, instance.ID)
	if retried {
		set.retried = append(set.retried, len(set.candidates))
	}
	set.destinations = append(set.destinations, dest)
	set.candidates = append(set.candidates, balance.Candidate{
		ID: instance.ID, Capacity: capacity, OwnLimit: p.ownLimit(dest, capacity, now), Speed: speed, Local: instance.DataCentre == p.localDataCentre,
		RoundTrip: p.roundTrips.To(instance.DataCentre), Timing: set.timing,
	})
}

// resumeReserveDivisor sets the capacity of a group beyond its slots for streams
// that resume from another group: a quarter of the slots. The engine queues these
// streams first, and aborting one would waste the part that its caller has
// received.
const resumeReserveDivisor = 4

// capacity returns how many requests a group with the given slots may have in
// flight for this job to be sent to it.
func (j *job) capacity(slots int) int {
	if j.responseStarted {
		return slots + slots/resumeReserveDivisor
	}
	return slots
}

// ownLimit returns how many requests this host may have in flight at a
// destination. At a group that opened less than the report delay ago it is this
// host's part of the capacity: the other hosts see the group empty as well, and
// this host does not know yet what they send. Elsewhere, and until the entry
// hosts are known, it is the whole capacity.
func (p *Proxy) ownLimit(dest destination, capacity int, now time.Time) int {
	if dest.group == nil || !p.divider.Known() || now.Sub(dest.group.OpenSince) >= time.Duration(p.reportDelay.Load()) {
		return capacity
	}
	return p.divider.Share(dest.instance.ID, capacity)
}

// unreportedRequests estimates how many requests other hosts have sent but not
// yet reported to this host. It assumes that each host receives requests at this
// host's rate. On average a report is half the report delay old.
func (p *Proxy) unreportedRequests(j *job, now time.Time) float64 {
	age := time.Duration(p.reportDelay.Load()) / 2
	return p.arrivalRates.perSecond(j.queueKey(), now) * float64(max(1, p.hostCount.Load())) * age.Seconds()
}

// ObserveConnection records how long the opening of a connection to an instance took.
func (p *Proxy) ObserveConnection(instanceID string, took time.Duration) {
	if entry, ok := p.roster.View().Entries[instanceID]; ok {
		p.roundTrips.Observe(entry.DataCentre, took)
	}
}
