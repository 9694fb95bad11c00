package daemon

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/gorilla/mux"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/gen/flamingodoor/operator/v1/operatorv1connect"
	peerv1 "flamingodoor.example/flamingodoor/gen/flamingodoor/peer/v1"
	"flamingodoor.example/flamingodoor/internal/entry"
	"flamingodoor.example/flamingodoor/internal/operator"
	"flamingodoor.example/flamingodoor/internal/peer"
	"flamingodoor.example/flamingodoor/internal/version"
)

const (
	maxOperatorConnections = 256
	maxMetricsConnections  = 64
	// maxOperatorBytes fits the configuration of the largest deployment.
	maxOperatorBytes = 16 << 20
)

func newRequest[M any](message *M) *connect.Request[M] {
	return connect.NewRequest(message)
}

// buildServers opens the remaining listeners of the host and creates the server
// of each of the four roles.
func (d *Daemon) buildServers(ctx context.Context, peerListener net.Listener) error {
	callerTLS, err := serverTLS(d.settings.CallerCertificate, d.settings.CallerKey)
	if err != nil {
		return err
	}
	operatorTLS, err := serverTLS(d.settings.OperatorCertificate, d.settings.OperatorKey)
	if err != nil {
		return err
	}
	peerTLS, err := mutualTLS(d.settings.PeerCertificate, d.settings.PeerKey, d.settings.PeerCA)
	if err != nil {
		return err
	}
	callerListener, err := listen(ctx, d.settings.Addresses.Listen, d.settings.MaxConnections)
	if err != nil {
		return err
	}
	operatorListener, err := listen(ctx, d.settings.Addresses.OperatorListen, maxOperatorConnections)
	if err != nil {
		return err
	}
	metricsListener, err := listen(ctx, d.settings.Addresses.MetricsListen, maxMetricsConnections)
	if err != nil {
		return err
	}
	maxHeaderBytes := d.settings.MaxHeaderBytes
	d.servers = []runningServer{
		{roleCaller, newServer(d.callerHandler(), maxHeaderBytes, callerTLS), callerListener},
		{roleOperator, newServer(d.operatorHandler(), maxHeaderBytes, operatorTLS), operatorListener},
		{rolePeer, newServer(d.peerHandler(), maxHeaderBytes, peerTLS), d.metrics.WrapListener(trafficPeer, peerListener)},
		{roleMetrics, newServer(d.metricsHandler(), maxHeaderBytes, nil), metricsListener},
	}
	return nil
}

// Roles of the listeners.
const (
	roleCaller   = "caller"
	roleOperator = "operator"
	rolePeer     = "peer"
	roleMetrics  = "metrics"
)

func (d *Daemon) callerHandler() http.Handler {
	return entry.New(entry.Parts{
		Configuration: d.store,
		Freshness:     d.lease,
		Admission:     d.queue,
		Dispatcher:    d.dispatcher,
		OnceRunner:    d.forwarder,
		Stopping:      d.stopping.Load,
		Observer:      &requestObserver{metrics: d.metrics, collector: d.collector},
		Logger:        d.logger,
	}, entry.WithMaxBodyBytes(d.settings.MaxBodyBytes))
}

func (d *Daemon) operatorHandler() http.Handler {
	d.commands = operator.NewCommands(d.settings.HostID, d.store, d.recorder, d.acknowledger, d.lease,
		operator.WithCommandToken(d.settings.OperatorToken),
		operator.WithCommandLogger(d.logger))
	queries := operator.NewQueries(d.settings.HostID, d.store, d.store,
		operator.WithQueryToken(d.settings.OperatorToken),
		operator.WithFreshnessGate(d.lease),
		operator.WithHealth(d.health),
		operator.WithLogReachable(func() bool { return d.logReachable(time.Now()) }),
		operator.WithPeers(d.exchanger),
		operator.WithSummaries(&summaryReader{log: d.log}),
		operator.WithVersion(version.Release()))
	router := http.NewServeMux()
	router.Handle(operatorv1connect.NewCommandServiceHandler(d.commands, connect.WithReadMaxBytes(maxOperatorBytes)))
	router.Handle(operatorv1connect.NewQueryServiceHandler(queries, connect.WithReadMaxBytes(maxOperatorBytes)))
	return router
}

func (d *Daemon) peerHandler() http.Handler {
	server := peer.NewServer(peer.Parts{
		HostID:   d.settings.HostID,
		Store:    d.store,
		Lease:    d.lease,
		Digest:   func(now time.Time) []*peerv1.Evidence { return d.health.Digest(now, d.settings.HostID) },
		ClubUses: d.clubUsageReport,
		Strikes:  d.crashTracker.Digest,
		Stopping: d.stopping.Load,
		GrantPermit: func(_ context.Context, request *peerv1.GrantPermitRequest) (*peerv1.GrantPermitResponse, error) {
			return d.permitTable.ServeGrant(time.Now(), request), nil
		},
		ReleasePermit: func(_ context.Context, request *peerv1.ReleasePermitRequest) (*peerv1.ReleasePermitResponse, error) {
			d.permitTable.ServeRelease(request)
			return &peerv1.ReleasePermitResponse{}, nil
		},
		RunOnce: func(ctx context.Context, call flamingodoor.ServiceCall) (flamingodoor.ServiceAnswer, error) {
			return d.runner.RunOnce(ctx, call)
		},
		ReportStrike: func(strike *peerv1.Strike) {
			d.crashTracker.Merge([]*peerv1.Strike{strike}, time.Now())
		},
	})
	router := http.NewServeMux()
	router.Handle(peer.NewHandler(server))
	return router
}

// metricsHandler serves metrics, health and readiness.
func (d *Daemon) metricsHandler() http.Handler {
	router := mux.NewRouter()
	router.Handle("/metrics", d.metrics.Handler())
	router.HandleFunc("/healthz", func(writer http.ResponseWriter, _ *http.Request) {
		writer.WriteHeader(http.StatusOK)
	})
	router.HandleFunc("/readyz", d.serveReadiness)
	router.HandleFunc("/debug/revision", d.serveRevision)
	return router
}

// readiness is the response of /readyz, by which the platform's load balancer
// decides whether to send callers to this host.
type readiness struct {
	Ready    bool   `json:"ready"`
	Fresh    bool   `json:"fresh"`
	Stopping bool   `json:"stopping"`
	Reason   string `json:"reason,omitempty"`
}

func (d *Daemon) serveReadiness(writer http.ResponseWriter, _ *http.Request) {
	state := readiness{Fresh: d.lease.Fresh(time.Now()), Stopping: d.draining.Load()}
	switch {
	case d.store.Err() != nil:
		state.Reason = d.store.Err().Error()
	case state.Stopping:
		state.Reason = "stopping"
	case !state.Fresh:
		state.Reason = "no freshness lease"
	default:
		state.Ready = true
	}
	status := http.StatusOK
	if !state.Ready {
		status = http.StatusServiceUnavailable
	}
	writeJSON(writer, status, state)
}

// revisionState is the response of /debug/revision. It shows how far this host
// has applied the configuration.
type revisionState struct {
	Applied  uint64 `json:"applied"`
	Revision uint64 `json:"revision"`
}

func (d *Daemon) serveRevision(writer http.ResponseWriter, _ *http.Request) {
	current := d.store.Current()
	writeJSON(writer, http.StatusOK, revisionState{Applied: current.Applied(), Revision: current.Revision()})
}

func writeJSON(writer http.ResponseWriter, status int, value any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(value)
}
