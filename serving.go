package flamingodoor

import (
	"context"
	"net/netip"
	"time"
)

// MembershipState is the phase of an instance in its replica group.
type MembershipState int

// States of a membership.
const (
	MembershipStateNone MembershipState = iota
	MembershipStateJoining
	MembershipStateReady
	MembershipStateOpen
	MembershipStateClosing
	MembershipStateBroken
)

// RouteKind tells what may be repeated of a request.
type RouteKind int

// Kinds of routes.
const (
	RouteKindIdempotent RouteKind = iota + 1
	RouteKindNonIdempotent
	RouteKindStreaming
)

// Membership is the place of an instance in a replica group.
type Membership struct {
	Group   string
	Epoch   int64
	Rank    int // 0 is the head, which receives the requests
	State   MembershipState
	ModelID string
}

// Instance is one life of an endpoint, as it registers itself.
type Instance struct {
	ID           string
	Service      string
	DataCentre   string
	FabricDomain string
	Address      netip.AddrPort
	StartedAt    time.Time
	Slots        int
	Leaving      bool
	ColdUntil    time.Time
	StagedModels []string // models whose weights are on the host
	Membership   Membership
}

// InstanceReport is what an instance answers when it is asked directly.
type InstanceReport struct {
	Instance
	OrderSequence int64 // orders accepted since the start
	Running       int
	Queued        int
	KVTokensUsed  int     // tokens that cannot yield
	Slowdown      float64 // above 1 for a slow instance
}

// Catalogue is one version of the operators' configuration.
type Catalogue struct {
	Version    int64
	Routes     []Route
	Services   map[string]ServiceSpec
	Limits     CallerLimits
	Workspaces []Workspace
}

// Route tells how the requests of a host name and path prefix are served.
type Route struct {
	Name              string
	Host              string
	Prefix            string
	Kind              RouteKind
	Timeout           time.Duration // longest time that a caller is kept waiting
	LatencyObjective  time.Duration // latency objective
	EventGapObjective time.Duration // longest pause between two events
	MaxAttempts       int
	Priority          int // 0 is the most urgent
	Public            bool
	Resumable         bool
	Sticky            bool
	Split             []SplitShare
}

// SplitShare is the part of a route's traffic that a service receives.
type SplitShare struct {
	Service string
	Weight  int
}

// ServiceSpec describes a service and its engine, if it has one.
type ServiceSpec struct {
	Name           string
	HealthPath     string
	MaxConnections int
	ColdRate       float64 // requests a second that a cold instance bears; 0 without limit
	Engine         *EngineSpec
}

// EngineSpec describes the model engines of a service.
type EngineSpec struct {
	Slots                  int
	StepsPerPass           int // token steps of one pass
	StepTime               time.Duration
	StepTimePerSlot        time.Duration
	PrefillTokensPerSecond float64 // prompt tokens
	PrefillChunkTokens     int     // most prompt tokens read in one step
	MeanPromptTokens       float64 // mean tokens
	MeanAnswerTokens       float64 // mean tokens
	LoadsPerSecond         float64
	MaxConcurrentLoads     int
	MaxStagedModels        int // models that a host keeps
	FormationTime          time.Duration
	ReportLag              time.Duration
	Models                 []ModelSpec
}

// ModelSpec describes the replica groups of one model.
type ModelSpec struct {
	ID                string
	InstancesPerGroup int     // instances of a group
	TimeFactor        float64 // factor on all times of the engine
	InitialShare      float64 // part of the work at the start
	LoadTime          time.Duration
	WarmTime          time.Duration
}

// CallerLimits bound what a caller may send.
type CallerLimits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Workspace is a tenant of the service with its API keys.
type Workspace struct {
	Name        string
	Keys        []string
	Priority    int
	HasPriority bool
}

// RecordBatch is what changed between two offsets of a topic of the platform's
// log. Records are in the platform's format.
type RecordBatch struct {
	From    int64
	Next    int64
	Records [][]byte
}

// RegistrationFeed passes registrations from a host that reads the platform's
// list to one that does not have to.
type RegistrationFeed interface {
	// NextOffset is the offset from which this host follows the list.
	NextOffset() int64
	// ChangesSince returns what changed from an offset on, or false if this host no
	// longer knows.
	ChangesSince(from int64) (RecordBatch, bool)
	// AsOf is when the latest read began that this host knows the outcome of,
	// its own or that of a host that fed it.
	AsOf() time.Time
	// ApplyBatch applies a batch that follows what this host knows, with the time
	// of the read that it stands for. Until the given time this host does not
	// read the list itself.
	ApplyBatch(batch RecordBatch, asOf, until time.Time)
	// CatchUpTo makes this host read the list at once if it knows no more than
	// what comes before the offset.
	CatchUpTo(next int64)
}

// ConfigurationFeed tells how far a host read what operators wrote, so that
// the others need not ask the platform whether there is news.
type ConfigurationFeed interface {
	// Position returns the offset of the next record and the time up to which
	// nothing before it is missing, or false before the first read.
	Position() (next int64, confirmed time.Time, known bool)
	// ObservePosition takes the position of another host.
	ObservePosition(next int64, confirmed time.Time)
	// IsBehind reports whether records before the offset are not known here.
	IsBehind(next int64) bool
	// DeferReadsUntil keeps this host from reading until the deadline, because a copy is
	// on its way. A deadline that is past makes it read at once.
	DeferReadsUntil(deadline time.Time)
	// NeedsCopy reports whether this host lacks records and cannot read them.
	NeedsCopy() bool
	// Snapshot returns the newest record of each key, or false before the first read.
	Snapshot() (RecordBatch, bool)
	// Restore takes a copy of another host, unless this one knows as much.
	Restore(records RecordBatch)
}

// InstanceClient asks instances and gives them orders.
type InstanceClient interface {
	Report(ctx context.Context, address netip.AddrPort) (InstanceReport, error)
	Order(ctx context.Context, instance Instance, order InstanceOrder) (OrderResult, error)
}

// OrderKind is what an instance is told to do.
type OrderKind int

// Kinds of orders.
const (
	OrderKindJoin OrderKind = iota + 1
	OrderKindOpen
	OrderKindClose
	OrderKindLeave
	OrderKindStage
)

// InstanceOrder changes the membership or the staged models of an instance.
type InstanceOrder struct {
	Kind     OrderKind
	Group    string
	Epoch    int64
	ModelID  string
	Members  []string // instance identifiers, the head first
	Sequence int64    // refused unless the instance has accepted this many orders
	Truncate bool     // a close ends running requests
}

// OrderResult is the answer to an order.
type OrderResult int

// Results of orders.
const (
	OrderResultUnknown  OrderResult = iota // no answer: may be carried out, also later
	OrderResultBegun                       // accepted
	OrderResultHolds                       // the state holds already
	OrderResultConflict                    // does not fit the state or the sequence
	OrderResultStale                       // the epoch is lower than one seen
	OrderResultOther                       // another instance answered
)

// EpochLog hands out epochs in the order of the coordination log.
type EpochLog interface {
	// Claim appends a record if no other host has appended since the epoch
	// `after`. A conflict returns the newest epoch of the log.
	// Newest returns the newest epoch of the log.
	Newest(ctx context.Context) (epoch int64, err error)
	Claim(ctx context.Context, after int64, record []byte) (epoch int64, claimed bool, err error)
}

// HeadStore keeps the heads of groups beyond the life of entry hosts: a
// head that loses the platform's list may still serve.
type HeadStore interface {
	Save(ctx context.Context, heads []Instance) error
	Load(ctx context.Context) ([]Instance, error)
}

// WeightLoad is a load from the weight store onto an instance's host.
type WeightLoad struct {
	InstanceID        string
	InstanceStartedAt time.Time // of the instance
	ModelID           string
	StartedAt         time.Time
	Deadline          time.Time // it is over by then
}

// LoadStore keeps the loads under way beyond the life of entry hosts:
// instances do not say what they load, and more at once slow each other down.
type LoadStore interface {
	// Save adds loads and drops those of instances for which they are over.
	Save(ctx context.Context, loads []WeightLoad, over []string) error
	Load(ctx context.Context) ([]WeightLoad, error)
}

// Election tells which host leads.
type Election interface {
	// Renew joins or keeps the election and reports whether this host leads
	// until the deadline.
	Renew(ctx context.Context) (leads bool, deadline time.Time, err error)
	// Resign leaves the election.
	Resign(ctx context.Context) error
}

// HostDirectory lists the entry hosts for the exchange between them.
type HostDirectory interface {
	Announce(ctx context.Context, host EntryPeer) error
	Withdraw(ctx context.Context, hostID string) error
	Hosts(ctx context.Context) ([]EntryPeer, error)
}

// EntryPeer is an entry host as the others reach it.
type EntryPeer struct {
	ID         string         `json:"id"`
	Address    netip.AddrPort `json:"address"`
	DataCentre string         `json:"data_centre"`
	LinkMbps   int            `json:"link_mbps"` // capacity of its network link
}
