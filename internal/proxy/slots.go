package proxy

import (
	"time"

	"github.com/go-kit/log/level"

	"flamingodoor.example/flamingodoor/internal/admission"
)

// sharesSlots reports whether hosts divide the slots of the job's model while they are
// scarce. Where a group has a slot or more for each host, the hosts' reports show quickly
// enough who has them.
func (p *Proxy) sharesSlots(j *job) bool {
	return j.service.Engine != nil && int(p.hostCount.Load()) > j.service.Engine.Slots
}

// atSlotLimit reports whether this host has as many requests in flight at the model as it
// may while slots are scarce. A stream that resumes is not limited, because its caller has
// a part of the answer.
func (p *Proxy) atSlotLimit(j *job, set *candidateSet, now time.Time) bool {
	if j.responseStarted || !p.sharesSlots(j) {
		return false
	}
	own, all, slots := p.tracker.Use(set.candidates)
	delay := time.Duration(p.reportDelay.Load())
	use := admission.SlotUse{
		Slots: slots, InFlight: all, Hosts: int(p.hostCount.Load()),
		Arrivals: p.arrivalRates.perSecond(j.key(), now) * delay.Seconds(), EndedPart: p.profiles.endedPart(j, delay),
	}
	if total := p.fleetDemand.Load(); total != nil {
		use.OwnDemand, use.TotalDemand = p.demand.Rate(j.key(), now), (*total)[j.key()]
	}
	limit, limited := use.Limit(p.slotPhase)
	if !limited || own < limit {
		return false
	}
	p.slotReports.Do(func() {
		_ = level.Info(p.logger).Log("event", "slots_limited", "model", j.model, "own", own, "limit", limit, "in_flight", all, "slots", slots,
			"own_demand", use.OwnDemand, "total_demand", use.TotalDemand)
	})
	return true
}
