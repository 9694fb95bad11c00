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
	crashWord = "boom"
	poisoned  = "poison_request"
)

// Guards against a request that crashes every endpoint it reaches because its
// caller repeats it through other hosts, and against refusing the innocent
// requests that were in flight at the same endpoints.
func TestRequestThatCrashesEndpointsIsRefused(t *testing.T) {
	t.Parallel()
	cases := map[string]struct {
		others int // streams at each entry host
		limit  int // engines that the request may crash
	}{
		"alone":        {0, 2},
		"among others": {3, 3},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			ctx, scene := startScene(t, harness.Topology{
				Entries: 3, FabricDomains: 5, EnginesPerDomain: 1, HostsPerGroup: 1, Groups: 5,
				EngineArguments: []string{"--crash-word=" + crashWord, "--crash-after=3", "--answer-tokens=1000", "--token-interval=20ms"},
			})
			crashed := func() (count int) {
				for _, engine := range scene.Engines {
					select {
					case <-engine.Exited():
						count++
					default:
					}
				}
				return count
			}
			stop := streamOthers(ctx, t, scene, test.others)
			time.Sleep(time.Second) // the others are in flight
			for repeat := range 6 {
				answer, err := scene.NewCaller(repeat%3).Stream(ctx, crashWord, 50, nil)
				assert.NilError(t, err)
				t.Logf("repeat %d: %s, %s, %d engines crashed", repeat, answer.Code, answer.RunState, crashed())
				assert.Check(t, !answer.Complete && answer.Code != "")
			}
			stop()
			assert.Check(t, crashed() > 0 && crashed() <= test.limit, "%d engines crashed", crashed())
			late, err := scene.Deployment.StartEntry(ctx, "entry-late", harness.DataCentreIDs[0])
			assert.NilError(t, err)
			assert.NilError(t, harness.WaitFor(ctx, "the late host to be ready", func() bool { return late.Ready(ctx) }))
			before := crashed()
			for _, caller := range []*harness.Caller{late.NewCaller(), scene.NewCaller(0)} {
				answer, err := caller.Stream(ctx, crashWord, 50, nil)
				assert.NilError(t, err)
				assert.Equal(t, answer.Code, poisoned)
				assert.Equal(t, answer.RunState, "not_run")
			}
			assert.Equal(t, crashed(), before)
		})
	}
}

// streamOthers keeps streams of harmless requests open at every entry host
// until the returned function is called; all have to complete.
func streamOthers(ctx context.Context, t *testing.T, scene *harness.Testbed, perEntry int) (stop func()) {
	t.Helper()
	const tokens = 100 // 2 s, longer than a crash and its retry
	ended := make(chan struct{})
	var streams sync.WaitGroup
	for entry := range scene.Deployment.Entries {
		for n := range perEntry {
			streams.Go(func() {
				for round := 0; ; round++ {
					select {
					case <-ended:
						return
					default:
					}
					prompt := fmt.Sprintf("harmless %d %d %d", entry, n, round)
					answer, err := scene.NewCaller(entry).Stream(ctx, prompt, tokens, nil)
					whole := standinendpoint.Answer("user: "+prompt+"\n", tokens)
					if err != nil || !answer.Complete || answer.Text != whole {
						t.Errorf("%s: %v, code %q after %d tokens", prompt, err, answer.Code, answer.Tokens)
					}
				}
			})
		}
	}
	return func() {
		close(ended)
		streams.Wait()
	}
}
