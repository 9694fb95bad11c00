package integration_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor/internal/harness"
	standinendpoint "flamingodoor.example/flamingodoor/internal/standin/endpoint"
)

const (
	stopDelay      = 3 * time.Second // the default of flamingodoord --stop-delay
	streamWorkers  = 12
	paymentWorkers = 8
	longTokens     = 300 // 6 s, twice the stop delay
	tokenInterval  = 20 * time.Millisecond
	serviceDelay   = 4 * time.Second // longer than the stop delay
)

// stopLoad sends long streams and payments to the hosts that are ready.
type stopLoad struct {
	balancer harness.Balancer
	callers  sync.Map // *harness.Entry to *harness.Caller
	stopped  chan struct{}
	workers  sync.WaitGroup

	streams, payments atomic.Int64
	mutex             sync.Mutex
	stoppedAt         map[*harness.Entry]time.Time
	outlasting        map[*harness.Entry]int // requests that ended after the stop delay of their host
}

// startWorker starts a worker that sends requests one after the other, each to a
// ready host, until the load is stopped.
func (l *stopLoad) startWorker(send func(entry *harness.Entry, caller *harness.Caller)) {
	l.workers.Go(func() {
		for {
			select {
			case <-l.stopped:
				return
			default:
			}
			entry, err := l.balancer.Choose()
			if err != nil {
				time.Sleep(tokenInterval)
				continue
			}
			caller, _ := l.callers.LoadOrStore(entry, entry.NewCaller())
			send(entry, caller.(*harness.Caller))
		}
	})
}

func (l *stopLoad) run(ctx context.Context, t *testing.T) {
	t.Helper()
	for range streamWorkers {
		l.startWorker(func(entry *harness.Entry, caller *harness.Caller) { l.stream(ctx, t, entry, caller, nil) })
	}
	for range paymentWorkers {
		l.startWorker(func(entry *harness.Entry, caller *harness.Caller) { l.post(ctx, t, entry, caller) })
	}
}

func (l *stopLoad) stream(ctx context.Context, t *testing.T, entry *harness.Entry, caller *harness.Caller, emit func(string)) {
	t.Helper()
	prompt := fmt.Sprintf("stream %d", l.streams.Add(1))
	answer, err := caller.Stream(ctx, prompt, longTokens, emit)
	want := standinendpoint.Answer("user: "+prompt+"\n", longTokens)
	if err != nil || !answer.Complete || answer.Text != want {
		t.Errorf("%s: stream failed after %d tokens: %v, code %q, run state %q", entry.Name, answer.Tokens, err, answer.Code, answer.RunState)
	}
	l.countOutlasting(entry)
}

func (l *stopLoad) post(ctx context.Context, t *testing.T, entry *harness.Entry, caller *harness.Caller) {
	t.Helper()
	body := fmt.Sprintf(`{"amount":%d}`, l.payments.Add(1))
	reply, err := caller.Post(ctx, "/v1/services/ledger/payments", harness.NewKey(), body)
	if err != nil || reply.Status != 200 {
		t.Errorf("%s: payment failed: %v, status %d %s", entry.Name, err, reply.Status, reply.Body)
	}
	l.countOutlasting(entry)
}

func (l *stopLoad) countOutlasting(entry *harness.Entry) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if at := l.stoppedAt[entry]; !at.IsZero() && time.Since(at) > stopDelay {
		l.outlasting[entry]++
	}
}

// terminate stops a host just after a stream and a payment have begun, both of
// which take longer than the stop delay.
func (l *stopLoad) terminate(ctx context.Context, t *testing.T, entry *harness.Entry) {
	t.Helper()
	streaming := make(chan struct{})
	var once sync.Once
	l.workers.Go(func() { l.post(ctx, t, entry, entry.NewCaller()) })
	l.workers.Go(func() {
		l.stream(ctx, t, entry, entry.NewCaller(), func(string) { once.Do(func() { close(streaming) }) })
	})
	select {
	case <-streaming:
	case <-time.After(stopDelay):
		t.Errorf("%s: no stream began before the stop", entry.Name)
	}
	l.mutex.Lock()
	l.stoppedAt[entry] = time.Now()
	l.mutex.Unlock()
	entry.Terminate()
}

// Guards against a planned stop that interrupts a stream or a payment in flight,
// or that refuses a caller who sends only to hosts whose /readyz says ready.
// Every entry host is replaced in turn under load.
func TestRollingRestartInterruptsNothing(t *testing.T) {
	t.Parallel()
	ctx, testbed := startTestbed(t, harness.Topology{
		Entries: 3, FabricDomains: 2, EnginesPerDomain: 2, HostsPerGroup: 2, Groups: 2,
		EngineArguments: []string{"--answer-tokens=1000", "--token-interval=" + tokenInterval.String()},
	})
	replaceLedger(ctx, t, testbed)
	load := &stopLoad{stopped: make(chan struct{}), stoppedAt: map[*harness.Entry]time.Time{}, outlasting: map[*harness.Entry]int{}}
	originals := testbed.Deployment.Entries[:3:3]
	for _, entry := range originals {
		load.balancer.Add(ctx, entry)
	}
	load.run(ctx, t)
	for n, entry := range originals {
		time.Sleep(stopDelay) // streams start at the host
		load.terminate(ctx, t, entry)
		select {
		case <-entry.Exited():
		case <-time.After(45 * time.Second):
			t.Errorf("%s has not stopped", entry.Name)
		}
		t.Logf("%s stopped in %v", entry.Name, time.Since(load.stoppedAt[entry]))
		replacement, err := testbed.Deployment.StartEntry(ctx, fmt.Sprintf("entry-%d-new", n+1), entry.DataCentre)
		assert.NilError(t, err)
		load.balancer.Add(ctx, replacement)
		assert.NilError(t, harness.WaitFor(ctx, replacement.Name+" to be ready", func() bool { return load.balancer.IsReady(replacement) }))
	}
	time.Sleep(stopDelay) // the replacements alone carry the load
	close(load.stopped)
	load.workers.Wait()
	for _, entry := range originals {
		t.Logf("%s: %d requests ended after the stop delay", entry.Name, load.outlasting[entry])
		assert.Check(t, load.outlasting[entry] >= 2)
	}
	t.Logf("%d streams, %d payments", load.streams.Load(), load.payments.Load())
	statistics, err := testbed.Ledger.Statistics(ctx)
	assert.NilError(t, err)
	assert.Equal(t, len(statistics.RunsByBody), int(load.payments.Load()))
	for body, runs := range statistics.RunsByBody {
		assert.Check(t, runs == 1, "payment %s ran %d times", body, runs)
	}
}

// replaceLedger replaces the testbed's ledger by one whose calls take serviceDelay.
func replaceLedger(ctx context.Context, t *testing.T, testbed *harness.Testbed) {
	t.Helper()
	ledger, err := testbed.Deployment.StartService(ctx, "ledger-slow", testbed.Ledger.DataCentre, harness.ServiceName, "--service-delay="+serviceDelay.String())
	assert.NilError(t, err)
	for n := range testbed.Manifest.Endpoints {
		if endpoint := &testbed.Manifest.Endpoints[n]; endpoint.EndpointID == testbed.Ledger.Name {
			endpoint.Leaving = true
		}
	}
	testbed.Manifest.Endpoints = append(testbed.Manifest.Endpoints, ledger.ManifestEntry())
	_, err = testbed.Deployment.Apply(ctx, testbed.Manifest)
	assert.NilError(t, err)
	testbed.Ledger = ledger
	// An accepted change is in force at all hosts within 9 s.
	time.Sleep(9 * time.Second)
}
