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
	// cacheInterval is the time between two polls of the cache events, and the
	// timeout of the read from one head.
	cacheInterval = time.Second
	// minCapacity is the smallest number of requests that are admitted. Requests
	// that arrive before the first group serves wait for an endpoint instead of
	// being shed.
	minCapacity = 64
)

// buildEndpointPlane creates the components that probe endpoints, grant their
// permits and plan their groups.
func (d *Daemon) buildEndpointPlane(source netip.Addr) {
	// Like connections to peers, those to engines start from the address of the
	// peer listener, so that the network can distinguish entry hosts. Those of
	// pollingEngine do not: WithSource has no effect on kept-alive connections.
	d.engine = engine.NewClient(engine.WithSource(source))
	d.pollingEngine = engine.NewClient(engine.WithSource(source), engine.WithKeepAlive())
	d.health = health.New()
	d.permitTable = permit.NewTable(permit.WithFreshness(d.lease.Fresh))
	d.permitHolder = permit.NewHolder(permit.Parts{
		HostID: d.settings.HostID,
		Table:  d.permitTable,
		Watchers: func(endpoint flamingodoor.Endpoint) []flamingodoor.EntryHost {
			return member.Watchers(d.store.Current(), endpoint)
		},
		EntryHostsRevision: func() uint64 { return d.store.Current().EntryHostsRevision() },
		Peers:              d.directory,
	})
	d.watchSet = member.NewWatchSet(d.settings.HostID)
	d.watcher = watch.New(watch.Parts{
		HostID:   d.settings.HostID,
		Engine:   d.pollingEngine,
		Recorder: d.health,
		Watched:  d.watched,
		Logger:   d.logger,
	}, watch.WithObserver(d.permitTable.ObserveReport))
	d.crashTracker = poison.New(poison.WithPush(d.pushStrike))
	d.planner = plan.New(plan.Parts{
		HostID:         d.settings.HostID,
		Configurations: d.store,
		Health:         d.health,
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

// watched returns the endpoints that this host probes.
func (d *Daemon) watched() []flamingodoor.Endpoint {
	return d.watchSet.Endpoints(d.store.Current())
}

// pushStrike sends a strike, which reports a request that was in flight when an
// endpoint crashed, to every reachable peer.
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

// servingGroups returns the groups whose members have valid evidence that they
// serve.
func (d *Daemon) servingGroups(now time.Time) []flamingodoor.Group {
	var serving []flamingodoor.Group
	for _, group := range d.store.Current().Groups() {
		if ok, _ := d.health.GroupServing(group, now); ok {
			serving = append(serving, group)
		}
	}
	return serving
}

// capacity returns the number of requests that this host admits: its share of
// the capacity of the serving groups, doubled because callers do not spread
// evenly over the hosts. It is at least minCapacity.
func (d *Daemon) capacity(current flamingodoor.Configuration) int {
	const headroomFactor = 2
	total := 0
	for _, group := range d.servingGroups(time.Now()) {
		if len(group.EndpointIDs) == 0 {
			continue
		}
		head, _ := current.Endpoint(group.EndpointIDs[0])
		total += head.WarmCapacity
	}
	hosts := max(1, len(current.EntryHosts()))
	return max(minCapacity, headroomFactor*total/hosts)
}

// followCaches polls the cache events of the heads of the serving groups in
// this data centre.
func (d *Daemon) followCaches(ctx context.Context) {
	everyInterval(ctx, cacheInterval, func() {
		now := time.Now()
		current := d.store.Current()
		groups := d.servingGroups(now)
		for _, group := range groups {
			head, ok := current.Endpoint(group.EndpointIDs[0])
			evidence, known := d.health.Endpoint(head.ID, now)
			if ok && known && head.DataCentre == d.settings.DataCentre {
				d.followCache(ctx, head, evidence.Report)
			}
		}
	})
}

// followCache reads the new cache events of a head, unless its report shows
// that there are none.
func (d *Daemon) followCache(ctx context.Context, head flamingodoor.Endpoint, report flamingodoor.Report) {
	from := d.chooser.NextCacheSeq(head.ID, report.Incarnation)
	if report.CacheSeq != 0 && report.CacheSeq < from {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, cacheInterval)
	defer cancel()
	events, err := d.pollingEngine.CacheEvents(ctx, head, from)
	if err != nil {
		_ = level.Debug(d.logger).Log("event", "cache_events_failed", "endpoint", head.ID, "err", err)
		return
	}
	d.chooser.ApplyCacheEvents(head.ID, report.Incarnation, events, from)
}

// planObserver passes the planner's measurements to the collector of the burn
// report.
type planObserver struct {
	daemon *Daemon
}

// GroupDown adds time in which a group did not serve.
func (o *planObserver) GroupDown(groupID string, down time.Duration) {
	o.daemon.collector.GroupDown(groupID, down)
}

// StrandedAccelerators sets the number of accelerators outside serving groups.
func (o *planObserver) StrandedAccelerators(count int) {
	o.daemon.collector.StrandedAccelerators(count)
}

// ChangeRecorded does nothing: the planner logs its changes itself.
func (o *planObserver) ChangeRecorded(string, recordv1.VerdictCode) {}

// OrderSent does nothing: the planner logs its orders itself.
func (o *planObserver) OrderSent(error) {}
