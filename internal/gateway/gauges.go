package gateway

import (
	"time"

	"flamingodoor.example/flamingodoor/internal/proxy"
	"flamingodoor.example/flamingodoor/internal/uptime"
)

// unknownAge is reported as the age of data that this host has never read.
const unknownAge = -1

// registerGauges registers gauges and counters that read this host's state at each
// scrape.
func (g *Gateway) registerGauges() error {
	for _, gauge := range []struct {
		name        string
		description string
		read        func() int64
	}{
		{"flamingodoor.hosts", "Entry hosts heard lately, this one included", func() int64 { return int64(g.exchanger.HostCount()) }},
		{"flamingodoor.leads", "1 while this host plans groups", func() int64 { return boolToInt(g.planner.Leads()) }},
		{"flamingodoor.relays", "1 while this host relays the work of others", func() int64 { return boolToInt(g.exchanger.IsRelay()) }},
		{"flamingodoor.configuration.version", "Version of the configuration in force", g.configurationVersion},
		{"flamingodoor.configuration.age_ms", "Time since the configuration was confirmed; -1 before", func() int64 { return ageMilliseconds(g.catalogue.Confirmed(), uptime.Now()) }},
		{"flamingodoor.registrations.age_ms", "Age of the read that the registrations stand for; -1 before", func() int64 { return ageMilliseconds(g.platform.Followers.AsOf(), time.Now()) }},
		{"flamingodoor.store.era", "Number of times that the platform's store was restored, by its own count", g.platform.Restores.Era},
		{"flamingodoor.instances", "Listed instances", g.listedInstances},
		{"flamingodoor.groups.serving", "Groups that receive requests", g.servingGroups},
		{"flamingodoor.instances.limited", "Instances that stated a limit of requests a second", func() int64 { return int64(g.proxy.Allowances().Count(time.Now())) }},
		{"flamingodoor.stranded", "1 while no instance answers this host", func() int64 { return boolToInt(g.paths.Stranded()) }},
		{"flamingodoor.instances.unreachable", "Instances that do not answer this host", func() int64 { return int64(len(g.roster.View().UnreachableInstances(time.Now()))) }},
		{"flamingodoor.callers.held_bytes", "Bytes held for callers that read slowly", g.front.HeldBytes},
		{"flamingodoor.responses.buffered_bytes", "Bytes set aside for the parts of responses that are buffered before they are sent", g.proxy.BufferedBytes},
		{"flamingodoor.requests.in_flight", "Requests of this host at instances", g.inFlight},
	} {
		if err := g.metrics.Gauge(gauge.name, gauge.description, gauge.read); err != nil {
			return err
		}
	}
	if err := g.metrics.ModelGauge("flamingodoor.requests.waiting", "Requests of this host that wait for a slot", g.waitingRequests); err != nil {
		return err
	}
	for _, counter := range []struct {
		name        string
		description string
		read        func(counts proxy.ForwardCounts) int64
	}{
		{"flamingodoor.requests.forwarded", "Requests of callers that were sent to another entry host", func(counts proxy.ForwardCounts) int64 { return counts.Forwarded }},
		{"flamingodoor.requests.forwards_declined", "Of them, those that the other host declined or that did not reach it", func(counts proxy.ForwardCounts) int64 { return counts.Declined }},
		{"flamingodoor.requests.taken_over", "Requests that other entry hosts sent to this one", func(counts proxy.ForwardCounts) int64 { return counts.TakenOver }},
		{"flamingodoor.requests.turned_off", "Requests of other entry hosts that this one declined", func(counts proxy.ForwardCounts) int64 { return counts.TurnedOff }},
	} {
		if err := g.metrics.Counter(counter.name, counter.description, func() int64 { return counter.read(g.proxy.ForwardCounts()) }); err != nil {
			return err
		}
	}
	if err := g.metrics.Counter("flamingodoor.callers.ended", "Callers that were ended because they do not read", g.front.EndedCallers); err != nil {
		return err
	}
	return g.registerHedgeCounters()
}

// registerHedgeCounters registers the counters of hedged requests.
func (g *Gateway) registerHedgeCounters() error {
	for _, counter := range []struct {
		name        string
		description string
		read        func(counts proxy.HedgeCounts) int64
	}{
		{"flamingodoor.hedges", "Second attempts at streams whose first event was late", func(counts proxy.HedgeCounts) int64 { return counts.Started }},
		{"flamingodoor.hedges.won", "Of them, those that had the first event", func(counts proxy.HedgeCounts) int64 { return counts.Won }},
		{"flamingodoor.hedges.engine_ms", "Estimated engine time of hedges in milliseconds, as charged to the limit", func(counts proxy.HedgeCounts) int64 { return counts.EngineTime.Milliseconds() }},
	} {
		if err := g.metrics.Counter(counter.name, counter.description, func() int64 { return counter.read(g.proxy.HedgeCounts()) }); err != nil {
			return err
		}
	}
	return nil
}

func boolToInt(set bool) int64 {
	if set {
		return 1
	}
	return 0
}

// ageMilliseconds returns the time from `then` to now in milliseconds, or
// unknownAge if `then` is zero.
func ageMilliseconds(then, now time.Time) int64 {
	if then.IsZero() {
		return unknownAge
	}
	return now.Sub(then).Milliseconds()
}

func (g *Gateway) configurationVersion() int64 {
	index := g.catalogue.Index()
	if index == nil {
		return 0
	}
	return index.Version
}

func (g *Gateway) listedInstances() int64 {
	count := 0
	for _, entries := range g.roster.View().ByService {
		count += len(entries)
	}
	return int64(count)
}

func (g *Gateway) servingGroups() int64 {
	now := time.Now()
	view := g.roster.View()
	serving := int64(0)
	for _, group := range view.Groups {
		if view.Serving(group, len(group.Members), now) {
			serving++
		}
	}
	return serving
}

func (g *Gateway) waitingRequests(observe func(service, model string, value int64)) {
	for key, waiting := range g.proxy.WaitingRequests() {
		observe(key.Service, key.Model, waiting)
	}
}

func (g *Gateway) inFlight() int64 {
	total := 0
	for _, requests := range g.tracker.OwnInFlight() {
		total += requests
	}
	return int64(total)
}
