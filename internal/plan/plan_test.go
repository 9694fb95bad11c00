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

// gate is a freshness lease that is always valid; pause delays its answer as if
// the process had been paused.
type gate struct{ pause func() time.Duration }

func (g gate) Restricted(string) bool { return false }

func (g gate) Fresh(time.Time) bool {
	if g.pause != nil {
		time.Sleep(g.pause())
	}
	return true
}

// runPlanners starts one planner for each gate, ranked from 0, on a fake clock
// and calls check. The planners have no health evidence of the endpoints that
// check adds to hidden.
func runPlanners(t *testing.T, c *cluster, check func(hidden map[string]bool), gates ...gate) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		hidden := map[string]bool{}
		for rank, gate := range gates {
			planner := plan.New(plan.Parts{
				HostID: "h", Configurations: c, Health: &health{cluster: c, hidden: hidden}, Freshness: gate,
				Recorder: c, Engine: c, Weights: c, Rank: func(string) (int, bool) { return rank, true },
			})
			go planner.Run(ctx)
		}
		check(hidden)
	})
}

// waitServing waits until every wanted group serves and returns the seconds that
// this took.
func (c *cluster) waitServing(t *testing.T, limit int) int {
	t.Helper()
	for second := range limit {
		synctest.Wait()
		configuration := c.Current()
		serving := 0
		for _, group := range configuration.Groups() {
			if ok, _ := (&health{cluster: c}).GroupServing(group, time.Now()); ok {
				serving++
			}
		}
		if serving == c.wanted {
			return second
		}
		time.Sleep(time.Second)
	}
	t.Fatalf("%d groups do not serve after %d s", c.wanted, limit)
	return 0
}

func (c *cluster) ordersSent() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.orders)
}

func (c *cluster) restartEndpoint(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reports[id] = flamingodoor.Report{State: flamingodoor.EndpointStateCold}
}

func (c *cluster) failEndpoints(ids ...string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range ids {
		c.failed[id] = true
	}
}

// Guards against a broken group that stays down until an operator intervenes,
// after the loss of one host, two hosts or the whole fabric domain.
func TestGroupFormsAgainWithoutOperator(t *testing.T) {
	losses := map[string][]string{
		"one host":  {"d0-h0"},
		"two hosts": {"d0-h0", "d0-h1"},
		"domain":    {"d0-h0", "d0-h1", "d0-h2", "d0-h3"},
	}
	for name, lost := range losses {
		t.Run(name, func(t *testing.T) {
			c := newCluster(1, 4, 3)
			runPlanners(t, c, func(map[string]bool) {
				c.waitServing(t, 15)
				c.failEndpoints(lost...)
				elapsed := c.waitServing(t, 15)
				t.Logf("serves again after %d s", elapsed)
				assert.Assert(t, elapsed >= 5, "replaced before the evidence was missing for 5 s")
			}, gate{})
		})
	}
}

// Guards against planners that act at the same time and form more groups than
// planned or undo each other's changes.
func TestRacingPlannersConverge(t *testing.T) {
	c := newCluster(2, 4, 4)
	runPlanners(t, c, func(map[string]bool) {
		c.waitServing(t, 15)
		offset := c.Current().Applied()
		time.Sleep(time.Minute)
		assert.Equal(t, len(c.Current().Groups()), 2)
		assert.Equal(t, c.Current().Applied(), offset, "records were appended although nothing had changed")
	}, gate{}, gate{}, gate{})

	raced := newCluster(2, 4, 4)
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		for range 2 {
			planner := plan.New(plan.Parts{
				Configurations: raced, Health: &health{cluster: raced}, Freshness: gate{},
				Recorder: slowRecorder{raced}, Engine: raced, Weights: raced,
				Rank: func(string) (int, bool) { return 0, true },
			})
			go planner.Run(ctx)
		}
		raced.waitServing(t, 20)
		assert.Assert(t, raced.conflicts > 0, "the planners did not race")
		assert.Equal(t, len(raced.Current().Groups()), 2)
	})
}

// slowRecorder delays each record by 100 ms, so that two planners act on the same
// configuration.
type slowRecorder struct{ *cluster }

func (s slowRecorder) Record(ctx context.Context, record *recordv1.Record) (*recordv1.Verdict, error) {
	time.Sleep(100 * time.Millisecond)
	return s.cluster.Record(ctx, record)
}

// Guards against an order that is sent after its deadline because the process was
// paused between planning and sending it.
func TestPausedPlannerSendsNoLateOrder(t *testing.T) {
	c := newCluster(1, 3)
	var pause atomic.Int64
	runPlanners(t, c, func(map[string]bool) {
		c.waitServing(t, 15)
		sent := c.ordersSent()
		c.restartEndpoint("d0-h0")
		pause.Store(int64(plan.OrderLifetime))
		time.Sleep(20 * time.Second)
		synctest.Wait()
		assert.Equal(t, c.ordersSent(), sent)
		pause.Store(0)
		c.waitServing(t, 20)
	}, gate{pause: func() time.Duration { return time.Duration(pause.Load()) }})
}

// Guards against an endpoint that stays in an earlier group because of a late
// order. An engine that ignores fencing numbers accepts such an order, whether
// it is in a group or free.
func TestLateOrderIsCorrected(t *testing.T) {
	c := newCluster(1, 3, 1)
	runPlanners(t, c, func(map[string]bool) {
		c.waitServing(t, 15)
		for _, endpoint := range []string{"d0-h1", "d1-h0"} {
			late := flamingodoor.Order{GroupID: "old", MemberIndex: 2}
			assert.NilError(t, c.Order(t.Context(), flamingodoor.Endpoint{ID: endpoint}, late))
		}
		c.waitServing(t, 5)
		time.Sleep(2 * time.Second)
		synctest.Wait()
		report, err := c.Report(t.Context(), flamingodoor.Endpoint{ID: "d1-h0"})
		assert.NilError(t, err)
		assert.Equal(t, report.GroupID, "")
		assert.Equal(t, report.FencingNumber, c.Current().Applied())
	}, gate{})
}

// Guards against a host that is cut off from its peers and dissolves healthy
// groups because their evidence expired on this host.
func TestHostWithoutEvidenceKeepsHealthyGroups(t *testing.T) {
	c := newCluster(1, 4)
	runPlanners(t, c, func(hidden map[string]bool) {
		c.waitServing(t, 15)
		offset := c.Current().Applied()
		c.mu.Lock()
		hidden["d0-h0"] = true
		c.mu.Unlock()
		time.Sleep(time.Minute)
		assert.Equal(t, c.Current().Applied(), offset)
	}, gate{})
}

// Guards against a slow or failing weight store that stops the repair of groups,
// and against orders sent before their weight transfer may start.
func TestWeightStorePacesOrders(t *testing.T) {
	c := newCluster(1, 3)
	var calls atomic.Int32
	c.reserve = func() (time.Time, error) {
		if calls.Add(1) == 1 {
			time.Sleep(4 * time.Second)
			return time.Time{}, flamingodoor.Errorf(flamingodoor.CodeOverloaded, "slow")
		}
		return time.Now().Add(20 * time.Second), nil
	}
	runPlanners(t, c, func(map[string]bool) {
		elapsed := c.waitServing(t, 40)
		assert.Assert(t, elapsed >= 29, "served after %d s", elapsed)
		assert.Equal(t, calls.Load(), int32(4))
		assert.Equal(t, c.ordersSent(), 3)
	}, gate{})
}
