package daemon

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/go-kit/log/level"

	peerv1 "flamingodoor.example/flamingodoor/gen/flamingodoor/peer/v1"
	"flamingodoor.example/flamingodoor/internal/freshness"
	"flamingodoor.example/flamingodoor/internal/logstream"
	"flamingodoor.example/flamingodoor/internal/membership"
	"flamingodoor.example/flamingodoor/internal/peer"
	"flamingodoor.example/flamingodoor/internal/platform"
	"flamingodoor.example/flamingodoor/internal/registry"
)

const (
	dialTimeout = time.Second // to the platform and to peers
	// logReachableTimeout is the time since the start of the latest read that
	// reached the tail after which the log counts as unreachable.
	logReachableTimeout = 3 * time.Second
	announceInterval    = 2 * time.Second
	// configurationInterval is the time between two polls of the applied
	// configuration. A change is applied within 1 s and must be in force within
	// 9 s, so two cheap polls a second suffice for the watch sets and the
	// weights of clubs.
	configurationInterval = 500 * time.Millisecond
)

// buildConfigPlane creates the components that follow, record and replicate the
// configuration.
func (d *Daemon) buildConfigPlane(peerAddress netip.AddrPort) error {
	client := &http.Client{Transport: d.platformTransport()}
	address := d.settings.Addresses.Platform
	d.log = platform.NewLog(address, platform.WithHTTPClient(client))
	d.hostList = platform.NewHostList(address, platform.WithHTTPClient(client))
	d.weights = platform.NewWeightStore(address, platform.WithHTTPClient(client))

	d.store = registry.NewStore()
	applied := func() uint64 { return d.store.Current().Applied() }
	d.lease = freshness.New(d.settings.HostID, freshness.WithApplied(applied))

	peerTLS, err := mutualTLS(d.settings.PeerCertificate, d.settings.PeerKey, d.settings.PeerCA)
	if err != nil {
		return err
	}
	d.directory = peer.NewDirectory(peer.WithDial(d.dialPeer(peerAddress.Addr())), peer.WithTLS(peerTLS))
	d.presence = membership.NewPresence(d.store, d.hostList, membership.WithPresenceLogger(d.logger))
	d.exchanger = peer.NewExchanger(d.settings.HostID, d.store, d.lease, d.directory,
		peer.WithResponseHandler(d.mergeExchange),
		peer.WithVerdicts(d.hasVerdict),
		peer.WithExchangeGoneCheck(d.presence.Gone),
		peer.WithExchangeLogger(d.logger))
	d.acknowledger = peer.NewAcknowledger(d.settings.HostID, d.store, d.lease, d.directory, peer.WithAcknowledgeGoneCheck(d.presence.Gone))
	fetcher := peer.NewFetcher(d.settings.HostID, d.store, d.directory, peer.WithSeeds(d.settings.Addresses.Seeds...))

	d.recorder = logstream.NewRecorder(d.log, d.store, logstream.WithLogger(d.logger))
	d.follower = logstream.NewFollower(d.log, d.store,
		logstream.WithLogger(d.logger),
		logstream.WithTailReached(d.onTailReached),
		logstream.WithPeerSource(fetcher.FetchRecords),
		logstream.WithSnapshotSource(func(ctx context.Context) ([]byte, error) {
			snapshot, err := fetcher.FetchSnapshot(ctx)
			return snapshot.State, err
		}))
	d.checkpointer = logstream.NewCheckpointer(d.log, d.store, d.settings.HostID,
		logstream.WithLogger(d.logger), logstream.WithRetention(d.follower.Retention))
	d.membership = membership.New(d.entryHost(peerAddress), d.store, d.recorder, d.acknowledger, d.presence, d.lease,
		membership.WithLogger(d.logger), membership.WithRestrictionsSynced(d.exchanger.RestrictionsSynced))
	return nil
}

// platformTransport returns a transport that uses one HTTP/2 connection to the
// platform. Its pings detect an unresponsive path after 2.5 s, before the
// freshness lease of 3 s expires.
func (d *Daemon) platformTransport() *http.Transport {
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		Protocols: &protocols,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout:  time.Second,
			PingTimeout:      1500 * time.Millisecond,
			WriteByteTimeout: 2 * time.Second,
		},
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			connection, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return d.metrics.WrapConn(trafficPlatform, connection), nil
		},
	}
}

// dialPeer returns a dialer whose connections start from the source address,
// unless that is unspecified.
func (d *Daemon) dialPeer(source netip.Addr) func(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := &net.Dialer{Timeout: dialTimeout}
	if !source.IsUnspecified() {
		dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(source, 0))
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		connection, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return d.metrics.WrapConn(trafficPeer, connection), nil
	}
}

// onTailReached renews the freshness lease from a read that reached the tail of
// the log. It does so only once a majority of the voters has answered this
// process, because the log may not contain their provisional restrictions yet.
func (d *Daemon) onTailReached(readStart time.Time) {
	if d.exchanger.CheckRestrictionsSynced(time.Now()) {
		d.lease.RenewFromLog(readStart)
	}
	d.tailReached.Store(readStart.UnixNano())
}

func (d *Daemon) logReachable(now time.Time) bool {
	return now.Sub(time.Unix(0, d.tailReached.Load())) < logReachableTimeout
}

func (d *Daemon) hasVerdict(commandID string) bool {
	_, ok := d.store.Verdict(commandID)
	return ok
}

// mergeExchange passes the evidence, strikes and club usage in a peer's response
// to the components that use them.
func (d *Daemon) mergeExchange(start time.Time, response *peerv1.ExchangeResponse) {
	d.health.Merge(start, response.GetEvidence())
	d.crashTracker.Merge(response.GetStrikes(), start)
	d.clubUsage.record(response.GetHostId(), start, response.GetClubUses())
}

// announce reports this host as live, or as leaving once it stops, to the platform
// at each interval. The report substitutes for the platform's own knowledge of its
// hosts.
func (d *Daemon) announce(ctx context.Context) {
	everyInterval(ctx, announceInterval, func() {
		if err := d.hostList.Announce(ctx, d.settings.HostID, d.stopping.Load(), false); err != nil {
			_ = level.Debug(d.logger).Log("event", "announce_failed", "err", err)
		}
	})
}

// followConfiguration applies changes of the configuration to the components
// whose state is derived from it.
func (d *Daemon) followConfiguration(ctx context.Context) {
	var lastApplied uint64
	everyInterval(ctx, configurationInterval, func() {
		current := d.store.Current()
		d.queue.SetCapacity(d.capacity(current))
		if current.Applied() == lastApplied && lastApplied != 0 {
			return
		}
		lastApplied = current.Applied()
		d.lease.DropRecorded(current, d.hasVerdict)
		d.permitTable.Update(time.Now(), current.EntryHostsRevision(), d.watched())
		d.health.Prune(current)
		d.queue.SetClubs(current.Clubs())
		d.directory.Retain(current.EntryHosts())
	})
}

// everyInterval calls the function at once and then at each interval, until the
// context ends.
func everyInterval(ctx context.Context, interval time.Duration, call func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		call()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
