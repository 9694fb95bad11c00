package plan_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor"
	recordv1 "flamingodoor.example/flamingodoor/gen/flamingodoor/record/v1"
	"flamingodoor.example/flamingodoor/internal/plan"
)

// gate is a freshness lease that always holds; pause delays its answer, as a
// paused process would.
type gate struct{ pause func() time.Duration }

func (g gate) Restricted(string) bool { return false }

func (g gate) Fresh(time.Time) bool {
	if g.pause != nil {
		time.Sleep(g.pause())
	}
	return true
}

// run starts a planner for each rank on the fake clock.
func run(t *testing.T, p *platform, check func(blind map[string]bool), gates ...gate) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		blind := map[string]bool{}
		for rank, gate := range gates {
			planner := plan.New(plan.Parts{
				HostID: "h", Configurations: p, Health: &health{platform: p, blind: blind}, Freshness: gate,
				Recorder: p, Engine: p, Weights: p, Rank: func(string) (int, bool) { return rank, true },
			})
			go planner.Run(ctx)
		}
		check(blind)
	})
}

// servingAfter returns the seconds until every wanted group serves.
func (p *platform) servingAfter(t *testing.T, limit int) int {
	t.Helper()
	for second := range limit {
		synctest.Wait()
		configuration := p.Current()
		serving := 0
		for _, group := range configuration.Groups() {
			if ok, _ := (&health{platform: p}).GroupServing(group, time.Now()); ok {
				serving++
			}
		}
		if serving == p.wanted {
			return second
		}
		time.Sleep(time.Second)
	}
	t.Fatalf("no %d groups serve after %d s", p.wanted, limit)
	return 0
}

func (p *platform) sent() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.orders)
}

func (p *platform) restart(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reports[id] = flamingodoor.Report{State: flamingodoor.EndpointStateCold}
}

func (p *platform) fail(ids ...string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, id := range ids {
		p.dead[id] = true
	}
}

// Guards against a broken group that stays down until an operator comes:
// after one lost host, two, or the whole fabric domain.
func TestGroupFormsAgainAlone(t *testing.T) {
	losses := map[string][]string{
		"one host":  {"d0-h0"},
		"two hosts": {"d0-h0", "d0-h1"},
		"domain":    {"d0-h0", "d0-h1", "d0-h2", "d0-h3"},
	}
	for name, lost := range losses {
		t.Run(name, func(t *testing.T) {
			p := newPlatform(1, 4, 3)
			run(t, p, func(map[string]bool) {
				p.servingAfter(t, 15)
				p.fail(lost...)
				took := p.servingAfter(t, 15)
				t.Logf("serves again after %d s", took)
				assert.Assert(t, took >= 5, "replaced before the evidence was missing for 5 s")
			}, gate{})
		})
	}
}

// Guards against two planners that act at the same time forming more groups
// than planned or undoing each other's changes.
func TestRacingPlannersConverge(t *testing.T) {
	p := newPlatform(2, 4, 4)
	run(t, p, func(map[string]bool) {
		p.servingAfter(t, 15)
		offset := p.Current().Applied()
		time.Sleep(time.Minute)
		assert.Equal(t, len(p.Current().Groups()), 2)
		assert.Equal(t, p.Current().Applied(), offset, "records without a need")
	}, gate{}, gate{}, gate{})

	raced := newPlatform(2, 4, 4)
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		for range 2 {
			planner := plan.New(plan.Parts{
				Configurations: raced, Health: &health{platform: raced}, Freshness: gate{},
				Recorder: delayed{raced}, Engine: raced, Weights: raced,
				Rank: func(string) (int, bool) { return 0, true },
			})
			go planner.Run(ctx)
		}
		raced.servingAfter(t, 20)
		assert.Assert(t, raced.conflicts > 0, "the planners did not race")
		assert.Equal(t, len(raced.Current().Groups()), 2)
	})
}

// delayed records after a while, so that two planners act on the same view.
type delayed struct{ *platform }

func (d delayed) Record(ctx context.Context, record *recordv1.Record) (*recordv1.Verdict, error) {
	time.Sleep(100 * time.Millisecond)
	return d.platform.Record(ctx, record)
}

// Guards against an order sent after its deadline by a process that was
// paused between the decision and the sending.
func TestPausedPlannerSendsNoLateOrder(t *testing.T) {
	p := newPlatform(1, 3)
	var pause atomic.Int64
	run(t, p, func(map[string]bool) {
		p.servingAfter(t, 15)
		sent := p.sent()
		p.restart("d0-h0")
		pause.Store(int64(plan.OrderLifetime))
		time.Sleep(20 * time.Second)
		synctest.Wait()
		assert.Equal(t, p.sent(), sent)
		pause.Store(0)
		p.servingAfter(t, 20)
	}, gate{pause: func() time.Duration { return time.Duration(pause.Load()) }})
}

// Guards against an engine that ignores fencing numbers staying in the place
// that a late order of an earlier group gave it, in a group or free.
func TestLateOrderIsCorrected(t *testing.T) {
	p := newPlatform(1, 3, 1)
	run(t, p, func(map[string]bool) {
		p.servingAfter(t, 15)
		for _, endpoint := range []string{"d0-h1", "d1-h0"} {
			late := flamingodoor.Order{GroupID: "old", MemberIndex: 2}
			assert.NilError(t, p.Order(t.Context(), flamingodoor.Endpoint{ID: endpoint}, late))
		}
		p.servingAfter(t, 5)
		time.Sleep(2 * time.Second)
		synctest.Wait()
		report, err := p.Report(t.Context(), flamingodoor.Endpoint{ID: "d1-h0"})
		assert.NilError(t, err)
		assert.Equal(t, report.GroupID, "")
		assert.Equal(t, report.FencingNumber, p.Current().Applied())
	}, gate{})
}

// Guards against a host that is cut off from its peers taking healthy groups
// apart because their evidence expired here.
func TestHostWithoutEvidenceKeepsHealthyGroups(t *testing.T) {
	p := newPlatform(1, 4)
	run(t, p, func(blind map[string]bool) {
		p.servingAfter(t, 15)
		offset := p.Current().Applied()
		p.mu.Lock()
		blind["d0-h0"] = true
		p.mu.Unlock()
		time.Sleep(time.Minute)
		assert.Equal(t, p.Current().Applied(), offset)
	}, gate{})
}

// Guards against a slow or failing weight store stopping the repair of
// groups, and against orders sent before their transfer may start.
func TestWeightStorePacesOrders(t *testing.T) {
	p := newPlatform(1, 3)
	var calls atomic.Int32
	p.reserve = func() (time.Time, error) {
		if calls.Add(1) == 1 {
			time.Sleep(4 * time.Second)
			return time.Time{}, flamingodoor.Errorf(flamingodoor.CodeOverloaded, "slow")
		}
		return time.Now().Add(20 * time.Second), nil
	}
	run(t, p, func(map[string]bool) {
		took := p.servingAfter(t, 40)
		assert.Assert(t, took >= 29, "served after %d s", took)
		assert.Equal(t, calls.Load(), int32(4))
		assert.Equal(t, p.sent(), 3)
	}, gate{})
}
