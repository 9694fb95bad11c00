package flamingodoor

import (
	"net/netip"
	"time"
)

// EndpointKind distinguishes model engines from plain services.
type EndpointKind int

const (
	// EndpointKindEngine is a process that runs a language model.
	EndpointKindEngine EndpointKind = iota + 1
	// EndpointKindService is a plain service without a model.
	EndpointKindService
)

// EndpointState is the lifecycle state that an endpoint reports.
type EndpointState int

// States of endpoints.
const (
	EndpointStateUnknown EndpointState = iota
	EndpointStateLoading
	EndpointStateCold
	EndpointStateWarm
	EndpointStateLeaving
)

// Acceptance is the commit stage of a configuration change.
type Acceptance int

// Stages of a configuration change.
const (
	// AcceptanceRecorded means that the change is in the log, but a majority
	// of the voters has not acknowledged it yet.
	AcceptanceRecorded Acceptance = iota + 1
	// AcceptanceAccepted means that every host applies the change once the
	// freshness leases that are held now have expired.
	AcceptanceAccepted
	// AcceptanceProvisional means that a majority of the voters holds the
	// restriction, but the log has not confirmed it yet.
	AcceptanceProvisional
)

// Club is a tenant of the serving system with its own API keys, grants and share
// of the accelerators.
type Club struct {
	ID           string
	DisplayName  string
	KeyHashes    []string // SHA-256, hexadecimal
	Accelerators int      // upper limit of the accelerators of the club's group plans
	Weight       int
	Models       []ModelGrant
	Services     []string
	MaxPriority  int // 0 to 9
}

// ModelGrant permits a club to call a model with the listed adapters and
// versions.
type ModelGrant struct {
	ModelID  string
	Adapters []string // empty: base model only
	Versions []string // empty: every declared version
}

// Model is a language model that replica groups serve.
type Model struct {
	ID                  string
	Versions            []string
	Adapters            []string
	HostsPerGroup       int
	AcceleratorsPerHost int
	WeightBytesPerHost  uint64
}

// Endpoint is a model engine or a plain service on one host.
type Endpoint struct {
	ID              string
	HostID          string
	DataCentre      string
	FabricDomain    string
	Address         netip.AddrPort
	Kind            EndpointKind
	ChecksFencing   bool
	Accelerators    int
	ColdAllowance   int // requests in flight while cold
	WarmCapacity    int // requests in flight while warm
	Service         string
	IdempotentPaths []string // path prefixes
	Leaving         bool
}

// DataCentre is a site that operators can take out of service and return to
// service.
type DataCentre struct {
	ID           string
	Region       string
	OutOfService bool
	Reason       string
}

// GroupPlan declares how many groups of a model are charged to a club's budget.
type GroupPlan struct {
	ID      string
	ModelID string
	Version string
	ClubID  string
	Groups  int
}

// Group is a model replica that spans the hosts of its member endpoints.
type Group struct {
	ID            string
	PlanID        string
	ModelID       string
	Version       string
	FabricDomain  string
	EndpointIDs   []string // by member index; member 0 receives requests
	FencingNumber uint64   // offset of the record that formed the group
}

// EntryHost is a configured host that receives callers' requests.
type EntryHost struct {
	ID          string
	PeerAddress netip.AddrPort
	DataCentre  string
	Region      string
	JoinOffset  uint64 // offset of the record that added the host
}

// Report is the state that an endpoint returns when it is probed.
type Report struct {
	Incarnation   string
	State         EndpointState
	InFlight      int
	GroupID       string
	FencingNumber uint64
	MemberIndex   int
	ModelID       string
	Version       string
	Adapters      []string
	CacheSeq      uint64
}

// Evidence is the result of a watcher's probe of an endpoint. It is valid until
// Deadline.
type Evidence struct {
	EndpointID string
	Watcher    string
	Report     Report
	ProbedAt   time.Time // start of the probe on this host's clock
	Deadline   time.Time
}

// Restriction provisionally takes a data centre out of service until the log
// confirms the change.
type Restriction struct {
	CommandID  string
	DataCentre string
	Author     string
	AuthorTime time.Time
	Reason     string
}

// Fingerprint is a SHA-256 hash that is equal for equal requests of a club.
type Fingerprint [32]byte

// GenerateRequest is one attempt to run a model request at an engine.
type GenerateRequest struct {
	RequestID     string
	Attempt       int
	ModelID       string
	Version       string
	Adapter       string
	Prompt        string
	MaxTokens     int
	Priority      int
	Resume        []string // tokens already sent to the caller
	FencingNumber uint64
}

// Chunk is one part of a streamed response of an engine.
type Chunk struct {
	RequestID    string
	Attempt      int
	Seq          int
	Text         string
	Done         bool
	FinishReason string
}

// ServiceCall is a call of a plain service.
type ServiceCall struct {
	RequestID      string
	ClubID         string
	Service        string
	IdempotencyKey string // empty for idempotent calls
	Method         string
	Path           string
	ContentType    string
	Body           []byte
	Deadline       time.Time
}

// ServiceAnswer is the response of a plain service.
type ServiceAnswer struct {
	Status      int
	ContentType string
	Body        []byte
	Repeated    bool // replayed from the recorded outcome of an earlier call
}

// Order assigns an engine to a group; an empty GroupID removes it from its
// group.
type Order struct {
	FencingNumber uint64
	GroupID       string
	MemberIndex   int
	Members       []netip.AddrPort
	ModelID       string
	Version       string
	Adapters      []string
	WeightBytes   uint64
	Deadline      time.Time // the order is not sent after this time (monotonic clock)
}

// CacheEvent records that an engine stored or evicted a prompt prefix.
type CacheEvent struct {
	Seq        uint64
	Stored     bool
	PrefixHash uint64
}

// CacheEvents is a page of cache events. If First is above the requested
// sequence number, the events in between were lost.
type CacheEvents struct {
	Events []CacheEvent
	First  uint64
	Next   uint64
}

// LogEntry is a record of a stream with its offset.
type LogEntry struct {
	Offset uint64
	Data   []byte
}

// LogPage is the result of one read of a stream. The read reached the tail if
// Next is the offset after the last entry.
type LogPage struct {
	Entries   []LogEntry
	First     uint64        // oldest retained offset
	Next      uint64        // offset of the next append
	Retention time.Duration // how long the platform keeps records
}

// PlatformHost is an entry of the platform's host list.
type PlatformHost struct {
	ID      string
	Leaving bool
}
