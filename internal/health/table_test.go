package health_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/health"
)

var start = time.Unix(1000, 0)

func evidence(watcher string, at time.Time, report flamingodoor.Report) flamingodoor.Evidence {
	return flamingodoor.Evidence{
		EndpointID: "e", Watcher: watcher, Report: report, ProbedAt: at, Deadline: at.Add(health.Validity),
	}
}

// Guards against an earlier probe of another watcher overriding a later one,
// and against evidence that is valid for more than 3 s.
func TestLatestProbeWins(t *testing.T) {
	table := health.New()
	table.Record(evidence("b", start.Add(time.Second), flamingodoor.Report{Incarnation: "1", State: flamingodoor.EndpointStateCold}))
	table.Record(evidence("a", start, flamingodoor.Report{Incarnation: "1", State: flamingodoor.EndpointStateWarm}))

	got, ok := table.Endpoint("e", start.Add(2*time.Second))
	assert.Assert(t, ok)
	assert.Equal(t, got.Report.State, flamingodoor.EndpointStateCold)
	assert.Equal(t, got.Watchers, 2)
	_, ok = table.Endpoint("e", start.Add(4*time.Second))
	assert.Assert(t, !ok)
}

// Guards against evidence from before a failure, own or from peers, that makes
// the endpoint usable again.
func TestInvalidatedEndpointNeedsLaterProbe(t *testing.T) {
	table, peer := health.New(), health.New()
	report := flamingodoor.Report{Incarnation: "1", State: flamingodoor.EndpointStateWarm}
	peer.Record(evidence("b", start, report))
	table.Record(evidence("a", start, report))
	table.Invalidate("e", start.Add(time.Second))
	table.Merge(start.Add(2*time.Second), peer.Digest(start.Add(2*time.Second), "b"))
	_, ok := table.Endpoint("e", start.Add(2*time.Second))
	assert.Assert(t, !ok)

	table.Record(evidence("a", start.Add(time.Second), report))
	_, ok = table.Endpoint("e", start.Add(2*time.Second))
	assert.Assert(t, ok)
}

// Guards against a digest that extends the validity of evidence or loses fields
// that GroupServing checks.
func TestDigestKeepsReportAndDeadline(t *testing.T) {
	table, peer := health.New(), health.New()
	group := flamingodoor.Group{ID: "g", FencingNumber: 7, EndpointIDs: []string{"e"}}
	peer.Record(evidence("b", start, flamingodoor.Report{
		Incarnation: "1", State: flamingodoor.EndpointStateWarm, GroupID: "g", FencingNumber: 7,
	}))
	assert.Equal(t, len(peer.Digest(start, "a")), 0)

	pull := time.Unix(5000, 0) // on a different clock
	table.Merge(pull, peer.Digest(start.Add(time.Second), "b"))
	serving, reason := table.GroupServing(group, pull.Add(1999*time.Millisecond))
	assert.Assert(t, serving, reason)
	serving, _ = table.GroupServing(group, pull.Add(2*time.Second))
	assert.Assert(t, !serving)
}

// Guards against counting a group as serving although a member reports another
// group, fencing number, index or state.
func TestGroupServingNeedsEveryField(t *testing.T) {
	group := flamingodoor.Group{ID: "g", FencingNumber: 7, EndpointIDs: []string{"e"}}
	good := flamingodoor.Report{State: flamingodoor.EndpointStateCold, GroupID: "g", FencingNumber: 7}
	for name, change := range map[string]func(*flamingodoor.Report){
		"group":   func(r *flamingodoor.Report) { r.GroupID = "h" },
		"fencing": func(r *flamingodoor.Report) { r.FencingNumber = 6 },
		"index":   func(r *flamingodoor.Report) { r.MemberIndex = 1 },
		"loading": func(r *flamingodoor.Report) { r.State = flamingodoor.EndpointStateLoading },
		"leaving": func(r *flamingodoor.Report) { r.State = flamingodoor.EndpointStateLeaving },
	} {
		table, report := health.New(), good
		table.Record(evidence("a", start, report))
		serving, reason := table.GroupServing(group, start)
		assert.Assert(t, serving, reason)
		change(&report)
		table.Record(evidence("a", start.Add(time.Second), report))
		serving, reason = table.GroupServing(group, start.Add(time.Second))
		assert.Assert(t, !serving && reason != "", name)
	}
}
