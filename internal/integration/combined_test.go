package integration_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"
	"gotest.tools/v3/assert"

	platformv1 "flamingodoor.example/flamingodoor/gen/flamingodoor/platform/v1"
	"flamingodoor.example/flamingodoor/internal/faultproxy"
	"flamingodoor.example/flamingodoor/internal/harness"
	standinendpoint "flamingodoor.example/flamingodoor/internal/standin/endpoint"
)

const (
	combinedSeed       = 1
	combinedRounds     = 2
	faultsPerRound     = 2 // begun together
	combinedFaultTime  = 6 * time.Second
	combinedPause      = 4 * time.Second // between rounds, without faults
	combinedTokens     = 30
	combinedCallers    = 3 // of each kind, streams and payments
	combinedAllowance  = 2
	combinedRetryPause = 200 * time.Millisecond
)

// fault is a failure that begin injects and end removes.
type fault struct {
	name  string
	begin func() error
	end   func() error
}

// combinedRun runs streams and payments under faults and records the replies.
type combinedRun struct {
	testbed *harness.Testbed
	random  *rand.Rand

	mutex    sync.Mutex
	problems []string
	streams  int
	complete int
	states   map[string][]string // run states of the replies, by idempotency key
}

// Guards against failures that the system survives one at a time but not
// together. A seeded random source draws two faults in each of two rounds while
// callers of both clubs send requests. No answer may be wrong or truncated
// without an error, no payment may run twice or contradict its replies, and no
// cold engine may exceed its allowance.
func TestCombinedFailures(t *testing.T) {
	t.Parallel()
	topology := harness.Topology{
		Entries: 4, FabricDomains: 3, EnginesPerDomain: 3, HostsPerGroup: 2, Groups: 3,
		EngineArguments: []string{
			"--checks-fencing", "--answer-tokens=30", "--token-interval=10ms", "--cold-requests=3", "--cold-delay=50ms",
		},
	}
	ctx, testbed := startTestbed(t, topology)
	run := &combinedRun{
		testbed: testbed, random: newRandom(t, combinedSeed), states: make(map[string][]string),
	}
	loadContext, stopLoad := context.WithCancel(ctx)
	var load sync.WaitGroup
	for index := range combinedCallers {
		load.Go(func() { run.stream(loadContext, index) })
		load.Go(func() { run.post(loadContext, index) })
	}
	for range combinedRounds {
		drawn := run.drawFaults(ctx)
		for _, f := range drawn {
			t.Logf("fault: %s", f.name)
			assert.NilError(t, f.begin(), f.name)
		}
		time.Sleep(combinedFaultTime)
		for _, f := range drawn {
			assert.NilError(t, f.end(), f.name)
		}
		time.Sleep(combinedPause)
	}
	stopLoad()
	load.Wait()
	run.check(ctx, t)
}

// drawFaults picks different faults for one round.
func (r *combinedRun) drawFaults(ctx context.Context) []fault {
	d := r.testbed.Deployment
	entry := d.Entries[r.random.IntN(len(d.Entries))]
	engine := r.testbed.Engines[r.random.IntN(len(r.testbed.Engines))]
	nothing := func() error { return nil }
	set := func(request *platformv1.SetRequest) func() error {
		return func() error { return d.SetFaults(ctx, request) }
	}
	faults := []fault{
		{"freeze " + entry.Name, infallible(entry.Suspend), infallible(entry.Resume)},
		{"cut " + entry.Name + " from the log", setRule(entry.PlatformProxy, faultproxy.Refused), infallible(entry.PlatformProxy.Heal)},
		{"silence the log for " + entry.Name, setRule(entry.PlatformProxy, faultproxy.Silent), infallible(entry.PlatformProxy.Heal)},
		{"cut peers from " + entry.Name, setRule(entry.PeerProxy, faultproxy.Refused), infallible(entry.PeerProxy.Heal)},
		{"log outage", set(&platformv1.SetRequest{Outage: true}), set(&platformv1.SetRequest{})},
		{"slow log", set(&platformv1.SetRequest{Delay: durationpb.New(time.Second)}), set(&platformv1.SetRequest{})},
		{"lost answers of the log", set(&platformv1.SetRequest{LoseAnswers: 5}), set(&platformv1.SetRequest{})},
		{"silence " + engine.Name, setRule(engine.Proxy, faultproxy.Silent), infallible(engine.Proxy.Heal)},
		{"silence open connections to " + engine.Name, infallible(engine.Proxy.SilenceOpen), nothing},
		{"reset connections to " + engine.Name, infallible(engine.Proxy.Reset), nothing},
		{"make " + engine.Name + " cold", func() error { return engine.Control(ctx, "cold") }, nothing},
		{"drain " + engine.DataCentre, r.control(ctx, "drain", engine.DataCentre), r.control(ctx, "return", engine.DataCentre)},
	}
	r.random.Shuffle(len(faults), func(i, j int) { faults[i], faults[j] = faults[j], faults[i] })
	return faults[:faultsPerRound]
}

// infallible adapts a function that cannot fail to the type of a fault's steps.
func infallible(f func()) func() error {
	return func() error {
		f()
		return nil
	}
}

// setRule returns a step that sets the rule of a proxy.
func setRule(proxy *faultproxy.Proxy, rule faultproxy.Rule) func() error {
	return infallible(func() { proxy.SetRule(rule) })
}

// control returns a step that runs a flamingodoorctl command. Its errors are
// ignored, because the command may fail while the log is down.
func (r *combinedRun) control(ctx context.Context, arguments ...string) func() error {
	return func() error {
		_, _ = r.testbed.Deployment.RunControl(ctx, append(arguments, "--timeout=5s")...)
		return nil
	}
}

// addProblem records a wrong answer, which check reports.
func (r *combinedRun) addProblem(format string, arguments ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.problems = append(r.problems, fmt.Sprintf(format, arguments...))
}

// callers returns one caller for each entry host, which reuses its connections.
func (r *combinedRun) callers(key string, timeout time.Duration) []*harness.Caller {
	callers := make([]*harness.Caller, len(r.testbed.Deployment.Entries))
	for entry := range callers {
		callers[entry] = r.testbed.NewCaller(entry)
		callers[entry].Key, callers[entry].Timeout = key, timeout
	}
	return callers
}

// stream sends streamed requests through all hosts in turn. Each answer must be
// complete, or a prefix of the expected text that ends with an error code.
func (r *combinedRun) stream(ctx context.Context, index int) {
	key := harness.ClubKey
	if index%2 == 1 {
		key = harness.OtherClubKey
	}
	callers := r.callers(key, 20*time.Second)
	for request := 0; ctx.Err() == nil; request++ {
		caller := callers[(index+request)%len(callers)]
		prompt := fmt.Sprintf("caller %d request %d", index, request)
		answer, err := caller.Stream(ctx, prompt, combinedTokens, nil)
		if ctx.Err() != nil {
			return
		}
		want := standinendpoint.Answer("user: "+prompt+"\n", combinedTokens)
		switch {
		case err != nil:
			r.addProblem("%s: %v", prompt, err)
		case answer.Complete && answer.Text != want, !strings.HasPrefix(want, answer.Text):
			r.addProblem("%s: wrong text %q", prompt, answer.Text)
		case !answer.Complete && answer.Code == "":
			r.addProblem("%s: cut off after %d tokens without an error", prompt, answer.Tokens)
		}
		r.mutex.Lock()
		r.streams++
		if answer.Complete {
			r.complete++
		}
		r.mutex.Unlock()
	}
}

// post sends payments one after the other. It repeats each through all hosts
// until a reply says that it ran, and gives up after one attempt at each host.
func (r *combinedRun) post(ctx context.Context, index int) {
	callers := r.callers(harness.ClubKey, 5*time.Second)
	for payment := 0; ctx.Err() == nil; payment++ {
		key := harness.NewKey()
		body := fmt.Sprintf(`{"caller":%d,"posting":%d}`, index, payment)
		for attempt := range callers {
			caller := callers[(index+payment+attempt)%len(callers)]
			reply, err := caller.Post(context.WithoutCancel(ctx), "/v1/services/ledger/payments", key, body)
			state := reply.RunState
			if err != nil || state == "" {
				state = "may_have_run"
			}
			r.mutex.Lock()
			r.states[key] = append(r.states[key], state)
			r.mutex.Unlock()
			if state == "ran" {
				break
			}
			time.Sleep(combinedRetryPause)
		}
	}
}

// check compares the replies with the runs and requests in flight that the
// endpoint stand-ins counted.
func (r *combinedRun) check(ctx context.Context, t *testing.T) {
	t.Helper()
	assert.Equal(t, len(r.problems), 0, strings.Join(r.problems, "\n"))
	assert.Assert(t, r.complete > 0)
	statistics, err := r.testbed.Ledger.Statistics(ctx)
	assert.NilError(t, err)
	ran, unknown := 0, 0
	for key, states := range r.states {
		runs := statistics.RunsByKey[key]
		reported := strings.Join(states, " ")
		assert.Check(t, runs <= 1, "key %s ran %d times; replies said %s", key, runs, reported)
		switch {
		case strings.Contains(reported, "ran") && !strings.Contains(reported, "may_have_run"):
			ran++
			assert.Check(t, runs == 1, "key %s did not run; replies said %s", key, reported)
		case !strings.Contains(reported, "may_have_run"):
			assert.Check(t, runs == 0, "key %s ran; replies said %s", key, reported)
		default:
			unknown++
		}
	}
	for _, engine := range r.testbed.Engines {
		statistics, err := engine.Statistics(ctx)
		assert.NilError(t, err)
		assert.Check(t, statistics.ColdInFlightMax <= combinedAllowance, "%s: %d requests in flight while cold", engine.Name, statistics.ColdInFlightMax)
	}
	t.Logf("%d streams, %d complete; %d keys, %d ran, %d unknown", r.streams, r.complete, len(r.states), ran, unknown)
}
