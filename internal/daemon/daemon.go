// Package daemon creates the components of an entry host, connects them and
// runs them.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"golang.org/x/sync/errgroup"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/admission"
	"flamingodoor.example/flamingodoor/internal/burn"
	"flamingodoor.example/flamingodoor/internal/config"
	"flamingodoor.example/flamingodoor/internal/dispatch"
	"flamingodoor.example/flamingodoor/internal/engine"
	"flamingodoor.example/flamingodoor/internal/freshness"
	"flamingodoor.example/flamingodoor/internal/health"
	"flamingodoor.example/flamingodoor/internal/intent"
	"flamingodoor.example/flamingodoor/internal/logstream"
	"flamingodoor.example/flamingodoor/internal/member"
	"flamingodoor.example/flamingodoor/internal/membership"
	"flamingodoor.example/flamingodoor/internal/operator"
	"flamingodoor.example/flamingodoor/internal/peer"
	"flamingodoor.example/flamingodoor/internal/permit"
	"flamingodoor.example/flamingodoor/internal/plan"
	"flamingodoor.example/flamingodoor/internal/platform"
	"flamingodoor.example/flamingodoor/internal/poison"
	"flamingodoor.example/flamingodoor/internal/registry"
	"flamingodoor.example/flamingodoor/internal/routing"
	"flamingodoor.example/flamingodoor/internal/telemetry"
	"flamingodoor.example/flamingodoor/internal/watch"
)

// Kinds of connections whose bytes are counted as control traffic.
const (
	trafficPeer     = "peer"
	trafficPlatform = "platform"
)

// Daemon runs the components of one entry host.
type Daemon struct {
	settings *config.Settings
	logger   log.Logger
	metrics  *telemetry.Metrics
	output   io.Writer

	// Platform and configuration.
	log          *platform.Log
	hostList     *platform.HostList
	weights      *platform.WeightStore
	store        *registry.Store
	recorder     *logstream.Recorder
	follower     *logstream.Follower
	checkpointer *logstream.Checkpointer

	// Peers.
	lease        *freshness.Lease
	directory    *peer.Directory
	exchanger    *peer.Exchanger
	acknowledger *peer.Acknowledger
	presence     *membership.Presence
	membership   *membership.Loop

	// Endpoints.
	health       *health.Table
	watchSet     *member.WatchSet
	watcher      *watch.Watcher
	permitTable  *permit.Table  // permits that this host grants as a watcher
	permitHolder *permit.Holder // permits that this host acquires
	crashTracker *poison.Ledger
	planner      *plan.Planner

	// Requests.
	clubUsage     *clubUsage
	queue         *admission.Queue
	chooser       *routing.Chooser
	engine        *engine.Client
	pollingEngine *engine.Client // keeps connections open to poll reports and cache events
	dispatcher    *dispatch.Dispatcher
	runner        *intent.Runner
	forwarder     *intent.Forwarder
	collector     *burn.Collector

	servers     []runningServer
	commands    *operator.Commands
	draining    atomic.Bool  // /readyz reports not ready, but requests are still accepted
	stopping    atomic.Bool  // new requests are refused
	tailReached atomic.Int64 // start of the latest read that reached the tail of the log, in Unix nanoseconds
}

type runningServer struct {
	role     string
	server   *http.Server
	listener net.Listener
}

// Run serves until the context ends and then stops gracefully. It writes one line
// for each listener to the output.
func Run(ctx context.Context, settings *config.Settings, logger log.Logger, output io.Writer) error {
	metrics, err := telemetry.New()
	if err != nil {
		return err
	}
	daemon := &Daemon{settings: settings, logger: logger, metrics: metrics, output: output}
	// The components keep running after the stop signal until the requests in
	// flight are finished.
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	if err := daemon.build(runCtx); err != nil {
		return err
	}
	group, runCtx := errgroup.WithContext(runCtx)
	daemon.start(runCtx, group)
	_ = level.Info(logger).Log("event", "started", "data_centre", settings.DataCentre)

	select {
	case <-ctx.Done():
	case <-runCtx.Done():
	}
	daemon.stop(runCtx)
	cancel()
	return group.Wait()
}

func (d *Daemon) build(ctx context.Context) error {
	for _, kind := range []string{trafficPeer, trafficPlatform} {
		if err := d.metrics.CountTraffic(kind); err != nil {
			return err
		}
	}
	// The peer listener is opened first, because its address is announced to the
	// other hosts and its IP is the source address of connections to them.
	peerListener, err := listen(ctx, d.settings.Addresses.PeerListen, maxPeerConnections)
	if err != nil {
		return err
	}
	if err := d.buildConfigPlane(addressOf(peerListener)); err != nil {
		return err
	}
	d.buildEndpointPlane(addressOf(peerListener).Addr())
	d.buildRequestPath()
	if err := d.registerGauges(); err != nil {
		return err
	}
	return d.buildServers(ctx, peerListener)
}

// entryHost returns the entry of this host in the member list. Its address is the
// one that is advertised to peers or, by default, that of the peer listener.
func (d *Daemon) entryHost(peerAddress netip.AddrPort) flamingodoor.EntryHost {
	address := d.settings.Addresses.PeerAdvertise
	if !address.IsValid() {
		address = peerAddress
	}
	return flamingodoor.EntryHost{
		ID:          d.settings.HostID,
		PeerAddress: address,
		DataCentre:  d.settings.DataCentre,
		Region:      d.settings.Region,
	}
}

// start runs every component and server until the context ends.
func (d *Daemon) start(ctx context.Context, group *errgroup.Group) {
	loops := []func(context.Context) error{
		d.follower.Run,
		d.checkpointer.Run,
		d.watcher.Run,
		withoutError(d.exchanger.Run),
		withoutError(d.presence.Run),
		withoutError(d.membership.Run),
		withoutError(d.planner.Run),
		withoutError(d.followConfiguration),
		withoutError(d.followCaches),
		withoutError(d.announce),
		withoutError(d.collector.Run),
		withoutError(d.commands.Run),
	}
	for _, loop := range loops {
		group.Go(func() error { return loop(ctx) })
	}
	for _, running := range d.servers {
		group.Go(func() error {
			err := serve(running.server, running.listener)
			if err != nil && !errors.Is(err, http.ErrServerClosed) {
				return flamingodoor.NewError(flamingodoor.CodeInternal, flamingodoor.RunStateNotRun, err)
			}
			return nil
		})
		_, _ = fmt.Fprintf(d.output, "listening role=%s address=%s\n", running.role, addressOf(running.listener))
	}
}

func withoutError(run func(context.Context)) func(context.Context) error {
	return func(ctx context.Context) error {
		run(ctx)
		return nil
	}
}

// registerGauges registers gauges of the state that operators alert on.
func (d *Daemon) registerGauges() error {
	gauges := []struct {
		name, description string
		read              func() int64
	}{
		{"flamingodoor.fresh", "1 while this host may take new work", func() int64 { return gaugeValue(d.lease.Fresh(time.Now())) }},
		{"flamingodoor.applied_offset", "Offset of the config stream that this host has applied", func() int64 {
			return int64(d.store.Current().Applied()) //nolint:gosec // Offsets stay far below 2^63.
		}},
		{"flamingodoor.log_reachable", "1 while the log answers", func() int64 { return gaugeValue(d.logReachable(time.Now())) }},
		{"flamingodoor.groups_serving", "Groups that serve", func() int64 { return int64(len(d.servingGroups(time.Now()))) }},
		{"flamingodoor.groups", "Groups in the configuration", func() int64 { return int64(len(d.store.Current().Groups())) }},
		{"flamingodoor.waiting_requests", "Requests that wait for admission", func() int64 { return int64(d.queue.Waiting()) }},
		{"flamingodoor.restrictions", "Data centres out of service before the log confirmed it", func() int64 {
			return int64(len(d.lease.Restrictions()))
		}},
	}
	for _, gauge := range gauges {
		if err := d.metrics.Gauge(gauge.name, gauge.description, gauge.read); err != nil {
			return err
		}
	}
	return nil
}

func gaugeValue(value bool) int64 {
	if value {
		return 1
	}
	return 0
}
