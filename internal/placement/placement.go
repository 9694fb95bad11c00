// Package placement chooses the hosts of groups, repairs groups that lost a
// member and dissolves groups that the configuration no longer pays for.
package placement

import (
	"time"

	"flamingodoor.example/flamingodoor"
)

// Defaults of a policy.
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

// Reasons of dissolved groups.
const (
	ReasonPlanRemoved   = "plan_removed"
	ReasonPlanLowered   = "plan_lowered"
	ReasonShareLowered  = "share_lowered"
	ReasonNoSpare       = "member_lost_no_spare"
	ReasonDataCentreOut = "data_centre_out"
	ReasonPlanChanged   = "plan_changed"
	ReasonRelocated     = "relocated"
)

// Endpoint is what this host knows of an endpoint. The zero value is an
// endpoint that has been without evidence for a long time.
type Endpoint struct {
	// Live means that valid health evidence exists.
	Live bool
	// LostAt is the time since which evidence has been missing.
	LostAt time.Time
	// Leaving means that the endpoint reports that it is leaving.
	Leaving bool
	// InFlight is the number of requests that the endpoint reports.
	InFlight int
	// FreedAt is the time at which this host saw the endpoint freed; zero
	// means that no quarantine applies.
	FreedAt time.Time
}

// Input is the view on which one plan is based.
type Input struct {
	Configuration flamingodoor.Configuration
	// Endpoints holds the state of endpoints by identifier.
	Endpoints map[string]Endpoint
	// Serving tells which groups serve, by identifier.
	Serving map[string]bool
	// OutSince holds the data centres that are out of service or restricted
	// and the time at which this host first saw that.
	OutSince map[string]time.Time
}

// Action is a Form, a Replace or a Dissolve.
type Action interface {
	// Domain is the fabric domain whose planner rank decides who acts.
	Domain() string
	// Key identifies the need that the action meets. It stays the same while
	// the need stands, even if the choice of hosts changes.
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
	// After names groups that must be dissolved first, because the new group
	// uses their part of the share.
	After []string
}

// Domain returns the fabric domain of the group.
func (f Form) Domain() string { return f.FabricDomain }

// Key identifies the missing group.
func (f Form) Key() string { return "form/" + f.GroupID }

// Replace puts spares in the place of lost members of a group.
type Replace struct {
	Group flamingodoor.Group
	// Spares maps each lost member to its successor.
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

// Key identifies the group. It equals the key of a replacement, so a group
// whose last spare disappears does not wait for its planners again.
func (d Dissolve) Key() string { return "repair/" + d.GroupID }

// chooser returns the domain for a group of the shape, or nil.
type chooser func(state *state, shape shape) *domain

// Policy decides on groups. It holds no state between plans.
type Policy struct {
	replaceAfter time.Duration
	quarantine   time.Duration
	drainWait    time.Duration
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
	return func(p *Policy) { p.drainWait = wait }
}

// New returns the policy that keeps the most whole groups possible after the
// next host failure, and moves small groups to make room for larger ones.
func New(options ...Option) *Policy {
	policy := newPolicy(chooseRobust, options)
	policy.relocates = true
	return policy
}

// FirstFit returns the baseline policy, which takes the first fabric domain
// with enough free hosts and moves no groups.
func FirstFit(options ...Option) *Policy {
	return newPolicy(chooseFirst, options)
}

func newPolicy(choose chooser, options []Option) *Policy {
	policy := &Policy{
		replaceAfter: DefaultReplaceAfter,
		quarantine:   DefaultQuarantine,
		drainWait:    DefaultDrainTimeout,
		choose:       choose,
	}
	for _, option := range options {
		option(policy)
	}
	return policy
}

// Plan returns the actions that the view calls for, in the order in which
// they are to be recorded. With the actions applied and nothing else changed
// it returns none.
func (p *Policy) Plan(now time.Time, input Input) []Action {
	state := newState(p, now, input)
	state.dropUnplanned()
	state.dropOverShare()
	state.repair()
	state.renewOutdated()
	state.form()
	if p.relocates {
		state.relocate()
	}
	state.moveOut()
	return state.actions
}

// Stranded returns the accelerators of live hosts in service that are outside
// serving groups although the plans and shares would use them.
func Stranded(now time.Time, input Input) int {
	state := newState(New(), now, input)
	outside := 0
	for _, endpoint := range input.Configuration.Endpoints() {
		group, grouped := input.Configuration.GroupOfEndpoint(endpoint.ID)
		if grouped && input.Serving[group.ID] {
			continue
		}
		if state.usable(endpoint) {
			outside += endpoint.Accelerators
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
		unmet += max(0, min(club.share, club.wanted)-served)
	}
	return min(outside, unmet)
}
