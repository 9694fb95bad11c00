package proxy

import (
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"flamingodoor.example/flamingodoor/internal/admission"
	"flamingodoor.example/flamingodoor/internal/balance"
)

// sharesSlots reports whether hosts divide the slots of the job's model while they are
// scarce. Where a group has a slot or more for each host, the hosts' reports show quickly
// enough who has them.
func (p *Proxy) sharesSlots(j *job) bool {
	return j.service.Engine != nil && int(p.hostCount.Load()) > j.service.Engine.Slots
}

// slotDivision is how the slots of a model are divided among the hosts.
type slotDivision struct {
	limited bool // this host is limited to its part
	use     admission.SlotUse
	own     int // requests in flight of this host
	parts   int // of this host, at all candidates
}

// divideSlots limits this host's requests at each candidate to its part of the slots while
// they are scarce, and reports whether the job may have one of them.
func (p *Proxy) divideSlots(j *job, set *candidateSet, now time.Time) bool {
	division := p.limitToPart(j, set, now)
	if !division.limited {
		return true
	}
	use := &division.use
	p.slotReports.Do(func() {
		_ = level.Info(p.logger).Log("event", "slots_divided", "model", j.model, "own", division.own, "part", division.parts, "in_flight", use.InFlight, "slots", use.Slots,
			"own_demand", use.OwnDemand, "total_demand", use.TotalDemand)
	})
	return !j.yields || division.parts-division.own > p.keptSlots(j, now)
}

// limitToPart limits this host's requests at each candidate to its part of the slots while
// they are scarce. A stream that resumes is not limited, because its caller has a part of
// the answer.
func (p *Proxy) limitToPart(j *job, set *candidateSet, now time.Time) slotDivision {
	if j.responseStarted || !p.sharesSlots(j) {
		return slotDivision{}
	}
	own, all, slots := p.tracker.Use(set.candidates)
	use := p.slotUse(j, all, slots, now)
	scale, limited := use.Scale()
	if !limited {
		return slotDivision{}
	}
	partOf := func(candidate balance.Candidate) int {
		return p.divider.Share(candidate.ID, int(scale*float64(candidate.Capacity)+p.slotPhase))
	}
	// If there are fewer slots than hosts, a host without a part may place one request, so
	// that its callers are not refused all of the time.
	single := own == 0 && !slices.ContainsFunc(set.candidates, func(c balance.Candidate) bool { return partOf(c) > 0 })
	parts := 0
	for i := range set.candidates {
		part := 1
		if !single {
			part = partOf(set.candidates[i])
		}
		set.candidates[i].OwnLimit = min(set.candidates[i].OwnLimit, part)
		parts += part
	}
	if single {
		parts = 1
	}
	return slotDivision{limited: true, use: use, own: own, parts: parts}
}

// keptFraction is the part of the time that a request holds a slot for which a free slot
// may wait for the next request.
const keptFraction = 0.1

// keptSlots returns how many of this host's free slots are kept for requests that can still
// be in time: one, if the next request is expected soon.
func (p *Proxy) keptSlots(j *job, now time.Time) int {
	if p.arrivalRates.perSecond(j.queueKey(), now)*keptFraction*p.answerTimes.mean(j).Seconds() < 1 {
		return 0
	}
	return 1
}

// slotUse returns what this host knows of the slots of a job's model.
func (p *Proxy) slotUse(j *job, inFlight, slots int, now time.Time) admission.SlotUse {
	delay := time.Duration(p.reportDelay.Load())
	use := admission.SlotUse{
		Slots: slots, InFlight: inFlight, Hosts: int(p.hostCount.Load()),
		Arrivals: p.arrivalRates.perSecond(j.queueKey(), now) * delay.Seconds(), EndedPart: p.answerTimes.endedPart(j, delay),
	}
	if total := p.fleetDemand.Load(); total != nil {
		use.OwnDemand, use.TotalDemand = p.demand.Rate(j.key(), now), (*total)[j.key()]
	}
	return use
}
