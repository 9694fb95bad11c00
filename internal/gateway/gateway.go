// Package gateway runs the serving path of an entry host: it wires the
// decisions, serves callers and peers, and stops gracefully.
package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/gorilla/mux"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/balance"
	"flamingodoor.example/flamingodoor/internal/catalogue"
	"flamingodoor.example/flamingodoor/internal/exchange"
	"flamingodoor.example/flamingodoor/internal/planner"
	"flamingodoor.example/flamingodoor/internal/poison"
	"flamingodoor.example/flamingodoor/internal/relay"
	"flamingodoor.example/flamingodoor/internal/roster"
	"flamingodoor.example/flamingodoor/internal/stall"
	"flamingodoor.example/flamingodoor/internal/telemetry"
	"flamingodoor.example/flamingodoor/internal/upstream"
)

const (
	// followWait is how long one wait for changes of the configuration takes;
	// its end confirms the configuration.
	followWait = 2 * time.Second
	// leaderWait is that of the leading host, whose confirmation others get
	// by turns: it leaves them more than half of their patience.
	leaderWait = 500 * time.Millisecond
	// leaderReads is how often the leading host reads the registrations, which
	// it passes on to the others.
	leaderReads = 250 * time.Millisecond
	// hostReads is how often a host reads them that no leader feeds. An
	// instance that leaves must get nothing 2 s after the store knows.
	hostReads = 500 * time.Millisecond
	// electionRenewals in one lease leave room for two lost calls.
	electionRenewals = 3
	// minElectionLease bounds how often the lease is renewed.
	minElectionLease = 1500 * time.Millisecond
	expireEvery      = time.Second
	// listenOn is how long a stopping host takes connections: the load
	// balancer needs two questions, a second apart.
	listenOn = 2500 * time.Millisecond
	// stopReserve of the grace period is left for closing.
	stopReserve = 700 * time.Millisecond
	// sayLeaving is how long the last messages may take.
	sayLeaving = 500 * time.Millisecond
	// probeTime bounds the questions to a member of a silent group, several
	// times the delay between data centres.
	probeTime = 320 * time.Millisecond
	// secondProbeAfter leaves the second question as much time as the first.
	secondProbeAfter = 100 * time.Millisecond
	probeTries       = 2
	// slowPace is the pace from which a member is called slow.
	slowPace = 1.0
)

// Settings of a gateway.
type Settings struct {
	HostID      string
	DataCentre  string
	LinkMbps    int // capacity of the host's network link
	Front       netip.AddrPort
	Ready       netip.AddrPort
	Peer        netip.AddrPort
	Metrics     netip.AddrPort
	StopGrace   time.Duration
	Limits      relay.Limits
	ElectionTTL time.Duration
}

// Platform gives access to what the platform holds and to the instances.
type Platform struct {
	Watcher   Watcher
	Instances flamingodoor.InstanceClient
	Epochs    flamingodoor.EpochLog
	Heads     flamingodoor.HeadStore
	Loads     flamingodoor.LoadStore
	Election  func(ttl time.Duration) flamingodoor.Election
	Directory flamingodoor.HostDirectory
	Headers   relay.Headers
}

// Watcher follows the configuration and the registrations.
type Watcher interface {
	// FollowOperators waits for changes of the configuration, each time as long
	// as `wait` says, unless the leading host does.
	FollowOperators(ctx context.Context, wait func() time.Duration)
	// FollowInstances reads the registrations as often as `every` says, unless
	// they are fed.
	FollowInstances(ctx context.Context, every func() time.Duration)
	// Registrations returns the feed into the roster. `changed` is called after
	// each read that brought news.
	Registrations(instances *Instances, changed func()) flamingodoor.RegistrationFeed
	// Configuration returns the follower that fills the book. `changed` is
	// called after each read that brought news.
	Configuration(book *catalogue.Book, changed func()) flamingodoor.ConfigurationFeed
	planner.Refresher
}

// Gateway is the serving path of one entry host.
type Gateway struct {
	settings  Settings
	platform  Platform
	logger    log.Logger
	metrics   *telemetry.Metrics
	book      *catalogue.Book
	roster    *roster.Roster
	tracker   *balance.Tracker
	pool      *upstream.Pool
	monitor   *stall.Monitor
	strikes   *poison.Ledger
	demand    *relay.Demand
	relay     *relay.Relay
	exchanger *exchange.Exchanger
	planner   *planner.Planner
	fleet     *fleet
	front     *FrontServer
}

// New wires a gateway.
func New(settings Settings, platform Platform, metrics *telemetry.Metrics, logger log.Logger) *Gateway {
	g := &Gateway{
		settings: settings, platform: platform, logger: logger, metrics: metrics,
		roster: roster.New(), tracker: balance.New(), pool: upstream.New(platform.Headers.RequestID),
		strikes: poison.New(), demand: relay.NewDemand(),
	}
	g.book = catalogue.New(g.configured)
	g.monitor = stall.New(g.inspect, g.groupStalled, func() int { return g.exchanger.Hosts() }, time.Now)
	g.relay = relay.New(relay.Parts{
		Headers: platform.Headers, Limits: settings.Limits, HostID: settings.HostID, DataCentre: settings.DataCentre, Book: g.book,
		Roster: g.roster, Tracker: g.tracker, Pool: g.pool, Monitor: g.monitor, Strikes: g.strikes,
		Demand: g.demand, Logger: logger,
	}, relay.WithObserver(metrics))
	g.fleet = newFleet(g)
	feeds := exchange.Feeds{
		Registrations: platform.Watcher.Registrations(&Instances{Roster: g.roster, changed: g.tracker.Wake}, g.passOn),
		Configuration: platform.Watcher.Configuration(g.book, g.passConfiguration),
	}
	self := flamingodoor.EntryPeer{ID: settings.HostID, Address: settings.Peer, DataCentre: settings.DataCentre, LinkMbps: settings.LinkMbps}
	g.exchanger = exchange.New(self, platform.Directory, feeds, g.fleet, g.fleet, logger)
	g.planner = planner.New(planner.Parts{
		Catalogue: g.book, Roster: g.roster, Instances: platform.Instances, Epochs: platform.Epochs, Heads: platform.Heads, Loads: platform.Loads,
		Election:         platform.Election(g.electionLease()),
		Refresher:        platform.Watcher,
		ReachedElsewhere: g.exchanger.ReachedElsewhere,
		InFlight:         g.tracker.InFlight, AnnounceReachable: g.found, Retire: g.retire, Demand: g.fleet.work, NoRequestsYet: g.fleet.quiet, Logger: logger,
	})
	g.front = NewFrontServer(g.relay)
	return g
}

// SetLimits replaces the limits of all hosts after the settings changed.
func (g *Gateway) SetLimits(limits relay.Limits) {
	g.relay.SetLimits(limits)
}

// passOn feeds news that this host read to the others, if it leads.
func (g *Gateway) passOn() {
	if g.planner.Leads() {
		g.exchanger.Hurry()
	}
}

// passConfiguration tells all hosts of a change by the operators at once, if
// this one leads.
func (g *Gateway) passConfiguration() {
	if g.planner.Leads() {
		g.exchanger.HurryToAll()
	}
}

// followFor is how long this host waits for a change by the operators.
func (g *Gateway) followFor() time.Duration {
	if g.planner.Leads() {
		return leaderWait
	}
	return followWait
}

// readEvery is how often this host reads the registrations.
func (g *Gateway) readEvery() time.Duration {
	if g.planner.Leads() {
		return leaderReads
	}
	return hostReads
}

func (g *Gateway) electionLease() time.Duration {
	return max(g.settings.ElectionTTL, minElectionLease)
}

func (g *Gateway) configured(configuration *flamingodoor.Catalogue) {
	_ = level.Info(g.logger).Log("event", "configured", "version", configuration.Version,
		"routes", len(configuration.Routes), "workspaces", len(configuration.Workspaces))
	g.front.Apply(configuration.Limits)
	g.tracker.Wake()
}

// Run serves until the context ends, and then finishes what is in flight.
func (g *Gateway) Run(ctx context.Context) error {
	if err := g.registerGauges(); err != nil {
		return err
	}
	// Background work goes on while the last requests finish.
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	var work sync.WaitGroup
	defer work.Wait()
	defer stop()
	leases := g.electionLease() / electionRenewals
	planning, stopPlanning := context.WithCancel(background)
	defer stopPlanning()
	for _, run := range []func(){
		func() { g.platform.Watcher.FollowOperators(background, g.followFor) },
		func() { g.platform.Watcher.FollowInstances(background, g.readEvery) },
		func() { g.monitor.Run(background) },
		func() { g.exchanger.Run(background) },
		func() { g.exchanger.RunDirectory(background) },
		func() { g.planner.RunElection(planning, leases) },
		func() { g.planner.Run(planning) },
		func() { g.expire(background) },
	} {
		work.Go(run)
	}
	servers, err := g.listen(background)
	if err != nil {
		return err
	}
	_ = level.Info(g.logger).Log("event", "started", "front", g.settings.Front, "ready", g.settings.Ready, "peer", g.settings.Peer)
	<-ctx.Done()
	g.stop(background, stopPlanning)
	for _, server := range servers {
		_ = server.Close() // nothing is in flight any more
	}
	return nil
}

// stop refuses new connections after the load balancer had time to notice,
// and waits for the requests in flight.
func (g *Gateway) stop(ctx context.Context, stopPlanning context.CancelFunc) {
	deadline := time.Now().Add(g.settings.StopGrace - stopReserve)
	_ = level.Info(g.logger).Log("event", "stopping", "deadline", deadline.UTC())
	g.relay.Stop()
	stopPlanning()
	go g.farewell(ctx)
	waited, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	timer := time.NewTimer(min(listenOn, time.Until(deadline)))
	defer timer.Stop()
	<-timer.C
	if err := g.front.Shutdown(waited); err != nil {
		_ = level.Warn(g.logger).Log("event", "stop_cut_requests", "err", err)
	}
	_ = level.Info(g.logger).Log("event", "stopped")
}

// farewell tells the platform and the peers that this host leaves.
func (g *Gateway) farewell(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, sayLeaving)
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
		{g.settings.Peer, g.exchanger.Handler()},
		{g.settings.Metrics, g.metricsHandler()},
	} {
		listener, err := listenOnAddress(ctx, each.address)
		if err != nil {
			return nil, err
		}
		server := &http.Server{Handler: each.handler, ReadHeaderTimeout: time.Second}
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

// server takes connections of a listener.
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
		if !g.relay.Ready() {
			writer.WriteHeader(http.StatusServiceUnavailable)
		}
	}).Methods(http.MethodGet)
	return router
}

func (g *Gateway) metricsHandler() http.Handler {
	router := mux.NewRouter()
	router.Handle("/metrics", g.metrics.Handler()).Methods(http.MethodGet)
	return router
}

func (g *Gateway) expire(ctx context.Context) {
	ticker := time.NewTicker(expireEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			g.pool.Expire()
			if g.exchanger.Listed() {
				g.relay.SetHosts(g.exchanger.LimitHosts(), g.exchanger.Spread())
			}
		}
	}
}
