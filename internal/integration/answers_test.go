package integration_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor/internal/faultproxy"
	"flamingodoor.example/flamingodoor/internal/harness"
	standinendpoint "flamingodoor.example/flamingodoor/internal/standin/endpoint"
)

const (
	answersSeed = 1
	// retryFloor and retryWindow are those of the dispatcher's retry budget:
	// a tenth of the requests and 10 more in 10 s, for each host.
	retryFloor  = 10
	retryWindow = 10 * time.Second
)

// tally counts how the answers of one entry host ended.
type tally struct {
	complete, refused, broken int
	codes                     []string
}

// add checks that an answer is whole, or a prefix of the right text with a
// typed error or a connection error. Anything else is silently cut or of
// another request.
func (y *tally) add(t *testing.T, prompt string, tokens int, answer harness.Answer, err error) {
	t.Helper()
	whole := standinendpoint.Answer("user: "+prompt+"\n", tokens)
	switch {
	case !strings.HasPrefix(whole, answer.Text):
		t.Errorf("prompt %q: text %q is no prefix of its own answer", prompt, answer.Text)
	case err != nil:
		y.broken++
	case answer.Complete && answer.Text != whole:
		t.Errorf("prompt %q: end marker after %d of %d tokens", prompt, answer.Tokens, tokens)
	case answer.Complete:
		y.complete++
	case answer.Code != "":
		y.refused++
		y.codes = append(y.codes, answer.Code)
	default:
		t.Errorf("prompt %q: silently cut after %d of %d tokens", prompt, answer.Tokens, tokens)
	}
}

// streamAll opens streams at every entry host and calls fault once each has
// delivered some tokens. It returns how they ended, by entry host.
func streamAll(ctx context.Context, t *testing.T, scene *harness.Testbed, random *rand.Rand, name string, perEntry int, fault func()) []tally {
	t.Helper()
	const tokensBeforeFault = 3
	entries := scene.Deployment.Entries
	tallies := make([]tally, len(entries))
	var flowing atomic.Int32
	var mutex sync.Mutex
	var streams sync.WaitGroup
	open := 0
	for entry := range entries {
		select {
		case <-entries[entry].Exited():
			continue
		default:
		}
		caller := scene.NewCaller(entry)
		for n := range perEntry {
			open++
			prompt := fmt.Sprintf("%s %d %d %d", name, entry, n, random.Uint64())
			tokens := 100 + random.IntN(50)
			streams.Go(func() {
				received := 0
				answer, err := caller.Stream(ctx, prompt, tokens, func(string) {
					if received++; received == tokensBeforeFault {
						flowing.Add(1)
					}
				})
				mutex.Lock()
				defer mutex.Unlock()
				tallies[entry].add(t, prompt, tokens, answer, err)
			})
		}
	}
	assert.NilError(t, harness.WaitFor(ctx, "all streams to flow", func() bool { return int(flowing.Load()) == open }))
	fault()
	streams.Wait()
	return tallies
}

// Guards against answers that are cut without an error, mixed up, doubled or
// of another request while engines crash, connections reset, lag or fall
// silent for good, and entry hosts stop or crash (I5).
func TestAnswersAreWholeOrEndWithAnError(t *testing.T) {
	t.Parallel()
	random := newRandom(t, answersSeed)
	ctx, scene := startScene(t, harness.Topology{
		Entries: 3, FabricDomains: 3, EnginesPerDomain: 2, HostsPerGroup: 2, Groups: 3,
		EngineArguments: []string{"--answer-tokens=1000", "--token-interval=25ms"},
	})
	everyEngine := func(change func(*faultproxy.Proxy)) func() {
		return func() {
			for _, engine := range scene.Engines {
				change(engine.Proxy)
			}
		}
	}
	kill := func(engines ...*harness.Endpoint) func() {
		return func() {
			for _, engine := range engines {
				engine.Kill()
			}
		}
	}
	const (
		withinBudget = retryFloor // each stream may be sent twice
		beyondBudget = 25
		none         = -1
	)
	rounds := []struct {
		name     string
		perEntry int
		fault    func()
		gone     int  // entry host whose streams may break
		refill   bool // the next round needs a full retry budget
	}{
		{"late data", withinBudget, everyEngine(func(p *faultproxy.Proxy) { p.SetRule(faultproxy.Rule{Delay: 300 * time.Millisecond}) }), none, false},
		{"all connections reset", withinBudget, everyEngine((*faultproxy.Proxy).Reset), none, true},
		{"all connections reset beyond the retry budget", beyondBudget, everyEngine((*faultproxy.Proxy).Reset), none, true},
		{"all open connections silent for good", withinBudget, everyEngine((*faultproxy.Proxy).SilenceOpen), none, true},
		{"one group killed", withinBudget, kill(scene.Engines[0], scene.Engines[1]), none, false},
		{"entry host stops", withinBudget, scene.Deployment.Entries[2].Terminate, none, false},
		{"entry host crashes", withinBudget, func() { scene.Deployment.Entries[1].Kill() }, 1, false},
	}
	for _, round := range rounds {
		tallies := streamAll(ctx, t, scene, random, round.name, round.perEntry, round.fault)
		everyEngine((*faultproxy.Proxy).Heal)()
		for entry, ended := range tallies {
			opened := ended.complete + ended.refused + ended.broken
			t.Logf("%s: %s completed %d of %d, refused %v, broken %d", round.name,
				scene.Deployment.Entries[entry].Name, ended.complete, opened, ended.codes, ended.broken)
			if entry == round.gone {
				continue
			}
			assert.Check(t, ended.broken == 0, "%s: broken connections", round.name)
			assert.Check(t, ended.complete == opened, "%s: an answer that has begun resumes once without retry budget", round.name)
		}
		if round.name == "entry host stops" {
			<-scene.Deployment.Entries[2].Exited()
		}
		if round.refill {
			time.Sleep(retryWindow + time.Second)
		}
	}
	for _, engine := range scene.Engines[2:] {
		statistics, err := engine.Statistics(ctx)
		assert.NilError(t, err)
		assert.Equal(t, statistics.WrongResumes, 0)
	}
}
