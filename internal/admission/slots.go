package admission

import "math"

const (
	// targetUse is the fraction of the slots that the hosts' shares add up to. Hosts
	// place requests by reports that are up to a second old, so the requests at single
	// groups differ by several slots; with all slots divided, half of the groups would
	// have more requests than slots, which then wait inside the engine.
	targetUse = 0.85
	// evenPart is the weight of an even division among the hosts in their shares. It
	// leaves room for hosts that have had no requests yet.
	evenPart = 0.1
	// unreportedDeviations is the number of standard deviations by which the requests that reports
	// do not show yet may exceed their mean.
	unreportedDeviations = 2
)

// SlotUse is what a host knows of the slots of a model when it places a request.
type SlotUse struct {
	Slots    int // of all groups
	InFlight int // requests of all hosts, as far as reports show
	// OwnDemand and TotalDemand are the demand at this host and at all hosts, in the
	// same unit. TotalDemand is 0 until it is known.
	OwnDemand   float64
	TotalDemand float64
	Hosts       int
	// Arrivals is the number of requests that reached this host in the time that
	// reports take, and EndedPart the part of the requests in flight that end in it.
	Arrivals  float64
	EndedPart float64
}

// Scale returns the factor by which a group's capacity is multiplied before it is divided
// evenly among the hosts to get this host's part, or false if the free slots suffice for
// the requests that the reports do not show yet. Without such a limit, each host that sees
// the same free slot would take it.
func (u SlotUse) Scale() (scale float64, limited bool) {
	part := u.part()
	free, unreported := float64(u.Slots-u.InFlight), u.unreported(part)
	if u.Slots <= 0 || free >= unreported {
		return 0, false
	}
	scale = targetUse * part * float64(max(1, u.Hosts))
	if unreported <= 0 {
		return scale, true
	}
	// While some slots are free, hosts may exceed their parts by what these allow.
	return scale * (1 + max(0, free)/unreported), true
}

// unreported returns how many more requests all hosts may have in flight than reports show.
func (u SlotUse) unreported(part float64) float64 {
	arrivals := u.Arrivals / part
	return max(0, arrivals-u.EndedPart*float64(u.InFlight)) + unreportedDeviations*math.Sqrt(arrivals)
}

// part returns this host's part of the demand of all hosts.
func (u SlotUse) part() float64 {
	even := 1 / float64(max(1, u.Hosts))
	if u.TotalDemand <= 0 {
		return even
	}
	own := min(1, u.OwnDemand/u.TotalDemand)
	return (1-evenPart)*own + evenPart*even
}
