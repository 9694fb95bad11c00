// Package burn counts requests against service-level objectives and computes
// the burn rate of each club: how fast it uses up its error budget.
package burn

import (
	"cmp"
	"slices"
	"time"

	recordv1 "flamingodoor.example/flamingodoor/gen/flamingodoor/record/v1"
)

// Indicator is the measure that an objective sets a target for.
type Indicator string

// Indicators: the shares of requests without a failure, of first tokens in time
// and of later tokens in time.
const (
	IndicatorAvailability  Indicator = "availability"
	IndicatorFirstToken    Indicator = "first_token"
	IndicatorBetweenTokens Indicator = "between_tokens"
)

// Latencies above these limits count as slow. Collectors apply the limits, so all
// hosts of a deployment must use the same ones.
const (
	DefaultFirstTokenLimit    = 500 * time.Millisecond
	DefaultBetweenTokensLimit = 25 * time.Millisecond
)

// DefaultInterval is the default length of the interval of one summary.
const DefaultInterval = time.Minute

// rateTolerance absorbs rounding errors, so that 5 bad events of 100 reach burn
// rate 1 for a target of 95%.
const rateTolerance = 1e-9

// minBudget keeps the burn rate finite for a target of 100%.
const minBudget = 1e-9

// Objective is a target for the good events of an indicator.
type Objective struct {
	Indicator Indicator `json:"indicator"`
	// Target is the fraction of good events, 0 to 1.
	Target float64 `json:"target"`
}

// DefaultObjectives returns the latency objectives of docs/design.md, section
// 1.3, and an availability of 99.9%.
func DefaultObjectives() []Objective {
	return []Objective{
		{Indicator: IndicatorAvailability, Target: 0.999},
		{Indicator: IndicatorFirstToken, Target: 0.95},
		{Indicator: IndicatorBetweenTokens, Target: 0.95},
	}
}

// windowPair is a pair of windows that alert together: the long one shows that
// much of the budget is used, the short one that the use continues. The
// thresholds are those of the Google SRE workbook for a budget of 30 days.
type windowPair struct {
	long, short time.Duration
	threshold   float64
}

var alertWindows = []windowPair{
	{long: time.Hour, short: 5 * time.Minute, threshold: 14.4},
	{long: 6 * time.Hour, short: 30 * time.Minute, threshold: 6},
	{long: 72 * time.Hour, short: 6 * time.Hour, threshold: 1},
}

// LongestWindow is the length of the longest window. A report needs the summaries
// of this time before its end.
const LongestWindow = 72 * time.Hour

// Report holds the burn rates of all clubs, the downtime of the groups and the
// stranded accelerators of a period.
type Report struct {
	From     time.Time       `json:"from"`
	To       time.Time       `json:"to"`
	Clubs    []ClubReport    `json:"clubs"`
	Groups   []GroupDowntime `json:"groups"`
	Stranded Stranded        `json:"stranded"`
	// Missing lists the intervals for which a host has no summary. Requests in
	// these intervals are not counted.
	Missing []MissingInterval `json:"missing_intervals"`
}

// ClubReport holds the objectives of one club.
type ClubReport struct {
	ClubID     string            `json:"club_id"`
	Objectives []ObjectiveReport `json:"objectives"`
}

// ObjectiveReport shows how far a club meets one objective.
type ObjectiveReport struct {
	Objective
	Events uint64 `json:"events"`
	Bad    uint64 `json:"bad"`
	// Achieved is the fraction of good events; 1 without events.
	Achieved float64 `json:"achieved"`
	// BudgetUsed is the fraction of the budget that was used in the period.
	BudgetUsed float64        `json:"budget_used"`
	Windows    []WindowReport `json:"windows"`
	// Series holds the burn rates of equal parts of the period.
	Series []float64 `json:"series"`
}

// WindowReport holds the burn rates of a pair of windows at the end of the
// period.
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

// Stranded counts the accelerators that belonged to no serving group.
type Stranded struct {
	AcceleratorHours float64 `json:"accelerator_hours"`
	Peak             uint32  `json:"peak"`
}

// MissingInterval is an interval for which a host has no summary.
type MissingInterval struct {
	HostID string    `json:"host_id"`
	From   time.Time `json:"from"`
	To     time.Time `json:"to"`
}

// seriesPoints is the number of burn rates in a series.
const seriesPoints = 60

// Compute returns the report of a period. Windows that begin before the period use
// earlier summaries too. An interval belongs to the period or window in which it
// ends.
func Compute(summaries []*recordv1.SummaryRecord, objectives []Objective, from, to time.Time) Report {
	summaries = deduplicate(summaries)
	period := endingWithin(summaries, from, to)
	report := Report{
		From:     from,
		To:       to,
		Clubs:    []ClubReport{},
		Groups:   groupDowntimes(period),
		Stranded: strandedAccelerators(period),
		Missing:  missingIntervals(period, from, to),
	}
	for _, clubID := range clubsOf(period) {
		club := ClubReport{ClubID: clubID}
		for _, objective := range objectives {
			club.Objectives = append(club.Objectives, computeObjective(summaries, clubID, objective, from, to))
		}
		report.Clubs = append(report.Clubs, club)
	}
	return report
}

func computeObjective(summaries []*recordv1.SummaryRecord, clubID string, objective Objective, from, to time.Time) ObjectiveReport {
	total := countEvents(endingWithin(summaries, from, to), clubID, objective.Indicator)
	report := ObjectiveReport{
		Objective:  objective,
		Events:     total.all,
		Bad:        total.bad,
		Achieved:   1 - total.badFraction(),
		BudgetUsed: total.rate(objective),
	}
	for _, window := range alertWindows {
		limit := window.threshold - rateTolerance
		long := countEvents(endingWithin(summaries, to.Add(-window.long), to), clubID, objective.Indicator).rate(objective)
		short := countEvents(endingWithin(summaries, to.Add(-window.short), to), clubID, objective.Indicator).rate(objective)
		report.Windows = append(report.Windows, WindowReport{
			LongSeconds:  window.long.Seconds(),
			ShortSeconds: window.short.Seconds(),
			Threshold:    window.threshold,
			LongRate:     long,
			ShortRate:    short,
			Alert:        long >= limit && short >= limit,
		})
	}
	part := to.Sub(from) / seriesPoints
	for i := range seriesPoints {
		start := from.Add(time.Duration(i) * part)
		report.Series = append(report.Series, countEvents(endingWithin(summaries, start, start.Add(part)), clubID, objective.Indicator).rate(objective))
	}
	return report
}

// eventCount counts the events of an indicator.
type eventCount struct {
	all, bad uint64
}

func (c eventCount) badFraction() float64 {
	if c.all == 0 {
		return 0
	}
	return float64(c.bad) / float64(c.all)
}

// rate returns the burn rate. A rate of 1 uses exactly the budget of the time
// that was counted.
func (c eventCount) rate(objective Objective) float64 {
	return c.badFraction() / max(1-objective.Target, minBudget)
}

func countEvents(summaries []*recordv1.SummaryRecord, clubID string, indicator Indicator) eventCount {
	var total eventCount
	for _, summary := range summaries {
		for _, club := range summary.GetClubs() {
			if club.GetClubId() != clubID {
				continue
			}
			switch indicator {
			case IndicatorAvailability:
				total.all += club.GetRequests()
				total.bad += club.GetFailed()
			case IndicatorFirstToken:
				total.all += club.GetFirstTokens()
				total.bad += club.GetFirstTokenSlow()
			case IndicatorBetweenTokens:
				total.all += club.GetTokens()
				total.bad += club.GetTokensSlow()
			}
		}
	}
	return total
}

// deduplicate returns the summaries sorted by their end, without duplicates. A
// summary is appended twice if the response to the first append is lost.
func deduplicate(summaries []*recordv1.SummaryRecord) []*recordv1.SummaryRecord {
	type intervalKey struct {
		host     string
		from, to int64
	}
	seen := map[intervalKey]bool{}
	list := make([]*recordv1.SummaryRecord, 0, len(summaries))
	for _, summary := range summaries {
		key := intervalKey{
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

// endingWithin returns the summaries that end after from and not after to. The
// summaries must be sorted by their end.
func endingWithin(summaries []*recordv1.SummaryRecord, from, to time.Time) []*recordv1.SummaryRecord {
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
