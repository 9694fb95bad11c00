package ledger_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor/internal/ledger"
)

// fleetLine is what the leader states in second 5.
const fleetLine = "event=fleet service=llm model=%s groups=2 work=3.5 listed=9 free=%d formable=%d pending=%d"

// logLine returns a line of a host's log in second 5 of a minute.
func logLine(host, fields string) string {
	return fmt.Sprintf("level=info time=2026-12-05T10:00:05.25Z host=%s %s", host, fields)
}

// Each request that is not answered in time has one cause, whatever else the lines of
// the same second say.
func TestCauses(t *testing.T) {
	forming, formable, bound := fmt.Sprintf(fleetLine, "forming", 5, 1, 1), fmt.Sprintf(fleetLine, "formable", 5, 1, 0), fmt.Sprintf(fleetLine, "bound", 5, 0, 0)
	for _, test := range []struct {
		fields  string
		cause   ledger.Cause
		outcome ledger.Outcome
	}{
		{`event=rejected reason=keys_unconfirmed`, ledger.CauseConfiguration, ledger.OutcomeRefused},
		{`event=rejected reason=no_route`, ledger.CauseDenied, ledger.OutcomeRefused},
		{`event=rejected reason=body_too_large`, ledger.CauseOther, ledger.OutcomeRefused},
		{`event=request model=forming result=full status=503`, ledger.CauseFullWhileForming, ledger.OutcomeRefused},
		{`event=request model=formable result=full status=503`, ledger.CauseFullBesideFree, ledger.OutcomeRefused},
		{`event=request model=bound result=full status=503`, ledger.CauseFull, ledger.OutcomeRefused},
		{`event=request model=bound result=no_instance status=503`, ledger.CauseNoGroup, ledger.OutcomeRefused},
		{`event=request result=no_path status=503`, ledger.CauseNoPath, ledger.OutcomeRefused},
		{`event=request result=prompt_crashes_endpoints status=503`, ledger.CausePrompt, ledger.OutcomeRefused},
		{`event=request result=stopping status=504`, ledger.CauseStop, ledger.OutcomeFailed},
		{`event=request result=endpoint_failed status=502 cause="the retry budget is used up"`, ledger.CauseRetryBudget, ledger.OutcomeFailed},
		{`event=request result=broken_off status=200 cause="a member of the group does not respond"`, ledger.CauseGroupLost, ledger.OutcomeFailed},
		{`event=request result=broken_off status=200 cause=broken left_ms=100`, ledger.CauseGroupLost, ledger.OutcomeFailed},
		{`event=request result=broken_off status=200 left_ms=0`, ledger.CauseDeadline, ledger.OutcomeFailed},
		{`event=request result=answered sends=1 events=9 placed_ms=300 first_ms=400 objective_ms=200`, ledger.CauseWaited, ledger.OutcomeLate},
		{`event=request result=answered sends=1 events=9 placed_ms=10 first_ms=400 objective_ms=200`, ledger.CauseSlow, ledger.OutcomeLate},
		{`event=request result=answered sends=2 events=9 placed_ms=10 first_ms=400 objective_ms=200`, ledger.CauseGroupLost, ledger.OutcomeLate},
		{`event=request result=answered sends=1 events=0 placed_ms=10 first_ms=-1 took_ms=400 objective_ms=200`, ledger.CauseSlow, ledger.OutcomeLate},
	} {
		t.Run(test.fields, func(t *testing.T) {
			reader := ledger.NewReader()
			lines := []string{logLine("h1", test.fields), logLine("h2", forming), logLine("h2", formable), logLine("h2", bound)}
			assert.NilError(t, reader.Read(strings.NewReader(strings.Join(lines, "\n"))))
			report := reader.Report()
			assert.Equal(t, len(report.Entries), 1)
			entry := report.Entries[0]
			assert.Equal(t, entry.Cause, test.cause, "%s", entry.Cause)
			assert.Equal(t, entry.Outcome, test.outcome, "%s", entry.Outcome)
			assert.Equal(t, report.Seconds[0].Lost[test.cause], 1)
		})
	}
}

// A request that went through another host counts once, at the host that its caller
// chose, and lines of other programs are counted as unread.
func TestRequestsCountOnce(t *testing.T) {
	reader := ledger.NewReader()
	lines := []string{
		"12.5 edge-1 " + logLine("h1", "event=request request=a result=answered sends=1 events=3 first_ms=10 objective_ms=200"),
		logLine("h2", "event=request_taken_over request=a via=h1"),
		logLine("h2", "event=request request=a result=answered sends=1 events=3 first_ms=8 objective_ms=200"),
		logLine("h2", "event=request request=a result=full status=503"), // the caller's repeat
		logLine("h1", "event=request request=b result=caller_left status=0"),
		"the load balancer starts",
	}
	assert.NilError(t, reader.Read(strings.NewReader(strings.Join(lines, "\n"))))
	report := reader.Report()
	assert.Equal(t, report.Requests, 3)
	assert.Equal(t, report.Answered, 1)
	assert.Equal(t, report.Left, 1)
	assert.Equal(t, report.Count(ledger.OutcomeRefused), 1)
	assert.Equal(t, report.Unread, 1)
	var text, page bytes.Buffer
	assert.NilError(t, report.WriteText(&text))
	assert.Assert(t, strings.Contains(text.String(), "full"), text.String())
	assert.NilError(t, report.WriteHTML(&page))
	assert.Assert(t, strings.Contains(page.String(), "<polyline"))
}
