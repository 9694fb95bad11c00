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

// LogAppender appends records to a stream.
type LogAppender interface {
	// Append adds a record and returns its offset. After an error the record
	// may still appear in the stream.
	Append(ctx context.Context, stream string, data []byte) (uint64, error)
}

// LogReader reads records of a stream.
type LogReader interface {
	// Read returns at most limit records, starting at the offset from. At the
	// tail it waits for new records until the given time.
	Read(ctx context.Context, stream string, from uint64, limit int, until time.Time) (LogPage, error)
}

// HostList is the platform's list of hosts, which may be out of date.
type HostList interface {
	Hosts(ctx context.Context) ([]PlatformHost, error)
}

// WeightStore is the platform's rate-limited store of model weights.
type WeightStore interface {
	// Reserve reserves a transfer of the given size and returns the earliest
	// time at which it can start.
	Reserve(ctx context.Context, endpointID string, bytes uint64) (time.Time, error)
}

// Configuration is an immutable view of the configuration at one offset.
type Configuration interface {
	// Applied returns the offset of the last record, whether it was accepted or
	// rejected.
	Applied() uint64
	// Revision returns the offset of the last accepted change.
	Revision() uint64
	// EntryHostsRevision returns the offset of the last change of the set
	// of entry hosts.
	EntryHostsRevision() uint64

	Club(id string) (Club, bool)
	// ClubByKey returns the club that a caller's API key belongs to.
	ClubByKey(key string) (Club, bool)
	Clubs() []Club
	Model(id string) (Model, bool)
	Models() []Model
	Endpoint(id string) (Endpoint, bool)
	// Endpoints returns the endpoints sorted by identifier. All other lists are
	// sorted by identifier too, except EntryHosts.
	Endpoints() []Endpoint
	ServiceEndpoints(service string) []Endpoint
	DataCentre(id string) (DataCentre, bool)
	DataCentres() []DataCentre
	GroupPlans() []GroupPlan
	Group(id string) (Group, bool)
	Groups() []Group
	GroupsOfModel(modelID string) []Group
	GroupOfEndpoint(endpointID string) (Group, bool)
	// EntryHosts returns the entry hosts sorted by the offset at which they
	// joined.
	EntryHosts() []EntryHost
}

// ConfigurationSource provides the latest applied configuration.
type ConfigurationSource interface {
	Current() Configuration
}

// FreshnessGate decides whether this host may accept or dispatch new work.
type FreshnessGate interface {
	// Fresh reports whether the freshness lease is valid at the given time.
	Fresh(now time.Time) bool
	// Restricted reports whether a provisional restriction covers the data
	// centre.
	Restricted(dataCentre string) bool
}

// EndpointHealth is the merged evidence of all watchers of an endpoint.
type EndpointHealth struct {
	Report   Report    // of the latest probe
	ProbedAt time.Time // on this host's clock
	Deadline time.Time // the endpoint's state is unknown after this time
	Watchers int       // watchers with valid evidence
}

// HealthView reads health evidence.
type HealthView interface {
	// Endpoint returns the valid evidence of an endpoint, or false if there is
	// none.
	Endpoint(endpointID string, now time.Time) (EndpointHealth, bool)
	// GroupServing reports whether every member has valid evidence with the
	// group's ID, its fencing number and the member's index. If not, it
	// returns the reason.
	GroupServing(group Group, now time.Time) (serving bool, reason string)
}

// HealthRecorder stores health evidence.
type HealthRecorder interface {
	Record(evidence Evidence)
	// Invalidate discards the evidence of an endpoint whose failure this host has
	// seen. The endpoint stays unusable until a later probe succeeds.
	Invalidate(endpointID string, now time.Time)
}

// Permits grants slots of cold endpoints, which bound their concurrent
// requests.
type Permits interface {
	// Acquire obtains a slot from a majority of the endpoint's watchers. The
	// error has CodePermitDenied when no slot is free.
	Acquire(ctx context.Context, endpoint Endpoint, incarnation string) (Permit, error)
}

// Permit is a leased slot of a cold endpoint. It is renewed until it is
// released or abandoned.
type Permit interface {
	// Lost is closed when the slot could not be renewed in time; the request
	// must then be cancelled at the endpoint.
	Lost() <-chan struct{}
	// Deadline returns the time at which the slot expires unless it is renewed.
	Deadline() time.Time
	// Release returns the slot. It may be called only after the endpoint has
	// finished the request or confirmed its cancellation; otherwise the slot
	// must expire.
	Release(ctx context.Context)
	// Abandon stops the renewal and lets the slot expire. It is used when the
	// endpoint may still be running the request.
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

// ChunkStream is a streamed response of an engine.
type ChunkStream interface {
	// Incarnation returns the incarnation of the engine process that sends the
	// response.
	Incarnation() string
	// Next returns the next chunk, or io.EOF after the chunk with the end
	// marker.
	Next() (Chunk, error)
	Close() error
}

// ServiceClient is a client of plain services.
type ServiceClient interface {
	Call(ctx context.Context, endpoint Endpoint, call ServiceCall) (ServiceAnswer, error)
}

// OnceRunner runs each non-idempotent call at most once.
type OnceRunner interface {
	RunOnce(ctx context.Context, call ServiceCall) (ServiceAnswer, error)
}

// ServiceDispatcher sends a non-idempotent call to an endpoint of its service. It
// tries another endpoint only if it is certain that nothing was sent.
type ServiceDispatcher interface {
	DispatchOnce(ctx context.Context, call ServiceCall) (ServiceAnswer, error)
}

// Suspicion describes a request that is suspected of crashing endpoints. All
// hosts compute the same ranks, so they send the suspects of the same crashes
// to different endpoints without coordination.
type Suspicion struct {
	Rank                int      // position among the suspects of the same crash
	CrashedIncarnations []string // endpoint processes that crashed
}

// CrashTracker records which requests crashed endpoints, so that these
// requests can be isolated or blocked.
type CrashTracker interface {
	// Blocked reports whether the request has crashed too many endpoints.
	Blocked(fingerprint Fingerprint, now time.Time) bool
	// MustRunAlone reports whether the request is a suspect that must run
	// without other suspects, and returns the suspicion, which is the same on
	// all hosts.
	MustRunAlone(fingerprint Fingerprint, now time.Time) (Suspicion, bool)
	// CrashedBefore reports whether the incarnation is known to have crashed
	// before the given time.
	CrashedBefore(incarnation string, at time.Time) bool
	// ReportCrash records a crash and pushes it to the peers. It waits for the
	// push only for a limited time, so some peers may receive the crash
	// after it returns, or not at all.
	ReportCrash(ctx context.Context, fingerprint Fingerprint, incarnation string)
}

// PartTracker records which parts of prompts crash instances, so that requests
// with these parts can be refused.
type PartTracker interface {
	// Loaded reports whether this host has read the blocked parts from the platform
	// or tried to.
	Loaded() bool
	// Blocked reports whether a request with the parts would crash an instance.
	Blocked(parts []PromptPart, now time.Time) bool
	// Suspected reports whether any of the parts may have caused two crashes.
	Suspected(parts []PromptPart) bool
	// ReportBegun records that an instance began a response to a request with the
	// parts, which therefore do not crash instances.
	ReportBegun(parts []PromptPart)
	// ReportBroken records that a request with the parts ended at an instance
	// before its response began, and finds out whether the instance has crashed. It
	// waits for this only for a limited time.
	ReportBroken(ctx context.Context, instance Instance, parts []PromptPart)
}

// ClubUsage provides the number of slots that the requests of each club use at
// the other entry hosts.
type ClubUsage interface {
	PeerInFlight(clubID string, now time.Time) int
}

// PeerDirectory provides RPC clients of the other entry hosts.
type PeerDirectory interface {
	Peer(host EntryHost) peerv1connect.PeerServiceClient
}

// PathState tells which instances this host reaches.
type PathState interface {
	// Stranded reports whether no instance answers this host, although other
	// hosts may reach them.
	Stranded() bool
	// Suspected reports whether this host is about to find out whether it is
	// stranded.
	Suspected() bool
	// Heard records that bytes of an instance arrived at this host.
	Heard(instance Instance, at time.Time)
	// Failed records that a connection to an instance could not be opened, broke
	// or stayed silent. It shows that the path or the instance has failed.
	Failed(instance Instance, at time.Time)
}

// PeerSelector selects the entry hosts that requests are forwarded to.
type PeerSelector interface {
	// NextPeer selects a peer that is not excluded and counts a request in flight
	// there, until ReleasePeer is called. It returns false if there is no such peer.
	NextPeer(excluded map[string]bool, now time.Time) (EntryPeer, bool)
	// ReleasePeer ends a request that NextPeer counted.
	ReleasePeer(peerID string)
	// HasPeer reports whether any peer could be selected: one that was heard lately
	// and has paths to instances.
	HasPeer(now time.Time) bool
	// AvoidPeer makes a peer a late choice for a moment, because it declined a request
	// or was not reached.
	AvoidPeer(peerID string, now time.Time)
}
