package flamingodoor

import (
	"context"
	"fmt"
	"net/netip"
	"time"
)

// MembershipState is the lifecycle state of an instance in its replica group.
type MembershipState int

// States of memberships. A member joins a group and becomes ready. Once all
// members are ready, the head is ordered to open and then receives requests. A
// state that this build does not know is read as broken.
const (
	MembershipStateNone MembershipState = iota
	MembershipStateJoining
	MembershipStateReady
	MembershipStateOpen
	MembershipStateClosing
	MembershipStateBroken
)

// RouteKind decides whether and how a request may be retried.
type RouteKind int

// Kinds of routes.
const (
	RouteKindIdempotent RouteKind = iota + 1
	RouteKindNonIdempotent
	RouteKindStreaming
)

// Membership describes the role of an instance in a replica group.
type Membership struct {
	Group   string
	Epoch   int64
	Rank    int // 0 is the head, which receives the requests
	State   MembershipState
	ModelID string
}

// Instance is one process of an endpoint, as it registers itself. A restarted
// process may register under the same ID; StartedAt distinguishes them.
type Instance struct {
	ID           string
	Service      string
	DataCentre   string
	FabricDomain string
	Address      netip.AddrPort
	StartedAt    time.Time
	Slots        int
	Leaving      bool
	ColdUntil    time.Time // the instance is cold, and ServiceSpec.ColdRate applies, before this time
	StagedModels []string  // IDs of the models whose weights are on its machine
	Membership   Membership
	// LastModel is the model of the last group in which this process was ready, or "" if
	// this host has not seen one. The process can rejoin a group of it without weights.
	LastModel string
}

// InstanceReport is the state that an instance returns when it is queried
// directly rather than through its registration.
type InstanceReport struct {
	Instance
	OrderSequence int64 // number of orders accepted since the process started
	Running       int
	Queued        int
	KVTokensUsed  int     // tokens in the KV cache that cannot be evicted
	Slowdown      float64 // factor on the nominal step time; above 1 for a slow instance
}

// Catalogue is one version of the operators' configuration.
type Catalogue struct {
	Version    int64
	Routes     []Route
	Services   map[string]ServiceSpec
	Limits     CallerLimits
	Workspaces []Workspace
}

// Route defines how requests for a host name and path prefix are served.
type Route struct {
	Name              string
	Host              string
	Prefix            string
	Kind              RouteKind
	Timeout           time.Duration // maximum time that a caller waits
	LatencyObjective  time.Duration // target latency
	EventGapObjective time.Duration // target for the longest gap between two events of a stream
	MaxAttempts       int
	Priority          int // 0 is the most urgent
	Public            bool
	Resumable         bool
	Sticky            bool
	Split             []SplitShare
}

// SplitShare is the weight of a service in the split of a route's traffic.
type SplitShare struct {
	Service string
	Weight  int
}

// ServiceSpec describes a service and its engine, if it has one.
type ServiceSpec struct {
	Name           string
	HealthPath     string
	MaxConnections int
	ColdRate       float64 // requests per second that a cold instance accepts; 0 means no limit
	Engine         *EngineSpec
}

// EngineSpec describes the model engines of a service.
type EngineSpec struct {
	Slots                  int
	StepsPerPass           int // token steps in one pass of the engine
	StepTime               time.Duration
	StepTimePerSlot        time.Duration
	PrefillTokensPerSecond float64 // rate at which an engine processes prompts
	PrefillChunkTokens     int     // maximum prompt tokens processed in one step
	MeanPromptTokens       float64
	MeanAnswerTokens       float64
	LoadsPerSecond         float64
	MaxConcurrentLoads     int
	MaxStagedModels        int           // models whose weights a machine keeps
	FormationTime          time.Duration // from the order to open a group until it serves
	ReportLag              time.Duration // maximum age of the values in a report
	Models                 []ModelSpec
}

// ModelSpec describes the replica groups of one model.
type ModelSpec struct {
	ID                string
	InstancesPerGroup int           // size of a replica group
	TimeFactor        float64       // factor on all times of the engine
	InitialShare      float64       // expected fraction of the load before any is measured
	LoadTime          time.Duration // to load the weights onto a machine
	WarmTime          time.Duration // to join a group with the weights on the machine
}

// CallerLimits bounds the size and the timing of callers' requests.
type CallerLimits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Workspace is a tenant with its API keys.
type Workspace struct {
	Name        string
	Keys        []string
	Priority    int
	HasPriority bool
}

// RecordBatch holds the changes between two positions in a topic of the platform's
// log. A position rises with each record, and when the platform restores the log from
// an older copy. Records are in the platform's encoding.
type RecordBatch struct {
	From    int64
	Next    int64
	Records [][]byte
}

// RegistrationFeed replicates registrations between entry hosts, so that only
// some of them have to read the platform's list.
type RegistrationFeed interface {
	// NextOffset returns the position of the next record that this host needs.
	NextOffset() int64
	// ChangesSince returns the changes from a position on, or false if this host
	// no longer has all of them.
	ChangesSince(from int64) (RecordBatch, bool)
	// AsOf returns the start time of the latest read whose result this host
	// has, either its own read or that of a host that sent it a batch.
	AsOf() time.Time
	// ApplyBatch applies a batch that continues what this host has. asOf is the
	// start of the read that the batch reflects. This host does not read the
	// list itself before the time in until.
	ApplyBatch(batch RecordBatch, asOf, until time.Time)
	// CatchUpTo makes this host read the list at once if it lacks records
	// before the position.
	CatchUpTo(next int64)
	// ObservePosition records that another host has read the list up to the position.
	ObservePosition(next int64)
}

// ConfigurationFeed shares how far a host has read the operators'
// configuration, so that the other hosts need not poll the platform for
// changes.
type ConfigurationFeed interface {
	// Position returns that of the next record and the time by uptime.Now at
	// which this host was last confirmed to have every record before it. It
	// returns false before the first read.
	Position() (next int64, confirmed time.Time, known bool)
	// ObservePosition compares the position of another host with that of this
	// host. An equal position confirms that this host lacks no records; a later
	// one makes it read.
	ObservePosition(next int64, confirmed time.Time)
	// IsBehind reports whether this host lacks records before the position.
	IsBehind(next int64) bool
	// DeferReadsUntil stops this host from reading until the deadline, because a
	// snapshot of another host is on its way. A deadline in the past makes it
	// read at once.
	DeferReadsUntil(deadline time.Time)
	// NeedsCopy reports whether this host lacks records and cannot read them
	// from the platform.
	NeedsCopy() bool
	// Snapshot returns the newest record of each key, or false before the first
	// read.
	Snapshot() (RecordBatch, bool)
	// Restore applies the snapshot of another host, unless this host already
	// has all its records. If it has read as far, it applies a newer configuration,
	// which the platform's store has lost.
	Restore(records RecordBatch)
	// Version returns that of the newest configuration, or 0 before the first.
	Version() int64
}

// InstanceNotice is what an instance states about itself in the head of a
// response, whatever was requested.
type InstanceNotice struct {
	InstanceID string
	StartedAt  time.Time // of the process that responded; zero for the one that is registered
	Leaving    bool      // the instance leaves and takes no new requests
	RetryAfter string    // Retry-After of a response with status 503
	RateLimit  string    // requests a second that the instance accepts from all hosts; empty if it states no limit
	// RequestSentAt is when the caller's request to which the instance responded was
	// sent. It is zero for reports and orders, which need not state a limit.
	RequestSentAt time.Time
}

// InstanceClient queries instances and sends them orders.
type InstanceClient interface {
	// Dial opens a connection to the machine at an address and closes it.
	Dial(ctx context.Context, address netip.AddrPort) DialResult
	Report(ctx context.Context, address netip.AddrPort) (InstanceReport, error)
	Order(ctx context.Context, instance Instance, order InstanceOrder) (OrderResult, error)
}

// DialResult is what the opening of a connection shows of a machine. A kernel answers
// it even if the process that listens stands still.
type DialResult int

// Results of the opening of a connection.
const (
	DialResultUnknown    DialResult = iota // it shows nothing
	DialResultAnswered                     // the machine accepted or refused the connection
	DialResultUnanswered                   // no answer of any kind arrived
)

// OrderKind is the action that an order requests of an instance.
type OrderKind int

// Kinds of orders.
const (
	OrderKindJoin OrderKind = iota + 1
	OrderKindOpen
	OrderKindClose
	OrderKindLeave
	OrderKindStage // load the weights of a model onto the instance's machine
)

// InstanceOrder changes the membership or the staged models of an instance.
type InstanceOrder struct {
	Kind     OrderKind
	Group    string
	Epoch    int64
	ModelID  string
	Members  []string // instance identifiers, the head first
	Sequence int64    // refused unless it equals the number of orders accepted so far
	Truncate bool     // a close order cancels running requests
}

// OrderResult is the answer to an order.
type OrderResult int

// Results of orders.
const (
	OrderResultUnknown  OrderResult = iota // no answer: the order may take effect, even later
	OrderResultBegun                       // accepted
	OrderResultHolds                       // the instance is already in the requested state
	OrderResultConflict                    // does not match the instance's state or the order sequence
	OrderResultStale                       // the epoch is lower than one seen
	OrderResultOther                       // another instance answered
)

// EpochLog allocates epochs in the order in which hosts append records to it.
type EpochLog interface {
	// Newest returns the newest epoch of the log.
	Newest(ctx context.Context) (epoch int64, err error)
	// Claim appends a record if after is still the newest epoch of the log, and
	// returns the epoch of the record. If another host has appended since, it
	// returns the newest epoch of the log, and claimed is false.
	Claim(ctx context.Context, after int64, record []byte) (epoch int64, claimed bool, err error)
}

// HeadStore persists the heads of groups, so that they outlive the entry hosts:
// a head that is missing from the platform's list may still be serving.
type HeadStore interface {
	Save(ctx context.Context, heads []Instance) error
	Load(ctx context.Context) ([]Instance, error)
}

// WeightLoad is a load from the weight store onto an instance's machine.
type WeightLoad struct {
	InstanceID        string
	InstanceStartedAt time.Time // identifies the process, together with InstanceID
	ModelID           string
	StartedAt         time.Time
	Deadline          time.Time // the load has ended by then
}

// LoadStore persists the weight loads under way, so that they outlive the entry
// hosts: instances do not report what they load, and concurrent loads slow each
// other down.
type LoadStore interface {
	// Save adds loads and removes those of the instances in ended.
	Save(ctx context.Context, loads []WeightLoad, ended []string) error
	Load(ctx context.Context) ([]WeightLoad, error)
}

// PromptPart identifies a part of the prompts of a service, which requests share, or a
// whole request, which only its repeats share.
type PromptPart uint64

// String returns the part as 16 hexadecimal digits.
func (p PromptPart) String() string {
	return fmt.Sprintf("%016x", uint64(p))
}

// BlockedParts are parts of prompts that crash the instances which begin a
// response to a request with all of them.
type BlockedParts struct {
	Parts     []PromptPart // in ascending order
	CrashedAt time.Time    // the latest crash
	Crashes   int          // that the parts explain; 0 if it is not known
}

// BlockedPartStore persists blocked parts, so that they outlive the entry hosts.
type BlockedPartStore interface {
	// Save adds blocked parts and removes those in ended.
	Save(ctx context.Context, blocked, ended []BlockedParts) error
	Load(ctx context.Context) ([]BlockedParts, error)
}

// Election elects one host as the leader.
type Election interface {
	// Renew joins the election or renews this host's candidacy. It reports
	// whether this host leads until the deadline.
	Renew(ctx context.Context) (leads bool, deadline time.Time, err error)
	// Resign leaves the election, so that another host can lead.
	Resign(ctx context.Context) error
}

// HostDirectory registers the entry hosts, so that they can find each other.
type HostDirectory interface {
	Announce(ctx context.Context, host EntryPeer) error
	Withdraw(ctx context.Context, hostID string) error
	Hosts(ctx context.Context) ([]EntryPeer, error)
}

// EntryPeer describes how the other entry hosts reach an entry host.
type EntryPeer struct {
	ID         string         `json:"id"`
	Address    netip.AddrPort `json:"address"`
	DataCentre string         `json:"data_centre"`
	LinkMbps   int            `json:"link_mbps"` // capacity of its network link
	Leaving    bool           `json:"-"`         // it has announced that it stops
}
