package planner_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/catalogue"
	"flamingodoor.example/flamingodoor/internal/planner"
	"flamingodoor.example/flamingodoor/internal/roster"
)

// countedElection is an election that its host wins until it resigns. It counts
// the calls.
type countedElection struct{ renewals, resignations atomic.Int64 }

func (c *countedElection) Renew(context.Context) (bool, time.Time, error) {
	c.renewals.Add(1)
	return c.resignations.Load() == 0, time.Now().Add(time.Hour), nil
}

func (c *countedElection) Resign(context.Context) error {
	c.resignations.Add(1)
	return nil
}

// candidate is a planner whose host is a candidate or not.
type candidate struct {
	*planner.Planner
	election      countedElection
	stands        atomic.Bool
	noRequestsYet bool
}

func newCandidate(t *testing.T, stands, noRequestsYet bool) *candidate {
	t.Helper()
	c := &candidate{noRequestsYet: noRequestsYet}
	c.stands.Store(stands)
	instances := roster.New()
	instances.Replace(nil, start)
	h := newHarness(t)
	c.Planner = planner.New(planner.Parts{
		Catalogue: catalogue.New(func(*flamingodoor.Catalogue) {}), Roster: instances, Election: &c.election, Epochs: h.fleet, Heads: h.fleet, Loads: h.loads,
		Refresher: refresher{h}, NoRequestsYet: func() bool { return c.noRequestsYet }, StandsForElection: func(bool) bool { return c.stands.Load() },
		Logger: log.NewNopLogger(),
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.RunElection(ctx, time.Millisecond)
	}()
	t.Cleanup(func() { cancel(); <-done })
	return c
}

// A host that is no candidate makes no calls, until it becomes one.
func TestHostThatIsNoCandidateDoesNotCallTheStore(t *testing.T) {
	c := newCandidate(t, false, false)
	time.Sleep(20 * time.Millisecond)
	assert.Equal(t, c.election.renewals.Load(), int64(0))
	assert.Assert(t, !c.Leads())
	c.stands.Store(true)
	for begun := time.Now(); !c.Leads() && time.Since(begun) < 5*time.Second; {
		time.Sleep(time.Millisecond)
	}
	assert.Assert(t, c.Leads())
}

// A leader that is no candidate any more keeps the lease while requests are
// served: a change of the leader delays the repair of groups.
func TestLeaderKeepsTheLeaseWhileRequestsAreServed(t *testing.T) {
	for _, noRequestsYet := range []bool{false, true} {
		c := newCandidate(t, true, noRequestsYet)
		for begun := time.Now(); !c.Leads() && time.Since(begun) < 5*time.Second; {
			time.Sleep(time.Millisecond)
		}
		c.stands.Store(false)
		renewals := c.election.renewals.Load()
		for begun := time.Now(); c.election.renewals.Load() < renewals+3 && time.Since(begun) < 5*time.Second; {
			time.Sleep(time.Millisecond)
		}
		assert.Assert(t, c.Leads())
		configure(c)
		c.Step(t.Context())
		assert.Equal(t, c.election.resignations.Load() > 0, noRequestsYet)
		assert.Equal(t, c.Leads(), !noRequestsYet)
	}
}

// configure gives the planner a configuration, without which it takes no step.
func configure(c *candidate) {
	c.Catalogue.Configure(&flamingodoor.Catalogue{Version: 1})
}

// timedElection is an election that its host wins once, for the time that a lease
// lasts.
type timedElection struct {
	countedElection

	uptime func() time.Time
}

func (e *timedElection) Renew(context.Context) (bool, time.Time, error) {
	e.renewals.Add(1)
	return true, e.uptime().Add(time.Minute), nil
}

// Guards against two leaders after a suspension: the lease of a suspended host ends
// at the store while its monotonic clock stands still, and it went on giving
// orders when it woke.
func TestSuspendedLeaderLosesTheLease(t *testing.T) {
	var suspended atomic.Int64
	begun := time.Now()
	election := &timedElection{uptime: func() time.Time { return begun.Round(0).Add(time.Duration(suspended.Load())) }}
	p := planner.New(planner.Parts{Election: election, Logger: log.NewNopLogger()}, planner.WithUptime(election.uptime))
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.RunElection(ctx, time.Hour)
	}()
	defer func() { cancel(); <-done }()
	for begun := time.Now(); !p.Leads() && time.Since(begun) < 5*time.Second; {
		time.Sleep(time.Millisecond)
	}
	assert.Assert(t, p.Leads())
	suspended.Store(int64(2 * time.Minute))
	assert.Assert(t, !p.Leads())
}
