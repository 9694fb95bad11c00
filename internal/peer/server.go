package peer

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"flamingodoor.example/flamingodoor"
	peerv1 "flamingodoor.example/flamingodoor/gen/flamingodoor/peer/v1"
	"flamingodoor.example/flamingodoor/gen/flamingodoor/peer/v1/peerv1connect"
	platformv1 "flamingodoor.example/flamingodoor/gen/flamingodoor/platform/v1"
	"flamingodoor.example/flamingodoor/internal/freshness"
)

const (
	maxFetchRecords = 1000
	maxFetchBytes   = 4 << 20 // records in one response
	// maxApplyWait bounds the wait for an offset, because this host may be
	// unable to read the record. The caller times out earlier.
	maxApplyWait = 5 * time.Second
)

// Store is this host's replica of the configuration, as far as the Server uses
// it.
type Store interface {
	flamingodoor.ConfigurationSource
	// WaitApplied waits until this host has applied the offset.
	WaitApplied(ctx context.Context, offset uint64) error
	// Records returns at most limit retained records, starting at the offset
	// from.
	Records(from uint64, limit int) []flamingodoor.LogEntry
	// Snapshot returns the encoded state and the offset at which it was taken.
	Snapshot() (applied uint64, encoded []byte, err error)
	// Err returns why the state machine has stopped, or nil.
	Err() error
}

// Parts are the dependencies of a Server. Store and Lease are required. If the
// function of a call is nil, the call returns CodeUnimplemented. Four functions
// provide fields of the response to Exchange: the evidence from this host's
// probes, the number of requests in flight of each club, the endpoints that
// crashed on a request, and whether this host is stopping. If one of them is
// nil, its field stays empty.
type Parts struct {
	HostID        string
	Store         Store
	Lease         *freshness.Lease
	Digest        func(now time.Time) []*peerv1.Evidence
	ClubUses      func() []*peerv1.ClubUse
	Strikes       func(now time.Time) []*peerv1.Strike
	Stopping      func() bool
	GrantPermit   func(ctx context.Context, request *peerv1.GrantPermitRequest) (*peerv1.GrantPermitResponse, error)
	ReleasePermit func(ctx context.Context, request *peerv1.ReleasePermitRequest) (*peerv1.ReleasePermitResponse, error)
	RunOnce       func(ctx context.Context, call flamingodoor.ServiceCall) (flamingodoor.ServiceAnswer, error)
	ReportStrike  func(strike *peerv1.Strike)
}

// Server implements the peer RPC.
type Server struct {
	peerv1connect.UnimplementedPeerServiceHandler
	parts   Parts
	digests *digestPublisher
}

var _ peerv1connect.PeerServiceHandler = (*Server)(nil)

// NewServer returns a Server with the given dependencies.
func NewServer(parts Parts) *Server {
	return &Server{parts: parts, digests: newDigestPublisher()}
}

// NewHandler returns the HTTP handler of the peer RPC and its path. Responses
// have no Date header: its value changes every second, so HPACK compression
// cannot shorten it.
func NewHandler(server *Server, options ...connect.HandlerOption) (path string, handler http.Handler) {
	options = append([]connect.HandlerOption{
		connect.WithReadMaxBytes(maxMessageBytes),
		connect.WithCompressMinBytes(compressMinBytes),
	}, options...)
	path, service := peerv1connect.NewPeerServiceHandler(server, options...)
	return path, http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		writer.Header()["Date"] = nil
		service.ServeHTTP(writer, request)
	})
}

// Exchange returns this host's digest and decides whether to grant the caller a
// freshness lease. The restrictions are read after that decision, so that the
// response to a granted lease includes every restriction that this host held at
// that time.
func (s *Server) Exchange(
	_ context.Context, request *connect.Request[peerv1.ExchangeRequest],
) (*connect.Response[peerv1.ExchangeResponse], error) {
	now := time.Now()
	granted, floor := s.parts.Lease.Grant(request.Msg.GetApplied())
	response := &peerv1.ExchangeResponse{
		HostId:  s.parts.HostID,
		Applied: s.parts.Store.Current().Applied(),
		Granted: granted && s.parts.Store.Err() == nil,
		Floor:   floor,
	}
	for _, r := range s.parts.Lease.Restrictions() {
		response.Restrictions = append(response.Restrictions, restrictionMessage(r))
	}
	if s.parts.Digest != nil {
		s.digests.encode(request.Msg, response, s.parts.Digest(now))
	}
	if s.parts.ClubUses != nil {
		response.ClubUses = s.parts.ClubUses()
	}
	if s.parts.Strikes != nil {
		response.Strikes = s.parts.Strikes(now)
	}
	if s.parts.Stopping != nil {
		response.Stopping = s.parts.Stopping()
	}
	return connect.NewResponse(response), nil
}

// Acknowledge waits until this host has applied the offset. From then on this
// host grants leases only to hosts that have applied the offset too.
func (s *Server) Acknowledge(
	ctx context.Context, request *connect.Request[peerv1.AcknowledgeRequest],
) (*connect.Response[peerv1.AcknowledgeResponse], error) {
	ctx, cancel := context.WithTimeout(ctx, maxApplyWait)
	defer cancel()
	if err := s.parts.Store.WaitApplied(ctx, request.Msg.GetOffset()); err != nil {
		return nil, connectError(err)
	}
	s.parts.Lease.Acknowledge(request.Msg.GetOffset())
	applied := s.parts.Store.Current().Applied()
	return connect.NewResponse(&peerv1.AcknowledgeResponse{Applied: applied}), nil
}

// FetchRecords returns records, starting at the requested offset, or none if
// this host no longer retains the record at that offset.
func (s *Server) FetchRecords(
	_ context.Context, request *connect.Request[peerv1.FetchRecordsRequest],
) (*connect.Response[peerv1.FetchRecordsResponse], error) {
	limit := int(min(request.Msg.GetMaxRecords(), maxFetchRecords))
	if limit == 0 {
		limit = maxFetchRecords
	}
	response := &peerv1.FetchRecordsResponse{Applied: s.parts.Store.Current().Applied()}
	size := 0
	for _, entry := range s.parts.Store.Records(request.Msg.GetFrom(), limit) {
		size += len(entry.Data)
		if size > maxFetchBytes && len(response.GetEntries()) > 0 {
			break
		}
		response.Entries = append(response.Entries, &platformv1.Entry{Offset: entry.Offset, Data: entry.Data})
	}
	return connect.NewResponse(response), nil
}

// FetchSnapshot returns the encoded state and its offset.
func (s *Server) FetchSnapshot(
	context.Context, *connect.Request[peerv1.FetchSnapshotRequest],
) (*connect.Response[peerv1.FetchSnapshotResponse], error) {
	applied, encoded, err := s.parts.Store.Snapshot()
	if err != nil {
		return nil, connectError(err)
	}
	return connect.NewResponse(&peerv1.FetchSnapshotResponse{Applied: applied, State: encoded}), nil
}

// Restrict applies a provisional restriction at this host.
func (s *Server) Restrict(
	_ context.Context, request *connect.Request[peerv1.RestrictRequest],
) (*connect.Response[peerv1.RestrictResponse], error) {
	restriction := restrictionFrom(request.Msg.GetRestriction())
	if restriction.CommandID == "" || restriction.DataCentre == "" {
		return nil, connectError(flamingodoor.Errorf(flamingodoor.CodeInvalidRequest,
			"restriction has no command identifier or no data centre"))
	}
	s.parts.Lease.AddRestriction(restriction)
	return connect.NewResponse(&peerv1.RestrictResponse{}), nil
}

// GrantPermit decides whether to grant or renew a permit for a slot of a cold
// endpoint that this host watches.
func (s *Server) GrantPermit(
	ctx context.Context, request *connect.Request[peerv1.GrantPermitRequest],
) (*connect.Response[peerv1.GrantPermitResponse], error) {
	return respond(ctx, request, s.parts.GrantPermit)
}

// ReleasePermit releases the slot of a permit that this host granted.
func (s *Server) ReleasePermit(
	ctx context.Context, request *connect.Request[peerv1.ReleasePermitRequest],
) (*connect.Response[peerv1.ReleasePermitResponse], error) {
	return respond(ctx, request, s.parts.ReleasePermit)
}

// RunOnce runs a call at most once for its idempotency key. The caller expects
// this host to own the shard of intent records that contains the key. Errors are
// returned in the response rather than as RPC errors, so that the caller receives
// their run state.
func (s *Server) RunOnce(
	ctx context.Context, request *connect.Request[peerv1.RunOnceRequest],
) (*connect.Response[peerv1.RunOnceResponse], error) {
	if s.parts.RunOnce == nil {
		return nil, unimplemented()
	}
	answer, err := s.parts.RunOnce(ctx, serviceCall(ctx, request.Msg))
	if err != nil {
		return connect.NewResponse(&peerv1.RunOnceResponse{
			RunState:     runStateMessage(flamingodoor.RunStateOf(err)),
			ErrorCode:    flamingodoor.CodeOf(err).String(),
			ErrorMessage: err.Error(),
		}), nil
	}
	return connect.NewResponse(&peerv1.RunOnceResponse{
		RunState:        peerv1.RunState_RUN_STATE_RAN,
		Status:          uint32(max(answer.Status, 0)), //nolint:gosec // an HTTP status
		ContentType:     answer.ContentType,
		Body:            answer.Body,
		RepeatedOutcome: answer.Repeated,
	}), nil
}

// ReportStrike records a peer's report that a request crashed an endpoint.
func (s *Server) ReportStrike(
	_ context.Context, request *connect.Request[peerv1.ReportStrikeRequest],
) (*connect.Response[peerv1.ReportStrikeResponse], error) {
	if s.parts.ReportStrike == nil {
		return nil, unimplemented()
	}
	if request.Msg.GetStrike() != nil {
		s.parts.ReportStrike(request.Msg.GetStrike())
	}
	return connect.NewResponse(&peerv1.ReportStrikeResponse{}), nil
}

// respond calls the function with the message of the request and returns its
// result as a response.
func respond[Request, Response any](
	ctx context.Context, request *connect.Request[Request],
	call func(context.Context, *Request) (*Response, error),
) (*connect.Response[Response], error) {
	if call == nil {
		return nil, unimplemented()
	}
	response, err := call(ctx, request.Msg)
	if err != nil {
		return nil, connectError(err)
	}
	return connect.NewResponse(response), nil
}
