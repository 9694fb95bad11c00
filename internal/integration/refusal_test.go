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

// get sends an idempotent call, which needs no key.
func (r *replyRecorder) get(entry int) harness.Reply {
	return r.sendAndRecord("", func(ctx context.Context, caller *harness.Caller) (harness.Reply, error) {
		return caller.Get(ctx, "/v1/services/ledger/balance/7")
	}, entry)
}

// chat sends a streamed model request. It records a stream that ends with neither
// the end marker nor an error code as lost.
func (r *replyRecorder) chat(entry int, prompt string) harness.Reply {
	return r.sendAndRecord("", func(ctx context.Context, caller *harness.Caller) (harness.Reply, error) {
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

// startBurst sends perHost payments, idempotent calls and model requests each
// through every host, all at once.
func (r *replyRecorder) startBurst(name string, perHost int) *sync.WaitGroup {
	var pending sync.WaitGroup
	for entry := range r.testbed.Deployment.Entries {
		for index := range perHost {
			pending.Go(func() { r.post(entry, harness.NewKey()) })
			pending.Go(func() { r.get(entry) })
			pending.Go(func() { r.chat(entry, fmt.Sprintf("%s %d %d", name, entry, index)) })
		}
	}
	return &pending
}

// Guards against a refusal that says "not run" although an endpoint ran the
// request. It covers every kind of request, and the failures and stops that lead
// to refusals.
func TestRefusalNotRunIsTrue(t *testing.T) {
	t.Parallel()
	topology := onceTopology
	topology.EngineArguments = []string{"--capacity=2", "--first-token-delay=300ms", "--run-after-disconnect"}
	topology.ServiceArguments = []string{"--service-delay=300ms"}
	recorder := startReplyRecorder(t, topology)
	entries, engine, ledger := recorder.testbed.Deployment.Entries, recorder.testbed.Engines[0].Proxy, recorder.testbed.Ledger.Proxy
	setBoth := func(rule faultproxy.Rule) func() {
		return func() { engine.SetRule(rule); ledger.SetRule(rule) }
	}
	for _, c := range []struct {
		name           string
		before, during func() // before the burst, and while it runs
		perHost        int    // requests of each kind at each host, at least 3
		wantNotRun     bool   // some requests must be refused as not run
	}{
		{name: "engine full", perHost: 10, wantNotRun: true},
		{name: "connections reset", during: func() { engine.Reset(); ledger.Reset() }},
		{name: "connections silenced", during: func() { engine.SilenceOpen(); ledger.SilenceOpen() }},
		{name: "answers silenced", during: setBoth(faultproxy.Rule{SilentResponses: true})},
		{name: "requests held back", before: setBoth(faultproxy.Rule{SilentRequests: true})},
		{name: "endpoints refuse", before: setBoth(faultproxy.Refused)},
		{name: "log down", before: func() { recorder.setFaults(t, &platformv1.SetRequest{Outage: true}) }, wantNotRun: true},
		{name: "host without lease", before: func() {
			entries[1].PlatformProxy.SetRule(faultproxy.Silent)
			recorder.cutPeers(1, faultproxy.Silent)
			time.Sleep(4 * time.Second)
		}, wantNotRun: true},
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
		repliesBefore := len(recorder.replies)
		pending := recorder.startBurst(c.name, max(c.perHost, 3))
		if c.during != nil {
			time.Sleep(150 * time.Millisecond)
			c.during()
		}
		pending.Wait()
		setBoth(faultproxy.Rule{})()
		entries[1].PlatformProxy.Heal()
		recorder.healPeers()
		recorder.setFaults(t, &platformv1.SetRequest{})
		if c.wantNotRun {
			assert.Check(t, recorder.countNotRun(repliesBefore) > 0, "%s: no request was refused as not run", c.name)
		}
		recorder.waitFor(t, "service after "+c.name, func() bool {
			return recorder.post(0, harness.NewKey()).Status == 200 && recorder.chat(0, "again").RunState == "ran" &&
				recorder.get(1).Status == 200
		})
	}
	time.Sleep(callTimeout) // requests that were held back have arrived by now
	recorder.checkReplies(t)
}

// countNotRun counts the replies, from an index on, that say "not run".
func (r *replyRecorder) countNotRun(from int) int {
	count := 0
	for _, recorded := range r.replies[from:] {
		if recorded.reply.RunState == "not_run" {
			count++
		}
	}
	return count
}
