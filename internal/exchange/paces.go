package exchange

import (
	"cmp"
	"slices"
	"time"

	exchangev1 "flamingodoor.example/flamingodoor/gen/flamingodoor/exchange/v1"
)

const (
	// maxPaces bounds the speeds in a summary, so that it stays small while many groups
	// are slow.
	maxPaces = 24
	// paceTimeout is how long a measured speed is passed on after the measurement.
	paceTimeout = 3 * time.Second
	// fullSpeedPercent is the highest speed of a group.
	fullSpeedPercent = 100
)

// paceTotal sums the speeds of a group that several hosts measured.
type paceTotal struct {
	percents  int64 // sum over the witnesses
	witnesses int64
	newest    time.Time // of the measurements
	second    time.Time // newest of the others
}

// addPaces adds the speeds in a message that arrived at the given time.
func (t *workTotal) addPaces(paces []*exchangev1.GroupPace, arrived, now time.Time) {
	for _, pace := range paces {
		at := measuredAt(pace, arrived)
		if now.Sub(at) >= paceTimeout {
			continue
		}
		total, ok := t.paces[pace.GetInstanceId()]
		if !ok {
			total = &paceTotal{}
			t.paces[pace.GetInstanceId()] = total
		}
		witnesses := int64(max(1, pace.GetWitnesses()))
		total.witnesses += witnesses
		total.percents += witnesses * percentOf(pace)
		if at.After(total.newest) {
			total.newest, total.second = at, total.newest
		} else if at.After(total.second) {
			total.second = at
		}
	}
}

// pacesWithout returns the newest speeds without those that one host measured itself: it
// must not take its own measurement for that of another. That host may be in the
// summaries of two relays for a moment after its relay has changed.
func (t *workTotal) pacesWithout(excluded reportedWork, host uint32, now time.Time) []*exchangev1.GroupPace {
	own := make(map[string]*exchangev1.GroupPace, len(excluded.paces))
	for _, pace := range excluded.paces {
		if now.Sub(measuredAt(pace, excluded.at)) < paceTimeout {
			own[pace.GetInstanceId()] = pace
		}
	}
	counted := int64(0)
	if len(own) > 0 {
		for _, hash := range t.hosts {
			if hash == host {
				counted++
			}
		}
	}
	paces := make([]*exchangev1.GroupPace, 0, len(t.paces))
	for id, total := range t.paces {
		percents, witnesses, at := total.percents, total.witnesses, total.newest
		if pace, ok := own[id]; ok && counted > 0 {
			witnesses -= counted
			percents -= counted * percentOf(pace)
			if at.Equal(measuredAt(pace, excluded.at)) {
				at = total.second
			}
		}
		if witnesses <= 0 || now.Sub(at) >= paceTimeout {
			continue
		}
		percent := min(fullSpeedPercent, max(1, percents/witnesses))
		paces = append(paces, &exchangev1.GroupPace{
			InstanceId: id, SpeedPercent: uint32(percent), AgeMs: now.Sub(at).Milliseconds(), Witnesses: int32(witnesses), //nolint:gosec // a percentage and a count of hosts
		})
	}
	slices.SortFunc(paces, func(a, b *exchangev1.GroupPace) int {
		return cmp.Or(cmp.Compare(a.GetAgeMs(), b.GetAgeMs()), cmp.Compare(a.GetInstanceId(), b.GetInstanceId()))
	})
	return paces[:min(maxPaces, len(paces))]
}

// measuredAt returns when a speed was measured that arrived at the given time.
func measuredAt(pace *exchangev1.GroupPace, arrived time.Time) time.Time {
	return arrived.Add(-milliseconds(min(paceTimeout.Milliseconds(), max(0, pace.GetAgeMs()))))
}

func percentOf(pace *exchangev1.GroupPace) int64 {
	return min(fullSpeedPercent, int64(pace.GetSpeedPercent()))
}
