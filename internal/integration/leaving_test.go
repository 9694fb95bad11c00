package integration_test

import (
	"context"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor/internal/harness"
	standinendpoint "flamingodoor.example/flamingodoor/internal/standin/endpoint"
)

// leavingBound is how long an endpoint that leaves may still receive requests.
const leavingBound = 5 * time.Second

var leavingTopology = harness.Topology{
	Entries: 3, FabricDomains: 2, EnginesPerDomain: 3, HostsPerGroup: 2, Groups: 2,
	EngineArguments: []string{"--token-interval=50ms", "--answer-tokens=400"},
}

// markLeaving makes an endpoint leave, by its own report or by the configuration,
// and returns the time from which leavingBound counts.
func markLeaving(ctx context.Context, t *testing.T, testbed *harness.Testbed, endpoint *harness.Endpoint, byReport bool) time.Time {
	t.Helper()
	if byReport {
		assert.NilError(t, endpoint.Control(ctx, "leaving"))
		return time.Now()
	}
	for index := range testbed.Manifest.Endpoints {
		if testbed.Manifest.Endpoints[index].EndpointID == endpoint.Name {
			testbed.Manifest.Endpoints[index].Leaving = true
		}
	}
	_, err := testbed.Deployment.Apply(ctx, testbed.Manifest)
	assert.NilError(t, err)
	return time.Now()
}

// checkNoLateRequests fails the test if the endpoint received a request more than
// leavingBound after leftAt, or none before it. It counts only requests with the
// fencing number, unless that is 0.
func checkNoLateRequests(ctx context.Context, t *testing.T, endpoint *harness.Endpoint, fencingNumber uint64, leftAt time.Time) {
	t.Helper()
	records, err := endpoint.Records(ctx)
	assert.NilError(t, err)
	before, late, longest := 0, 0, time.Duration(0)
	for _, request := range records.Requests {
		switch delay := request.At.Sub(leftAt); {
		case fencingNumber != 0 && request.FencingNumber != fencingNumber:
		case delay <= 0:
			before++
		default:
			longest = max(longest, delay)
			if delay > leavingBound {
				late++
			}
		}
	}
	t.Logf("%s: %d requests before it left, the last one %v after, %d after the bound", endpoint.Name, before, longest, late)
	assert.Assert(t, before > 0)
	assert.Equal(t, late, 0)
}

// Guards against new requests to a group with a leaving member, and against
// streams that break because the member leaves. The check uses the requests that
// the engine recorded.
func TestLeavingEngine(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name     string
		member   int
		byReport bool
	}{
		{"head by report", 0, true},
		{"member by report", 1, true},
		{"head by configuration", 0, false},
		{"member by configuration", 1, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			run := startGroupsRun(t, leavingTopology)
			group := run.pickGroup()
			longStreams := startLongStreams(run)
			shortLoad := run.StartLoad(run.ctx, 4, 4, 10*time.Millisecond)
			defer shortLoad.Stop()
			time.Sleep(2 * time.Second)
			leftAt := markLeaving(run.ctx, t, run.Testbed, group.members[test.member], test.byReport)
			longStreams.Wait()
			time.Sleep(10 * time.Second)
			checkNoLateRequests(run.ctx, t, group.members[0], group.fencingNumber, leftAt)
			if test.byReport {
				statistics, err := group.members[test.member].Statistics(run.ctx)
				assert.NilError(t, err)
				assert.Assert(t, statistics.LastWhileLeavingMS <= leavingBound.Milliseconds(), "%d ms", statistics.LastWhileLeavingMS)
			}
			for _, load := range []*harness.LoadGenerator{run.load, shortLoad} {
				load.Stop()
				t.Logf("answers: %d complete, %d broken, %d refused", load.Complete.Load(), load.Broken.Load(), load.Refused.Load())
				assert.Equal(t, load.Broken.Load(), int64(0))
			}
		})
	}
}

// startLongStreams starts 12 streams of 15 s through all entry hosts, so that
// each group runs some of them, and fails the test if an answer is not complete.
func startLongStreams(run *groupsRun) *sync.WaitGroup {
	var streams sync.WaitGroup
	for number := range 12 {
		streams.Go(func() {
			const tokens = 300
			prompt := "long " + strconv.Itoa(number)
			answer, err := run.NewCaller(number%len(run.Deployment.Entries)).Stream(run.ctx, prompt, tokens, nil)
			if err != nil || !answer.Complete || answer.Text != standinendpoint.Answer("user: "+prompt+"\n", tokens) {
				run.t.Errorf("stream %d is incomplete after %d tokens: code %q, %v", number, answer.Tokens, answer.Code, err)
			}
		})
	}
	return &streams
}

// Guards against new calls to a leaving plain service, and against calls that
// fail because it leaves.
func TestLeavingService(t *testing.T) {
	t.Parallel()
	for name, byReport := range map[string]bool{"by report": true, "by configuration": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ctx, testbed := startTestbed(t, harness.SmallTopology)
			secondLedger, err := testbed.Deployment.StartService(ctx, "ledger-2", harness.DataCentreIDs[1], harness.ServiceName, "--service-delay=300ms")
			assert.NilError(t, err)
			testbed.Manifest.Endpoints = append(testbed.Manifest.Endpoints, secondLedger.ManifestEntry())
			_, err = testbed.Deployment.Apply(ctx, testbed.Manifest)
			assert.NilError(t, err)

			calls, stop := startCalls(ctx, t, testbed)
			defer stop()
			assert.NilError(t, harness.WaitFor(ctx, "calls of the second ledger", func() bool {
				records, err := secondLedger.Records(ctx)
				return err == nil && len(records.Requests) > 20
			}))
			leftAt := markLeaving(ctx, t, testbed, secondLedger, byReport)
			time.Sleep(3 * leavingBound)
			stop()
			calls.Wait()
			checkNoLateRequests(ctx, t, secondLedger, 0, leftAt)
		})
	}
}

// startCalls sends balance requests and payments through every entry host, and
// fails the test if one is not answered. It returns the running senders and a
// function that stops them.
func startCalls(ctx context.Context, t *testing.T, testbed *harness.Testbed) (*sync.WaitGroup, func()) {
	t.Helper()
	var calls sync.WaitGroup
	stopped := make(chan struct{})
	stop := sync.OnceFunc(func() { close(stopped) })
	for entry := range testbed.Deployment.Entries {
		caller := testbed.NewCaller(entry)
		calls.Go(func() {
			for number := 0; ; number++ {
				select {
				case <-stopped:
					return
				case <-time.After(20 * time.Millisecond):
				}
				reply, err := caller.Get(ctx, "/v1/services/ledger/balance")
				if number%2 == 0 {
					reply, err = caller.Post(ctx, "/v1/services/ledger/payments", harness.NewKey(), strconv.Itoa(number))
				}
				if err != nil || reply.Status != 200 {
					t.Errorf("call %d: status %d, %s, %v", number, reply.Status, reply.Body, err)
				}
			}
		})
	}
	return &calls, stop
}
