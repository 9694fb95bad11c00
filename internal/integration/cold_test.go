package integration_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor/internal/harness"
)

const (
	// coldNotice is how long after an unannounced change of state requests
	// without a permit may still arrive: evidence is up to 1.5 s old (a probe
	// each second, a digest each 500 ms), and half a second more covers a probe
	// or a digest that a busy machine delays.
	coldNotice = 2 * time.Second
	// coldRun is the time for which the load goes on after a failure. Watchers
	// that are new are quiet for 13 s, and permits last 10 s.
	coldRun = 60 * time.Second
	// longAnswer is the number of tokens of an answer that takes 25 s, far longer
	// than a permit that is no longer renewed.
	longAnswer = 250
)

// The engines of this shape stay cold and do not notice that a connection is
// lost, so that they go on running the requests of a host that is gone.
var coldShape = harness.Topology{
	Entries: 4, FabricDomains: 1, EnginesPerDomain: 2, HostsPerGroup: 1, Groups: 2,
	EngineArguments: []string{"--cold-time=10m", "--cold-delay=200ms", "--token-interval=100ms", "--answer-tokens=250", "--run-after-disconnect"},
}

// Guards against more work at a cold endpoint than its allowance. The engines
// count the requests in flight themselves.
func TestColdAllowance(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name   string
		tokens int
		fail   func(ctx context.Context, t *testing.T, scene *harness.Testbed, random *rand.Rand)
	}{
		{"watcher killed", longAnswer, killWatcher},
		{"watcher frozen", longAnswer, freezeWatcher},
		{"host replaced", longAnswer, replaceHost},
		{"unannounced", 10, turnCold},
	}
	for _, allowance := range []int{1, 2} {
		for _, test := range tests {
			t.Run(fmt.Sprintf("%s with allowance %d", test.name, allowance), func(t *testing.T) {
				t.Parallel()
				random := newRandom(t, groupsSeed)
				shape := coldShape
				if test.name == "unannounced" {
					shape.EngineArguments = []string{"--cold-time=9s", "--cold-grace=" + coldNotice.String(), "--token-interval=30ms", "--run-after-disconnect"}
				}
				ctx, scene := startScene(t, shape)
				for index := range scene.Manifest.Endpoints {
					scene.Manifest.Endpoints[index].ColdAllowance = allowance
				}
				_, err := scene.Deployment.Apply(ctx, scene.Manifest)
				assert.NilError(t, err)
				// Watchers that have just started are quiet for 13 s.
				time.Sleep(14 * time.Second)
				load := scene.StartLoad(ctx, 4, test.tokens, time.Millisecond)
				defer load.Stop()
				short := scene.StartLoad(ctx, 4, 10, time.Millisecond)
				defer short.Stop()
				time.Sleep(4 * time.Second)
				test.fail(ctx, t, scene, random)
				middle := received(ctx, t, scene, scene.Engines[0].DataCentre)
				time.Sleep(coldRun / 2)
				last := received(ctx, t, scene, scene.Engines[0].DataCentre)
				load.Stop()
				short.Stop()

				used := 0
				for _, engine := range scene.Engines {
					statistics, err := engine.Statistics(ctx)
					assert.NilError(t, err)
					t.Logf("%s: at most %d requests in flight while cold, %d received, %d completed",
						engine.Name, statistics.ColdInFlightMax, statistics.Received, statistics.Completed)
					assert.Check(t, statistics.ColdInFlightMax <= allowance, "%s had %d requests in flight while cold", engine.Name, statistics.ColdInFlightMax)
					used = max(used, statistics.ColdInFlightMax)
				}
				assert.Equal(t, used, allowance, "the allowance was never used up, so the test shows nothing")
				assert.Assert(t, last > middle, "no request reached a cold engine in the last %v", coldRun/2)
			})
		}
	}
}

// watcherOf picks an entry host of the engines' data centre. These are their
// preferred watchers, and hold permits as well.
func watcherOf(scene *harness.Testbed, random *rand.Rand) *harness.Entry {
	var watchers []*harness.Entry
	for _, entry := range scene.Deployment.Entries {
		if entry.DataCentre == scene.Engines[0].DataCentre {
			watchers = append(watchers, entry)
		}
	}
	return watchers[random.IntN(len(watchers))]
}

func killWatcher(_ context.Context, _ *testing.T, scene *harness.Testbed, random *rand.Rand) {
	watcherOf(scene, random).Kill()
	time.Sleep(coldRun / 2)
}

// freezeWatcher freezes a host for longer than its permits last.
func freezeWatcher(_ context.Context, _ *testing.T, scene *harness.Testbed, random *rand.Rand) {
	watcher := watcherOf(scene, random)
	for range 2 {
		watcher.Suspend()
		time.Sleep(11*time.Second + time.Duration(random.IntN(3000))*time.Millisecond)
		watcher.Resume()
		time.Sleep(2 * time.Second)
	}
}

func replaceHost(ctx context.Context, t *testing.T, scene *harness.Testbed, random *rand.Rand) {
	t.Helper()
	old := watcherOf(scene, random)
	old.Kill()
	_, err := scene.Deployment.StartEntry(ctx, "entry-new", old.DataCentre)
	assert.NilError(t, err)
	load := scene.StartLoad(ctx, 4, longAnswer, time.Millisecond)
	t.Cleanup(load.Stop)
	time.Sleep(coldRun / 2)
}

// turnCold makes warm engines cold three times under load.
func turnCold(ctx context.Context, t *testing.T, scene *harness.Testbed, random *rand.Rand) {
	t.Helper()
	for range 3 {
		for _, engine := range scene.Engines {
			assert.NilError(t, engine.Control(ctx, "cold"))
			time.Sleep(time.Duration(random.IntN(1000)) * time.Millisecond)
		}
		time.Sleep(13 * time.Second)
	}
}
