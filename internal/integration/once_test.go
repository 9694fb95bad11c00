package integration_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	platformv1 "flamingodoor.example/flamingodoor/gen/flamingodoor/platform/v1"
	"flamingodoor.example/flamingodoor/internal/faultproxy"
	"flamingodoor.example/flamingodoor/internal/harness"
)

// runTime is how long the ledger takes for a call, so that a test can stop the
// host that wrote the call's intent in the meantime.
const runTime = 1500 * time.Millisecond

// stopPoint is a point in the processing of a payment at which a test stops the
// host that owns the key.
type stopPoint struct {
	name string
	// reach sends a payment and returns when it has reached the point.
	reach func(t *testing.T, recorder *replyRecorder, owner int, key string)
	// restore removes the fault that held the payment at the point.
	restore func(t *testing.T, recorder *replyRecorder, owner int)
	runs    int // runs of the key by the time the host is stopped
	// settles means that a host that is frozen here always records an outcome
	// once it resumes. A host frozen while it waits for the ledger's answer may
	// record none: when it resumes, it may notice the passed deadline before the
	// answer.
	settles bool
}

var stopPoints = []stopPoint{
	{
		name: "intent recorded, not dispatched",
		reach: func(t *testing.T, recorder *replyRecorder, owner int, key string) {
			t.Helper()
			recorder.testbed.Deployment.Entries[owner].PlatformProxy.SetRule(faultproxy.Rule{SilentResponses: true})
			recorder.startPost(recorder.otherEntries(owner)[0], key)
			assert.Equal(t, recorder.waitForWriter(t, key), owner)
		},
		restore: func(_ *testing.T, recorder *replyRecorder, owner int) {
			recorder.testbed.Deployment.Entries[owner].PlatformProxy.Heal()
		},
		settles: true,
	},
	{
		name: "dispatched, not answered",
		reach: func(t *testing.T, recorder *replyRecorder, owner int, key string) {
			t.Helper()
			recorder.startPost(recorder.otherEntries(owner)[0], key)
			recorder.waitFor(t, "the ledger to run the key", func() bool { return recorder.runCount(t, key) == 1 })
		},
		restore: func(*testing.T, *replyRecorder, int) {},
		runs:    1,
	},
	{
		name: "answered, outcome not recorded",
		reach: func(t *testing.T, recorder *replyRecorder, owner int, key string) {
			t.Helper()
			reply := recorder.startPost(recorder.otherEntries(owner)[0], key)
			recorder.waitFor(t, "the ledger to run the key", func() bool { return recorder.runCount(t, key) == 1 })
			recorder.setFaults(t, &platformv1.SetRequest{Outage: true})
			assert.Equal(t, (<-reply).Status, 200)
		},
		restore: func(t *testing.T, recorder *replyRecorder, _ int) {
			t.Helper()
			recorder.setFaults(t, &platformv1.SetRequest{})
		},
		runs:    1,
		settles: true,
	},
}

// Guards against a second run when the host that owns a key is killed at any
// point and the caller repeats the payment through the other hosts.
func TestOnceWriterKilled(t *testing.T) {
	t.Parallel()
	topology := onceTopology
	topology.Entries = 6
	topology.ServiceArguments = []string{"--service-delay=" + runTime.String()}
	recorder := startReplyRecorder(t, topology)
	for _, point := range stopPoints {
		owner, key := recorder.waitForOwner(t)
		point.reach(t, recorder, owner, key)
		recorder.testbed.Deployment.Entries[owner].Kill()
		point.restore(t, recorder, owner)
		repeats := make([]<-chan harness.Reply, 0, 2)
		for _, entry := range recorder.otherEntries(owner)[:2] {
			repeats = append(repeats, recorder.startPost(entry, key))
		}
		for _, repeat := range repeats {
			reply := <-repeat
			assert.Equal(t, reply.RunState, "may_have_run", "%s: %s", point.name, reply.Body)
		}
		assert.Equal(t, recorder.runCount(t, key), point.runs, point.name)
	}
	recorder.checkReplies(t)
}
