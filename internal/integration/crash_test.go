package integration_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor/internal/harness"
	standinendpoint "flamingodoor.example/flamingodoor/internal/standin/endpoint"
)

const (
	crashWord  = "boom"
	poisonCode = "poison_request"
)

// Guards against a request that crashes one endpoint after another because its
// caller repeats it through other entry hosts, and against a refusal of the
// harmless requests that were in flight at the same endpoints.
func TestRequestThatCrashesEndpointsIsRefused(t *testing.T) {
	t.Parallel()
	cases := map[string]struct {
		harmless   int // harmless streams at each entry host
		maxCrashes int // engines that the request may crash
	}{
		"alone":        {0, 2},
		"among others": {3, 3},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			ctx, testbed := startTestbed(t, harness.Topology{
				Entries: 3, FabricDomains: 5, EnginesPerDomain: 1, HostsPerGroup: 1, Groups: 5,
				EngineArguments: []string{"--crash-word=" + crashWord, "--crash-after=3", "--answer-tokens=1000", "--token-interval=20ms"},
			})
			crashed := func() (count int) {
				for _, engine := range testbed.Engines {
					select {
					case <-engine.Exited():
						count++
					default:
					}
				}
				return count
			}
			stop := streamHarmless(ctx, t, testbed, test.harmless)
			time.Sleep(time.Second) // the harmless streams are in flight
			for repeat := range 6 {
				answer, err := testbed.NewCaller(repeat%3).Stream(ctx, crashWord, 50, nil)
				assert.NilError(t, err)
				t.Logf("repeat %d: %s, %s, %d engines crashed", repeat, answer.Code, answer.RunState, crashed())
				assert.Check(t, !answer.Complete && answer.Code != "")
			}
			stop()
			assert.Check(t, crashed() > 0 && crashed() <= test.maxCrashes, "%d engines crashed", crashed())
			newEntry, err := testbed.Deployment.StartEntry(ctx, "entry-late", harness.DataCentreIDs[0])
			assert.NilError(t, err)
			assert.NilError(t, harness.WaitFor(ctx, "the new host to be ready", func() bool { return newEntry.Ready(ctx) }))
			crashedBefore := crashed()
			for _, caller := range []*harness.Caller{newEntry.NewCaller(), testbed.NewCaller(0)} {
				answer, err := caller.Stream(ctx, crashWord, 50, nil)
				assert.NilError(t, err)
				assert.Equal(t, answer.Code, poisonCode)
				assert.Equal(t, answer.RunState, "not_run")
			}
			assert.Equal(t, crashed(), crashedBefore)
		})
	}
}

// streamHarmless keeps perEntry harmless streams open at every entry host until
// stop is called. It fails the test if one of them is not complete.
func streamHarmless(ctx context.Context, t *testing.T, testbed *harness.Testbed, perEntry int) (stop func()) {
	t.Helper()
	const tokens = 100 // 2 s, longer than a crash and its retry
	stopped := make(chan struct{})
	var streams sync.WaitGroup
	for entry := range testbed.Deployment.Entries {
		for n := range perEntry {
			streams.Go(func() {
				for round := 0; ; round++ {
					select {
					case <-stopped:
						return
					default:
					}
					prompt := fmt.Sprintf("harmless %d %d %d", entry, n, round)
					answer, err := testbed.NewCaller(entry).Stream(ctx, prompt, tokens, nil)
					want := standinendpoint.Answer("user: "+prompt+"\n", tokens)
					if err != nil || !answer.Complete || answer.Text != want {
						t.Errorf("%s: %v, code %q after %d tokens", prompt, err, answer.Code, answer.Tokens)
					}
				}
			})
		}
	}
	return func() {
		close(stopped)
		streams.Wait()
	}
}
