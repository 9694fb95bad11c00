package watch_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/health"
	"flamingodoor.example/flamingodoor/internal/watch"
)

// engine answers probes after a delay that depends on the endpoint.
type engine struct {
	flamingodoor.EngineClient
	delay map[string]time.Duration
}

func (e engine) Report(ctx context.Context, endpoint flamingodoor.Endpoint) (flamingodoor.Report, error) {
	select {
	case <-time.After(e.delay[endpoint.ID]):
		return flamingodoor.Report{Incarnation: "1", State: flamingodoor.EndpointStateWarm}, nil
	case <-ctx.Done():
		return flamingodoor.Report{}, ctx.Err()
	}
}

// Guards against probes that stop, that all start at the same time or that wait
// for a hung endpoint, and against evidence whose validity is counted from the
// answer instead of the start of the probe.
func TestRunProbesEverySecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		delays := map[string]time.Duration{"hung": time.Hour, "slow": 800 * time.Millisecond}
		endpoints := make([]flamingodoor.Endpoint, 22)
		for i := range endpoints {
			endpoints[i].ID = fmt.Sprint("e", i)
		}
		endpoints[20].ID, endpoints[21].ID = "hung", "slow"
		table, probed := health.New(), make(chan flamingodoor.Evidence, 1000)
		watcher := watch.New(watch.Parts{
			HostID: "h", Engine: engine{delay: delays}, Recorder: table,
			Watched: func() []flamingodoor.Endpoint { return endpoints },
		}, watch.WithObserver(func(e flamingodoor.Evidence) { probed <- e }))
		ctx, cancel := context.WithTimeout(t.Context(), 9500*time.Millisecond)
		defer cancel()
		assert.NilError(t, watcher.Run(ctx))
		close(probed)

		counts, instants := make(map[string]int), make(map[time.Time]bool)
		for e := range probed {
			counts[e.EndpointID]++
			instants[e.ProbedAt] = true
			assert.Equal(t, e.Deadline, e.ProbedAt.Add(health.Validity))
		}
		assert.Equal(t, counts["hung"], 0)
		assert.Assert(t, counts["slow"] >= 8 && counts["e7"] >= 9, "%v", counts)
		assert.Assert(t, len(instants) > 100, "probes start at only %d different times", len(instants))
		_, ok := table.Endpoint("e7", time.Now())
		assert.Assert(t, ok)
	})
}
