package flamingodoor

import (
	"net/netip"
	"time"
)

// EndpointKind tells what runs at an endpoint.
type EndpointKind int

// Kinds of endpoints.
const (
	EndpointKindEngine EndpointKind = iota + 1
	EndpointKindService
)

// EndpointState is the phase of an endpoint as it reports it.
type EndpointState int

// States of endpoints.
const (
	EndpointStateUnknown EndpointState = iota
	EndpointStateLoading
	EndpointStateCold
	EndpointStateWarm
	EndpointStateLeaving
)

// Acceptance tells how far a configuration change has come.
type Acceptance int

// Stages of a configuration change.
const (
	// AcceptanceRecorded means that the change is in the log, but no majority
	// of the voters has acknowledged it.
	AcceptanceRecorded Acceptance = iota + 1
	// AcceptanceAccepted means that every host follows the change once the
	// freshness leases of the moment have expired.
	AcceptanceAccepted
	// AcceptanceProvisional means that a majority of the voters holds the
	// restriction, which the log has yet to confirm.
	AcceptanceProvisional
)

// Club is an independent member that draws on the shared budget.
type Club struct {
	ID           string
	DisplayName  string
	KeyHashes    []string // SHA-256, hexadecimal
	Accelerators int
	Weight       int
	Models       []ModelGrant
	Services     []string
	MaxPriority  int // 0 to 9
}

// ModelGrant lets a club call a model with some adapters and versions.
type ModelGrant struct {
	ModelID  string
	Adapters []string // empty: base model only
	Versions []string // empty: every declared version
}

// Model is a language model that groups serve.
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

// DataCentre is a site that operators take out of service and return.
type DataCentre struct {
	ID           string
	Region       string
	OutOfService bool
	Reason       string
}

// GroupPlan declares how many groups of a model a club's budget pays for.
type GroupPlan struct {
	ID      string
	ModelID string
	Version string
	ClubID  string
	Groups  int
}

// Group is a replica that spans the hosts of its members.
type Group struct {
	ID            string
	PlanID        string
	ModelID       string
	Version       string
	FabricDomain  string
	EndpointIDs   []string // by member index; member 0 receives requests
	FencingNumber uint64   // offset of the record that formed the group
}

// EntryHost is a member of the deployment's entry hosts.
type EntryHost struct {
	ID          string
	PeerAddress netip.AddrPort
	DataCentre  string
	Region      string
	JoinOffset  uint64 // offset of the record that added the host
}

// Report is what an endpoint says of itself.
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

// Evidence is a watcher's report of an endpoint. It counts until Deadline.
type Evidence struct {
	EndpointID string
	Watcher    string
	Report     Report
	ProbedAt   time.Time // start of the probe on this host's clock
	Deadline   time.Time
}

// Restriction takes a data centre out of service before the log confirms it.
type Restriction struct {
	CommandID  string
	DataCentre string
	Author     string
	AuthorTime time.Time
	Reason     string
}

// Fingerprint identifies equal requests of a club (SHA-256).
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
	Resume        []string // tokens that the caller already has
	FencingNumber uint64
}

// Chunk is one part of a streamed answer.
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

// ServiceAnswer is the answer of a plain service.
type ServiceAnswer struct {
	Status      int
	ContentType string
	Body        []byte
	Repeated    bool // the outcome was recorded by an earlier call
}

// Order tells an engine its place in a group; an empty GroupID frees it.
type Order struct {
	FencingNumber uint64
	GroupID       string
	MemberIndex   int
	Members       []netip.AddrPort
	ModelID       string
	Version       string
	Adapters      []string
	WeightBytes   uint64
	Deadline      time.Time // not sent after this time on the monotonic clock
}

// CacheEvent tells that an engine stored or evicted a prompt prefix.
type CacheEvent struct {
	Seq        uint64
	Stored     bool
	PrefixHash uint64
}

// CacheEvents is a page of cache events. First above the requested sequence
// number means that events were lost.
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

// LogPage is the result of one read. The read reached the tail when Next
// follows the last entry.
type LogPage struct {
	Entries   []LogEntry
	First     uint64 // oldest kept offset
	Next      uint64 // offset of the next append
	Retention time.Duration
}

// PlatformHost is an entry of the platform's host list.
type PlatformHost struct {
	ID      string
	Leaving bool
}
