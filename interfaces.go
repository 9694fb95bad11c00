package flamingodoor

import (
	"context"
	"time"

	"flamingodoor.example/flamingodoor/gen/flamingodoor/peer/v1/peerv1connect"
)

// Names of the streams in the platform's log.
const (
	ConfigStream  = "config"
	SummaryStream = "summary"
)

// Log is the platform's append-only log.
type Log interface {
	LogAppender
	LogReader
}

// LogAppender writes records.
type LogAppender interface {
	// Append adds a record and returns its offset. After an error the record
	// may still appear in the stream.
	Append(ctx context.Context, stream string, data []byte) (uint64, error)
}

// LogReader reads records.
type LogReader interface {
	// Read returns records from an offset on. At the tail it waits for new
	// records until the given time.
	Read(ctx context.Context, stream string, from uint64, limit int, until time.Time) (LogPage, error)
}

// HostList is the platform's lagging list of hosts.
type HostList interface {
	Hosts(ctx context.Context) ([]PlatformHost, error)
}

// WeightStore is the platform's rate-limited store of model weights.
type WeightStore interface {
	// Reserve books a transfer and returns the earliest time it can start.
	Reserve(ctx context.Context, endpointID string, bytes uint64) (time.Time, error)
}

// Configuration is an immutable view of the configuration at one offset.
type Configuration interface {
	// Applied is the offset of the last record, accepted or not.
	Applied() uint64
	// Revision is the offset of the last accepted change.
	Revision() uint64
	// EntryHostsRevision is the offset of the last change of the entry hosts.
	EntryHostsRevision() uint64

	Club(id string) (Club, bool)
	// ClubByKey finds the club of a caller's key.
	ClubByKey(key string) (Club, bool)
	Clubs() []Club
	Model(id string) (Model, bool)
	Models() []Model
	Endpoint(id string) (Endpoint, bool)
	// Endpoints are sorted by identifier, like all lists of a configuration.
	Endpoints() []Endpoint
	ServiceEndpoints(service string) []Endpoint
	DataCentre(id string) (DataCentre, bool)
	DataCentres() []DataCentre
	GroupPlans() []GroupPlan
	Group(id string) (Group, bool)
	Groups() []Group
	GroupsOfModel(modelID string) []Group
	GroupOfEndpoint(endpointID string) (Group, bool)
	// EntryHosts are sorted by the offset at which they joined.
	EntryHosts() []EntryHost
}

// ConfigurationSource gives the latest applied configuration.
type ConfigurationSource interface {
	Current() Configuration
}

// FreshnessGate tells whether this host may take or dispatch new work.
type FreshnessGate interface {
	// Fresh reports whether the freshness lease holds at the given time.
	Fresh(now time.Time) bool
	// Restricted reports whether a provisional restriction covers the data
	// centre.
	Restricted(dataCentre string) bool
}

// EndpointHealth is the merged evidence of an endpoint.
type EndpointHealth struct {
	Report   Report    // of the latest probe
	ProbedAt time.Time // on this host's clock
	Deadline time.Time // the endpoint is unknown after this time
	Watchers int       // watchers with valid evidence
}

// HealthView reads health evidence.
type HealthView interface {
	// Endpoint returns valid evidence, or false when none is left.
	Endpoint(endpointID string, now time.Time) (EndpointHealth, bool)
	// GroupServing reports whether every member has valid evidence that names
	// the group, its fencing number and its member index, and if not, why.
	GroupServing(group Group, now time.Time) (serving bool, reason string)
}

// HealthRecorder stores health evidence.
type HealthRecorder interface {
	Record(evidence Evidence)
	// Suspect drops the evidence of an incarnation that this host saw fail, so
	// that only a later probe makes it usable again.
	Suspect(endpointID string, now time.Time)
}

// Permits gives out slots of cold endpoints.
type Permits interface {
	// Acquire obtains a slot from a majority of the endpoint's watchers. The
	// error has CodePermitDenied when no slot is free.
	Acquire(ctx context.Context, endpoint Endpoint, incarnation string) (Permit, error)
}

// Permit is a slot of a cold endpoint, renewed until it is released or
// abandoned.
type Permit interface {
	// Lost is closed when the slot could not be renewed in time; the request
	// must then be cancelled at the endpoint.
	Lost() <-chan struct{}
	// Deadline is the time until which the slot is held now.
	Deadline() time.Time
	// Release gives the slot back. It is called only after the endpoint has
	// finished or confirmed the cancellation; else the slot must expire.
	Release(ctx context.Context)
	// Abandon stops the renewal and lets the slot expire, because the endpoint
	// may still run the request.
	Abandon()
}

// EngineClient is a client of model engines.
type EngineClient interface {
	Generate(ctx context.Context, endpoint Endpoint, request GenerateRequest) (ChunkStream, error)
	Cancel(ctx context.Context, endpoint Endpoint, requestID string, attempt int) error
	Report(ctx context.Context, endpoint Endpoint) (Report, error)
	Order(ctx context.Context, endpoint Endpoint, order Order) error
	CacheEvents(ctx context.Context, endpoint Endpoint, from uint64) (CacheEvents, error)
}

// ChunkStream is a streamed answer of an engine.
type ChunkStream interface {
	// Incarnation names the engine process that answers.
	Incarnation() string
	// Next returns io.EOF after the chunk with the end marker.
	Next() (Chunk, error)
	Close() error
}

// ServiceClient is a client of plain services.
type ServiceClient interface {
	Call(ctx context.Context, endpoint Endpoint, call ServiceCall) (ServiceAnswer, error)
}

// OnceRunner runs non-idempotent calls at most once.
type OnceRunner interface {
	RunOnce(ctx context.Context, call ServiceCall) (ServiceAnswer, error)
}

// ServiceDispatcher sends a call to an endpoint of the service, once.
type ServiceDispatcher interface {
	DispatchOnce(ctx context.Context, call ServiceCall) (ServiceAnswer, error)
}

// Suspicion lets hosts send suspects of the same crashes to different
// endpoints without asking each other.
type Suspicion struct {
	Rank                int      // among the suspects that share a crash
	CrashedIncarnations []string // incarnations
}

// CrashTracker counts the endpoints that a request crashed.
type CrashTracker interface {
	// Blocked reports whether the request has crashed too many endpoints.
	Blocked(fingerprint Fingerprint, now time.Time) bool
	// MustRunAlone reports whether the request is a suspect that has to run
	// without other suspects, and what all hosts know of it alike.
	MustRunAlone(fingerprint Fingerprint, now time.Time) (Suspicion, bool)
	// CrashedBefore reports whether the incarnation is known to have crashed
	// before the given time.
	CrashedBefore(incarnation string, at time.Time) bool
	// ReportCrash records a crash and tells the peers before it returns.
	ReportCrash(ctx context.Context, fingerprint Fingerprint, incarnation string)
}

// ClubUsage tells the work in flight of each club over all hosts.
type ClubUsage interface {
	PeerInFlight(clubID string, now time.Time) int
}

// PeerDirectory gives clients of other entry hosts.
type PeerDirectory interface {
	Peer(host EntryHost) peerv1connect.PeerServiceClient
}
