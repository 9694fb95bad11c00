package ledger

import (
	"bufio"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"

	"flamingodoor.example/flamingodoor"
)

// maxLineBytes bounds a line of a log. Longer ones are an error.
const maxLineBytes = 1 << 20

// waitedShare is the part of the time to the first event, as one in so many, that a
// late request must have spent without a slot for its wait to be the cause.
const waitedShare = 2

// Reader collects the log lines of all entry hosts, in any order.
type Reader struct {
	losses []Loss
	// takenOver counts, by host and identifier, the requests that a host serves for
	// another one, where they are counted.
	takenOver map[string]int
	requests  map[time.Time]int // by second
	fleets    map[time.Time]map[string]Fleet
	answered  int
	left      int
	unread    int
}

// NewReader returns an empty Reader.
func NewReader() *Reader {
	return &Reader{takenOver: make(map[string]int), requests: make(map[time.Time]int), fleets: make(map[time.Time]map[string]Fleet)}
}

// line holds the fields of a log line by name.
type line map[string]string

// Read adds the lines of one or more logs. Text before the first field, such as that
// of a log collector, is ignored.
func (r *Reader) Read(logs io.Reader) error {
	scanner := bufio.NewScanner(logs)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		fields, ok := parse(scanner.Text())
		if !ok || !r.add(fields) {
			r.unread++
		}
	}
	if err := scanner.Err(); err != nil {
		return flamingodoor.NewError(flamingodoor.CodeInvalidRequest, flamingodoor.RunStateNotRun, err)
	}
	return nil
}

// parse returns the fields of a line, and false if it has no event.
func parse(text string) (line, bool) {
	decoder := logfmt.NewDecoder(strings.NewReader(text))
	fields := make(line)
	for decoder.ScanRecord() {
		for decoder.ScanKeyval() {
			fields[string(decoder.Key())] = string(decoder.Value())
		}
	}
	return fields, decoder.Err() == nil && fields["event"] != ""
}

// add counts a line. It returns false for one without a valid time.
func (r *Reader) add(fields line) bool {
	at, err := time.Parse(time.RFC3339Nano, fields["time"])
	if err != nil {
		return false
	}
	switch fields["event"] {
	case "request_taken_over":
		r.takenOver[fields.hostAndRequest()]++
	case "request":
		r.addRequest(fields, at)
	case "rejected":
		r.requests[at.Truncate(time.Second)]++
		r.losses = append(r.losses, Loss{Cause: rejectionCause(fields["reason"]), Outcome: OutcomeRefused, At: at})
	case "fleet":
		r.addFleet(fields, at)
	}
	return true
}

func (r *Reader) addRequest(fields line, at time.Time) {
	if key := fields.hostAndRequest(); r.takenOver[key] > 0 {
		r.takenOver[key]--
		return
	}
	result := fields["result"]
	r.requests[at.Truncate(time.Second)]++
	loss := Loss{Model: fields["model"], At: at}
	switch result {
	case "caller_left":
		r.left++
		return
	case "answered":
		r.answered++
		cause, late := lateCause(fields)
		if !late {
			return
		}
		loss.Cause, loss.Outcome = cause, OutcomeLate
	default:
		loss.Cause, loss.Outcome = failureCause(fields), OutcomeFailed
		if fields.number("status") == http.StatusServiceUnavailable {
			loss.Outcome = OutcomeRefused
		}
	}
	r.losses = append(r.losses, loss)
}

func (r *Reader) addFleet(fields line, at time.Time) {
	second := at.Truncate(time.Second)
	if r.fleets[second] == nil {
		r.fleets[second] = make(map[string]Fleet)
	}
	demand, _ := strconv.ParseFloat(fields["work"], 64)
	r.fleets[second][fields["model"]] = Fleet{
		Demand: demand, Groups: fields.number("groups"), Pending: fields.number("pending"), Free: fields.number("free"), Formable: fields.number("formable"),
	}
}

// hostAndRequest identifies a request at a host.
func (l line) hostAndRequest() string {
	return l["host"] + " " + l["request"]
}

// number returns a field as an integer, or -1 if it is none.
func (l line) number(name string) int {
	value, err := strconv.Atoi(l[name])
	if err != nil {
		return -1
	}
	return value
}

// rejectionCause returns the cause for the reason of a request that was refused
// before a route or key was accepted.
func rejectionCause(reason string) Cause {
	switch reason {
	case "no_route", "unknown_key":
		return CauseDenied
	case "no_configuration", "configuration_stale", "keys_unconfirmed":
		return CauseConfiguration
	}
	return CauseOther
}

// resultCauses are the causes that the result of a request shows.
var resultCauses = map[string]Cause{ //nolint:gochecknoglobals // a constant table
	"no_path":                  CauseNoPath,
	"prompt_crashes_endpoints": CausePrompt,
	"crashes_endpoints":        CausePrompt,
	"full":                     CauseFull,
	"no_instance":              CauseNoGroup,
	"stopping":                 CauseStop,
}

// errorCauses are the causes that a part of the latest error of a request shows.
var errorCauses = []struct { //nolint:gochecknoglobals // a constant table
	text  string
	cause Cause
}{
	{"retry budget", CauseRetryBudget},
	{"member of the group", CauseGroupLost},
	{"makes no progress", CauseGroupLost},
	{"at capacity", CauseFull},
	{"no instance is available", CauseNoGroup},
	{"reaches no instance", CauseNoPath},
	{"this host stops", CauseStop},
}

// failureCause returns the cause of a request that was refused or failed.
func failureCause(fields line) Cause {
	result := fields["result"]
	if cause, ok := resultCauses[result]; ok {
		return cause
	}
	for _, known := range errorCauses {
		if strings.Contains(fields["cause"], known.text) {
			return known.cause
		}
	}
	switch {
	case result == "deadline" || fields.number("left_ms") <= 0:
		return CauseDeadline
	case result == "endpoint_failed" || result == "broken_off":
		return CauseGroupLost
	}
	return CauseOther
}

// fullCause tells why a model at capacity has no further group.
func (f Fleet) fullCause() Cause {
	switch {
	case f.Pending > 0:
		return CauseFullWhileForming
	case f.Formable > 0:
		return CauseFullBesideFree
	}
	return CauseFull
}

// lateCause reports whether the answer of a request began later than its route's
// objective, and why.
func lateCause(fields line) (Cause, bool) {
	objective, first := fields.number("objective_ms"), fields.number("first_ms")
	if fields.number("events") == 0 {
		first = fields.number("took_ms")
	}
	switch placed := fields.number("placed_ms"); {
	case objective <= 0 || first <= objective:
		return 0, false
	case fields.number("sends") > 1:
		return CauseGroupLost, true
	case placed*waitedShare >= first:
		return CauseWaited, true
	}
	return CauseSlow, true
}

// Report returns the ledger of the lines that were read.
func (r *Reader) Report() Report {
	seconds := slices.SortedFunc(maps.Keys(r.requests), time.Time.Compare)
	report := Report{Answered: r.answered, Left: r.left, Unread: r.unread}
	if len(seconds) == 0 {
		return report
	}
	report.From, report.To = seconds[0], seconds[len(seconds)-1].Add(time.Second)
	index := make(map[time.Time]int)
	var fleet map[string]Fleet
	for second := report.From; second.Before(report.To); second = second.Add(time.Second) {
		if latest, ok := r.fleets[second]; ok {
			fleet = latest
		}
		index[second] = len(report.Seconds)
		report.Requests += r.requests[second]
		report.Seconds = append(report.Seconds, Second{At: second, Requests: r.requests[second], Lost: make(map[Cause]int), Fleet: fleet})
	}
	losses := slices.Clone(r.losses)
	for i, loss := range losses {
		second := &report.Seconds[index[loss.At.Truncate(time.Second)]]
		if loss.Cause == CauseFull {
			losses[i].Cause = second.Fleet[loss.Model].fullCause()
		}
		second.Lost[losses[i].Cause]++
	}
	report.Entries = collect(losses)
	return report
}
