package reach

import (
	"math/rand/v2"
	"slices"

	"flamingodoor.example/flamingodoor"
)

// choose returns up to probeCount instances, at random. Those of different areas and
// data centres are preferred, and those outside the given areas.
func choose(instances []flamingodoor.Instance, avoided []area) []flamingodoor.Instance {
	candidates := slices.Clone(instances)
	rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] }) //nolint:gosec // need not be unpredictable
	var chosen []flamingodoor.Instance
	areas, dataCentres := make(map[area]bool), make(map[string]bool)
	for _, fits := range []func(instance flamingodoor.Instance) bool{
		func(instance flamingodoor.Instance) bool {
			return !dataCentres[instance.DataCentre] && !areas[areaOf(instance)] && !slices.Contains(avoided, areaOf(instance))
		},
		func(instance flamingodoor.Instance) bool {
			return !areas[areaOf(instance)] && !slices.Contains(avoided, areaOf(instance))
		},
		func(instance flamingodoor.Instance) bool { return !areas[areaOf(instance)] },
		func(flamingodoor.Instance) bool { return true },
	} {
		candidates = slices.DeleteFunc(candidates, func(instance flamingodoor.Instance) bool {
			if len(chosen) == probeCount || !fits(instance) {
				return false
			}
			areas[areaOf(instance)], dataCentres[instance.DataCentre] = true, true
			chosen = append(chosen, instance)
			return true
		})
	}
	return chosen
}
