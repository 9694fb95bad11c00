package integration_test

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	platformv1 "flamingodoor.example/flamingodoor/gen/flamingodoor/platform/v1"
	"flamingodoor.example/flamingodoor/internal/faultproxy"
	"flamingodoor.example/flamingodoor/internal/harness"
)

const (
	// drainBound is the bound of I4.
	drainBound = 5 * time.Second
	// failureWatch is how long arrivals are counted while the failure goes on.
	failureWatch = time.Second
	// drainWatch is how long after the bound arrivals are counted, longer than
	// a lease and than the wait for an endpoint.
	drainWatch = 4 * time.Second
	// returnBound is the bound of I10, which the return is a case of.
	returnBound = 9 * time.Second

	drained     = "dc-a"
	loadPause   = 40 * time.Millisecond
	loadTimeout = 20 * time.Second
)

// entryLoad counts what one entry host answered.
type entryLoad struct {
	generated, called atomic.Int64 // whole answers
	refused           atomic.Int64 // as not run
}

// load runs requests through every entry host until the test ends.
type load struct {
	entries []*entryLoad
}

func startLoad(ctx context.Context, t *testing.T, entries ...*harness.Entry) *load {
	t.Helper()
	ctx, cancel := context.WithCancel(ctx)
	var workers sync.WaitGroup
	t.Cleanup(func() {
		cancel()
		workers.Wait()
	})
	running := &load{}
	for _, entry := range entries {
		counts := &entryLoad{}
		running.entries = append(running.entries, counts)
		for range 3 {
			caller := harness.NewCaller("http://"+entry.CallerAddress.String(), harness.ClubKey, harness.ModelID)
			workers.Go(func() { repeat(ctx, func(ctx context.Context) { counts.generate(ctx, caller) }) })
			workers.Go(func() { repeat(ctx, func(ctx context.Context) { counts.call(ctx, caller) }) })
		}
	}
	return running
}

// repeat gives each request a time that outlasts the failures of the test, so
// that requests which a frozen host holds are still wanted when it resumes.
func repeat(ctx context.Context, request func(ctx context.Context)) {
	for ctx.Err() == nil {
		limited, cancel := context.WithTimeout(ctx, loadTimeout)
		request(limited)
		cancel()
		select {
		case <-ctx.Done():
		case <-time.After(loadPause):
		}
	}
}

func (l *entryLoad) generate(ctx context.Context, caller *harness.Caller) {
	answer, err := caller.Stream(ctx, "Explain the invoice.", 4, nil)
	switch {
	case err != nil:
	case answer.Complete:
		l.generated.Add(1)
	case answer.RunState == notRun:
		l.refused.Add(1)
	}
}

func (l *entryLoad) call(ctx context.Context, caller *harness.Caller) {
	reply, err := caller.Get(ctx, "/v1/services/ledger/balance")
	switch {
	case err != nil:
	case reply.Status == 200:
		l.called.Add(1)
	case reply.RunState == notRun:
		l.refused.Add(1)
	}
}

const notRun = "not_run"

// received sums the requests that the endpoints of a data centre counted.
func received(ctx context.Context, t *testing.T, scene *harness.Testbed, dataCentre string) int {
	t.Helper()
	total := 0
	for _, endpoint := range scene.Deployment.Endpoints {
		if endpoint.DataCentre == dataCentre {
			statistics, err := endpoint.Statistics(ctx)
			assert.NilError(t, err)
			total += statistics.Received
		}
	}
	return total
}

// drainCase is a failure during which a data centre is taken out. The last
// entry host is the one that fails, if only one does.
type drainCase struct {
	name   string
	before func() // before the drain
	after  func() // at once after the accepted answer
	heal   func() // after the bound, while arrivals are counted
	// serving lists the entry hosts that must answer between the bound and
	// heal; the others must refuse or stay silent.
	serving []int
	answer  string // of flamingodoorctl
}

// Guards I4: an entry host that is paused, cut off or without the log sends
// work to a data centre that operators took out more than 5 s before.
func TestDrainUnderFailure(t *testing.T) {
	t.Parallel()
	ctx, scene := startScene(t, harness.SmallTopology)
	second, err := scene.Deployment.StartService(ctx, "ledger-2", "dc-b", harness.ServiceName)
	assert.NilError(t, err)
	scene.Manifest.Endpoints = append(scene.Manifest.Endpoints, second.ManifestEntry())
	_, err = scene.Deployment.Apply(ctx, scene.Manifest)
	assert.NilError(t, err)

	deployment := scene.Deployment
	last := deployment.Entries[2]
	everywhere := []int{0, 1, 2}
	setOutage := func(outage bool) func() {
		return func() { assert.NilError(t, deployment.SetFaults(ctx, &platformv1.SetRequest{Outage: outage})) }
	}
	cutLog := func() { last.PlatformProxy.SetRule(faultproxy.Silent) }
	cutAll := func() { cutLog(); deployment.SetIsolated(last, true) }
	restore := func() { last.PlatformProxy.Heal(); deployment.SetIsolated(last, false) }
	nothing := func() {}

	running := startLoad(ctx, t, deployment.Entries...)
	t.Cleanup(func() {
		if t.Failed() {
			printStatus(t, scene)
		}
	})
	for _, c := range []drainCase{
		{"a host is frozen and resumed", last.Suspend, nothing, last.Resume, []int{0, 1}, "accepted"},
		{"a host without the log", cutLog, nothing, restore, everywhere, "accepted"},
		{"a host without the log and its peers", cutAll, nothing, restore, []int{0, 1}, "accepted"},
		{"the log goes down after the drain", nothing, setOutage(true), setOutage(false), everywhere, "accepted"},
		{"the log is down before the drain", setOutage(true), nothing, setOutage(false), everywhere, "provisional"},
	} {
		passed := t.Run(c.name, func(t *testing.T) {
			c.run(ctx, t, scene, running)
			returnDrained(ctx, t, scene)
		})
		if !passed {
			break // the scene is in an unknown state
		}
	}
}

func (c *drainCase) run(ctx context.Context, t *testing.T, scene *harness.Testbed, running *load) {
	t.Helper()
	before := received(ctx, t, scene, drained)
	waitWithin(ctx, t, returnBound, "work for the data centre", func() bool {
		return received(ctx, t, scene, drained) > before
	})
	c.before()
	output, err := scene.Deployment.RunControl(ctx, "drain", drained, "--reason=test")
	accepted := time.Now()
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(output, c.answer), output)
	c.after()

	time.Sleep(time.Until(accepted.Add(drainBound)))
	atBound := received(ctx, t, scene, drained)
	elsewhere := received(ctx, t, scene, "dc-b")
	time.Sleep(failureWatch)
	assert.Equal(t, received(ctx, t, scene, drained), atBound, "requests arrived more than %s after the drain", drainBound)
	c.checkService(ctx, t, running)
	assert.Equal(t, received(ctx, t, scene, drained), atBound, "requests arrived more than %s after the drain", drainBound)

	c.heal()
	time.Sleep(drainWatch)
	assert.Equal(t, received(ctx, t, scene, drained), atBound, "requests arrived after the failure ended")
	assert.Assert(t, received(ctx, t, scene, "dc-b") > elsewhere, "other data centres received no work")
	waitWithin(ctx, t, returnBound, "the configuration to show the data centre out", func() bool {
		return configuredOut(ctx, scene)
	})
	assert.Equal(t, received(ctx, t, scene, drained), atBound, "requests arrived once the log had the record")
}

// checkService waits until every host that must serve has answered both kinds
// of requests, and checks that no other host answers any.
func (c *drainCase) checkService(ctx context.Context, t *testing.T, running *load) {
	t.Helper()
	serves := make([]bool, len(running.entries))
	for _, index := range c.serving {
		serves[index] = true
	}
	type totals struct{ generated, called int64 }
	read := func(l *entryLoad) totals { return totals{l.generated.Load(), l.called.Load()} }
	start := make([]totals, 0, len(running.entries))
	for _, counts := range running.entries {
		start = append(start, read(counts))
	}
	for index, counts := range running.entries {
		if serves[index] {
			waitWithin(ctx, t, returnBound, "service at every host that can serve", func() bool {
				now := read(counts)
				return now.generated > start[index].generated && now.called > start[index].called
			})
		} else {
			assert.Equal(t, read(counts), start[index], "host %d answered without a lease", index+1)
		}
	}
}

// configuredOut reports whether every entry host has the data centre out by
// its configuration and holds no provisional restriction.
func configuredOut(ctx context.Context, scene *harness.Testbed) bool {
	for _, entry := range scene.Deployment.Entries {
		status, err := entry.Status(ctx)
		if err != nil || len(status.GetRestrictedDataCentres()) > 0 {
			return false
		}
	}
	output, err := scene.Deployment.RunControl(ctx, "get", "data_centre", drained)
	return err == nil && strings.Contains(output, "test")
}

func returnDrained(ctx context.Context, t *testing.T, scene *harness.Testbed) {
	t.Helper()
	output, err := scene.Deployment.RunControl(ctx, "return", drained)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(output, "accepted"), output)
	atReturn := received(ctx, t, scene, drained)
	waitWithin(ctx, t, returnBound, "work for the data centre after its return", func() bool {
		return received(ctx, t, scene, drained) > atReturn
	})
	assert.NilError(t, scene.WaitServing(ctx))
}

// printStatus shows what each entry host sees when a test has failed; the
// test's own context has ended by then.
func printStatus(t *testing.T, scene *harness.Testbed) {
	t.Helper()
	for _, entry := range scene.Deployment.Entries {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		status, err := entry.Status(ctx)
		cancel()
		t.Logf("%s: %v %v", entry.Name, status, err)
	}
}

// Guards I4 against an entry host that starts after a provisional drain and
// learns of it from nobody: it reaches the log, which does not hold the
// restriction yet, and only the one peer that did not confirm it.
func TestDrainReachesNewHosts(t *testing.T) {
	t.Parallel()
	ctx, scene := startScene(t, harness.SmallTopology)
	deployment := scene.Deployment
	unconfirmed := deployment.Entries[2]
	holders := deployment.Entries[:2]
	t.Cleanup(func() {
		if t.Failed() {
			printStatus(t, scene)
		}
	})

	assert.NilError(t, deployment.SetFaults(ctx, &platformv1.SetRequest{Outage: true}))
	deployment.SetIsolated(unconfirmed, true)
	output, err := deployment.RunControl(ctx, "drain", drained, "--reason=test")
	accepted := time.Now()
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(output, "provisional") && strings.Contains(output, unconfirmed.Name), output)

	// The hosts that hold the restriction cannot record it.
	for _, holder := range holders {
		holder.PlatformProxy.SetRule(faultproxy.Silent)
	}
	assert.NilError(t, deployment.SetFaults(ctx, &platformv1.SetRequest{}))
	source := deployment.NextSourceAddress()
	unconfirmed.PeerProxy.SetSourceRule(source, faultproxy.Rule{})
	for _, holder := range holders {
		holder.PeerProxy.SetSourceRule(source, faultproxy.Silent)
	}
	late, err := deployment.StartEntry(ctx, "entry-4", "dc-c")
	assert.NilError(t, err)

	before := received(ctx, t, scene, drained)
	running := startLoad(ctx, t, late)
	time.Sleep(time.Until(accepted.Add(2 * drainBound)))
	assert.Equal(t, received(ctx, t, scene, drained), before, "a new host sent requests to the data centre")
	assert.Assert(t, running.entries[0].refused.Load() > 0)

	// Once the holders answer it, the new host serves under the restriction.
	for _, holder := range holders {
		holder.PeerProxy.SetSourceRule(source, faultproxy.Rule{})
	}
	waitWithin(ctx, t, returnBound, "service at the new host", func() bool {
		return running.entries[0].generated.Load() > 0
	})
	time.Sleep(drainWatch)
	assert.Equal(t, received(ctx, t, scene, drained), before, "requests arrived after the failure ended")
}

func waitWithin(ctx context.Context, t *testing.T, bound time.Duration, what string, condition func() bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(ctx, bound)
	defer cancel()
	assert.NilError(t, harness.WaitFor(ctx, what, condition))
}
