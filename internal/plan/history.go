package plan

import (
	"time"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/placement"
)

// view tracks what this host saw of endpoints and data centres over time.
type view struct {
	started   time.Time
	endpoints map[string]*seenEndpoint
	outSince  map[string]time.Time
}

type seenEndpoint struct {
	grouped bool
	freedAt time.Time
	// lastSeen is the start of the last successful probe. The time without
	// evidence counts from it.
	lastSeen time.Time
}

func newView(now time.Time) *view {
	return &view{started: now, endpoints: map[string]*seenEndpoint{}, outSince: map[string]time.Time{}}
}

// update reads the configuration and the evidence. Unless the round counts,
// the waits of endpoints begin anew.
func (v *view) update(
	now time.Time, configuration flamingodoor.Configuration, health flamingodoor.HealthView,
	gate flamingodoor.FreshnessGate, counts bool,
) placement.Input {
	input := placement.Input{
		Configuration: configuration,
		Endpoints:     map[string]placement.Endpoint{},
		Serving:       map[string]bool{},
	}
	known := make(map[string]*seenEndpoint, len(v.endpoints))
	for _, endpoint := range configuration.Endpoints() {
		if endpoint.Kind != flamingodoor.EndpointKindEngine {
			continue
		}
		evidence, live := health.Endpoint(endpoint.ID, now)
		seen := v.seen(now, configuration, endpoint, evidence, live)
		if !counts {
			seen.restart(now, v.started, live)
		}
		known[endpoint.ID] = seen
		input.Endpoints[endpoint.ID] = placement.Endpoint{
			Live:     live,
			LostAt:   seen.lastSeen,
			Leaving:  live && evidence.Report.State == flamingodoor.EndpointStateLeaving,
			InFlight: evidence.Report.InFlight,
			FreedAt:  seen.freedAt,
		}
	}
	v.endpoints = known
	for _, group := range configuration.Groups() {
		input.Serving[group.ID], _ = health.GroupServing(group, now)
	}
	input.OutSince = v.outages(now, configuration, gate)
	return input
}

func (v *view) seen(
	now time.Time, configuration flamingodoor.Configuration, endpoint flamingodoor.Endpoint,
	evidence flamingodoor.EndpointHealth, live bool,
) *seenEndpoint {
	_, grouped := configuration.GroupOfEndpoint(endpoint.ID)
	seen := v.endpoints[endpoint.ID]
	switch {
	case seen == nil:
		seen = &seenEndpoint{lastSeen: now}
		if !grouped {
			seen.freedAt = v.firstFreed(now, evidence, live)
		}
	case seen.grouped && !grouped:
		seen.freedAt = now
	}
	seen.grouped = grouped
	if live && evidence.ProbedAt.After(seen.lastSeen) {
		seen.lastSeen = evidence.ProbedAt
	}
	return seen
}

// restart begins the waits of an endpoint anew after a time in which this host
// was paused or not fresh: it may have missed evidence, and a group that was
// formed and dissolved meanwhile.
func (e *seenEndpoint) restart(now, started time.Time, live bool) {
	if !live {
		e.lastSeen = now
	}
	if !e.grouped && now.After(started) {
		e.freedAt = now
	}
}

// firstFreed returns the time from which the quarantine of an endpoint counts
// that was free when this process first saw it. An endpoint that names no
// group waits only until the orders sent before this process started have
// expired.
func (v *view) firstFreed(now time.Time, evidence flamingodoor.EndpointHealth, live bool) time.Time {
	if live && evidence.Report.GroupID == "" {
		return v.started.Add(OrderLifetime - placement.DefaultQuarantine)
	}
	return now
}

func (v *view) outages(
	now time.Time, configuration flamingodoor.Configuration, gate flamingodoor.FreshnessGate,
) map[string]time.Time {
	out := map[string]time.Time{}
	for _, dataCentre := range configuration.DataCentres() {
		if !dataCentre.OutOfService && !gate.Restricted(dataCentre.ID) {
			continue
		}
		since, known := v.outSince[dataCentre.ID]
		if !known {
			since = now
		}
		out[dataCentre.ID] = since
	}
	v.outSince = out
	return out
}
