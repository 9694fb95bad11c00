package integration_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	platformv1 "flamingodoor.example/flamingodoor/gen/flamingodoor/platform/v1"
	"flamingodoor.example/flamingodoor/internal/faultproxy"
	"flamingodoor.example/flamingodoor/internal/harness"
)

// runTime is how long the ledger takes for a call when a test stops its
// writer in the meantime.
const runTime = 1500 * time.Millisecond

// stopPoint brings a posting to a point of its way; it returns when the host
// that owns the key can be stopped there.
type stopPoint struct {
	name  string
	reach func(t *testing.T, w *witness, owner int, key string)
	leave func(t *testing.T, w *witness, owner int)
	runs  int // by the time the host is stopped
	// settles means that a resumed host always settles the key. When the
	// deadline passed while it waited for the answer, it sees either first.
	settles bool
}

var stopPoints = []stopPoint{
	{
		name: "intent recorded, not dispatched",
		reach: func(t *testing.T, w *witness, owner int, key string) {
			t.Helper()
			w.scene.Deployment.Entries[owner].PlatformProxy.SetRule(faultproxy.Rule{SilentResponses: true})
			w.startPost(w.others(owner)[0], key)
			assert.Equal(t, w.writer(t, key), owner)
		},
		leave:   func(_ *testing.T, w *witness, owner int) { w.scene.Deployment.Entries[owner].PlatformProxy.Heal() },
		settles: true,
	},
	{
		name: "dispatched, not answered",
		reach: func(t *testing.T, w *witness, owner int, key string) {
			t.Helper()
			w.startPost(w.others(owner)[0], key)
			w.waitFor(t, "the run", func() bool { return w.runs(t, key) == 1 })
		},
		leave: func(*testing.T, *witness, int) {},
		runs:  1,
	},
	{
		name: "answered, outcome not recorded",
		reach: func(t *testing.T, w *witness, owner int, key string) {
			t.Helper()
			reply := w.startPost(w.others(owner)[0], key)
			w.waitFor(t, "the run", func() bool { return w.runs(t, key) == 1 })
			w.fault(t, &platformv1.SetRequest{Outage: true})
			assert.Equal(t, (<-reply).Status, 200)
		},
		leave: func(t *testing.T, w *witness, _ int) {
			t.Helper()
			w.fault(t, &platformv1.SetRequest{})
		},
		runs:    1,
		settles: true,
	},
}

// Guards against a second run when the host that owns a key dies at any point
// and the caller repeats through the other hosts.
func TestOnceWriterKilled(t *testing.T) {
	t.Parallel()
	shape := onceShape
	shape.Entries = 6
	shape.ServiceArguments = []string{"--service-delay=" + runTime.String()}
	w := startWitness(t, shape)
	for _, point := range stopPoints {
		owner, key := w.followed(t)
		point.reach(t, w, owner, key)
		w.scene.Deployment.Entries[owner].Kill()
		point.leave(t, w, owner)
		repeats := make([]<-chan harness.Reply, 0, 2)
		for _, entry := range w.others(owner)[:2] {
			repeats = append(repeats, w.startPost(entry, key))
		}
		for _, repeat := range repeats {
			reply := <-repeat
			assert.Equal(t, reply.RunState, "may_have_run", "%s: %s", point.name, reply.Body)
		}
		assert.Equal(t, w.runs(t, key), point.runs, point.name)
	}
	w.check(t)
}
