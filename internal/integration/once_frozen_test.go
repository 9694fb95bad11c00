package integration_test

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a second run by a host that was frozen at any point and
// resumes after the caller has repeated through the other hosts.
func TestOnceWriterFrozen(t *testing.T) {
	t.Parallel()
	shape := onceShape
	shape.ServiceArguments = []string{"--service-delay=" + runTime.String()}
	w := startWitness(t, shape)
	for _, point := range stopPoints {
		owner, key := w.followed(t)
		point.reach(t, w, owner, key)
		host := w.scene.Deployment.Entries[owner]
		host.Suspend()
		point.leave(t, w, owner)
		for _, entry := range w.others(owner) {
			reply := w.post(entry, key)
			assert.Equal(t, reply.RunState, "may_have_run", "%s: %s", point.name, reply.Body)
		}
		host.Resume()
		// An intent that was not dispatched in time is abandoned and an outcome
		// is recorded, so that the key can be answered.
		if point.settles {
			w.waitFor(t, "an answer after "+point.name, func() bool { return w.post(w.others(owner)[0], key).Status == 200 })
		} else {
			state := w.post(w.others(owner)[0], key).RunState
			assert.Assert(t, state == "may_have_run" || state == "ran", "%s: %q", point.name, state)
		}
		assert.Equal(t, w.runs(t, key), 1, point.name)
	}
	w.check(t)
}
