package integration_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor/internal/faultproxy"
	"flamingodoor.example/flamingodoor/internal/harness"
)

// Guards against a second run, or a reply that wrongly says "not run", when the
// connection to the service fails before, during or after the run.
func TestOnceServiceConnections(t *testing.T) {
	t.Parallel()
	topology := onceTopology
	topology.ServiceArguments = []string{"--service-delay=" + runTime.String()}
	recorder := startReplyRecorder(t, topology)
	proxy := recorder.testbed.Ledger.Proxy
	for _, c := range []struct {
		name          string
		before        faultproxy.Rule
		during        func() // after the run has begun
		runs, minRuns int    // runs before the connections are healed, and the fewest after it
	}{
		{name: "reset", during: proxy.Reset, runs: 1, minRuns: 1},
		{name: "open connections silenced", during: proxy.SilenceOpen, runs: 1, minRuns: 1},
		{name: "answer silenced", during: func() { proxy.SetRule(faultproxy.Rule{SilentResponses: true}) }, runs: 1, minRuns: 1},
		{name: "request held back", before: faultproxy.Rule{SilentRequests: true}},
		{name: "refused", before: faultproxy.Refused},
	} {
		recorder.waitFor(t, "the ledger before "+c.name, func() bool { return recorder.post(0, harness.NewKey()).Status == 200 })
		key := harness.NewKey()
		proxy.SetRule(c.before)
		reply := recorder.startPost(0, key)
		if c.during != nil {
			recorder.waitFor(t, "the ledger to run the key", func() bool { return recorder.runCount(t, key) == 1 })
			c.during()
		}
		first := <-reply
		assert.Assert(t, c.during == nil || first.RunState == "may_have_run", "%s: %s", c.name, first.Body)
		assert.Equal(t, recorder.runCount(t, key), c.runs, c.name)
		proxy.Heal()
		repeat := recorder.post(1, key)
		if first.RunState == "may_have_run" {
			assert.Equal(t, repeat.Code, "outcome_unknown", c.name)
		}
		runs := recorder.runCount(t, key)
		assert.Assert(t, runs >= c.minRuns && runs <= 1, "%s: %d runs", c.name, runs)
	}
	recorder.checkReplies(t)
}

// Guards against two hosts that both run a key because the host that owns its
// shard and the other hosts cannot reach each other.
func TestOnceOwnerCutOff(t *testing.T) {
	t.Parallel()
	recorder := startReplyRecorder(t, onceTopology)
	for _, rule := range []faultproxy.Rule{faultproxy.Silent, faultproxy.Refused, {SilentResponses: true}} {
		owner, key := recorder.waitForOwner(t)
		keys := []string{key, newKeyInStream(key), newKeyInStream(key), newKeyInStream(key)}
		recorder.cutPeers(owner, rule)
		pending := make([]<-chan harness.Reply, 0, len(keys)*onceTopology.Entries)
		for index, key := range keys {
			if index == len(keys)/2 {
				time.Sleep(4 * time.Second) // the owner no longer counts as reachable
			}
			for entry := range recorder.testbed.Deployment.Entries {
				pending = append(pending, recorder.startPost(entry, key))
			}
		}
		for _, reply := range pending {
			<-reply
		}
		recorder.healPeers()
		for _, key := range keys {
			recorder.waitFor(t, "an answer for the key", func() bool { return recorder.post(0, key).Status == 200 })
			assert.Equal(t, recorder.runCount(t, key), 1)
		}
	}
	recorder.checkReplies(t)
}
