package daemon

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"flamingodoor.example/flamingodoor"
	peerv1 "flamingodoor.example/flamingodoor/gen/flamingodoor/peer/v1"
	"flamingodoor.example/flamingodoor/internal/admission"
	"flamingodoor.example/flamingodoor/internal/burn"
	"flamingodoor.example/flamingodoor/internal/dispatch"
	"flamingodoor.example/flamingodoor/internal/engine"
	"flamingodoor.example/flamingodoor/internal/intent"
	"flamingodoor.example/flamingodoor/internal/member"
	"flamingodoor.example/flamingodoor/internal/routing"
)

const (
	// retryRatio and retryFloor limit the retries in 10 s to 10% of the requests in
	// that time, plus 10.
	retryRatio = 0.1
	retryFloor = 10
	// strikeTimeout bounds the push of a strike to one peer. Pushes may delay the
	// response to the caller by at most 300 ms.
	strikeTimeout = 300 * time.Millisecond
)

// buildRequestPath creates the components that admit, route and run requests.
func (d *Daemon) buildRequestPath() {
	d.clubUsage = newClubUsage()
	d.queue = admission.New(admission.WithClubUsage(d.clubUsage), admission.WithCapacity(minCapacity))
	d.chooser = routing.New(routing.WithDataCentre(d.settings.DataCentre),
		routing.WithHosts(func() int { return max(1, len(d.store.Current().EntryHosts())) }))
	d.collector = burn.NewCollector(d.settings.HostID, burn.WithAppend(func(ctx context.Context, data []byte) error {
		_, err := d.log.Append(ctx, flamingodoor.SummaryStream, data)
		return err
	}), burn.WithInterval(d.settings.SummaryInterval))
	d.dispatcher = dispatch.New(dispatch.Parts{
		Configuration:  d.store,
		Freshness:      d.lease,
		Health:         d.health,
		HealthRecorder: d.health,
		Permits:        d.permitHolder,
		Engine:         d.engine,
		Service:        engine.NewServiceClient(),
		CrashTracker:   d.crashTracker,
		Chooser:        d.chooser,
		RetryBudget:    admission.NewRetryBudget(retryRatio, retryFloor),
		HostID:         d.settings.HostID,
		DataCentre:     d.settings.DataCentre,
		Logger:         d.logger,
	})
	d.runner = intent.NewRunner(intent.Parts{
		HostID:     d.settings.HostID,
		Log:        d.log,
		Dispatcher: d.dispatcher,
		Logger:     d.logger,
	})
	d.forwarder = intent.NewForwarder(intent.ForwarderParts{
		HostID: d.settings.HostID,
		Runner: d.runner,
		Peers:  d.directory,
		Owners: func(key string) []flamingodoor.EntryHost { return member.Owners(d.store.Current(), key) },
		Reachable: func(hostID string) bool {
			return d.exchanger.Reachable(hostID, time.Now()) && !d.exchanger.Stopping(hostID)
		},
	})
}

// clubUsageReport returns the number of requests in flight of each club, which
// the peers read.
func (d *Daemon) clubUsageReport() []*peerv1.ClubUse {
	inFlightByClub := d.queue.InFlight()
	report := make([]*peerv1.ClubUse, 0, len(inFlightByClub))
	for clubID, inFlight := range inFlightByClub {
		report = append(report, &peerv1.ClubUse{ClubId: clubID, InFlight: uint32(inFlight)}) //nolint:gosec // Bounded by the queue's capacity.
	}
	return report
}

// reportStrike sends a strike to one peer.
func (d *Daemon) reportStrike(ctx context.Context, host flamingodoor.EntryHost, strike *peerv1.Strike) {
	ctx, cancel := context.WithTimeout(ctx, strikeTimeout)
	defer cancel()
	request := newRequest(&peerv1.ReportStrikeRequest{Strike: strike})
	if _, err := d.directory.Peer(host).ReportStrike(ctx, request); err != nil {
		_ = level.Warn(d.logger).Log("event", "strike_push_failed", "peer", host.ID, "err", err)
	}
}
