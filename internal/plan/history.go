package plan

import (
	"time"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/placement"
)

// history holds how long endpoints have been without health evidence or in no
// group, and data centres out of service, as observed by this host.
type history struct {
	started   time.Time // start of this process
	endpoints map[string]*endpointHistory
	outSince  map[string]time.Time // data centres out of service or under a provisional restriction
}

type endpointHistory struct {
	grouped bool      // in a group at the last update
	freedAt time.Time // start of the quarantine, zero for none
	// lastSeen is the start of the last successful probe. The time without
	// evidence counts from it.
	lastSeen time.Time
}

func newHistory(now time.Time) *history {
	return &history{started: now, endpoints: map[string]*endpointHistory{}, outSince: map[string]time.Time{}}
}

// update reads the configuration and the health evidence and returns the input
// of the placement policy. The evidence is not reliable if this host was paused
// or has no valid freshness lease; the timers of endpoints then start again.
func (h *history) update(
	now time.Time, configuration flamingodoor.Configuration, health flamingodoor.HealthView,
	gate flamingodoor.FreshnessGate, reliable bool,
) placement.Input {
	input := placement.Input{
		Configuration: configuration,
		Endpoints:     map[string]placement.Endpoint{},
		Serving:       map[string]bool{},
	}
	known := make(map[string]*endpointHistory, len(h.endpoints))
	for _, endpoint := range configuration.Endpoints() {
		if endpoint.Kind != flamingodoor.EndpointKindEngine {
			continue
		}
		evidence, live := health.Endpoint(endpoint.ID, now)
		entry := h.observe(now, configuration, endpoint, evidence, live)
		if !reliable {
			entry.resetTimers(now, h.started, live)
		}
		known[endpoint.ID] = entry
		input.Endpoints[endpoint.ID] = placement.Endpoint{
			Live:     live,
			LostAt:   entry.lastSeen,
			Leaving:  live && evidence.Report.State == flamingodoor.EndpointStateLeaving,
			InFlight: evidence.Report.InFlight,
			FreedAt:  entry.freedAt,
		}
	}
	h.endpoints = known
	for _, group := range configuration.Groups() {
		input.Serving[group.ID], _ = health.GroupServing(group, now)
	}
	input.OutSince = h.updateOutages(now, configuration, gate)
	return input
}

// observe updates the history of an endpoint and returns it.
func (h *history) observe(
	now time.Time, configuration flamingodoor.Configuration, endpoint flamingodoor.Endpoint,
	evidence flamingodoor.EndpointHealth, live bool,
) *endpointHistory {
	_, grouped := configuration.GroupOfEndpoint(endpoint.ID)
	entry := h.endpoints[endpoint.ID]
	switch {
	case entry == nil:
		entry = &endpointHistory{lastSeen: now}
		if !grouped {
			entry.freedAt = h.initialFreedAt(now, evidence, live)
		}
	case entry.grouped && !grouped:
		entry.freedAt = now
	}
	entry.grouped = grouped
	if live && evidence.ProbedAt.After(entry.lastSeen) {
		entry.lastSeen = evidence.ProbedAt
	}
	return entry
}

// resetTimers restarts the timers of an endpoint after a time in which this host
// was paused or not fresh. It may have missed evidence, or a group that was formed
// and dissolved in that time. In the first round, which begins at started, freedAt
// keeps the value of initialFreedAt.
func (e *endpointHistory) resetTimers(now, started time.Time, live bool) {
	if !live {
		e.lastSeen = now
	}
	if !e.grouped && now.After(started) {
		e.freedAt = now
	}
}

// initialFreedAt returns the start of the quarantine of an endpoint that was
// already free when this process first saw it. For an endpoint that reports no
// group, the quarantine lasts only until the orders that may have been sent before
// this process started have expired.
func (h *history) initialFreedAt(now time.Time, evidence flamingodoor.EndpointHealth, live bool) time.Time {
	if live && evidence.Report.GroupID == "" {
		return h.started.Add(OrderLifetime - placement.DefaultQuarantine)
	}
	return now
}

// updateOutages returns the data centres that are out of service or under a
// provisional restriction, with the time at which this host first saw that.
func (h *history) updateOutages(
	now time.Time, configuration flamingodoor.Configuration, gate flamingodoor.FreshnessGate,
) map[string]time.Time {
	out := map[string]time.Time{}
	for _, dataCentre := range configuration.DataCentres() {
		if !dataCentre.OutOfService && !gate.Restricted(dataCentre.ID) {
			continue
		}
		since, known := h.outSince[dataCentre.ID]
		if !known {
			since = now
		}
		out[dataCentre.ID] = since
	}
	h.outSince = out
	return out
}
