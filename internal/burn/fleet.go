package burn

import (
	"cmp"
	"maps"
	"slices"
	"time"

	recordv1 "flamingodoor.example/flamingodoor/gen/flamingodoor/record/v1"
)

const (
	// gapTolerance is the longest gap between two intervals of a host that is not
	// reported as missing.
	gapTolerance = time.Second
	// endTolerance is the same at the end of the period, where the latest summary
	// may not be in the log yet.
	endTolerance = 2 * DefaultInterval
)

// fleetMeasure sums a measure that every host takes of the whole fleet. For each
// interval and host it adds up the values. The total counts only the largest of
// the hosts' sums in each interval, so that nothing is counted twice. The keys are
// the end of the interval, truncated to DefaultInterval, in Unix seconds and the
// host.
type fleetMeasure map[int64]map[string]float64

func (m fleetMeasure) add(summary *recordv1.SummaryRecord, value float64) {
	interval := summary.GetTo().AsTime().Truncate(DefaultInterval).Unix()
	if m[interval] == nil {
		m[interval] = map[string]float64{}
	}
	m[interval][summary.GetHostId()] += value
}

func (m fleetMeasure) total() float64 {
	sum := 0.0
	for _, hosts := range m {
		sum += slices.Max(slices.Collect(maps.Values(hosts)))
	}
	return sum
}

func groupDowntimes(summaries []*recordv1.SummaryRecord) []GroupDowntime {
	groups := map[string]fleetMeasure{}
	for _, summary := range summaries {
		for _, group := range summary.GetGroups() {
			if groups[group.GetGroupId()] == nil {
				groups[group.GetGroupId()] = fleetMeasure{}
			}
			down := time.Duration(group.GetDownMs()) * time.Millisecond //nolint:gosec // A duration of 292 years does not occur.
			groups[group.GetGroupId()].add(summary, down.Seconds())
		}
	}
	list := make([]GroupDowntime, 0, len(groups))
	for _, id := range slices.Sorted(maps.Keys(groups)) {
		list = append(list, GroupDowntime{GroupID: id, DownSeconds: groups[id].total()})
	}
	return list
}

func strandedAccelerators(summaries []*recordv1.SummaryRecord) Stranded {
	var result Stranded
	hours := fleetMeasure{}
	for _, summary := range summaries {
		interval := summary.GetTo().AsTime().Sub(summary.GetFrom().AsTime())
		hours.add(summary, float64(summary.GetStrandedAccelerators())*interval.Hours())
		result.Peak = max(result.Peak, summary.GetStrandedAccelerators())
	}
	result.AcceleratorHours = hours.total()
	return result
}

// missingIntervals returns the gaps between the intervals of each host that has
// an interval in the period. For a host that joined during the period, the time
// before counts as missing, because the summaries do not show whether the host
// was absent or its summaries were lost.
func missingIntervals(summaries []*recordv1.SummaryRecord, from, to time.Time) []MissingInterval {
	coveredUntil := map[string]time.Time{}
	list := []MissingInterval{}
	for _, summary := range summaries {
		host := summary.GetHostId()
		end, known := coveredUntil[host]
		if !known {
			end = from
		}
		if start := summary.GetFrom().AsTime(); start.Sub(end) > gapTolerance {
			list = append(list, MissingInterval{HostID: host, From: end, To: start})
		}
		coveredUntil[host] = summary.GetTo().AsTime()
	}
	for host, end := range coveredUntil {
		if to.Sub(end) > endTolerance {
			list = append(list, MissingInterval{HostID: host, From: end, To: to})
		}
	}
	slices.SortFunc(list, func(a, b MissingInterval) int {
		return cmp.Or(cmp.Compare(a.HostID, b.HostID), a.From.Compare(b.From))
	})
	return list
}
