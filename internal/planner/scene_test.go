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

func engine() *flamingodoor.EngineSpec {
	return &flamingodoor.EngineSpec{
		Slots: 8, StepsPerPass: 7, LoadsPerSecond: 4, MaxConcurrentLoads: 4, MaxStagedModels: 1, FormationTime: 300 * time.Millisecond,
		Models: []flamingodoor.ModelSpec{
			{ID: large, InstancesPerGroup: 4, TimeFactor: 1, InitialShare: 0.5, LoadTime: 16 * time.Second, WarmTime: 1600 * time.Millisecond},
			{ID: small, InstancesPerGroup: 3, TimeFactor: 0.6, InitialShare: 0.5, LoadTime: 12 * time.Second, WarmTime: 1100 * time.Millisecond},
		},
	}
}

// scene drives planners against a stand-in fleet, step by step.
type scene struct {
	t        *testing.T
	fleet    *fleet.Fleet
	loads    *fleet.LoadRegister
	book     *catalogue.Book
	roster   *roster.Roster
	work     map[string]float64
	inFlight int
	quiet    bool
	reached  bool // by another host
	retired  []roster.GroupKey
	readAt   time.Time // of the latest read of the registrations
	fed      bool      // the registrations are as of an earlier time, and not read
}

func newScene(t *testing.T) *scene {
	t.Helper()
	return newSceneOf(t, engine())
}

func newSceneOf(t *testing.T, spec *flamingodoor.EngineSpec) *scene {
	t.Helper()
	s := &scene{
		t: t, fleet: fleet.New(spec, start), loads: fleet.NewLoadRegister(), roster: roster.New(), work: map[string]float64{large: 1.5, small: 1.5},
		book: catalogue.New(func(*flamingodoor.Catalogue) {}),
	}
	s.book.Configure(&flamingodoor.Catalogue{Version: 1, Services: map[string]flamingodoor.ServiceSpec{service: {Name: service, Engine: spec}}})
	return s
}

type alwaysLeads struct{ until func() time.Time }

func (a alwaysLeads) Renew(context.Context) (bool, time.Time, error) { return true, a.until(), nil }
func (a alwaysLeads) Resign(context.Context) error                   { return nil }

// refresher reads the registrations whenever the scene does.
type refresher struct{ scene *scene }

func (refresher) Refresh() {}

func (r refresher) AsOf() time.Time { return r.scene.readAt }

// lead returns a planner that leads from now on.
func (s *scene) lead() *planner.Planner {
	s.t.Helper()
	election := alwaysLeads{until: func() time.Time { return s.fleet.Now().Add(time.Hour) }}
	p := planner.New(planner.Parts{
		Book: s.book, Roster: s.roster, Instances: s.fleet, Epochs: s.fleet, Heads: s.fleet, Loads: s.loads, Election: election, Refresher: refresher{s},
		InFlight:         func(string) int { return s.inFlight },
		ReachedElsewhere: func(context.Context, flamingodoor.Instance) bool { return s.reached },
		Found: func(instance flamingodoor.Instance, at time.Time) {
			s.roster.MarkAlive(instance.ID, instance.StartedAt, at)
		},
		Retire: func(key roster.GroupKey) {
			s.retired = append(s.retired, key)
			s.roster.MarkRetiring(key, s.fleet.Now())
		},
		Work:  func(_, modelID string) float64 { return s.work[modelID] },
		Quiet: func() bool { return s.quiet }, Logger: log.NewNopLogger(),
	}, planner.WithClock(s.fleet.Now, func(_ context.Context, length time.Duration) { s.fleet.Advance(length) }),
		planner.WithBackground(func(work func()) { work() }))
	ctx, cancel := context.WithCancel(s.t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.RunElection(ctx, time.Hour)
	}()
	for !p.Leads() {
		time.Sleep(time.Millisecond)
	}
	s.t.Cleanup(func() { cancel(); <-done })
	return p
}

// run lets the planners step for a time.
func (s *scene) run(length time.Duration, planners ...*planner.Planner) {
	s.t.Helper()
	for range int(length / stepTime) {
		s.fleet.Advance(stepTime)
		s.publish()
		for _, each := range planners {
			each.Step(s.t.Context())
		}
	}
	s.noViolations()
}

func (s *scene) publish() {
	now := s.fleet.Now()
	if s.fed {
		s.roster.Publish(now)
		return
	}
	s.roster.Replace(s.fleet.Listed(), now)
	s.roster.Publish(now)
	s.readAt = now
}

func (s *scene) noViolations() {
	s.t.Helper()
	assert.Equal(s.t, len(s.fleet.Violations()), 0, "%v", s.fleet.Violations())
}

func (s *scene) add(domain string, count int, staged ...string) {
	for range count {
		s.fleet.Add(service, domain, "dc-a", staged...)
	}
}

func (s *scene) lose(id string) {
	now := s.fleet.Now()
	for _, instance := range s.fleet.Listed() {
		if instance.ID == id {
			s.roster.MarkLost(id, instance.StartedAt, now)
		}
	}
	s.fleet.Kill(id)
	s.roster.Publish(now)
}

// head returns the head of an open group of the large model.
func (s *scene) head() string {
	s.t.Helper()
	for _, instance := range s.fleet.Listed() {
		if instance.Membership.State == flamingodoor.MembershipStateOpen && instance.Membership.ModelID == large {
			return instance.ID
		}
	}
	s.t.Fatal("no open group of ", large)
	return ""
}
