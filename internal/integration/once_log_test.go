package integration_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	platformv1 "flamingodoor.example/flamingodoor/gen/flamingodoor/platform/v1"
	"flamingodoor.example/flamingodoor/internal/harness"
)

// Guards against a second run, or a reply that wrongly says "not run". The causes
// are appends whose answer is lost or that take effect late, and a log that is
// slow or down.
func TestOnceLogFaults(t *testing.T) {
	t.Parallel()
	recorder := startReplyRecorder(t, onceTopology)
	faults := map[string]*platformv1.SetRequest{
		"lost answers": {LoseAnswers: 3},
		"late appends": {LateAppends: 2, LateBy: seconds(1)},
		"stale append": {LateAppends: 1, LateBy: seconds(6)},
		"slow log":     {Delay: seconds(1)},
		"outage":       {Outage: true},
	}
	for name, fault := range faults {
		_, key := recorder.waitForOwner(t)
		recorder.setFaults(t, fault)
		pending := make([]<-chan harness.Reply, 0, onceTopology.Entries)
		for entry := range recorder.testbed.Deployment.Entries {
			pending = append(pending, recorder.startPost(entry, key))
		}
		for _, reply := range pending {
			<-reply
		}
		recorder.setFaults(t, &platformv1.SetRequest{})
		recorder.waitFor(t, "an answer after "+name, func() bool {
			reply := recorder.post(1, key)
			return reply.Status == 200
		})
		assert.Equal(t, recorder.runCount(t, key), 1, name)
	}
	// An append of an abandoned attempt that takes effect after the last answer,
	// up to 6 s late, must not lead to a run either.
	time.Sleep(7 * time.Second)
	states := recorder.checkReplies(t)
	assert.Check(t, states["not_run"] > 0, "no call was refused as not run")
}
