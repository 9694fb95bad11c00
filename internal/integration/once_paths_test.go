package integration_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor/internal/faultproxy"
	"flamingodoor.example/flamingodoor/internal/harness"
)

// Guards against a second run, or a wrong "not run", when the connection to
// the service fails before, during or after the run.
func TestOnceServiceConnections(t *testing.T) {
	t.Parallel()
	shape := onceShape
	shape.ServiceArguments = []string{"--service-delay=" + runTime.String()}
	w := startWitness(t, shape)
	proxy := w.scene.Ledger.Proxy
	for _, c := range []struct {
		name       string
		before     faultproxy.Rule
		during     func() // after the run has begun
		runs, late int    // before and after the connections are healed
	}{
		{name: "reset", during: proxy.Reset, runs: 1, late: 1},
		{name: "muted", during: proxy.SilenceOpen, runs: 1, late: 1},
		{name: "answer silenced", during: func() { proxy.SetRule(faultproxy.Rule{SilentResponses: true}) }, runs: 1, late: 1},
		{name: "request held back", before: faultproxy.Rule{SilentRequests: true}},
		{name: "refused", before: faultproxy.Refused},
	} {
		w.waitFor(t, "the ledger before "+c.name, func() bool { return w.post(0, harness.NewKey()).Status == 200 })
		key := harness.NewKey()
		proxy.SetRule(c.before)
		reply := w.startPost(0, key)
		if c.during != nil {
			w.waitFor(t, "the run", func() bool { return w.runs(t, key) == 1 })
			c.during()
		}
		first := <-reply
		assert.Assert(t, c.during == nil || first.RunState == "may_have_run", "%s: %s", c.name, first.Body)
		assert.Equal(t, w.runs(t, key), c.runs, c.name)
		proxy.Heal()
		repeat := w.post(1, key)
		if first.RunState == "may_have_run" {
			assert.Equal(t, repeat.Code, "outcome_unknown", c.name)
		}
		runs := w.runs(t, key)
		assert.Assert(t, runs >= c.late && runs <= 1, "%s: %d runs", c.name, runs)
	}
	w.check(t)
}

// Guards against two hosts that both run a key because the owner of its shard
// and the other hosts do not hear of each other.
func TestOnceOwnerCutOff(t *testing.T) {
	t.Parallel()
	w := startWitness(t, onceShape)
	for _, rule := range []faultproxy.Rule{faultproxy.Silent, faultproxy.Refused, {SilentResponses: true}} {
		owner, key := w.followed(t)
		keys := []string{key, keyLike(key), keyLike(key), keyLike(key)}
		w.cutOff(owner, rule)
		pending := make([]<-chan harness.Reply, 0, len(keys)*onceShape.Entries)
		for index, key := range keys {
			if index == len(keys)/2 {
				time.Sleep(4 * time.Second) // the owner no longer counts as reachable
			}
			for entry := range w.scene.Deployment.Entries {
				pending = append(pending, w.startPost(entry, key))
			}
		}
		for _, reply := range pending {
			<-reply
		}
		w.healPeers()
		for _, key := range keys {
			w.waitFor(t, "an answer", func() bool { return w.post(0, key).Status == 200 })
			assert.Equal(t, w.runs(t, key), 1)
		}
	}
	w.check(t)
}
