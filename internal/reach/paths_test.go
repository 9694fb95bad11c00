package reach_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/reach"
)

// deployment returns instances of three fabric domains in two data centres, and of a
// service without domains in each.
func deployment() []flamingodoor.Instance {
	all := make([]flamingodoor.Instance, 0, 14)
	for domain := range 3 {
		for i := range 4 {
			all = append(all, flamingodoor.Instance{
				ID: fmt.Sprintf("i-%d%d", domain, i), Service: "llm", FabricDomain: fmt.Sprint("d-", domain), DataCentre: fmt.Sprint("dc-", domain%2),
			})
		}
	}
	for i := range 2 {
		all = append(all, flamingodoor.Instance{ID: fmt.Sprint("i-s", i), Service: "ledger", DataCentre: fmt.Sprint("dc-", i)})
	}
	return all
}

// pathFixture is a host whose probes of instances that it does not reach hang.
type pathFixture struct {
	*reach.Paths
	instances []flamingodoor.Instance
	reaches   atomic.Pointer[func(instance flamingodoor.Instance) bool]
	probes    atomic.Int32
	late      atomic.Bool // probes of instances that it reaches take all of their time
	refuse    atomic.Bool // probes of instances that it does not reach fail at once
	partial   atomic.Int32
	changes   []reach.Change
}

func reachesNone(flamingodoor.Instance) bool { return false }

// play runs the host until the test function returns.
func play(t *testing.T, test func(p *pathFixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		p := &pathFixture{instances: deployment()}
		p.setReaches(reachesNone)
		p.Paths = reach.New(reach.WithInstances(func() []flamingodoor.Instance { return p.instances }), reach.WithProbe(p.probe),
			reach.WithListener(func(change reach.Change) { p.changes = append(p.changes, change) }),
			reach.WithPartialListener(func() { p.partial.Add(1) }))
		ctx, cancel := context.WithCancel(t.Context())
		go p.Run(ctx)
		defer synctest.Wait()
		defer cancel()
		time.Sleep(time.Millisecond)
		test(p)
	})
}

func (p *pathFixture) setReaches(reaches func(instance flamingodoor.Instance) bool) {
	p.reaches.Store(&reaches)
}

func (p *pathFixture) probe(ctx context.Context, instance flamingodoor.Instance) bool {
	p.probes.Add(1)
	if (*p.reaches.Load())(instance) {
		if p.late.Load() {
			<-ctx.Done()
		}
		return true
	}
	if !p.refuse.Load() {
		<-ctx.Done()
	}
	return false
}

// fail reports failures of the instances.
func (p *pathFixture) fail(indexes ...int) {
	for _, index := range indexes {
		p.Failed(p.instances[index], time.Now())
	}
}

// wait lets the time pass.
func wait(duration time.Duration) {
	time.Sleep(duration)
	synctest.Wait()
}

// Guards against hosts without paths that take all instances for lost, and against
// hosts that take the crash of a rack or a data centre for the loss of their paths.
func TestHostWithoutPathsIsStranded(t *testing.T) {
	const first, second, third, ledger0, ledger1 = 0, 4, 8, 12, 13
	for name, test := range map[string]struct {
		reaches  func(instance flamingodoor.Instance) bool
		failures func(p *pathFixture)
		stranded bool
		probes   int32
	}{
		"two domains":               {reachesNone, func(p *pathFixture) { p.fail(first, second) }, true, 4},
		"services without a domain": {reachesNone, func(p *pathFixture) { p.fail(ledger0, ledger1) }, true, 4},
		"a domain and a service":    {reachesNone, func(p *pathFixture) { p.fail(third, ledger0) }, true, 4},
		"one domain":                {reachesNone, func(p *pathFixture) { p.fail(first, first+1, first+2) }, false, 0},
		"one data centre crashed": {
			func(instance flamingodoor.Instance) bool { return instance.DataCentre != "dc-0" },
			func(p *pathFixture) { p.fail(first, third, ledger0) }, false, 4,
		},
		"failures far apart": {reachesNone, func(p *pathFixture) { p.fail(first); wait(600 * time.Millisecond); p.fail(second) }, false, 0},
		"heard between the failures": {reachesNone, func(p *pathFixture) {
			p.fail(first)
			wait(10 * time.Millisecond)
			p.Heard(p.instances[third], time.Now())
			wait(10 * time.Millisecond)
			p.fail(second)
		}, false, 0},
		"heard during the probes": {reachesNone, func(p *pathFixture) {
			p.fail(first, second)
			wait(100 * time.Millisecond)
			p.Heard(p.instances[third], time.Now())
		}, false, 4},
	} {
		t.Run(name, func(t *testing.T) {
			play(t, func(p *pathFixture) {
				p.setReaches(test.reaches)
				test.failures(p)
				wait(200 * time.Millisecond)
				assert.Equal(t, p.probes.Load(), test.probes)
				assert.Assert(t, p.Suspected() || !test.stranded)
				wait(51 * time.Millisecond)
				assert.Equal(t, p.Stranded(), test.stranded)
				assert.Assert(t, !p.Suspected())
				assert.Equal(t, len(p.changes) == 1, test.stranded)
			})
		})
	}
}

// Guards against a host that stays stranded although instances answer new connections
// again, one that counts as back because an old connection lives on, and one that is
// stranded again for failures before that.
func TestAnswerToAProbeEndsBeingStranded(t *testing.T) {
	play(t, func(p *pathFixture) {
		begun := time.Now()
		p.fail(0, 4)
		wait(5 * time.Second)
		assert.Assert(t, p.Stranded())
		for range 20 {
			p.Heard(p.instances[9], time.Now())
			wait(50 * time.Millisecond)
			assert.Assert(t, p.Stranded())
		}
		// The probes rotate over all instances.
		p.setReaches(func(instance flamingodoor.Instance) bool { return instance.FabricDomain == "d-2" })
		wait(5 * time.Second)
		assert.Assert(t, !p.Stranded())
		p.setReaches(reachesNone)
		p.fail(0)
		wait(time.Second)
		assert.Equal(t, len(p.changes), 2)
		assert.Assert(t, p.changes[0].Since.Equal(begun) && p.changes[1].Since.Equal(begun))
		assert.Assert(t, p.changes[0].At.Sub(begun) <= 300*time.Millisecond)
	})
}

// Guards against a host that stays stranded because its probes are answered just as
// their time ends, as those of a starved host are.
func TestAnswersAtTheEndOfTheTimeCount(t *testing.T) {
	play(t, func(p *pathFixture) {
		p.fail(0, 4)
		wait(time.Second)
		assert.Assert(t, p.Stranded())
		p.late.Store(true)
		p.setReaches(func(flamingodoor.Instance) bool { return true })
		wait(600 * time.Millisecond)
		assert.Assert(t, !p.Stranded())
	})
}

// Guards against a host that takes itself for stranded, and back, again and again
// while new connections are refused and those that were opened before live on.
func TestHostWithLivingConnectionsIsNotStranded(t *testing.T) {
	play(t, func(p *pathFixture) {
		p.refuse.Store(true)
		for range 200 {
			p.fail(0, 4)
			wait(10 * time.Millisecond)
			p.Heard(p.instances[9], time.Now())
			wait(50 * time.Millisecond)
		}
		assert.Equal(t, len(p.changes), 0)
		assert.Assert(t, p.partial.Load() > 0)
		p.fail(0, 4)
		wait(600 * time.Millisecond)
		assert.Assert(t, p.Stranded(), "nothing is heard any more")
	})
}

// Guards against allocations and locks at each event of a stream.
func TestHearingAllocatesNothing(t *testing.T) {
	paths, instance := reach.New(), deployment()[0]
	at := time.Now()
	assert.Equal(t, testing.AllocsPerRun(1000, func() {
		at = at.Add(10 * time.Millisecond)
		paths.Heard(instance, at)
	}), 0.0)
}

// BenchmarkHeard measures one event of a stream, with events on all processors.
func BenchmarkHeard(b *testing.B) {
	paths, instances := reach.New(), deployment()
	b.RunParallel(func(pb *testing.PB) {
		for i := 0; pb.Next(); i++ {
			paths.Heard(instances[i%len(instances)], time.Now())
		}
	})
}
