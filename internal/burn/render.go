package burn

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"html/template"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"flamingodoor.example/flamingodoor"
)

// Size of a plot in the HTML report, in pixels. report.html repeats these values.
const (
	plotWidth  = 360
	plotHeight = 60
)

//go:embed report.html
var reportTemplate string

var reportPage = template.Must(template.New("report").Funcs(template.FuncMap{
	"percent": formatPercent,
	"seconds": formatSeconds,
	"stamp":   formatTime,
	"points":  polylinePoints,
	"peak":    peakRate,
	"limit":   budgetLine,
}).Parse(reportTemplate))

// WriteJSON writes the report as JSON in snake case.
func (r Report) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return wrapWriteError(encoder.Encode(r))
}

// WriteHTML writes the report as one HTML page that loads no other resources.
func (r Report) WriteHTML(w io.Writer) error {
	return wrapWriteError(reportPage.Execute(w, r))
}

// WriteText writes the report as tables.
func (r Report) WriteText(w io.Writer) error {
	var b strings.Builder
	_, _ = fmt.Fprintf(&b, "Service-level burn from %s to %s\n\n", formatTime(r.From), formatTime(r.To))
	table := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "CLUB\tOBJECTIVE\tTARGET\tACHIEVED\tBUDGET USED\tBURN 1H/5M\t6H/30M\t3D/6H\tALERT")
	for _, club := range r.Clubs {
		for _, objective := range club.Objectives {
			_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s", club.ClubID, objective.Indicator,
				formatPercent(objective.Target), formatPercent(objective.Achieved), formatPercent(objective.BudgetUsed))
			for _, window := range objective.Windows {
				_, _ = fmt.Fprintf(table, "\t%.1f/%.1f", window.LongRate, window.ShortRate)
			}
			_, _ = fmt.Fprintf(table, "\t%s\n", alertText(objective))
		}
	}
	_ = table.Flush()
	_, _ = fmt.Fprintf(&b, "\nStranded accelerators: %.1f accelerator hours, peak %d\n", r.Stranded.AcceleratorHours, r.Stranded.Peak)
	for _, group := range r.Groups {
		_, _ = fmt.Fprintf(&b, "Group %s: down %s\n", group.GroupID, formatSeconds(group.DownSeconds))
	}
	for _, interval := range r.Missing {
		_, _ = fmt.Fprintf(&b, "No summary of %s from %s to %s\n", interval.HostID, formatTime(interval.From), formatTime(interval.To))
	}
	_, err := io.WriteString(w, b.String())
	return wrapWriteError(err)
}

// wrapWriteError adds a code to the error of a write; nil stays nil.
func wrapWriteError(err error) error {
	if err == nil {
		return nil
	}
	return flamingodoor.NewError(flamingodoor.CodeInternal, flamingodoor.RunStateRan, err)
}

func alertText(objective ObjectiveReport) string {
	for _, window := range objective.Windows {
		if window.Alert {
			return "yes"
		}
	}
	return "no"
}

func formatPercent(fraction float64) string {
	return fmt.Sprintf("%.2f%%", 100*fraction)
}

func formatSeconds(value float64) string {
	return time.Duration(value * float64(time.Second)).Round(time.Second).String()
}

func formatTime(at time.Time) string {
	return at.UTC().Format(time.RFC3339)
}

// peakRate returns the highest burn rate of a series. It is at least 1, so that
// the line of burn rate 1 lies within the plot.
func peakRate(series []float64) float64 {
	highest := 1.0
	for _, rate := range series {
		highest = max(highest, rate)
	}
	return highest
}

// polylinePoints returns the points of the SVG polyline of a series.
func polylinePoints(series []float64) string {
	var b strings.Builder
	for i, rate := range series {
		x := float64(i) * plotWidth / float64(max(1, len(series)-1))
		_, _ = fmt.Fprintf(&b, "%.1f,%.1f ", x, plotHeight*(1-rate/peakRate(series)))
	}
	return strings.TrimSpace(b.String())
}

// budgetLine returns the y coordinate of burn rate 1 in the plot of a series.
func budgetLine(series []float64) string {
	return fmt.Sprintf("%.1f", plotHeight*(1-1/peakRate(series)))
}
