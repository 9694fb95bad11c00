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
	// coldDetectionTime is how long requests without a permit may still arrive
	// after an engine turns cold without notice. Health evidence is up to 1.5 s
	// old (a probe every second, a digest every 500 ms); the other 500 ms cover
	// a probe or a digest that is late on a busy machine.
	coldDetectionTime = 2 * time.Second
	// loadAfterFailure is how long the load goes on after a failure. New
	// watchers grant nothing for 13 s, and permits are valid for 10 s.
	loadAfterFailure = 60 * time.Second
	// longAnswerTokens makes an answer last 25 s, far longer than the 10 s for
	// which a permit stays valid without renewal.
	longAnswerTokens = 250
)

// coldTopology has engines that stay cold and do not notice a lost connection, so
// they go on running the requests of an entry host that is gone.
var coldTopology = harness.Topology{
	Entries: 4, FabricDomains: 1, EnginesPerDomain: 2, HostsPerGroup: 1, Groups: 2,
	EngineArguments: []string{"--cold-time=10m", "--cold-delay=200ms", "--token-interval=100ms", "--answer-tokens=250", "--run-after-disconnect"},
}

// Guards against more requests in flight at a cold endpoint than its allowance.
// That happens if permits are granted twice after a watcher crashed, froze or
// was replaced, or if hosts send without a permit after an engine turned cold
// without notice. The engines count their requests in flight themselves.
func TestColdAllowance(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name   string
		tokens int
		inject func(ctx context.Context, t *testing.T, testbed *harness.Testbed, random *rand.Rand)
	}{
		{"watcher killed", longAnswerTokens, killWatcher},
		{"watcher frozen", longAnswerTokens, freezeWatcher},
		{"host replaced", longAnswerTokens, replaceHost},
		{"unannounced", 10, makeEnginesCold},
	}
	for _, allowance := range []int{1, 2} {
		for _, test := range tests {
			t.Run(fmt.Sprintf("%s with allowance %d", test.name, allowance), func(t *testing.T) {
				t.Parallel()
				random := newRandom(t, groupsSeed)
				topology := coldTopology
				if test.name == "unannounced" {
					topology.EngineArguments = []string{"--cold-time=9s", "--cold-grace=" + coldDetectionTime.String(), "--token-interval=30ms", "--run-after-disconnect"}
				}
				ctx, testbed := startTestbed(t, topology)
				for index := range testbed.Manifest.Endpoints {
					testbed.Manifest.Endpoints[index].ColdAllowance = allowance
				}
				_, err := testbed.Deployment.Apply(ctx, testbed.Manifest)
				assert.NilError(t, err)
				// Watchers that have just started grant nothing for 13 s.
				time.Sleep(14 * time.Second)
				longLoad := testbed.StartLoad(ctx, 4, test.tokens, time.Millisecond)
				defer longLoad.Stop()
				shortLoad := testbed.StartLoad(ctx, 4, 10, time.Millisecond)
				defer shortLoad.Stop()
				time.Sleep(4 * time.Second)
				test.inject(ctx, t, testbed, random)
				halfway := countReceived(ctx, t, testbed, testbed.Engines[0].DataCentre)
				time.Sleep(loadAfterFailure / 2)
				total := countReceived(ctx, t, testbed, testbed.Engines[0].DataCentre)
				longLoad.Stop()
				shortLoad.Stop()

				highest := 0
				for _, engine := range testbed.Engines {
					statistics, err := engine.Statistics(ctx)
					assert.NilError(t, err)
					t.Logf("%s: at most %d requests in flight while cold, %d received, %d completed",
						engine.Name, statistics.ColdInFlightMax, statistics.Received, statistics.Completed)
					assert.Check(t, statistics.ColdInFlightMax <= allowance, "%s had %d requests in flight while cold", engine.Name, statistics.ColdInFlightMax)
					highest = max(highest, statistics.ColdInFlightMax)
				}
				assert.Equal(t, highest, allowance, "no engine reached its allowance, so the limit was not tested")
				assert.Assert(t, total > halfway, "no request reached a cold engine in the last %v", loadAfterFailure/2)
			})
		}
	}
}

// pickWatcher picks an entry host in the engines' data centre. These hosts are
// preferred as watchers of the engines, and they hold permits as well.
func pickWatcher(testbed *harness.Testbed, random *rand.Rand) *harness.Entry {
	var watchers []*harness.Entry
	for _, entry := range testbed.Deployment.Entries {
		if entry.DataCentre == testbed.Engines[0].DataCentre {
			watchers = append(watchers, entry)
		}
	}
	return watchers[random.IntN(len(watchers))]
}

// killWatcher kills a watcher and waits for half of loadAfterFailure.
func killWatcher(_ context.Context, _ *testing.T, testbed *harness.Testbed, random *rand.Rand) {
	pickWatcher(testbed, random).Kill()
	time.Sleep(loadAfterFailure / 2)
}

// freezeWatcher freezes a watcher twice, each time for longer than the 10 s for
// which its permits are valid.
func freezeWatcher(_ context.Context, _ *testing.T, testbed *harness.Testbed, random *rand.Rand) {
	watcher := pickWatcher(testbed, random)
	for range 2 {
		watcher.Suspend()
		time.Sleep(11*time.Second + time.Duration(random.IntN(3000))*time.Millisecond)
		watcher.Resume()
		time.Sleep(2 * time.Second)
	}
}

// replaceHost kills a watcher and starts a new entry host in its data centre,
// which then gets load as well.
func replaceHost(ctx context.Context, t *testing.T, testbed *harness.Testbed, random *rand.Rand) {
	t.Helper()
	replaced := pickWatcher(testbed, random)
	replaced.Kill()
	_, err := testbed.Deployment.StartEntry(ctx, "entry-new", replaced.DataCentre)
	assert.NilError(t, err)
	load := testbed.StartLoad(ctx, 4, longAnswerTokens, time.Millisecond)
	t.Cleanup(load.Stop)
	time.Sleep(loadAfterFailure / 2)
}

// makeEnginesCold makes warm engines cold without notice, three times under
// load.
func makeEnginesCold(ctx context.Context, t *testing.T, testbed *harness.Testbed, random *rand.Rand) {
	t.Helper()
	for range 3 {
		for _, engine := range testbed.Engines {
			assert.NilError(t, engine.Control(ctx, "cold"))
			time.Sleep(time.Duration(random.IntN(1000)) * time.Millisecond)
		}
		time.Sleep(13 * time.Second)
	}
}
