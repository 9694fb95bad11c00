package operator

import (
	"context"
	"slices"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/durationpb"

	"flamingodoor.example/flamingodoor"
	operatorv1 "flamingodoor.example/flamingodoor/gen/flamingodoor/operator/v1"
	"flamingodoor.example/flamingodoor/gen/flamingodoor/operator/v1/operatorv1connect"
	recordv1 "flamingodoor.example/flamingodoor/gen/flamingodoor/record/v1"
	"flamingodoor.example/flamingodoor/internal/member"
)

const (
	defaultHistory = 100
	maxHistory     = 4096 // verdicts that the state machine retains
)

// kinds contains the kinds of objects that Get accepts.
var kinds = []string{"club", "model", "endpoint", kindDataCentre, "group_plan", "group", "entry_host"}

// HistoryReader reads the verdicts of the latest commands.
type HistoryReader interface {
	// History returns at most limit verdicts, newest first.
	History(limit int) []*recordv1.Verdict
}

// PeerView reads what this host knows of the other entry hosts.
type PeerView interface {
	// Reachable reports whether the host has answered recently.
	Reachable(hostID string, now time.Time) bool
	// Applied returns the offset that the host had applied at its latest
	// response.
	Applied(hostID string) uint64
}

// SummaryReader reads service-level summaries.
type SummaryReader interface {
	// Summaries returns the summaries that overlap the interval.
	Summaries(ctx context.Context, from, to time.Time) ([]*recordv1.SummaryRecord, error)
}

// QueryOption changes a default of Queries.
type QueryOption func(*Queries)

// WithQueryToken sets the bearer token of the operators. Without this option
// callers are not authenticated.
func WithQueryToken(token string) QueryOption {
	return func(q *Queries) { q.authenticator = newAuthenticator(token) }
}

// WithVersion sets the version that Status reports.
func WithVersion(version string) QueryOption {
	return func(q *Queries) { q.version = version }
}

// WithFreshnessGate sets the source of the freshness and the restricted data
// centres that Status reports.
func WithFreshnessGate(gate flamingodoor.FreshnessGate) QueryOption {
	return func(q *Queries) { q.gate = gate }
}

// WithHealth sets the source of the endpoint and group states that Status
// reports.
func WithHealth(health flamingodoor.HealthView) QueryOption {
	return func(q *Queries) { q.health = health }
}

// WithPeers sets the source of the peers' states that Status reports.
func WithPeers(peers PeerView) QueryOption {
	return func(q *Queries) { q.peers = peers }
}

// WithLogReachable sets the function that reports whether the log answers.
func WithLogReachable(reachable func() bool) QueryOption {
	return func(q *Queries) { q.logReachable = reachable }
}

// WithSummaries sets the source of BurnReport. Without this option BurnReport
// returns CodeUnimplemented.
func WithSummaries(summaries SummaryReader) QueryOption {
	return func(q *Queries) { q.summaries = summaries }
}

// Queries implements the query service. It answers from this host's replica even
// if the host's freshness lease has expired. The applied offset in the response
// shows how current the replica is.
type Queries struct {
	hostID        string
	store         ObjectReader
	history       HistoryReader
	version       string
	gate          flamingodoor.FreshnessGate
	health        flamingodoor.HealthView
	peers         PeerView
	logReachable  func() bool
	summaries     SummaryReader
	authenticator authenticator
}

var _ operatorv1connect.QueryServiceHandler = (*Queries)(nil)

// NewQueries returns the query service of the host with the given ID.
func NewQueries(hostID string, store ObjectReader, history HistoryReader, options ...QueryOption) *Queries {
	q := &Queries{hostID: hostID, store: store, history: history}
	for _, option := range options {
		option(q)
	}
	return q
}

// Get returns the objects with the given kind and name, and their revisions. An
// empty kind or name matches all.
func (q *Queries) Get(
	_ context.Context, request *connect.Request[operatorv1.GetRequest],
) (*connect.Response[operatorv1.GetResponse], error) {
	if err := q.authenticator.check(request.Header()); err != nil {
		return nil, err
	}
	kind, name := request.Msg.GetKind(), request.Msg.GetName()
	if kind != "" && !slices.Contains(kinds, kind) {
		return nil, connectError(flamingodoor.Errorf(flamingodoor.CodeInvalidRequest, "unknown kind %q", kind))
	}
	// The offset is read before the objects, which are then at least as recent.
	applied := q.store.Current().Applied()
	return connect.NewResponse(&operatorv1.GetResponse{
		Applied: applied,
		Objects: q.store.Objects(kind, name),
	}), nil
}

// History returns the verdicts of the latest commands, newest first.
func (q *Queries) History(
	_ context.Context, request *connect.Request[operatorv1.HistoryRequest],
) (*connect.Response[operatorv1.HistoryResponse], error) {
	if err := q.authenticator.check(request.Header()); err != nil {
		return nil, err
	}
	limit := int(min(request.Msg.GetLimit(), maxHistory))
	if limit == 0 {
		limit = defaultHistory
	}
	return connect.NewResponse(&operatorv1.HistoryResponse{Verdicts: q.history.History(limit)}), nil
}

// Status returns the state of the deployment as this host knows it.
func (q *Queries) Status(
	_ context.Context, request *connect.Request[operatorv1.StatusRequest],
) (*connect.Response[operatorv1.StatusResponse], error) {
	if err := q.authenticator.check(request.Header()); err != nil {
		return nil, err
	}
	now := time.Now()
	configuration := q.store.Current()
	response := &operatorv1.StatusResponse{
		HostId:       q.hostID,
		Version:      q.version,
		Applied:      configuration.Applied(),
		Fresh:        q.gate != nil && q.gate.Fresh(now),
		LogReachable: q.logReachable != nil && q.logReachable(),
		EntryHosts:   q.entryHosts(configuration, now),
	}
	if q.health != nil {
		response.Endpoints = q.endpoints(configuration, now)
		response.Groups = q.groups(configuration, now)
	}
	for _, dataCentre := range configuration.DataCentres() {
		if q.gate != nil && q.gate.Restricted(dataCentre.ID) {
			response.RestrictedDataCentres = append(response.RestrictedDataCentres, dataCentre.ID)
		}
	}
	return connect.NewResponse(response), nil
}

// BurnReport returns the service-level summaries of an interval.
func (q *Queries) BurnReport(
	ctx context.Context, request *connect.Request[operatorv1.BurnReportRequest],
) (*connect.Response[operatorv1.BurnReportResponse], error) {
	if err := q.authenticator.check(request.Header()); err != nil {
		return nil, err
	}
	if q.summaries == nil {
		return nil, connect.NewError(connect.CodeUnimplemented,
			flamingodoor.Errorf(flamingodoor.CodeInternal, "this host does not provide summaries"))
	}
	from, to := request.Msg.GetFrom(), request.Msg.GetTo()
	if !from.IsValid() || !to.IsValid() || !from.AsTime().Before(to.AsTime()) {
		return nil, connectError(flamingodoor.Errorf(flamingodoor.CodeInvalidRequest,
			"interval of the report needs a valid start and a later end"))
	}
	summaries, err := q.summaries.Summaries(ctx, from.AsTime(), to.AsTime())
	if err != nil {
		return nil, connectError(err)
	}
	return connect.NewResponse(&operatorv1.BurnReportResponse{From: from, To: to, Summaries: summaries}), nil
}

// entryHosts returns the states of the entry hosts.
func (q *Queries) entryHosts(configuration flamingodoor.Configuration, now time.Time) []*operatorv1.EntryHostStatus {
	voters := member.Voters(configuration)
	hosts := configuration.EntryHosts()
	states := make([]*operatorv1.EntryHostStatus, 0, len(hosts))
	for _, host := range hosts {
		state := &operatorv1.EntryHostStatus{
			HostId:     host.ID,
			DataCentre: host.DataCentre,
			Voter:      slices.ContainsFunc(voters, func(v flamingodoor.EntryHost) bool { return v.ID == host.ID }),
		}
		switch {
		case host.ID == q.hostID:
			state.Reachable, state.Applied = true, configuration.Applied()
		case q.peers != nil:
			state.Reachable, state.Applied = q.peers.Reachable(host.ID, now), q.peers.Applied(host.ID)
		}
		states = append(states, state)
	}
	return states
}

// endpoints returns the states of the endpoints.
func (q *Queries) endpoints(configuration flamingodoor.Configuration, now time.Time) []*operatorv1.EndpointStatus {
	endpoints := configuration.Endpoints()
	states := make([]*operatorv1.EndpointStatus, 0, len(endpoints))
	for _, endpoint := range endpoints {
		state := &operatorv1.EndpointStatus{
			EndpointId: endpoint.ID,
			DataCentre: endpoint.DataCentre,
			State:      flamingodoor.EndpointStateUnknown.String(),
		}
		if evidence, ok := q.health.Endpoint(endpoint.ID, now); ok {
			state.State = evidence.Report.State.String()
			state.Watchers = uint32(max(evidence.Watchers, 0))        //nolint:gosec // at most the number of entry hosts
			state.InFlight = uint32(max(evidence.Report.InFlight, 0)) //nolint:gosec // requests of one endpoint
			state.EvidenceAge = durationpb.New(now.Sub(evidence.ProbedAt))
		}
		states = append(states, state)
	}
	return states
}

// groups returns the states of the groups.
func (q *Queries) groups(configuration flamingodoor.Configuration, now time.Time) []*operatorv1.GroupStatus {
	groups := configuration.Groups()
	states := make([]*operatorv1.GroupStatus, 0, len(groups))
	for _, group := range groups {
		serving, reason := q.health.GroupServing(group, now)
		states = append(states, &operatorv1.GroupStatus{
			GroupId:       group.ID,
			ModelId:       group.ModelID,
			Serving:       serving,
			Reason:        reason,
			FencingNumber: group.FencingNumber,
		})
	}
	return states
}
