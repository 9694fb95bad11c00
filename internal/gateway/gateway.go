// Package gateway is the serving path of an entry host. It connects the proxy,
// the planner, the stall monitor and the exchange with other hosts, serves
// callers and peers, and stops gracefully.
package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/gorilla/mux"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/balance"
	"flamingodoor.example/flamingodoor/internal/catalogue"
	"flamingodoor.example/flamingodoor/internal/exchange"
	"flamingodoor.example/flamingodoor/internal/explain"
	"flamingodoor.example/flamingodoor/internal/planner"
	"flamingodoor.example/flamingodoor/internal/poison"
	"flamingodoor.example/flamingodoor/internal/proxy"
	"flamingodoor.example/flamingodoor/internal/reach"
	"flamingodoor.example/flamingodoor/internal/roster"
	"flamingodoor.example/flamingodoor/internal/stall"
	"flamingodoor.example/flamingodoor/internal/telemetry"
	"flamingodoor.example/flamingodoor/internal/upstream"
)

const (
	// configurationWait is the length of one long poll for changes of the
	// configuration. Each poll that ends confirms that the configuration is
	// current.
	configurationWait = 2 * time.Second
	// leaderConfigurationWait is the length of that poll on the leader, which
	// passes its confirmations on to the other hosts in turn. It is less than half
	// of the time for which a confirmation replaces their own reads.
	leaderConfigurationWait = 500 * time.Millisecond
	// leaderReadInterval is the time between two reads of the registrations by
	// the leader, which passes them on to the others.
	leaderReadInterval = 250 * time.Millisecond
	// readsPerDrain is how often a host that gets no registrations from the leader
	// reads them within the time after which an instance that leaves must get no
	// more requests.
	readsPerDrain = 4
	// renewalsPerLease is the number of renewals within one lease, so that two
	// lost calls do not end it.
	renewalsPerLease = 3
	// minElectionLease is the shortest lease. It bounds how often the lease is
	// renewed.
	minElectionLease    = 1500 * time.Millisecond
	maintenanceInterval = time.Second
	// stopListenTime is how long a stopping host still accepts connections: the
	// load balancer needs two readiness checks, a second apart, to notice.
	stopListenTime = 2500 * time.Millisecond
	// closeReserve is the part of the grace period that is left when the requests in
	// flight are ended.
	closeReserve = 550 * time.Millisecond
	// maxInternalHeaderBytes bounds the head of a request of the load balancer or for
	// metrics.
	maxInternalHeaderBytes = 16 << 10
	// lastAnswerTime is how long it may take to write the answers of these requests,
	// peersCloseTime how long the connections of peers may take to close after that,
	// and tasksEndTime how long the background tasks may take to end. All are parts of
	// closeReserve.
	lastAnswerTime = 100 * time.Millisecond
	peersCloseTime = 100 * time.Millisecond
	tasksEndTime   = 150 * time.Millisecond
	// departureTimeout bounds the last messages to the platform.
	departureTimeout = 500 * time.Millisecond
	// noSlowdown is the slowdown of a member at normal speed, and the least
	// that an inspection reports.
	noSlowdown = 1.0
)

// Settings configure a Gateway.
type Settings struct {
	HostID      string
	DataCentre  string
	LinkMbps    int            // capacity of the host's network link
	MemoryBytes int64          // of this process; 0 if not known
	Front       netip.AddrPort // address for callers
	Ready       netip.AddrPort // address for the load balancer's readiness checks
	Peer        netip.AddrPort // address for other entry hosts
	Metrics     netip.AddrPort // address for metrics
	DrainWithin time.Duration  // until an instance that leaves gets no more requests
	StopGrace   time.Duration  // longest duration of a stop
	Limits      proxy.Limits
	ElectionTTL time.Duration // lease of the leader, raised to minElectionLease if it is shorter
	FirstStart  bool          // no host has run before
	HedgeLimit  float64       // share of the engine time of requests that hedges may use; 0 for none
}

// Platform provides access to the platform's services and to the instances.
type Platform struct {
	Followers TopicFollowers
	Instances InstanceClient
	Probes    InstanceClient // opens a connection for each request, which shows the path
	Epochs    flamingodoor.EpochLog
	Heads     flamingodoor.HeadStore
	Loads     flamingodoor.LoadStore
	Blocked   flamingodoor.BlockedPartStore
	Election  func(ttl time.Duration) flamingodoor.Election
	Directory flamingodoor.HostDirectory
	Headers   proxy.Headers
	Restores  Restores
}

// Restores tells when the platform's store has come back from a copy that lacks its
// latest records. The store then raises its era.
type Restores interface {
	// OnRestore adds a function that is called each time.
	OnRestore(restored func(era int64))
	// Era returns the present era.
	Era() int64
}

// InstanceClient queries instances, sends them orders, and passes on what they
// state about themselves in their responses.
type InstanceClient interface {
	flamingodoor.InstanceClient
	// Health requests the health check of an instance of a plain service, and reports
	// whether it answers rather than another at its address.
	Health(ctx context.Context, instance flamingodoor.Instance, path string) (answers bool, err error)
	// Observe sets the function that gets these statements. It is called before
	// the first request.
	Observe(observe func(notice flamingodoor.InstanceNotice))
}

// TopicFollowers follow the configuration and the registrations on the platform.
type TopicFollowers interface {
	// FollowConfiguration polls for changes of the configuration until the
	// context ends. Each poll waits as long as `wait` returns. It pauses while
	// the leader passes the configuration on.
	FollowConfiguration(ctx context.Context, wait func() time.Duration)
	// FollowRegistrations reads the registrations until the context ends, at
	// the interval that `interval` returns. It pauses while the leader passes
	// the registrations on.
	FollowRegistrations(ctx context.Context, interval func() time.Duration)
	// Registrations returns the feed that passes registrations to the roster.
	// `changed` is called after each read that brought changes.
	Registrations(instances *Instances, changed func()) flamingodoor.RegistrationFeed
	// Configuration returns the feed that passes the configuration to the cache.
	// `changed` is called after each read that brought changes.
	Configuration(cache *catalogue.Cache, changed func()) flamingodoor.ConfigurationFeed
	planner.Refresher
}

// Gateway is the serving path of one entry host.
type Gateway struct {
	settings     Settings
	platform     Platform
	logger       log.Logger
	metrics      *telemetry.Metrics
	catalogue    *catalogue.Cache
	roster       *roster.Roster
	tracker      *balance.Tracker
	pool         *upstream.Pool
	peerPool     *upstream.Pool
	monitor      *stall.Monitor
	peerSpeeds   *stall.PeerSpeeds
	crashTracker *poison.Ledger
	parts        *partTracker
	paths        *reach.Paths
	demand       *proxy.Demand
	proxy        *proxy.Proxy
	exchanger    *exchange.Exchanger
	planner      *planner.Planner
	shared       *sharedState
	front        *FrontServer
	prober       *reach.Prober
	sharersMu    sync.Mutex  // serialises updateSharers
	reprobeNow   chan bool   // true to probe all instances, not only those marked unreachable
	restored     atomic.Bool // the leader has yet to save the blocked parts again
}

// New connects the parts of a gateway. Nothing runs or listens before Run.
func New(settings Settings, platform Platform, metrics *telemetry.Metrics, logger log.Logger) *Gateway {
	g := &Gateway{
		settings: settings, platform: platform, logger: logger, metrics: metrics,
		roster: roster.New(), tracker: balance.New(), peerSpeeds: stall.NewPeerSpeeds(),
		peerPool:     upstream.New(platform.Headers.RequestID, upstream.WithFailureDetection()),
		crashTracker: poison.New(), demand: proxy.NewDemand(), reprobeNow: make(chan bool, 1),
	}
	g.pool = upstream.New(platform.Headers.RequestID, upstream.WithProbe(g.answersIdle),
		upstream.WithOpenListener(func(target upstream.Target, took time.Duration) { g.proxy.ObserveConnection(target.InstanceID, took) }))
	g.paths = g.newPaths()
	g.prober = g.newProber()
	g.parts = newPartTracker(g)
	g.catalogue = catalogue.New(g.onConfiguration)
	g.monitor = stall.New(g.inspect, g.markStalled, func() int { return g.exchanger.HostCount() }, time.Now,
		stall.WithPeerSpeeds(g.peerSpeeds), stall.WithSilenceListener(func(group *roster.Group) { g.paths.Failed(group.Head().Instance, time.Now()) }))
	g.proxy = proxy.New(proxy.Parts{
		Headers: platform.Headers, Limits: settings.Limits, HostID: settings.HostID, DataCentre: settings.DataCentre, Catalogue: g.catalogue,
		Roster: g.roster, Tracker: g.tracker, Pool: g.pool, Monitor: g.monitor, CrashTracker: &strikeTracker{Ledger: g.crashTracker, gateway: g},
		PartTracker: g.parts, Paths: g.paths, PeerPool: g.peerPool, Demand: g.demand, Logger: logger,
	}, proxy.WithObserver(metrics), proxy.WithLeavingListener(g.announceLeaving), proxy.WithLimitListener(func() { g.exchanger.SendUrgent() }), proxy.WithMemory(settings.MemoryBytes), proxy.WithFirstStart(settings.FirstStart), proxy.WithHedgeLimit(settings.HedgeLimit), proxy.WithConfigurationCheck(func() bool { return g.exchanger.ConfigurationConfirmed() }))
	platform.Instances.Observe(g.proxy.Observe)
	platform.Probes.Observe(g.proxy.Observe)
	g.shared = newSharedState(g)
	if !settings.FirstStart {
		g.shared.requestsReceived.Store(true)
	}
	feeds := exchange.Feeds{
		Registrations: platform.Followers.Registrations(&Instances{Roster: g.roster, changed: g.tracker.Wake}, g.shareRegistrations),
		Configuration: platform.Followers.Configuration(g.catalogue, g.shareConfiguration),
	}
	self := flamingodoor.EntryPeer{ID: settings.HostID, Address: settings.Peer, DataCentre: settings.DataCentre, LinkMbps: settings.LinkMbps}
	g.exchanger = exchange.New(self, platform.Directory, feeds, g.shared, g.shared, logger, exchange.WithDrainBound(settings.DrainWithin), exchange.WithStrandedListener(g.onPeerStranded), exchange.WithSharersListener(g.updateSharers))
	g.proxy.UsePeers(g.exchanger)
	g.planner = planner.New(planner.Parts{
		Catalogue: g.catalogue, Roster: g.roster, Instances: &observedInstances{InstanceClient: platform.Instances, gateway: g}, Epochs: platform.Epochs, Heads: platform.Heads, Loads: platform.Loads,
		Election:         platform.Election(g.electionLease()),
		Refresher:        platform.Followers,
		ReachedElsewhere: g.exchanger.ReachedElsewhere, NoneConnects: g.exchanger.NoneConnects, PathsSound: g.prober.Sound, Stranded: g.paths.Stranded,
		HasSoundPeer: func() bool { return g.exchanger.HasPeer(time.Now()) }, StandsForElection: g.standsForElection,
		InFlight: g.tracker.InFlight, AnnounceReachable: g.markAlive, Retire: g.retireGroup, Demand: g.shared.totalDemand, DemandCoverage: g.shared.demandCoverage, NoRequestsYet: g.shared.noRequestsYet, Logger: logger,
	})
	g.front = NewFrontServer(g.proxy, WithReadAhead(settings.MemoryBytes, logger))
	platform.Restores.OnRestore(g.onRestore)
	return g
}

// standsForElection reports whether this host should be a candidate, given whether it
// is one. Before the first request the lease may still move without harm: hosts that
// became candidates only because they knew no others give up.
func (g *Gateway) standsForElection(stands bool) bool {
	return g.exchanger.StandsForElection(stands && !g.shared.noDemand())
}

// onRestore makes this host write again what the platform's store may have lost of it:
// its place in the list of hosts and, if it comes to lead, the blocked parts. The
// leader is elected anew.
func (g *Gateway) onRestore(era int64) {
	_ = level.Warn(g.logger).Log("event", "store_restored", "era", era)
	g.restored.Store(true)
	g.planner.StoreRestored()
	g.exchanger.AnnounceAgain()
	g.platform.Followers.Refresh()
}

// onPeerStranded makes this host stand for election now, because a stranded peer that
// led has resigned.
func (g *Gateway) onPeerStranded() {
	g.planner.Renew()
}

// SetLimits replaces the limits that all hosts share, after the settings
// changed.
func (g *Gateway) SetLimits(limits proxy.Limits) {
	g.proxy.SetLimits(limits)
}

// shareRegistrations sends registrations that this host read to the others, if
// this host leads.
func (g *Gateway) shareRegistrations() {
	if g.planner.Leads() {
		g.exchanger.SendNow()
	}
}

// shareConfiguration announces a change of the configuration at once, if this
// host leads.
func (g *Gateway) shareConfiguration() {
	if g.planner.Leads() {
		g.exchanger.SendUrgent()
	}
}

// configurationWaitTime returns how long this host waits for a change of the
// configuration.
func (g *Gateway) configurationWaitTime() time.Duration {
	if g.planner.Leads() {
		return leaderConfigurationWait
	}
	return configurationWait
}

// registrationInterval returns the time between two reads of the registrations
// by this host.
func (g *Gateway) registrationInterval() time.Duration {
	if g.planner.Leads() {
		return leaderReadInterval
	}
	return g.settings.DrainWithin / readsPerDrain
}

func (g *Gateway) electionLease() time.Duration {
	return max(g.settings.ElectionTTL, minElectionLease)
}

func (g *Gateway) onConfiguration(configuration *flamingodoor.Catalogue) {
	_ = level.Info(g.logger).Log("event", "configured", "version", configuration.Version,
		"routes", len(configuration.Routes), "workspaces", len(configuration.Workspaces))
	g.front.SetLimits(configuration.Limits)
	g.roster.AddServices(configuration.Services)
	g.roster.Publish(time.Now())
	g.tracker.Wake()
}

// Run serves until the context ends, and then finishes the requests in flight.
func (g *Gateway) Run(ctx context.Context) error {
	if err := g.registerGauges(); err != nil {
		return err
	}
	// Background tasks go on while the last requests finish.
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	var tasks sync.WaitGroup
	defer g.awaitTasks(&tasks)
	defer stop()
	renewInterval := g.electionLease() / renewalsPerLease
	planning, stopPlanning := context.WithCancel(background)
	defer stopPlanning()
	for _, run := range []func(){
		func() { g.platform.Followers.FollowConfiguration(background, g.configurationWaitTime) },
		func() { g.platform.Followers.FollowRegistrations(background, g.registrationInterval) },
		func() { g.monitor.Run(background) },
		func() { g.paths.Run(background) },
		func() { g.runReprobes(background) },
		func() { g.exchanger.Run(background) },
		func() { g.exchanger.RunDirectory(background) },
		func() { g.planner.RunElection(planning, renewInterval) },
		func() { g.planner.Run(planning) },
		func() { g.runMaintenance(background) },
		func() { g.parts.Run(background) },
	} {
		tasks.Go(run)
	}
	peers, err := g.listenForPeers(background, g.settings.Peer)
	if err != nil {
		return err
	}
	servers, err := g.listen(background)
	if err != nil {
		return err
	}
	_ = level.Info(g.logger).Log("event", "started", "front", g.settings.Front, "ready", g.settings.Ready, "peer", g.settings.Peer)
	<-ctx.Done()
	g.stop(background, stopPlanning, peers)
	for _, server := range servers {
		_ = server.Close() // no requests are in flight any more
	}
	return nil
}

// awaitTasks waits until the background tasks have ended, but not longer than
// tasksEndTime: what they still do must not keep the process until it is killed.
func (g *Gateway) awaitTasks(tasks *sync.WaitGroup) {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		tasks.Wait()
	}()
	timer := time.NewTimer(tasksEndTime)
	defer timer.Stop()
	select {
	case <-ended:
	case <-timer.C:
		_ = level.Warn(g.logger).Log("event", "tasks_unfinished")
	}
}

// stop marks this host as not ready, stops planning and announces the departure
// of this host. It accepts connections for stopListenTime longer, so that the
// load balancer notices, and then waits for the requests in flight. Those that are not
// answered when the grace period ends get an error response. Requests of peers are
// in flight like others.
func (g *Gateway) stop(ctx context.Context, stopPlanning context.CancelFunc, peers *PeerServer) {
	deadline := time.Now().Add(g.settings.StopGrace - closeReserve)
	_ = level.Info(g.logger).Log("event", "stopping", "deadline", deadline.UTC())
	g.proxy.Stop()
	stopPlanning()
	go g.announceDeparture(ctx)
	shutdownCtx, cancel := context.WithDeadline(ctx, deadline.Add(lastAnswerTime))
	defer cancel()
	defer time.AfterFunc(time.Until(deadline), g.proxy.EndRequests).Stop()
	timer := time.NewTimer(min(stopListenTime, time.Until(deadline)))
	defer timer.Stop()
	<-timer.C
	if err := g.front.Shutdown(shutdownCtx); err != nil {
		_ = level.Warn(g.logger).Log("event", "stop_cut_requests", "err", err)
	}
	peersCtx, cancelPeers := context.WithDeadline(ctx, deadline.Add(lastAnswerTime+peersCloseTime))
	defer cancelPeers()
	if err := peers.Shutdown(peersCtx); err != nil {
		_ = level.Warn(g.logger).Log("event", "stop_cut_requests", "listener", "peer", "err", err)
	}
	_ = level.Info(g.logger).Log("event", "stopped")
}

// announceDeparture resigns from the election, removes this host from the
// platform's list and notifies the peers that it stops.
func (g *Gateway) announceDeparture(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, departureTimeout)
	defer cancel()
	if err := g.planner.Election.Resign(ctx); err != nil {
		_ = level.Warn(g.logger).Log("event", "resign_failed", "err", err)
	}
	if err := g.platform.Directory.Withdraw(ctx, g.settings.HostID); err != nil {
		_ = level.Warn(g.logger).Log("event", "withdraw_failed", "err", err)
	}
	g.exchanger.Leave()
}

func (g *Gateway) listen(ctx context.Context) ([]*http.Server, error) {
	var servers []*http.Server
	for _, each := range []struct {
		address netip.AddrPort
		handler http.Handler
	}{
		{g.settings.Ready, g.readyHandler()},
		{g.settings.Metrics, g.metricsHandler()},
	} {
		listener, err := listenOnAddress(ctx, each.address)
		if err != nil {
			return nil, err
		}
		server := &http.Server{Handler: each.handler, ReadHeaderTimeout: time.Second, MaxHeaderBytes: maxInternalHeaderBytes}
		servers = append(servers, server)
		go g.serve(server, listener)
	}
	listener, err := listenOnAddress(ctx, g.settings.Front)
	if err != nil {
		return nil, err
	}
	go g.serve(g.front, listener)
	return servers, nil
}

func listenOnAddress(ctx context.Context, address netip.AddrPort) (net.Listener, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address.String())
	if err != nil {
		return nil, flamingodoor.NewError(flamingodoor.CodeInternal, flamingodoor.RunStateNotRun, err)
	}
	return listener, nil
}

// server accepts the connections of a listener.
type server interface {
	Serve(listener net.Listener) error
}

func (g *Gateway) serve(server server, listener net.Listener) {
	if err := server.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
		_ = level.Error(g.logger).Log("event", "listener_failed", "address", listener.Addr(), "err", err)
	}
}

func (g *Gateway) readyHandler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/ready", func(writer http.ResponseWriter, _ *http.Request) {
		if !g.proxy.Ready() {
			writer.WriteHeader(http.StatusServiceUnavailable)
		}
	}).Methods(http.MethodGet)
	return router
}

func (g *Gateway) metricsHandler() http.Handler {
	router := mux.NewRouter()
	router.Handle("/metrics", g.metrics.Handler()).Methods(http.MethodGet)
	router.Handle("/explain", explain.Handler(g.proxy.Explain)).Methods(http.MethodGet)
	return router
}

// runMaintenance closes expired idle connections, updates the hosts among which the
// limits are divided, and saves the blocked parts again after a restore of the store,
// each second until the context ends.
func (g *Gateway) runMaintenance(ctx context.Context) {
	ticker := time.NewTicker(maintenanceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			g.pool.Expire()
			g.peerPool.Expire()
			g.updateSharers()
			if g.planner.Leads() && g.restored.CompareAndSwap(true, false) {
				g.parts.save(g.parts.ledger.AllBlocked(), nil)
			}
		}
	}
}
