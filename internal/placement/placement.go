// Package placement decides which replica groups to form, repair, move and
// dissolve, and on which hosts. A group runs one model on several hosts of one
// fabric domain. A group plan sets how many groups of a model a club wants, and
// the club's share limits the accelerators that all its groups may use.
package placement

import (
	"time"

	"flamingodoor.example/flamingodoor"
)

// Default settings of a policy.
const (
	// DefaultReplaceAfter is the time without health evidence after which a
	// member is replaced. Groups stop serving earlier, after 3 s.
	DefaultReplaceAfter = 5 * time.Second
	// DefaultQuarantine exceeds the 5 s for which an order remains valid, so a
	// late order of the previous group cannot reach a reassigned host.
	DefaultQuarantine = 10 * time.Second
	// DefaultDrainTimeout limits how long a group in a data centre that is out
	// of service may finish its requests before it is moved.
	DefaultDrainTimeout = 60 * time.Second
)

// Reasons for which a group is dissolved, as recorded in the config stream.
const (
	ReasonPlanRemoved   = "plan_removed"
	ReasonPlanLowered   = "plan_lowered"
	ReasonShareLowered  = "share_lowered"
	ReasonNoSpare       = "member_lost_no_spare"
	ReasonDataCentreOut = "data_centre_out"
	ReasonPlanChanged   = "plan_changed"
	ReasonRelocated     = "relocated"
)

// Endpoint is the state of an endpoint as observed by this host. The zero value
// is an endpoint that has had no health evidence for a long time.
type Endpoint struct {
	// Live means that valid health evidence exists.
	Live bool
	// LostAt is the time since which health evidence has been missing. It has
	// no meaning while Live is true.
	LostAt time.Time
	// Leaving means that the endpoint reports EndpointStateLeaving.
	Leaving bool
	// InFlight is the number of requests that the endpoint reports.
	InFlight int
	// FreedAt is the time at which this host saw that the endpoint was no
	// longer in a group; zero means that no quarantine applies.
	FreedAt time.Time
}

// Input is the configuration and the observed state from which Plan decides.
type Input struct {
	Configuration flamingodoor.Configuration
	// Endpoints holds the state of endpoints by identifier.
	Endpoints map[string]Endpoint
	// Serving holds by identifier whether a group serves.
	Serving map[string]bool
	// OutSince holds, for each data centre that is out of service or under a
	// provisional restriction, the time at which this host first saw that.
	OutSince map[string]time.Time
}

// Action is a Form, a Replace or a Dissolve.
type Action interface {
	// Domain returns the fabric domain of the group. Of the hosts that plan for
	// this domain, the one with the lowest rank carries out the action first.
	Domain() string
	// Key identifies the task. It stays the same until the task is done, even
	// if other hosts are chosen.
	Key() string
}

// Form creates a group.
type Form struct {
	PlanID       string
	GroupID      string
	ModelID      string
	Version      string
	FabricDomain string
	EndpointIDs  []string
	// After lists the groups that must be dissolved first, because the new
	// group uses the part of the club's share that they free.
	After []string
}

// Domain returns the fabric domain of the group.
func (f Form) Domain() string { return f.FabricDomain }

// Key identifies the missing group.
func (f Form) Key() string { return "form/" + f.GroupID }

// Replace substitutes spare hosts for lost members of a group.
type Replace struct {
	Group flamingodoor.Group
	// Spares maps each lost member to the endpoint that replaces it.
	Spares map[string]string
	// EndpointIDs are the members after the replacement, by member index.
	EndpointIDs []string
}

// Domain returns the fabric domain of the group.
func (r Replace) Domain() string { return r.Group.FabricDomain }

// Key identifies the broken group.
func (r Replace) Key() string { return "repair/" + r.Group.ID }

// Dissolve frees the hosts of a group.
type Dissolve struct {
	GroupID       string
	FencingNumber uint64
	FabricDomain  string
	Reason        string
}

// Domain returns the fabric domain of the group.
func (d Dissolve) Domain() string { return d.FabricDomain }

// Key identifies the group. It equals the key of a Replace, so that the delay
// by planner rank does not start again when the last spare of a broken group
// disappears.
func (d Dissolve) Key() string { return "repair/" + d.GroupID }

// chooser returns the fabric domain in which to form a group of the shape, or
// nil if it fits in none.
type chooser func(state *state, shape shape) *domain

// Policy plans the changes to groups. It keeps no state between calls.
type Policy struct {
	replaceAfter time.Duration
	quarantine   time.Duration
	drainTimeout time.Duration
	choose       chooser
	relocates    bool
}

// Option changes a default of a policy.
type Option func(*Policy)

// WithReplaceAfter sets the time without evidence after which a member is
// replaced.
func WithReplaceAfter(wait time.Duration) Option {
	return func(p *Policy) { p.replaceAfter = wait }
}

// WithQuarantine sets the time for which a freed host is not reassigned.
func WithQuarantine(wait time.Duration) Option {
	return func(p *Policy) { p.quarantine = wait }
}

// WithDrainTimeout sets the time after which a group in a data centre that is
// out of service is moved even with requests in flight.
func WithDrainTimeout(wait time.Duration) Option {
	return func(p *Policy) { p.drainTimeout = wait }
}

// New returns the policy that preserves the most capacity for whole groups after
// the next host failure, and moves small groups to free hosts for larger ones.
func New(options ...Option) *Policy {
	policy := newPolicy(chooseRobust, options)
	policy.relocates = true
	return policy
}

// FirstFit returns the baseline policy for comparisons. It takes the first
// fabric domain with enough free hosts and does not move groups to free hosts
// for others.
func FirstFit(options ...Option) *Policy {
	return newPolicy(chooseFirstFit, options)
}

func newPolicy(choose chooser, options []Option) *Policy {
	policy := &Policy{
		replaceAfter: DefaultReplaceAfter,
		quarantine:   DefaultQuarantine,
		drainTimeout: DefaultDrainTimeout,
		choose:       choose,
	}
	for _, option := range options {
		option(policy)
	}
	return policy
}

// Plan returns the actions that bring the groups in line with the group plans,
// in the order in which they must be recorded. Once they are applied and
// nothing else changes, it returns none.
func (p *Policy) Plan(now time.Time, input Input) []Action {
	state := newState(p, now, input)
	state.dissolveUnplanned()
	state.dissolveOverShare()
	state.repairGroups()
	state.dissolveOutdated()
	state.formMissing()
	if p.relocates {
		state.relocate()
	}
	state.evacuateDataCentres()
	return state.actions
}

// Stranded returns the number of accelerators on usable hosts that are in no
// serving group although group plans need them and the clubs' shares allow
// them.
func Stranded(now time.Time, input Input) int {
	state := newState(New(), now, input)
	idle := 0
	for _, endpoint := range input.Configuration.Endpoints() {
		group, grouped := input.Configuration.GroupOfEndpoint(endpoint.ID)
		if grouped && input.Serving[group.ID] {
			continue
		}
		if state.usable(endpoint) {
			idle += endpoint.Accelerators
		}
	}
	unmet := 0
	for _, club := range state.clubs {
		served := 0
		for _, plan := range club.plans {
			for _, group := range plan.groups {
				if input.Serving[group.ID] {
					served += plan.shape.accelerators()
				}
			}
		}
		unmet += max(0, min(club.share, club.planned)-served)
	}
	return min(idle, unmet)
}
