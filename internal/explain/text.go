package explain

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"
)

// WriteText writes the answer for a reader at a terminal.
func (a *Answer) WriteText(w io.Writer) error {
	writer := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	// Flush returns the error of the writes before it.
	_, _ = fmt.Fprintf(writer, "host:\t%s, configuration %d\n", a.Host, a.ConfigVersion)
	if a.Route != "" {
		_, _ = fmt.Fprintf(writer, "route:\t%s to service %s, model %s\n", a.Route, a.Service, orDash(a.Model))
		_, _ = fmt.Fprintf(writer, "priority:\t%d, from the %s %s\n", a.Priority, a.PrioritySource, a.priorityName())
		_, _ = fmt.Fprintf(writer, "queue:\t%s\n", a.Queue.text())
	}
	_, _ = fmt.Fprintf(writer, "outcome:\t%s\n", a.outcomeText())
	if err := writer.Flush(); err != nil || len(a.Candidates) == 0 {
		return err
	}
	return a.writeCandidates(w)
}

func (a *Answer) priorityName() string {
	if a.PrioritySource == PrioritySourceWorkspace {
		return a.Workspace
	}
	return a.Route
}

func (q Queue) text() string {
	turn := "not known"
	if q.TurnMS != nil {
		turn = "in " + milliseconds(*q.TurnMS)
	}
	return fmt.Sprintf("%d waiting, %d ahead, turn %s, waits at most %s", q.Waiting, q.Ahead, turn, milliseconds(q.MaxWaitMS))
}

func (a *Answer) outcomeText() string {
	switch {
	case a.Outcome == OutcomePlaced:
		return "placed at " + a.Choice
	case a.Refusal == nil:
		return a.Outcome.String()
	case a.Outcome == OutcomeWaits:
		return "waits; without a slot until then, refused with " + a.Refusal.text()
	default:
		return "refused with " + a.Refusal.text()
	}
}

func (r *Refusal) text() string {
	text := fmt.Sprintf("%d %s", r.Status, r.Reason)
	switch {
	case r.MaxRetryAfterMS == 0:
		return text
	case r.MinRetryAfterMS == r.MaxRetryAfterMS:
		return text + ", Retry-After " + milliseconds(r.MinRetryAfterMS)
	default:
		return text + ", Retry-After " + milliseconds(r.MinRetryAfterMS) + " to " + milliseconds(r.MaxRetryAfterMS)
	}
}

func (a *Answer) writeCandidates(w io.Writer) error {
	writer := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(writer, "\nINSTANCE\tGROUP\tDATA CENTRE\tIN FLIGHT\tOWN\tSPEED\tFIRST EVENT\tLOAD\tSTATE")
	for i := range a.Candidates {
		candidate := &a.Candidates[i]
		cells := []string{candidate.Instance, orDash(candidate.Group), candidate.DataCentre, "-", "-", "-", "-", "-", candidate.state(a.Choice)}
		if candidate.Capacity > 0 {
			cells[3] = fmt.Sprintf("%d/%d", candidate.InFlight, candidate.Capacity)
			cells[4] = fmt.Sprintf("%d/%d", candidate.OwnInFlight, candidate.OwnLimit)
			cells[5] = fmt.Sprintf("%d%%", candidate.SpeedPercent)
			cells[7] = fmt.Sprintf("%.3f", candidate.Load)
		}
		if candidate.PredictedMS > 0 {
			cells[6] = fmt.Sprintf("%.0f ms", candidate.PredictedMS)
		}
		_, _ = fmt.Fprintln(writer, strings.Join(cells, "\t"))
	}
	return writer.Flush()
}

// state returns the reason why the candidate is out, or whether it is chosen.
func (c *Candidate) state(choice string) string {
	switch {
	case c.Reason != ReasonNone && c.UntilMS > 0:
		return c.Reason.String() + " for " + milliseconds(c.UntilMS)
	case c.Reason != ReasonNone:
		return c.Reason.String()
	case c.Instance == choice:
		return "chosen"
	case c.MayBeChosen:
		return "free, may be chosen"
	default:
		return "free"
	}
}

func milliseconds(count int64) string {
	return (time.Duration(count) * time.Millisecond).String()
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
