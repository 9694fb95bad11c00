package planner_test

import (
	"context"
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/catalogue"
	"flamingodoor.example/flamingodoor/internal/planner"
	"flamingodoor.example/flamingodoor/internal/roster"
	"flamingodoor.example/flamingodoor/internal/standin/fleet"
)

const (
	service  = "llm"
	large    = "large"
	small    = "small"
	stepTime = 100 * time.Millisecond
)

var start = time.Unix(1_800_000_000, 0)

func engineSpec() *flamingodoor.EngineSpec {
	return &flamingodoor.EngineSpec{
		Slots: 8, StepsPerPass: 7, LoadsPerSecond: 4, MaxConcurrentLoads: 4, MaxStagedModels: 1, FormationTime: 300 * time.Millisecond,
		Models: []flamingodoor.ModelSpec{
			{ID: large, InstancesPerGroup: 4, TimeFactor: 1, InitialShare: 0.5, LoadTime: 16 * time.Second, WarmTime: 1600 * time.Millisecond},
			{ID: small, InstancesPerGroup: 3, TimeFactor: 0.6, InitialShare: 0.5, LoadTime: 12 * time.Second, WarmTime: 1100 * time.Millisecond},
		},
	}
}

// harness drives planners step by step against a stand-in fleet with a simulated
// clock.
type harness struct {
	t                *testing.T
	fleet            *fleet.Fleet
	loads            *fleet.LoadStore
	catalogue        *catalogue.Cache
	roster           *roster.Roster
	demand           map[string]float64 // engine seconds per second, by model
	inFlight         int                // requests at the head of any group
	noRequestsYet    bool
	reachedElsewhere bool // other hosts reach the instances that the planner cannot reach
	connectsUnknown  bool // other hosts do not state whether a machine answers the opening of a connection
	retired          []roster.GroupKey
	readAt           time.Time // start of the latest read of the registrations
	readsStopped     bool      // the registrations are not read again after readAt
	// copies returns the entry that another writer adds for an instance, and whether it
	// adds one; nil if it adds none.
	copies func(listed flamingodoor.Instance) (flamingodoor.Instance, bool)
}

func newHarness(t *testing.T) *harness {
	t.Helper()
	return newHarnessWith(t, engineSpec())
}

// newHarnessWith returns a harness whose service has the given engines.
func newHarnessWith(t *testing.T, spec *flamingodoor.EngineSpec) *harness {
	t.Helper()
	h := &harness{
		t: t, fleet: fleet.New(spec, start), loads: fleet.NewLoadStore(), roster: roster.New(), demand: map[string]float64{large: 1.5, small: 1.5},
		catalogue: catalogue.New(func(*flamingodoor.Catalogue) {}),
	}
	h.catalogue.Configure(&flamingodoor.Catalogue{Version: 1, Services: map[string]flamingodoor.ServiceSpec{service: {Name: service, Engine: spec}}})
	return h
}

// alwaysLeads is an election that its host wins at every renewal.
type alwaysLeads struct{ until func() time.Time }

func (a alwaysLeads) Renew(context.Context) (bool, time.Time, error) { return true, a.until(), nil }
func (a alwaysLeads) Resign(context.Context) error                   { return nil }

// refresher reports the time of the harness's latest read. The harness reads the
// registrations before every step.
type refresher struct{ harness *harness }

func (refresher) Refresh() {}

func (r refresher) AsOf() time.Time { return r.harness.readAt }

// startLeader returns a new planner that is the leader.
func (h *harness) startLeader() *planner.Planner {
	h.t.Helper()
	return h.lead(h.parts())
}

// lead returns a new planner with the given dependencies that is the leader.
func (h *harness) lead(parts planner.Parts) *planner.Planner {
	h.t.Helper()
	p := h.newPlanner(parts)
	ctx, cancel := context.WithCancel(h.t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.RunElection(ctx, time.Hour)
	}()
	for !p.Leads() {
		time.Sleep(time.Millisecond)
	}
	h.t.Cleanup(func() { cancel(); <-done })
	return p
}

// parts returns the dependencies of a planner that wins each election.
func (h *harness) parts() planner.Parts {
	election := alwaysLeads{until: func() time.Time { return h.fleet.Now().Add(time.Hour) }}
	return planner.Parts{
		Catalogue: h.catalogue, Roster: h.roster, Instances: h.fleet, Epochs: h.fleet, Heads: h.fleet, Loads: h.loads, Election: election, Refresher: refresher{h},
		InFlight:         func(string) int { return h.inFlight },
		ReachedElsewhere: func(context.Context, flamingodoor.Instance) (bool, bool) { return h.reachedElsewhere, true },
		NoneConnects: func(ctx context.Context, instance flamingodoor.Instance) bool {
			return !h.connectsUnknown && h.fleet.Dial(ctx, instance.Address) == flamingodoor.DialResultUnanswered
		},
		AnnounceReachable: func(instance flamingodoor.Instance, at time.Time) {
			h.roster.MarkAlive(instance.ID, instance.StartedAt, at)
		},
		Retire: func(key roster.GroupKey) {
			h.retired = append(h.retired, key)
			h.roster.MarkRetiring(key, h.fleet.Now())
		},
		Demand:        func(_, modelID string) float64 { return h.demand[modelID] },
		NoRequestsYet: func() bool { return h.noRequestsYet }, Logger: log.NewNopLogger(),
	}
}

// newPlanner returns a planner on the fleet's clock that runs its background tasks at
// once.
func (h *harness) newPlanner(parts planner.Parts) *planner.Planner {
	return planner.New(parts, planner.WithClock(h.fleet.Now, func(_ context.Context, duration time.Duration) { h.fleet.Advance(duration) }),
		planner.WithBackground(func(task func()) { task() }))
}

// run advances the clock by the duration and calls each planner's Step at every
// stepTime. It fails the test if any order broke an invariant of the fleet.
func (h *harness) run(duration time.Duration, planners ...*planner.Planner) {
	h.t.Helper()
	for range int(duration / stepTime) {
		h.fleet.Advance(stepTime)
		h.publish()
		for _, p := range planners {
			p.Step(h.t.Context())
		}
	}
	h.assertNoViolations()
}

// publish reads the registrations into the roster, unless reads have stopped.
func (h *harness) publish() {
	now := h.fleet.Now()
	if h.readsStopped {
		h.roster.Publish(now)
		return
	}
	listed := h.fleet.Listed()
	for _, instance := range listed {
		if h.copies == nil {
			break
		}
		if copied, ok := h.copies(instance); ok {
			listed = append(listed, copied)
		}
	}
	h.roster.Replace(listed, now)
	h.roster.Publish(now)
	h.readAt = now
}

// assertNoViolations fails the test if an order broke an invariant of the fleet.
func (h *harness) assertNoViolations() {
	h.t.Helper()
	assert.Equal(h.t, len(h.fleet.Violations()), 0, "%v", h.fleet.Violations())
}

// add starts instances in a fabric domain, with the weights of the given models
// staged.
func (h *harness) add(domain string, count int, staged ...string) {
	for range count {
		h.fleet.Add(service, domain, "dc-a", staged...)
	}
}

// loseInstance ends the process of an instance and marks it lost in the roster.
func (h *harness) loseInstance(id string) {
	now := h.fleet.Now()
	for _, instance := range h.fleet.Listed() {
		if instance.ID == id {
			h.roster.MarkLost(id, instance.StartedAt, now)
		}
	}
	h.fleet.Crash(id)
	h.roster.Publish(now)
}

// openHead returns the head of an open group of the large model.
func (h *harness) openHead() string {
	h.t.Helper()
	for _, instance := range h.fleet.Listed() {
		if instance.Membership.State == flamingodoor.MembershipStateOpen && instance.Membership.ModelID == large {
			return instance.ID
		}
	}
	h.t.Fatal("no open group of ", large)
	return ""
}

// openGroupWithout reports whether a group of the large model is open that does
// not have the instance as its head.
func (h *harness) openGroupWithout(head string) bool {
	for _, instance := range h.fleet.Listed() {
		if instance.ID != head && instance.Membership.State == flamingodoor.MembershipStateOpen && instance.Membership.ModelID == large {
			return true
		}
	}
	return false
}

// loseHead closes the port of a head, which runs on, and marks it lost.
func (h *harness) loseHead(id string) {
	for _, instance := range h.fleet.Listed() {
		if instance.ID == id {
			h.roster.MarkLost(id, instance.StartedAt, h.fleet.Now())
		}
	}
	h.fleet.SetRefusing(id, true)
}
