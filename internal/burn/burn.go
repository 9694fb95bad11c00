// Package burn counts requests against service-level objectives and computes
// how fast each club uses its error budget.
package burn

import (
	"cmp"
	"slices"
	"time"

	recordv1 "flamingodoor.example/flamingodoor/gen/flamingodoor/record/v1"
)

// Indicator names what an objective measures.
type Indicator string

// Indicators.
const (
	IndicatorAvailability  Indicator = "availability"
	IndicatorFirstToken    Indicator = "first_token"
	IndicatorBetweenTokens Indicator = "between_tokens"
)

// Limits above which a latency counts as slow. Collectors apply them, so all
// hosts of a deployment must use the same.
const (
	DefaultFirstTokenLimit    = 500 * time.Millisecond
	DefaultBetweenTokensLimit = 25 * time.Millisecond
)

// DefaultInterval is the time that one summary covers.
const DefaultInterval = time.Minute

// rateTolerance absorbs rounding: 5 bad events of 100 reach burn rate 1 of a
// target of 95%.
const rateTolerance = 1e-9

// smallestBudget keeps the burn rate of a target of 100% finite.
const smallestBudget = 1e-9

// Objective is a target for an indicator.
type Objective struct {
	Indicator Indicator `json:"indicator"`
	// Target is the fraction of good events, 0 to 1.
	Target float64 `json:"target"`
}

// DefaultObjectives returns the objectives of section 1.3 of the design, and
// an availability of 99.9%.
func DefaultObjectives() []Objective {
	return []Objective{
		{Indicator: IndicatorAvailability, Target: 0.999},
		{Indicator: IndicatorFirstToken, Target: 0.95},
		{Indicator: IndicatorBetweenTokens, Target: 0.95},
	}
}

// window is a pair of windows that alert together: the long one shows that
// much budget is gone, the short one that it is still being used. The
// thresholds are those of the Google SRE workbook for a budget of 30 days.
type window struct {
	long, short time.Duration
	threshold   float64
}

var windows = []window{
	{long: time.Hour, short: 5 * time.Minute, threshold: 14.4},
	{long: 6 * time.Hour, short: 30 * time.Minute, threshold: 6},
	{long: 72 * time.Hour, short: 6 * time.Hour, threshold: 1},
}

// LongestWindow is the time before the end of a report from which summaries
// are needed for every window.
const LongestWindow = 72 * time.Hour

// Report is the burn of all clubs over a period.
type Report struct {
	From     time.Time       `json:"from"`
	To       time.Time       `json:"to"`
	Clubs    []ClubReport    `json:"clubs"`
	Groups   []GroupDowntime `json:"groups"`
	Stranded Stranded        `json:"stranded"`
	// Missing lists the times for which a host has no summary. Requests of
	// these times are not counted.
	Missing []MissingInterval `json:"missing_intervals"`
}

// ClubReport is the burn of one club.
type ClubReport struct {
	ClubID     string            `json:"club_id"`
	Objectives []ObjectiveReport `json:"objectives"`
}

// ObjectiveReport is the burn of one objective of a club.
type ObjectiveReport struct {
	Objective
	Events uint64 `json:"events"`
	Bad    uint64 `json:"bad"`
	// Achieved is the fraction of good events; 1 without events.
	Achieved float64 `json:"achieved"`
	// BudgetUsed is the fraction of the budget that the period used.
	BudgetUsed float64        `json:"budget_used"`
	Windows    []WindowReport `json:"windows"`
	// Series is the burn rate in equal parts of the period.
	Series []float64 `json:"series"`
}

// WindowReport holds the burn rates at the end of the period.
type WindowReport struct {
	LongSeconds  float64 `json:"long_seconds"`
	ShortSeconds float64 `json:"short_seconds"`
	Threshold    float64 `json:"threshold"`
	LongRate     float64 `json:"long_rate"`
	ShortRate    float64 `json:"short_rate"`
	// Alert means that both rates reach the threshold.
	Alert bool `json:"alert"`
}

// GroupDowntime is the time in which a group did not serve.
type GroupDowntime struct {
	GroupID     string  `json:"group_id"`
	DownSeconds float64 `json:"down_seconds"`
}

// Stranded tells how many accelerators stood outside serving groups.
type Stranded struct {
	AcceleratorHours float64 `json:"accelerator_hours"`
	Peak             uint32  `json:"peak"`
}

// MissingInterval is a time without a summary of a host.
type MissingInterval struct {
	HostID string    `json:"host_id"`
	From   time.Time `json:"from"`
	To     time.Time `json:"to"`
}

// seriesParts is the number of points of a plot.
const seriesParts = 60

// Compute returns the burn over the period. Summaries from before the period
// count for the windows that reach back beyond it. An interval belongs to the
// period or window in which it ends.
func Compute(summaries []*recordv1.SummaryRecord, objectives []Objective, from, to time.Time) Report {
	summaries = distinct(summaries)
	period := within(summaries, from, to)
	report := Report{
		From:     from,
		To:       to,
		Clubs:    []ClubReport{},
		Groups:   downtimes(period),
		Stranded: stranded(period),
		Missing:  missing(period, from, to),
	}
	for _, clubID := range clubsOf(period) {
		club := ClubReport{ClubID: clubID}
		for _, objective := range objectives {
			club.Objectives = append(club.Objectives, compute(summaries, clubID, objective, from, to))
		}
		report.Clubs = append(report.Clubs, club)
	}
	return report
}

func compute(summaries []*recordv1.SummaryRecord, clubID string, objective Objective, from, to time.Time) ObjectiveReport {
	total := count(within(summaries, from, to), clubID, objective.Indicator)
	report := ObjectiveReport{
		Objective:  objective,
		Events:     total.events,
		Bad:        total.bad,
		Achieved:   1 - total.badFraction(),
		BudgetUsed: total.rate(objective),
	}
	for _, window := range windows {
		limit := window.threshold - rateTolerance
		long := count(within(summaries, to.Add(-window.long), to), clubID, objective.Indicator).rate(objective)
		short := count(within(summaries, to.Add(-window.short), to), clubID, objective.Indicator).rate(objective)
		report.Windows = append(report.Windows, WindowReport{
			LongSeconds:  window.long.Seconds(),
			ShortSeconds: window.short.Seconds(),
			Threshold:    window.threshold,
			LongRate:     long,
			ShortRate:    short,
			Alert:        long >= limit && short >= limit,
		})
	}
	part := to.Sub(from) / seriesParts
	for i := range seriesParts {
		start := from.Add(time.Duration(i) * part)
		report.Series = append(report.Series, count(within(summaries, start, start.Add(part)), clubID, objective.Indicator).rate(objective))
	}
	return report
}

// events counts the events of an indicator.
type events struct {
	events, bad uint64
}

func (e events) badFraction() float64 {
	if e.events == 0 {
		return 0
	}
	return float64(e.bad) / float64(e.events)
}

// rate returns the burn rate: 1 uses exactly the budget of the time counted.
func (e events) rate(objective Objective) float64 {
	return e.badFraction() / max(1-objective.Target, smallestBudget)
}

func count(summaries []*recordv1.SummaryRecord, clubID string, indicator Indicator) events {
	var total events
	for _, summary := range summaries {
		for _, club := range summary.GetClubs() {
			if club.GetClubId() != clubID {
				continue
			}
			switch indicator {
			case IndicatorAvailability:
				total.events += club.GetRequests()
				total.bad += club.GetFailed()
			case IndicatorFirstToken:
				total.events += club.GetFirstTokens()
				total.bad += club.GetFirstTokenSlow()
			case IndicatorBetweenTokens:
				total.events += club.GetTokens()
				total.bad += club.GetTokensSlow()
			}
		}
	}
	return total
}

// distinct returns the summaries in the order in which they end, without
// copies. An append whose response was lost is repeated.
func distinct(summaries []*recordv1.SummaryRecord) []*recordv1.SummaryRecord {
	type interval struct {
		host     string
		from, to int64
	}
	seen := map[interval]bool{}
	list := make([]*recordv1.SummaryRecord, 0, len(summaries))
	for _, summary := range summaries {
		key := interval{
			host: summary.GetHostId(),
			from: summary.GetFrom().AsTime().UnixNano(),
			to:   summary.GetTo().AsTime().UnixNano(),
		}
		if !seen[key] {
			seen[key] = true
			list = append(list, summary)
		}
	}
	slices.SortStableFunc(list, func(a, b *recordv1.SummaryRecord) int {
		return a.GetTo().AsTime().Compare(b.GetTo().AsTime())
	})
	return list
}

// within returns the summaries that end after from and not after to. They
// must be sorted.
func within(summaries []*recordv1.SummaryRecord, from, to time.Time) []*recordv1.SummaryRecord {
	endsAfter := func(limit time.Time) int {
		first, _ := slices.BinarySearchFunc(summaries, limit, func(summary *recordv1.SummaryRecord, limit time.Time) int {
			if summary.GetTo().AsTime().After(limit) {
				return 1
			}
			return -1
		})
		return first
	}
	return summaries[endsAfter(from):max(endsAfter(from), endsAfter(to))]
}

func clubsOf(summaries []*recordv1.SummaryRecord) []string {
	var list []string
	for _, summary := range summaries {
		for _, club := range summary.GetClubs() {
			list = append(list, club.GetClubId())
		}
	}
	slices.SortFunc(list, cmp.Compare[string])
	return slices.Compact(list)
}
