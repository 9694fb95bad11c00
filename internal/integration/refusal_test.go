package integration_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	platformv1 "flamingodoor.example/flamingodoor/gen/flamingodoor/platform/v1"
	"flamingodoor.example/flamingodoor/internal/faultproxy"
	"flamingodoor.example/flamingodoor/internal/harness"
)

func (w *witness) get(entry int) harness.Reply {
	return w.note("", func(ctx context.Context, caller *harness.Caller) (harness.Reply, error) {
		return caller.Get(ctx, "/v1/services/ledger/balance/7")
	}, entry)
}

// chat asks for a streamed answer. A stream that ends without an end marker
// and without an error is a lost answer.
func (w *witness) chat(entry int, prompt string) harness.Reply {
	return w.note("", func(ctx context.Context, caller *harness.Caller) (harness.Reply, error) {
		answer, err := caller.Stream(ctx, prompt, 8, nil)
		reply := harness.Reply{Status: answer.Status, RequestID: answer.RequestID, RunState: answer.RunState, Code: answer.Code}
		if answer.Complete {
			reply.RunState = "ran"
		} else if err == nil && answer.Code == "" {
			return reply, context.Canceled
		}
		return reply, err
	}, entry)
}

// burst sends postings, idempotent calls and model requests at once through
// every host.
func (w *witness) burst(name string, each int) *sync.WaitGroup {
	var pending sync.WaitGroup
	for entry := range w.scene.Deployment.Entries {
		for index := range each {
			pending.Go(func() { w.post(entry, harness.NewKey()) })
			pending.Go(func() { w.get(entry) })
			pending.Go(func() { w.chat(entry, fmt.Sprintf("%s %d %d", name, entry, index)) })
		}
	}
	return &pending
}

// Guards against a refusal that says "not run" although an endpoint ran the
// request, for every kind of request and the failures that lead to refusals.
func TestRefusalNotRunIsTrue(t *testing.T) {
	t.Parallel()
	shape := onceShape
	shape.EngineArguments = []string{"--capacity=2", "--first-token-delay=300ms", "--run-after-disconnect"}
	shape.ServiceArguments = []string{"--service-delay=300ms"}
	w := startWitness(t, shape)
	entries, engine, ledger := w.scene.Deployment.Entries, w.scene.Engines[0].Proxy, w.scene.Ledger.Proxy
	both := func(rule faultproxy.Rule) func() {
		return func() { engine.SetRule(rule); ledger.SetRule(rule) }
	}
	for _, c := range []struct {
		name           string
		before, during func() // before the burst, and while it runs
		each           int    // requests of each kind at each host
		notRun         bool   // some requests must be refused as not run
	}{
		{name: "engine full", each: 10, notRun: true},
		{name: "connections reset", during: func() { engine.Reset(); ledger.Reset() }},
		{name: "connections muted", during: func() { engine.SilenceOpen(); ledger.SilenceOpen() }},
		{name: "answers silenced", during: both(faultproxy.Rule{SilentResponses: true})},
		{name: "requests held back", before: both(faultproxy.Rule{SilentRequests: true})},
		{name: "endpoints refuse", before: both(faultproxy.Refused)},
		{name: "log down", before: func() { w.fault(t, &platformv1.SetRequest{Outage: true}) }, notRun: true},
		{name: "host without lease", before: func() {
			entries[1].PlatformProxy.SetRule(faultproxy.Silent)
			w.cutOff(1, faultproxy.Silent)
			time.Sleep(4 * time.Second)
		}, notRun: true},
		{name: "host frozen", during: func() {
			entries[2].Suspend()
			time.Sleep(callTimeout + time.Second)
			entries[2].Resume()
		}},
		{name: "host stops", during: func() { entries[2].Terminate() }},
	} {
		t.Log(c.name)
		if c.before != nil {
			c.before()
		}
		earlier := len(w.told)
		pending := w.burst(c.name, max(c.each, 3))
		if c.during != nil {
			time.Sleep(150 * time.Millisecond)
			c.during()
		}
		pending.Wait()
		both(faultproxy.Rule{})()
		entries[1].PlatformProxy.Heal()
		w.healPeers()
		w.fault(t, &platformv1.SetRequest{})
		if c.notRun {
			assert.Check(t, w.refusals(earlier) > 0, "no refusal as not run: %s", c.name)
		}
		w.waitFor(t, "service after "+c.name, func() bool {
			return w.post(0, harness.NewKey()).Status == 200 && w.chat(0, "again").RunState == "ran" &&
				w.get(1).Status == 200
		})
	}
	time.Sleep(callTimeout) // requests that were held back have arrived
	w.check(t)
}

func (w *witness) refusals(from int) int {
	count := 0
	for _, told := range w.told[from:] {
		if told.reply.RunState == "not_run" {
			count++
		}
	}
	return count
}
