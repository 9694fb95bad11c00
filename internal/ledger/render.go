package ledger

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"html/template"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"flamingodoor.example/flamingodoor"
)

// Size of a plot in the HTML report, in pixels.
const (
	plotWidth  = 640
	plotHeight = 120
)

//go:embed report.html
var reportTemplate string

var reportPage = template.Must(template.New("report").Funcs(template.FuncMap{
	"stamp": formatTime, "width": func() int { return plotWidth }, "height": func() int { return plotHeight },
}).Parse(reportTemplate))

// plot is a diagram of values by second.
type plot struct {
	Title  string
	Peak   float64
	Series []series
}

// series is one line of a plot.
type series struct {
	Name   string
	Colour string
	Points string // of an SVG polyline
	values []float64
}

// WriteJSON writes the report as JSON in snake case.
func (r *Report) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return wrapWriteError(encoder.Encode(r))
}

// WriteText writes the report as tables.
func (r *Report) WriteText(w io.Writer) error {
	var b strings.Builder
	_, _ = fmt.Fprintf(&b, "Requests from %s to %s: %d; answered %d, late %d, refused %d, failed %d, left by the caller %d\n",
		formatTime(r.From), formatTime(r.To), r.Requests, r.Answered, r.Count(OutcomeLate), r.Count(OutcomeRefused), r.Count(OutcomeFailed), r.Left)
	if r.Unread > 0 {
		_, _ = fmt.Fprintf(&b, "Lines without an event or a time: %d\n", r.Unread)
	}
	table := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "\nCAUSE\tOUTCOME\tMODEL\tREQUESTS\tSHARE\tWORST SECOND")
	for _, entry := range r.Entries {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%.1f%%\t%s\n", entry.Cause, entry.Outcome, orDash(entry.Model), entry.Count,
			100*float64(entry.Count)/float64(max(1, r.Requests)), formatTime(entry.Peak))
	}
	_, _ = fmt.Fprintln(table, "\nSECOND\tREQUESTS\tLOST\tCAUSES\tGROUPS\tDEMAND\tFREE")
	for _, second := range r.Seconds {
		lost, causes := second.describe()
		groups, demand, free := second.describeFleet()
		_, _ = fmt.Fprintf(table, "%s\t%d\t%d\t%s\t%s\t%s\t%d\n", formatTime(second.At), second.Requests, lost, orDash(causes), orDash(groups), orDash(demand), free)
	}
	_ = table.Flush()
	_, err := io.WriteString(w, b.String())
	return wrapWriteError(err)
}

// describe returns the number of lost requests of a second, and their causes.
func (s Second) describe() (lost int, causes string) {
	names := make([]string, 0, len(s.Lost))
	for _, cause := range slices.Sorted(maps.Keys(s.Lost)) {
		lost += s.Lost[cause]
		names = append(names, fmt.Sprintf("%s %d", cause, s.Lost[cause]))
	}
	return lost, strings.Join(names, ", ")
}

// describeFleet returns the groups and the demand by model, and the free instances.
func (s Second) describeFleet() (groups, demand string, free int) {
	counts, works := make([]string, 0, len(s.Fleet)), make([]string, 0, len(s.Fleet))
	for _, model := range slices.Sorted(maps.Keys(s.Fleet)) {
		fleet := s.Fleet[model]
		counts = append(counts, fmt.Sprintf("%s %d", model, fleet.Groups))
		works = append(works, fmt.Sprintf("%.1f", fleet.Demand))
		free = max(free, fleet.Free)
	}
	return strings.Join(counts, ", "), strings.Join(works, ", "), free
}

// WriteHTML writes the report as one HTML page that loads no other resources.
func (r *Report) WriteHTML(w io.Writer) error {
	return wrapWriteError(reportPage.Execute(w, struct {
		*Report

		Late, Refused, Failed int
		Plots                 []plot
	}{Report: r, Late: r.Count(OutcomeLate), Refused: r.Count(OutcomeRefused), Failed: r.Count(OutcomeFailed), Plots: r.plots()}))
}

// plots returns the lost requests by cause, and the demand and fleet of each model.
func (r *Report) plots() []plot {
	colours := []string{"#1f5fa8", "#b00020", "#2e7d32", "#ef6c00", "#6a1b9a", "#00838f", "#5d4037", "#37474f"}
	causes := make(map[Cause]bool)
	models := make(map[string]bool)
	for _, second := range r.Seconds {
		for cause := range second.Lost {
			causes[cause] = true
		}
		for model := range second.Fleet {
			models[model] = true
		}
	}
	lost := plot{Title: "Requests lost a second, by cause"}
	for i, cause := range slices.Sorted(maps.Keys(causes)) {
		lost.Series = append(lost.Series, r.series(cause.String(), colours[i%len(colours)], func(second Second) float64 { return float64(second.Lost[cause]) }))
	}
	plots := append(make([]plot, 0, 1+len(models)), lost)
	for _, model := range slices.Sorted(maps.Keys(models)) {
		plots = append(plots, plot{Title: "Model " + model, Series: []series{
			r.series("demand, engine seconds a second", colours[0], func(second Second) float64 { return second.Fleet[model].Demand }),
			r.series("groups that serve", colours[2], func(second Second) float64 { return float64(second.Fleet[model].Groups) }),
			r.series("groups that form", colours[3], func(second Second) float64 { return float64(second.Fleet[model].Pending) }),
			r.series("free instances", colours[1], func(second Second) float64 { return float64(second.Fleet[model].Free) }),
		}})
	}
	for i := range plots {
		plots[i].scale()
	}
	return plots
}

func (r *Report) series(name, colour string, value func(second Second) float64) series {
	values := make([]float64, 0, len(r.Seconds))
	for _, second := range r.Seconds {
		values = append(values, value(second))
	}
	return series{Name: name, Colour: colour, values: values}
}

// scale sets the points of all series so that the highest value reaches the top.
func (p *plot) scale() {
	for _, line := range p.Series {
		p.Peak = max(p.Peak, slices.Max(line.values))
	}
	for i, line := range p.Series {
		points := make([]string, 0, len(line.values))
		for x, value := range line.values {
			points = append(points, fmt.Sprintf("%.1f,%.1f", plotWidth*float64(x)/float64(max(1, len(line.values)-1)), plotHeight*(1-value/max(1, p.Peak))))
		}
		p.Series[i].Points = strings.Join(points, " ")
	}
}

func formatTime(at time.Time) string {
	return at.UTC().Format("15:04:05")
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

func wrapWriteError(err error) error {
	if err == nil {
		return nil
	}
	return flamingodoor.NewError(flamingodoor.CodeInternal, flamingodoor.RunStateRan, err)
}
