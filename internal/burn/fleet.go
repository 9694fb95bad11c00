package burn

import (
	"cmp"
	"maps"
	"slices"
	"time"

	recordv1 "flamingodoor.example/flamingodoor/gen/flamingodoor/record/v1"
)

// gapTolerance is the time between two intervals of a host that is not
// reported. At the end of the period a summary may still be on its way.
const (
	gapTolerance = time.Second
	endTolerance = 2 * DefaultInterval
)

// largest adds up values of a measure that every host takes of the whole
// fleet. Of the hosts' sums in one interval the largest counts.
type largest map[int64]map[string]float64

func (l largest) add(summary *recordv1.SummaryRecord, value float64) {
	slot := summary.GetTo().AsTime().Truncate(DefaultInterval).Unix()
	if l[slot] == nil {
		l[slot] = map[string]float64{}
	}
	l[slot][summary.GetHostId()] += value
}

func (l largest) sum() float64 {
	total := 0.0
	for _, hosts := range l {
		total += slices.Max(slices.Collect(maps.Values(hosts)))
	}
	return total
}

func downtimes(summaries []*recordv1.SummaryRecord) []GroupDowntime {
	groups := map[string]largest{}
	for _, summary := range summaries {
		for _, group := range summary.GetGroups() {
			if groups[group.GetGroupId()] == nil {
				groups[group.GetGroupId()] = largest{}
			}
			down := time.Duration(group.GetDownMs()) * time.Millisecond //nolint:gosec // A duration of 292 years does not occur.
			groups[group.GetGroupId()].add(summary, down.Seconds())
		}
	}
	list := make([]GroupDowntime, 0, len(groups))
	for _, id := range slices.Sorted(maps.Keys(groups)) {
		list = append(list, GroupDowntime{GroupID: id, DownSeconds: groups[id].sum()})
	}
	return list
}

func stranded(summaries []*recordv1.SummaryRecord) Stranded {
	var result Stranded
	hours := largest{}
	for _, summary := range summaries {
		interval := summary.GetTo().AsTime().Sub(summary.GetFrom().AsTime())
		hours.add(summary, float64(summary.GetStrandedAccelerators())*interval.Hours())
		result.Peak = max(result.Peak, summary.GetStrandedAccelerators())
	}
	result.AcceleratorHours = hours.sum()
	return result
}

// missing returns the gaps between the intervals of each host that has any in
// the period. The start of a host that joined during the period counts as
// missing, because the summaries do not tell it from a lost one.
func missing(summaries []*recordv1.SummaryRecord, from, to time.Time) []MissingInterval {
	covered := map[string]time.Time{}
	list := []MissingInterval{}
	for _, summary := range summaries {
		host := summary.GetHostId()
		until, known := covered[host]
		if !known {
			until = from
		}
		if start := summary.GetFrom().AsTime(); start.Sub(until) > gapTolerance {
			list = append(list, MissingInterval{HostID: host, From: until, To: start})
		}
		covered[host] = summary.GetTo().AsTime()
	}
	for host, until := range covered {
		if to.Sub(until) > endTolerance {
			list = append(list, MissingInterval{HostID: host, From: until, To: to})
		}
	}
	slices.SortFunc(list, func(a, b MissingInterval) int {
		return cmp.Or(cmp.Compare(a.HostID, b.HostID), a.From.Compare(b.From))
	})
	return list
}
