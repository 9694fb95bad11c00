package integration_test

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a second run by a host that is frozen at any point and resumes
// after the caller has repeated the payment through the other hosts.
func TestOnceWriterFrozen(t *testing.T) {
	t.Parallel()
	topology := onceTopology
	topology.ServiceArguments = []string{"--service-delay=" + runTime.String()}
	recorder := startReplyRecorder(t, topology)
	for _, point := range stopPoints {
		owner, key := recorder.waitForOwner(t)
		point.reach(t, recorder, owner, key)
		host := recorder.testbed.Deployment.Entries[owner]
		host.Suspend()
		point.restore(t, recorder, owner)
		for _, entry := range recorder.otherEntries(owner) {
			reply := recorder.post(entry, key)
			assert.Equal(t, reply.RunState, "may_have_run", "%s: %s", point.name, reply.Body)
		}
		host.Resume()
		// The resumed host abandons an intent that it did not dispatch in time, or
		// records the outcome. Either way the key can be answered again.
		if point.settles {
			recorder.waitFor(t, "an answer after "+point.name, func() bool { return recorder.post(recorder.otherEntries(owner)[0], key).Status == 200 })
		} else {
			state := recorder.post(recorder.otherEntries(owner)[0], key).RunState
			assert.Assert(t, state == "may_have_run" || state == "ran", "%s: %q", point.name, state)
		}
		assert.Equal(t, recorder.runCount(t, key), 1, point.name)
	}
	recorder.checkReplies(t)
}
