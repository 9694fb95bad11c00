package admission_test

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor/internal/admission"
)

// Guards against a limit while slots are free: hosts whose callers are many must be able
// to use the slots of the others.
func TestFreeSlotsAreNotDivided(t *testing.T) {
	use := admission.SlotUse{Slots: 760, InFlight: 300, OwnDemand: 1, TotalDemand: 64, Hosts: 64, Arrivals: 6, EndedPart: 0.45}
	_, limited := use.Scale()
	assert.Assert(t, !limited)
	use.InFlight = 700
	_, limited = use.Scale()
	assert.Assert(t, limited)
}

// Guards against a limit under steady load, in which as many requests end as arrive: 144
// hosts have one slot or less each, and some would refuse while others have slots free.
func TestSteadyLoadIsNotLimited(t *testing.T) {
	use := admission.SlotUse{Slots: 100, InFlight: 75, OwnDemand: 1, TotalDemand: 144, Hosts: 144, Arrivals: 43.0 / 144, EndedPart: 0.57}
	_, limited := use.Scale()
	assert.Assert(t, !limited)
	use.Arrivals *= 1.6 // a burst
	_, limited = use.Scale()
	assert.Assert(t, limited)
}

// Guards against engines that get more requests than slots in a burst: when each of 64
// hosts placed requests by reports that were 0.8 s old, groups with 20 slots had up to 56
// requests, and their first events came after 2 s instead of 0.2 s.
func TestPartsOfAllHostsAddUpToTheSlots(t *testing.T) {
	for _, test := range []struct{ hosts, slots int }{{64, 720}, {144, 192}, {144, 860}, {390, 4000}} {
		random := rand.New(rand.NewPCG(1, uint64(test.hosts)))
		demands, total := make([]float64, test.hosts), 0.0
		for i := range demands {
			demands[i] = random.Float64() // callers reach hosts unevenly
			total += demands[i]
		}
		sum := 0.0
		for _, demand := range demands {
			use := admission.SlotUse{Slots: test.slots, InFlight: test.slots, OwnDemand: demand, TotalDemand: total, Hosts: test.hosts, Arrivals: 10}
			scale, limited := use.Scale()
			assert.Assert(t, limited)
			assert.Assert(t, scale > 0, "a host without demand has a part")
			sum += scale * float64(test.slots) / float64(test.hosts)
		}
		assert.Assert(t, sum > 0.8*float64(test.slots) && sum < 0.9*float64(test.slots), "%d hosts: %v of %d slots", test.hosts, sum, test.slots)
	}
}

// Guards against hosts that refuse everything before demand is reported, or after most of
// the other hosts have gone.
func TestPartWithoutReports(t *testing.T) {
	use := admission.SlotUse{Slots: 640, InFlight: 640, OwnDemand: 0, TotalDemand: 0, Hosts: 64, Arrivals: 1}
	scale, limited := use.Scale()
	assert.Assert(t, limited)
	assert.Assert(t, scale > 0.8 && scale < 0.9, "an even part: %v", scale)
	use.Hosts, use.OwnDemand, use.TotalDemand = 1, 5, 5
	alone, _ := use.Scale()
	assert.Equal(t, alone, scale)
}

// Guards against a scale that is not a number at a host whose requests were all counted at
// other hosts: it has no arrivals, and more requests are in flight than there are slots.
func TestScaleIsFiniteWithoutArrivals(t *testing.T) {
	use := admission.SlotUse{Slots: 40, InFlight: 45, OwnDemand: 0, TotalDemand: 10, Hosts: 390}
	scale, limited := use.Scale()
	assert.Assert(t, limited)
	assert.Assert(t, scale > 0 && scale < 1, "scale %v", scale)
}

// Guards against a division by zero where no host or no slot is known.
func TestScaleWithoutHostsOrSlots(t *testing.T) {
	scale, limited := admission.SlotUse{Slots: 20, InFlight: 20, Arrivals: 1}.Scale()
	assert.Assert(t, limited)
	assert.Assert(t, scale > 0.8 && scale < 0.9, "scale %v", scale)
	_, limited = admission.SlotUse{Hosts: 390, Arrivals: 1}.Scale()
	assert.Assert(t, !limited)
}
