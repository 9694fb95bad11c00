package daemon

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"flamingodoor.example/flamingodoor"
	peerv1 "flamingodoor.example/flamingodoor/gen/flamingodoor/peer/v1"
	recordv1 "flamingodoor.example/flamingodoor/gen/flamingodoor/record/v1"
	"flamingodoor.example/flamingodoor/internal/engine"
	"flamingodoor.example/flamingodoor/internal/health"
	"flamingodoor.example/flamingodoor/internal/member"
	"flamingodoor.example/flamingodoor/internal/permit"
	"flamingodoor.example/flamingodoor/internal/placement"
	"flamingodoor.example/flamingodoor/internal/plan"
	"flamingodoor.example/flamingodoor/internal/poison"
	"flamingodoor.example/flamingodoor/internal/watch"
)

const (
	cacheInterval = time.Second
	// defaultCapacity admits requests before the first group serves, so that
	// they wait for an endpoint instead of being shed.
	defaultCapacity = 64
)

// buildEndpointPlane creates what observes endpoints, gives out their permits
// and plans their groups.
func (d *Daemon) buildEndpointPlane(source netip.Addr) {
	// Like connections to peers, those to engines leave from the peer
	// listener's address, so that the network can tell entry hosts apart.
	d.engine = engine.NewClient(engine.WithSource(source))
	d.observing = engine.NewClient(engine.WithSource(source), engine.WithKeepAlive())
	d.table = health.New()
	d.permits = permit.NewTable(permit.WithFreshness(d.lease.Fresh))
	d.holder = permit.NewHolder(permit.Parts{
		HostID: d.settings.HostID,
		Table:  d.permits,
		Watchers: func(endpoint flamingodoor.Endpoint) []flamingodoor.EntryHost {
			return member.Watchers(d.store.Current(), endpoint)
		},
		EntryHostsRevision: func() uint64 { return d.store.Current().EntryHostsRevision() },
		Peers:              d.directory,
	})
	d.watchSet = member.NewWatchSet(d.settings.HostID)
	d.watcher = watch.New(watch.Parts{
		HostID:   d.settings.HostID,
		Engine:   d.observing,
		Recorder: d.table,
		Watched:  d.watched,
		Logger:   d.logger,
	}, watch.WithObserver(d.permits.ObserveReport))
	d.ledger = poison.New(poison.WithPush(d.pushStrike))
	d.planner = plan.New(plan.Parts{
		HostID:         d.settings.HostID,
		Configurations: d.store,
		Health:         d.table,
		Freshness:      d.lease,
		Recorder:       d.recorder,
		Engine:         d.engine,
		Weights:        d.weights,
		Placement:      placement.New(),
		Rank: func(fabricDomain string) (int, bool) {
			return member.PlannerRank(d.store.Current(), d.settings.HostID, fabricDomain)
		},
	}, plan.WithLogger(d.logger), plan.WithObserver(&planObserver{daemon: d}))
}

// watched lists the endpoints that this host probes.
func (d *Daemon) watched() []flamingodoor.Endpoint {
	return d.watchSet.Endpoints(d.store.Current())
}

// pushStrike tells every reachable peer of a request that crashed an endpoint.
func (d *Daemon) pushStrike(ctx context.Context, strike *peerv1.Strike) {
	_ = level.Warn(d.logger).Log("event", "endpoint_crashed_by_request", "incarnations", len(strike.GetIncarnations()))
	var calls sync.WaitGroup
	for _, host := range d.store.Current().EntryHosts() {
		if host.ID == d.settings.HostID || !d.exchanger.Reachable(host.ID, time.Now()) {
			continue
		}
		calls.Go(func() { d.reportStrike(ctx, host, strike) })
	}
	calls.Wait()
}

// servingGroups lists the groups that may serve now.
func (d *Daemon) servingGroups(now time.Time) []flamingodoor.Group {
	var serving []flamingodoor.Group
	for _, group := range d.store.Current().Groups() {
		if ok, _ := d.table.GroupServing(group, now); ok {
			serving = append(serving, group)
		}
	}
	return serving
}

// capacity is this host's part of the work that the serving groups can bear,
// with the same again to spare, because callers do not spread evenly.
func (d *Daemon) capacity(current flamingodoor.Configuration) int {
	const headroom = 2
	total := 0
	for _, group := range d.servingGroups(time.Now()) {
		if len(group.EndpointIDs) == 0 {
			continue
		}
		leader, _ := current.Endpoint(group.EndpointIDs[0])
		total += leader.WarmCapacity
	}
	hosts := max(1, len(current.EntryHosts()))
	return max(defaultCapacity, headroom*total/hosts)
}

// followCaches reads the cache events of the engines that lead serving groups.
func (d *Daemon) followCaches(ctx context.Context) {
	everyInterval(ctx, cacheInterval, func() {
		now := time.Now()
		current := d.store.Current()
		groups := d.servingGroups(now)
		for _, group := range groups {
			leader, ok := current.Endpoint(group.EndpointIDs[0])
			seen, known := d.table.Endpoint(leader.ID, now)
			if ok && known && leader.DataCentre == d.settings.DataCentre {
				d.followCache(ctx, leader, seen.Report)
			}
		}
	})
}

// followCache reads one engine's new cache events, unless its report says that
// there are none.
func (d *Daemon) followCache(ctx context.Context, leader flamingodoor.Endpoint, report flamingodoor.Report) {
	from := d.chooser.NextCacheSeq(leader.ID, report.Incarnation)
	if report.CacheSeq != 0 && report.CacheSeq < from {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, cacheInterval)
	defer cancel()
	events, err := d.observing.CacheEvents(ctx, leader, from)
	if err != nil {
		_ = level.Debug(d.logger).Log("event", "cache_events_failed", "endpoint", leader.ID, "err", err)
		return
	}
	d.chooser.ApplyCacheEvents(leader.ID, report.Incarnation, events, from)
}

// planObserver keeps the planner's measures for metrics and the burn report.
type planObserver struct {
	daemon *Daemon
}

// GroupDown adds time in which a group did not serve.
func (o *planObserver) GroupDown(groupID string, down time.Duration) {
	o.daemon.collector.GroupDown(groupID, down)
}

// StrandedAccelerators sets the number of stranded accelerators.
func (o *planObserver) StrandedAccelerators(count int) {
	o.daemon.collector.StrandedAccelerators(count)
}

// ChangeRecorded does nothing: the planner logs its changes itself.
func (o *planObserver) ChangeRecorded(string, recordv1.VerdictCode) {}

// OrderSent does nothing: the planner logs its orders itself.
func (o *planObserver) OrderSent(error) {}
