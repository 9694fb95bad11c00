package integration_test

import (
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	platformv1 "flamingodoor.example/flamingodoor/gen/flamingodoor/platform/v1"
	"flamingodoor.example/flamingodoor/internal/faultproxy"
	"flamingodoor.example/flamingodoor/internal/harness"
)

const (
	seedVariable        = "FLAMINGODOOR_SEED"
	defaultScheduleSeed = 7

	scheduledKeys    = 36
	scheduledCallers = 6
	maxCallerPause   = 400 * time.Millisecond
)

// scheduleSeed returns the seed of the random schedule, which the environment
// variable can set. It logs the seed.
func scheduleSeed(t *testing.T) uint64 {
	t.Helper()
	seed := uint64(defaultScheduleSeed)
	if text := os.Getenv(seedVariable); text != "" {
		var err error
		seed, err = strconv.ParseUint(text, 10, 64)
		assert.NilError(t, err)
	}
	t.Logf("%s=%d", seedVariable, seed)
	return seed
}

// scheduledFault is a fault of the random schedule. begin injects it and returns
// the function that removes it.
type scheduledFault struct {
	name  string
	begin func() (end func())
}

// scheduledFaults returns one fault of each kind. Those that affect a single
// entry host affect the given one.
func (r *replyRecorder) scheduledFaults(t *testing.T, host int) []scheduledFault {
	t.Helper()
	entry, ledger := r.testbed.Deployment.Entries[host], r.testbed.Ledger.Proxy
	platformFault := func(request *platformv1.SetRequest) func() func() {
		return func() func() {
			r.setFaults(t, request)
			return func() { r.setFaults(t, &platformv1.SetRequest{}) }
		}
	}
	proxyRule := func(proxy *faultproxy.Proxy, rule faultproxy.Rule) func() func() {
		return func() func() {
			proxy.SetRule(rule)
			return proxy.Heal
		}
	}
	return []scheduledFault{
		{"host frozen", func() func() { entry.Suspend(); return entry.Resume }},
		{"host cut off from its peers", func() func() { r.cutPeers(host, faultproxy.Silent); return r.healPeers }},
		{"host cut off from the log", proxyRule(entry.PlatformProxy, faultproxy.Silent)},
		{"responses of the log to the host silenced", proxyRule(entry.PlatformProxy, faultproxy.Rule{SilentResponses: true})},
		{"log down", platformFault(&platformv1.SetRequest{Outage: true})},
		{"log slow", platformFault(&platformv1.SetRequest{Delay: seconds(1)})},
		{"answers of the log lost", platformFault(&platformv1.SetRequest{LoseAnswers: 4})},
		{"appends late", platformFault(&platformv1.SetRequest{LateAppends: 3, LateBy: seconds(4)})},
		{"ledger connections reset", func() func() { ledger.Reset(); return func() {} }},
		{"ledger connections silenced", func() func() { ledger.SilenceOpen(); return func() {} }},
		{"ledger silent", proxyRule(ledger, faultproxy.Silent)},
	}
}

// Guards against a second run, or a reply that wrongly says "not run", when
// faults follow each other in random order. All callers send each key at about
// the same time through random hosts.
func TestOnceRandomSchedule(t *testing.T) {
	t.Parallel()
	random := rand.New(rand.NewPCG(scheduleSeed(t), 0))
	topology := onceTopology
	topology.ServiceArguments = []string{"--service-delay=200ms"}
	recorder := startReplyRecorder(t, topology)
	hosts := len(recorder.testbed.Deployment.Entries)

	keys := make([]string, scheduledKeys)
	for index := range keys {
		keys[index] = harness.NewKey()
	}
	var callers sync.WaitGroup
	for range scheduledCallers {
		choices := rand.New(rand.NewPCG(random.Uint64(), 0))
		callers.Go(func() {
			for _, key := range keys {
				recorder.post(choices.IntN(hosts), key)
				time.Sleep(time.Duration(choices.Int64N(int64(maxCallerPause))))
			}
		})
	}
	done := make(chan struct{})
	go func() {
		callers.Wait()
		close(done)
	}()
	// Each fault ends only after the next one has begun.
	ends := []func(){}
	for _, kind := range random.Perm(len(recorder.scheduledFaults(t, 0))) {
		host := random.IntN(hosts)
		fault := recorder.scheduledFaults(t, host)[kind]
		t.Logf("%s, host %d", fault.name, host)
		ends = append(ends, fault.begin())
		if len(ends) > 1 {
			ends[0]()
			ends = ends[1:]
		}
		time.Sleep(time.Duration(500+random.IntN(1500)) * time.Millisecond)
	}
	for _, end := range ends {
		end()
	}
	<-done
	for _, key := range keys {
		callers.Go(func() { recorder.post(0, key) })
	}
	callers.Wait()
	time.Sleep(callTimeout) // a late run would have begun by now
	states := recorder.checkReplies(t)
	assert.Check(t, states["ran"] >= scheduledKeys, "%v", states)
}
