package integration_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	platformv1 "flamingodoor.example/flamingodoor/gen/flamingodoor/platform/v1"
	"flamingodoor.example/flamingodoor/internal/harness"
)

// Guards against a second run, or a wrong "not run", when answers of appends
// are lost, appends appear late, or the log is down or slow.
func TestOnceLogFaults(t *testing.T) {
	t.Parallel()
	w := startWitness(t, onceShape)
	faults := map[string]*platformv1.SetRequest{
		"lost answers": {LoseAnswers: 3},
		"late appends": {LateAppends: 2, LateBy: seconds(1)},
		"stale append": {LateAppends: 1, LateBy: seconds(6)},
		"slow log":     {Delay: seconds(1)},
		"outage":       {Outage: true},
	}
	for name, fault := range faults {
		_, key := w.followed(t)
		w.fault(t, fault)
		pending := make([]<-chan harness.Reply, 0, onceShape.Entries)
		for entry := range w.scene.Deployment.Entries {
			pending = append(pending, w.startPost(entry, key))
		}
		for _, reply := range pending {
			<-reply
		}
		w.fault(t, &platformv1.SetRequest{})
		w.waitFor(t, "an answer after "+name, func() bool {
			reply := w.post(1, key)
			return reply.Status == 200
		})
		assert.Equal(t, w.runs(t, key), 1, name)
	}
	// An append of an abandoned attempt that appears after the last answer
	// must not run either.
	time.Sleep(7 * time.Second)
	states := w.check(t)
	assert.Check(t, states["not_run"] > 0, "no call was refused as not run")
}
