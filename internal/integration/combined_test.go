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
	combinedFaults     = 2 // drawn together in each round
	combinedHold       = 6 * time.Second
	combinedRest       = 4 * time.Second
	combinedTokens     = 30
	combinedCallers    = 3 // of each kind
	combinedAllowance  = 2
	combinedRetryPause = 200 * time.Millisecond
)

// fault is a failure that lasts for a while and is then lifted.
type fault struct {
	name  string
	begin func() error
	end   func() error
}

// combination runs a mixed load under faults and remembers what callers were
// told.
type combination struct {
	scene  *harness.Testbed
	random *rand.Rand

	mutex    sync.Mutex
	problems []string
	streams  int
	complete int
	keys     map[string][]string // run states told, by key
}

// Guards against failures that are harmless alone but not together: a seeded
// schedule draws two at a time, twice, while both clubs' callers work.
func TestCombinedFailures(t *testing.T) {
	t.Parallel()
	shape := harness.Topology{
		Entries: 4, FabricDomains: 3, EnginesPerDomain: 3, HostsPerGroup: 2, Groups: 3,
		EngineArguments: []string{
			"--checks-fencing", "--answer-tokens=30", "--token-interval=10ms", "--cold-requests=3", "--cold-delay=50ms",
		},
	}
	ctx, scene := startScene(t, shape)
	c := &combination{
		scene: scene, random: newRandom(t, combinedSeed), keys: make(map[string][]string),
	}
	loadContext, stopLoad := context.WithCancel(ctx)
	var load sync.WaitGroup
	for index := range combinedCallers {
		load.Go(func() { c.stream(loadContext, index) })
		load.Go(func() { c.post(loadContext, index) })
	}
	for range combinedRounds {
		drawn := c.draw(ctx)
		for _, f := range drawn {
			t.Logf("fault: %s", f.name)
			assert.NilError(t, f.begin(), f.name)
		}
		time.Sleep(combinedHold)
		for _, f := range drawn {
			assert.NilError(t, f.end(), f.name)
		}
		time.Sleep(combinedRest)
	}
	stopLoad()
	load.Wait()
	c.check(ctx, t)
}

// draw picks different faults for one round.
func (c *combination) draw(ctx context.Context) []fault {
	d := c.scene.Deployment
	entry := d.Entries[c.random.IntN(len(d.Entries))]
	engine := c.scene.Engines[c.random.IntN(len(c.scene.Engines))]
	none := func() error { return nil }
	set := func(request *platformv1.SetRequest) func() error {
		return func() error { return d.SetFaults(ctx, request) }
	}
	faults := []fault{
		{"freeze " + entry.Name, call(entry.Suspend), call(entry.Resume)},
		{"cut " + entry.Name + " from the log", rule(entry.PlatformProxy, faultproxy.Refused), call(entry.PlatformProxy.Heal)},
		{"silence the log for " + entry.Name, rule(entry.PlatformProxy, faultproxy.Silent), call(entry.PlatformProxy.Heal)},
		{"cut peers from " + entry.Name, rule(entry.PeerProxy, faultproxy.Refused), call(entry.PeerProxy.Heal)},
		{"log outage", set(&platformv1.SetRequest{Outage: true}), set(&platformv1.SetRequest{})},
		{"slow log", set(&platformv1.SetRequest{Delay: durationpb.New(time.Second)}), set(&platformv1.SetRequest{})},
		{"lost answers of the log", set(&platformv1.SetRequest{LoseAnswers: 5}), set(&platformv1.SetRequest{})},
		{"silence " + engine.Name, rule(engine.Proxy, faultproxy.Silent), call(engine.Proxy.Heal)},
		{"mute open connections to " + engine.Name, call(engine.Proxy.SilenceOpen), none},
		{"reset connections to " + engine.Name, call(engine.Proxy.Reset), none},
		{"make " + engine.Name + " cold", func() error { return engine.Control(ctx, "cold") }, none},
		{"drain " + engine.DataCentre, c.control(ctx, "drain", engine.DataCentre), c.control(ctx, "return", engine.DataCentre)},
	}
	c.random.Shuffle(len(faults), func(i, j int) { faults[i], faults[j] = faults[j], faults[i] })
	return faults[:combinedFaults]
}

func call(f func()) func() error {
	return func() error {
		f()
		return nil
	}
}

func rule(proxy *faultproxy.Proxy, r faultproxy.Rule) func() error {
	return call(func() { proxy.SetRule(r) })
}

// control runs an operators' command. It may fail while the log is down.
func (c *combination) control(ctx context.Context, arguments ...string) func() error {
	return func() error {
		_, _ = c.scene.Deployment.RunControl(ctx, append(arguments, "--timeout=5s")...)
		return nil
	}
}

func (c *combination) problem(format string, arguments ...any) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.problems = append(c.problems, fmt.Sprintf(format, arguments...))
}

// callers returns a caller of each host, which keeps its connections.
func (c *combination) callers(key string, timeout time.Duration) []*harness.Caller {
	callers := make([]*harness.Caller, len(c.scene.Deployment.Entries))
	for entry := range callers {
		callers[entry] = c.scene.NewCaller(entry)
		callers[entry].Key, callers[entry].Timeout = key, timeout
	}
	return callers
}

// stream asks for answers through all hosts in turn. Each must be right and
// whole, or end with a typed error after a right beginning.
func (c *combination) stream(ctx context.Context, index int) {
	key := harness.ClubKey
	if index%2 == 1 {
		key = harness.OtherClubKey
	}
	callers := c.callers(key, 20*time.Second)
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
			c.problem("%s: %v", prompt, err)
		case answer.Complete && answer.Text != want, !strings.HasPrefix(want, answer.Text):
			c.problem("%s: wrong text %q", prompt, answer.Text)
		case !answer.Complete && answer.Code == "":
			c.problem("%s: cut after %d tokens without an error", prompt, answer.Tokens)
		}
		c.mutex.Lock()
		c.streams++
		if answer.Complete {
			c.complete++
		}
		c.mutex.Unlock()
	}
}

// post repeats each posting through all hosts until its outcome is known, or
// gives it up.
func (c *combination) post(ctx context.Context, index int) {
	callers := c.callers(harness.ClubKey, 5*time.Second)
	for posting := 0; ctx.Err() == nil; posting++ {
		key := harness.NewKey()
		body := fmt.Sprintf(`{"caller":%d,"posting":%d}`, index, posting)
		for try := range callers {
			caller := callers[(index+posting+try)%len(callers)]
			reply, err := caller.Post(context.WithoutCancel(ctx), "/v1/services/ledger/payments", key, body)
			state := reply.RunState
			if err != nil || state == "" {
				state = "may_have_run"
			}
			c.mutex.Lock()
			c.keys[key] = append(c.keys[key], state)
			c.mutex.Unlock()
			if state == "ran" {
				break
			}
			time.Sleep(combinedRetryPause)
		}
	}
}

// check compares what callers were told with what the stand-ins counted.
func (c *combination) check(ctx context.Context, t *testing.T) {
	t.Helper()
	assert.Equal(t, len(c.problems), 0, strings.Join(c.problems, "\n"))
	assert.Assert(t, c.complete > 0)
	statistics, err := c.scene.Ledger.Statistics(ctx)
	assert.NilError(t, err)
	ran, unknown := 0, 0
	for key, states := range c.keys {
		runs := statistics.RunsByKey[key]
		told := strings.Join(states, " ")
		assert.Check(t, runs <= 1, "key %s ran %d times; told %s", key, runs, told)
		switch {
		case strings.Contains(told, "ran") && !strings.Contains(told, "may_have_run"):
			ran++
			assert.Check(t, runs == 1, "key %s did not run; told %s", key, told)
		case !strings.Contains(told, "may_have_run"):
			assert.Check(t, runs == 0, "key %s ran; told %s", key, told)
		default:
			unknown++
		}
	}
	for _, engine := range c.scene.Engines {
		statistics, err := engine.Statistics(ctx)
		assert.NilError(t, err)
		assert.Check(t, statistics.ColdInFlightMax <= combinedAllowance, "%s: %d while cold", engine.Name, statistics.ColdInFlightMax)
	}
	t.Logf("%d streams, %d complete; %d keys, %d ran, %d unknown", c.streams, c.complete, len(c.keys), ran, unknown)
}
