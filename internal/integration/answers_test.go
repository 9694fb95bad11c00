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
	// retryFloor and retryWindow describe the dispatcher's retry budget: each
	// host may retry a tenth of its requests and 10 more in 10 s.
	retryFloor  = 10
	retryWindow = 10 * time.Second
)

// outcomeCounts counts how the streamed answers of one entry host ended. Refused
// answers ended with an error code, broken ones with a connection error.
type outcomeCounts struct {
	complete, refused, broken int
	codes                     []string // error codes of the refused answers
}

// add counts one answer. It fails the test unless the answer is complete, or a
// prefix of the expected text that ends with an error code or a connection
// error. Any other answer is truncated without an error or belongs to another
// request.
func (c *outcomeCounts) add(t *testing.T, prompt string, tokens int, answer harness.Answer, err error) {
	t.Helper()
	want := standinendpoint.Answer("user: "+prompt+"\n", tokens)
	switch {
	case !strings.HasPrefix(want, answer.Text):
		t.Errorf("prompt %q: text %q is not a prefix of the expected answer", prompt, answer.Text)
	case err != nil:
		c.broken++
	case answer.Complete && answer.Text != want:
		t.Errorf("prompt %q: end marker after %d of %d tokens", prompt, answer.Tokens, tokens)
	case answer.Complete:
		c.complete++
	case answer.Code != "":
		c.refused++
		c.codes = append(c.codes, answer.Code)
	default:
		t.Errorf("prompt %q: cut off without an error after %d of %d tokens", prompt, answer.Tokens, tokens)
	}
}

// streamAll opens streams at every live entry host and calls injectFault once
// each stream has delivered 3 tokens. It returns how the streams ended, indexed
// by entry host.
func streamAll(ctx context.Context, t *testing.T, testbed *harness.Testbed, random *rand.Rand, name string, perEntry int, injectFault func()) []outcomeCounts {
	t.Helper()
	const tokensBeforeFault = 3
	entries := testbed.Deployment.Entries
	outcomes := make([]outcomeCounts, len(entries))
	var flowing atomic.Int32
	var mutex sync.Mutex
	var streams sync.WaitGroup
	opened := 0
	for entry := range entries {
		select {
		case <-entries[entry].Exited():
			continue
		default:
		}
		caller := testbed.NewCaller(entry)
		for n := range perEntry {
			opened++
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
				outcomes[entry].add(t, prompt, tokens, answer, err)
			})
		}
	}
	assert.NilError(t, harness.WaitFor(ctx, "every stream to deliver tokens", func() bool { return int(flowing.Load()) == opened }))
	injectFault()
	streams.Wait()
	return outcomes
}

// Guards against streamed answers that are truncated without an error, that
// contain text of another request, or that repeat text. The causes are engines
// that crash, connections that are reset, delayed or silenced for good, and entry
// hosts that stop or crash.
func TestAnswersAreWholeOrEndWithAnError(t *testing.T) {
	t.Parallel()
	random := newRandom(t, answersSeed)
	ctx, testbed := startTestbed(t, harness.Topology{
		Entries: 3, FabricDomains: 3, EnginesPerDomain: 2, HostsPerGroup: 2, Groups: 3,
		EngineArguments: []string{"--answer-tokens=1000", "--token-interval=25ms"},
	})
	onEveryProxy := func(apply func(*faultproxy.Proxy)) func() {
		return func() {
			for _, engine := range testbed.Engines {
				apply(engine.Proxy)
			}
		}
	}
	// Resetting one proxy after another could reset an answer again that has
	// already resumed at another engine.
	resetAll := func() {
		var proxies []*faultproxy.Proxy
		onEveryProxy(func(p *faultproxy.Proxy) { proxies = append(proxies, p) })()
		faultproxy.ResetAll(proxies...)
	}
	kill := func(engines ...*harness.Endpoint) func() {
		return func() {
			for _, engine := range engines {
				engine.Kill()
			}
		}
	}
	const (
		withinBudget = retryFloor // the budget suffices to send each stream twice
		beyondBudget = 25
		noEntry      = -1
	)
	rounds := []struct {
		name          string
		perEntry      int
		injectFault   func()
		crashedEntry  int  // entry host whose streams may break, or noEntry
		waitForBudget bool // the next round needs a full retry budget
	}{
		{"delayed data", withinBudget, onEveryProxy(func(p *faultproxy.Proxy) { p.SetRule(faultproxy.Rule{Delay: 300 * time.Millisecond}) }), noEntry, false},
		{"all connections reset", withinBudget, resetAll, noEntry, true},
		{"all connections reset beyond the retry budget", beyondBudget, resetAll, noEntry, true},
		{"all open connections silenced for good", withinBudget, onEveryProxy((*faultproxy.Proxy).SilenceOpen), noEntry, true},
		{"one group killed", withinBudget, kill(testbed.Engines[0], testbed.Engines[1]), noEntry, false},
		{"entry host stops", withinBudget, testbed.Deployment.Entries[2].Terminate, noEntry, false},
		{"entry host crashes", withinBudget, func() { testbed.Deployment.Entries[1].Kill() }, 1, false},
	}
	for _, round := range rounds {
		outcomes := streamAll(ctx, t, testbed, random, round.name, round.perEntry, round.injectFault)
		onEveryProxy((*faultproxy.Proxy).Heal)()
		for entry, counts := range outcomes {
			opened := counts.complete + counts.refused + counts.broken
			t.Logf("%s: %s completed %d of %d, refused %v, broken %d", round.name,
				testbed.Deployment.Entries[entry].Name, counts.complete, opened, counts.codes, counts.broken)
			if entry == round.crashedEntry {
				continue
			}
			assert.Check(t, counts.broken == 0, "%s: broken connections", round.name)
			assert.Check(t, counts.complete == opened, "%s: incomplete answers; an answer that has begun may resume once without retry budget", round.name)
		}
		if round.name == "entry host stops" {
			<-testbed.Deployment.Entries[2].Exited()
		}
		if round.waitForBudget {
			time.Sleep(retryWindow + time.Second)
		}
	}
	for _, engine := range testbed.Engines[2:] {
		statistics, err := engine.Statistics(ctx)
		assert.NilError(t, err)
		assert.Equal(t, statistics.WrongResumes, 0)
	}
}
