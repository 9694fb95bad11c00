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
	seedVariable = "FLAMINGODOOR_SEED"
	defaultSeed  = 7

	scheduledKeys    = 36
	scheduledCallers = 6
	longestPause     = 400 * time.Millisecond
)

// seed returns the seed of a random schedule, which the environment can set.
func seed(t *testing.T) uint64 {
	t.Helper()
	seed := uint64(defaultSeed)
	if text := os.Getenv(seedVariable); text != "" {
		var err error
		seed, err = strconv.ParseUint(text, 10, 64)
		assert.NilError(t, err)
	}
	t.Logf("%s=%d", seedVariable, seed)
	return seed
}

// scheduledFault begins a fault and returns what ends it.
type scheduledFault struct {
	name  string
	begin func() (end func())
}

// scheduledFaults are all kinds of faults; some concern one host.
func (w *witness) scheduledFaults(t *testing.T, host int) []scheduledFault {
	t.Helper()
	entry, ledger := w.scene.Deployment.Entries[host], w.scene.Ledger.Proxy
	platform := func(request *platformv1.SetRequest) func() func() {
		return func() func() {
			w.fault(t, request)
			return func() { w.fault(t, &platformv1.SetRequest{}) }
		}
	}
	rule := func(proxy *faultproxy.Proxy, rule faultproxy.Rule) func() func() {
		return func() func() {
			proxy.SetRule(rule)
			return proxy.Heal
		}
	}
	return []scheduledFault{
		{"host frozen", func() func() { entry.Suspend(); return entry.Resume }},
		{"host cut off from its peers", func() func() { w.cutOff(host, faultproxy.Silent); return w.healPeers }},
		{"host cut off from the log", rule(entry.PlatformProxy, faultproxy.Silent)},
		{"host does not hear the log", rule(entry.PlatformProxy, faultproxy.Rule{SilentResponses: true})},
		{"log down", platform(&platformv1.SetRequest{Outage: true})},
		{"log slow", platform(&platformv1.SetRequest{Delay: seconds(1)})},
		{"answers of the log lost", platform(&platformv1.SetRequest{LoseAnswers: 4})},
		{"appends late", platform(&platformv1.SetRequest{LateAppends: 3, LateBy: seconds(4)})},
		{"ledger connections reset", func() func() { ledger.Reset(); return func() {} }},
		{"ledger connections muted", func() func() { ledger.SilenceOpen(); return func() {} }},
		{"ledger silent", rule(ledger, faultproxy.Silent)},
	}
}

// Guards against a second run or a wrong "not run" under faults that coincide.
// All callers send each key at about the same time through random hosts.
func TestOnceRandomSchedule(t *testing.T) {
	t.Parallel()
	random := rand.New(rand.NewPCG(seed(t), 0))
	shape := onceShape
	shape.ServiceArguments = []string{"--service-delay=200ms"}
	w := startWitness(t, shape)
	hosts := len(w.scene.Deployment.Entries)

	keys := make([]string, scheduledKeys)
	for index := range keys {
		keys[index] = harness.NewKey()
	}
	var callers sync.WaitGroup
	for range scheduledCallers {
		choices := rand.New(rand.NewPCG(random.Uint64(), 0))
		callers.Go(func() {
			for _, key := range keys {
				w.post(choices.IntN(hosts), key)
				time.Sleep(time.Duration(choices.Int64N(int64(longestPause))))
			}
		})
	}
	done := make(chan struct{})
	go func() {
		callers.Wait()
		close(done)
	}()
	// Two faults coincide: each ends when the next but one begins.
	ends := []func(){}
	for _, kind := range random.Perm(len(w.scheduledFaults(t, 0))) {
		host := random.IntN(hosts)
		fault := w.scheduledFaults(t, host)[kind]
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
		callers.Go(func() { w.post(0, key) })
	}
	callers.Wait()
	time.Sleep(callTimeout) // a late run would be begun by now
	states := w.check(t)
	assert.Check(t, states["ran"] >= scheduledKeys, "%v", states)
}
