// Package exchange shares state between the entry hosts: the work that each has
// in flight at instances, the demand for models, and the instances and groups
// that it found lost. The leader also passes on two feeds from the platform: the
// registrations, and its position in the configuration. In larger deployments
// the leader names relays. Each relay forwards the feeds to some of the hosts of
// its data centre, sums up the work of these hosts and sends them the work of
// all other hosts.
package exchange

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"flamingodoor.example/flamingodoor"
	exchangev1 "flamingodoor.example/flamingodoor/gen/flamingodoor/exchange/v1"
	"flamingodoor.example/flamingodoor/gen/flamingodoor/exchange/v1/exchangev1connect"
	"flamingodoor.example/flamingodoor/internal/intake"
	"flamingodoor.example/flamingodoor/internal/uptime"
)

const (
	// shareInterval is the time between two rounds. In deployments of up to 7
	// hosts each round reaches all peers.
	shareInterval = 200 * time.Millisecond
	// shareTimeout bounds a message to a peer and its response. It leaves time to
	// retransmit one lost packet.
	shareTimeout = 500 * time.Millisecond
	// gzipBytes is the size from which messages are compressed: registrations
	// are text and shrink to about a quarter.
	gzipBytes   = 2 << 10
	dialTimeout = 300 * time.Millisecond
	// idleConnTimeout is longer than a full rotation over the peers of a
	// deployment without relays, so that their connections are reused.
	idleConnTimeout = 5 * time.Second
	// peerTimeout is how long a peer counts as a live entry host after its
	// latest message or the latest summary with its work.
	peerTimeout = 3 * time.Second
	// limitShareTimeout is how long a silent peer keeps its share of the limits
	// that are divided among all hosts. Hosts that are partitioned from each
	// other may still reach the endpoints, and none of them may then use the
	// whole limit. The time is longer than a usual partition.
	limitShareTimeout = time.Minute
	// directoryInterval is the time between two reads of the list of hosts. The
	// list is only needed for the first contact, because new hosts make
	// themselves known by their messages.
	directoryInterval = 30 * time.Second
	// directoryRetryDelay is the wait after a failed read of the list.
	directoryRetryDelay = time.Second
	// feedShare is the share of the time within which an instance that leaves must
	// get no more requests for which a read of the leader replaces those of other
	// hosts. It covers the interval of the leader's reads, the hops, one lost message
	// and the time until a successor leads. The rest is for the host's own read.
	feedShare = 0.7
	// defaultFeedValidity is that share of 2 s.
	defaultFeedValidity = 1400 * time.Millisecond
	// localPeersPerRound and remotePeersPerRound are how many peers of this
	// data centre and of the others a round reaches. Larger deployments rotate
	// over the peers. Requests stay in their data centre while possible, so the
	// work of local peers matters most.
	localPeersPerRound  = 6
	remotePeersPerRound = 6
	// maxMessageBytes bounds a message of a peer. The largest is a copy of the
	// configuration, whose records are compressed.
	maxMessageBytes = 8 << 20
	// maxHeadBytes bounds the head of a peer's response.
	maxHeadBytes = 32 << 10
	// silentPeersPerRound is how many silent peers a round tries, so that hosts
	// find each other again after a partition. Each peer that no longer exists
	// costs a dial timeout.
	silentPeersPerRound = 2
)

// Source provides the state of this host that is sent to its peers.
type Source interface {
	// Describe adds the state of this host to a message to its peers.
	Describe(request *exchangev1.ShareRequest, now time.Time)
	// Leads reports whether this host leads, and so passes the registrations
	// on.
	Leads() bool
}

// Sink receives the state of the peers.
type Sink interface {
	// Apply updates what this host knows from a message of a peer or a summary.
	Apply(request *exchangev1.ShareRequest, now time.Time)
	// Forget discards the work that was applied under a host identifier, or
	// under the name that stands for a relay's summary.
	Forget(hostID string, now time.Time)
	// Probe reports whether the instance answers, and whether this host's paths to
	// other instances are sound. Another process at the same address does not count.
	Probe(ctx context.Context, instance flamingodoor.Instance) (answers, sound bool)
	// Dial opens a connection to the machine of an instance.
	Dial(ctx context.Context, instance flamingodoor.Instance) flamingodoor.DialResult
}

// Exchanger exchanges state with the other entry hosts.
type Exchanger struct {
	self          flamingodoor.EntryPeer
	started       time.Time
	startedUptime time.Time
	feedValidity  time.Duration // for which a read of the leader replaces those of other hosts
	directory     flamingodoor.HostDirectory
	feeds         Feeds
	source        Source
	sink          Sink
	client        *http.Client
	logger        log.Logger
	now           func() time.Time
	uptime        func() time.Time // of confirmations
	wake          chan struct{}    // starts the next round at once
	onStranded    func()           // called after a peer has become stranded
	onSharers     func()           // called after the hosts that use divided limits changed
	calls         sync.WaitGroup
	copying       atomic.Bool // a configuration is being copied
	announced     atomic.Bool // this host is in the platform's list of hosts
	consulted     atomic.Bool // the peers were asked for the version of the configuration
	announceAgain chan struct{}

	mu              sync.Mutex
	peers           map[string]*peerState
	peersByHash     map[uint32]*peerState // by HostHash
	sequence        uint64
	leaving         bool
	answeredAt      time.Time // when a peer last answered a message
	newest          peerConfiguration
	newlyStranded   bool      // a peer became stranded and onStranded was not called yet
	sharersChanged  bool      // onSharers was not called yet
	strandedAt      time.Time // the latest message that says that this host is stranded
	directoryLoaded bool      // the list of hosts was read at least once
	duty            relayDuty
	localOffset     int // of the rotation over the peers of this data centre
	remoteOffset    int // of the rotation over the peers of other data centres
	silentOffset    int // of the rotation over the silent peers

	summaries  map[string]receivedSummary // by identifier of the relay
	relayID    string                     // the relay that sends to this host
	relayUntil time.Time                  // when relayID expires without a newer summary
}

// peerState is what this host knows of another entry host.
type peerState struct {
	flamingodoor.EntryPeer
	client       exchangev1connect.ExchangeServiceClient
	added        time.Time                 // when this host first knew its address
	lastSeen     time.Time                 // arrival of its latest message, or of a summary with its work
	left         bool                      // it announced that it stops
	leftAt       time.Time                 // arrival of that announcement
	stranded     bool                      // no instance answers it, as of its latest message
	answeredAt   time.Time                 // arrival of its latest response to a message
	failed       bool                      // a message to it was not answered
	sharesAgain  time.Time                 // until then it uses no part of the divided limits
	knowsSound   bool                      // the message that it answered last says that this host is not stranded
	started      int64                     // process start in Unix milliseconds, as in its latest message
	sequence     uint64                    // of its latest message
	lastResponse *exchangev1.ShareResponse // to the latest message that was answered
	inFlight     atomic.Bool               // a message is under way and not answered
	urgent       bool                      // a change since its latest message must be sent at once
	reported     reportedWork              // the work in its latest message
	forwards     forwardState              // requests that this host forwards to it
	// summarisedUntil is until when summaries of relays include its work.
	summarisedUntil time.Time
}

// lastContact returns when this host last heard from the peer, or first knew of it.
func (p *peerState) lastContact() time.Time {
	if p.lastSeen.IsZero() {
		return p.added
	}
	return p.lastSeen
}

// Feeds hold what the leader reads from the platform and passes on to the other
// hosts.
type Feeds struct {
	Registrations flamingodoor.RegistrationFeed
	Configuration flamingodoor.ConfigurationFeed
}

// Option configures an Exchanger.
type Option func(*Exchanger)

// WithClock replaces time.Now as the source of the time.
func WithClock(now func() time.Time) Option {
	return func(e *Exchanger) { e.now, e.uptime = now, now }
}

// WithUptime replaces uptime.Now.
func WithUptime(now func() time.Time) Option {
	return func(e *Exchanger) { e.uptime = now }
}

// WithDrainBound sets the time within which an instance that leaves must get no
// more requests.
func WithDrainBound(bound time.Duration) Option {
	return func(e *Exchanger) { e.feedValidity = time.Duration(feedShare * float64(bound)) }
}

// WithTransport replaces the HTTP transport to the other hosts.
func WithTransport(transport http.RoundTripper) Option {
	return func(e *Exchanger) { e.client.Transport = transport }
}

// WithStrandedListener sets the function that is called after a peer has become
// stranded.
func WithStrandedListener(onStranded func()) Option {
	return func(e *Exchanger) { e.onStranded = onStranded }
}

// WithSharersListener sets the function that is called after the hosts that use divided
// limits have changed. A message that changes them is answered after that.
func WithSharersListener(onSharers func()) Option {
	return func(e *Exchanger) { e.onSharers = onSharers }
}

// New returns an exchanger for the host self, without peers. It exchanges state
// once Run and RunDirectory are called.
func New(self flamingodoor.EntryPeer, directory flamingodoor.HostDirectory, feeds Feeds, source Source, sink Sink, logger log.Logger, options ...Option) *Exchanger {
	dialer := &net.Dialer{Timeout: dialTimeout}
	e := &Exchanger{
		self: self, feedValidity: defaultFeedValidity, directory: directory, feeds: feeds, source: source, sink: sink,
		client: &http.Client{Transport: intake.NewTransport(&http.Transport{DialContext: dialer.DialContext, DisableCompression: true, MaxIdleConnsPerHost: 1, IdleConnTimeout: idleConnTimeout, MaxResponseHeaderBytes: maxHeadBytes})},
		logger: logger, now: time.Now, uptime: uptime.Now, wake: make(chan struct{}, 1), announceAgain: make(chan struct{}, 1), peers: make(map[string]*peerState),
		peersByHash: make(map[uint32]*peerState), summaries: make(map[string]receivedSummary), onStranded: func() {}, onSharers: func() {},
	}
	for _, option := range options {
		option(e)
	}
	e.started, e.startedUptime = e.now(), e.uptime()
	return e
}

// Handler serves the calls of the other hosts.
func (e *Exchanger) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(exchangev1connect.NewExchangeServiceHandler(e, connect.WithReadMaxBytes(maxMessageBytes)))
	return mux
}

// Share applies a message of another host and returns the offset from which
// this host needs registrations.
func (e *Exchanger) Share(ctx context.Context, request *connect.Request[exchangev1.ShareRequest]) (*connect.Response[exchangev1.ShareResponse], error) {
	now := e.now()
	if message, ok := e.acceptMessage(request.Msg, now); ok {
		e.sink.Apply(message, now)
		e.applySummary(request.Msg, now)
	}
	e.notifyStranded()
	e.applyFeeds(context.WithoutCancel(ctx), request.Msg, now)
	response := &exchangev1.ShareResponse{RegistrationsNext: e.feeds.Registrations.NextOffset(), Clock: e.ownClock()}
	if next, confirmed, known := e.feeds.Configuration.Position(); known {
		response.ConfigurationNext, response.ConfigurationVersion, response.ConfigurationAgeMs = next, e.feeds.Configuration.Version(), e.ageOf(confirmed)
	}
	return connect.NewResponse(response), nil
}

// acceptMessage records the sender's state and reports whether the message is
// newer than those received before. If relays include the sender's work in
// their summaries, the returned message omits it, because it would count twice.
func (e *Exchanger) acceptMessage(message *exchangev1.ShareRequest, now time.Time) (*exchangev1.ShareRequest, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	known, ok := e.peers[message.GetHostId()]
	if !ok {
		address, err := netip.ParseAddrPort(message.GetAddress())
		if err != nil {
			_ = level.Warn(e.logger).Log("event", "peer_unreadable", "peer", message.GetHostId(), "err", err)
			return nil, false
		}
		known = e.addPeer(flamingodoor.EntryPeer{ID: message.GetHostId(), Address: address, DataCentre: message.GetDataCentre()})
	}
	if message.GetStartedMs() < known.started ||
		(message.GetStartedMs() == known.started && message.GetSequence() <= known.sequence) {
		return nil, false
	}
	known.LinkMbps = int(message.GetLinkMbps())
	known.started, known.sequence, known.lastSeen = message.GetStartedMs(), message.GetSequence(), now
	if message.GetLeaving() && !known.left {
		known.leftAt = now
	}
	known.left = message.GetLeaving()
	e.setStranded(known, message.GetStranded())
	e.setSharing(known, message.GetStranded(), now)
	known.reported = reportedWork{uses: message.GetUses(), demands: message.GetDemands(), paces: message.GetPaces(), at: now}
	if known.left {
		known.lastSeen, known.summarisedUntil, known.reported = time.Time{}, time.Time{}, reportedWork{}
	}
	if known.summarised(now) {
		message = copyCommon(message)
		message.Uses, message.Demands, message.Paces = nil, nil, nil
	}
	return message, true
}

// copyCommon copies the parts of a message that are the same for all receivers.
func copyCommon(message *exchangev1.ShareRequest) *exchangev1.ShareRequest {
	return &exchangev1.ShareRequest{
		HostId: message.GetHostId(), StartedMs: message.GetStartedMs(), Sequence: message.GetSequence(), Uses: message.GetUses(),
		Losses: message.GetLosses(), Demands: message.GetDemands(), Strikes: message.GetStrikes(), Leaving: message.GetLeaving(),
		PartCrashes: message.GetPartCrashes(), PartsBegun: message.GetPartsBegun(), BlockedParts: message.GetBlockedParts(),
		RateLimits: message.GetRateLimits(), Stranded: message.GetStranded(), RequestsReceived: message.GetRequestsReceived(), Paces: message.GetPaces(),
		Address: message.GetAddress(), DataCentre: message.GetDataCentre(), LinkMbps: message.GetLinkMbps(),
	}
}

// addPeer registers a peer. Its client does not compress messages: a compressor
// for each peer would take most of a host's memory, and CPU time on messages
// that are short.
func (e *Exchanger) addPeer(host flamingodoor.EntryPeer) *peerState {
	added := &peerState{EntryPeer: host, added: e.now(), client: exchangev1connect.NewExchangeServiceClient(
		e.client, "http://"+host.Address.String(), connect.WithAcceptCompression("gzip", nil, nil), connect.WithReadMaxBytes(maxMessageBytes))}
	e.peers[host.ID], e.peersByHash[HostHash(host.ID)] = added, added
	return added
}

// SendNow starts a round without waiting for the interval.
func (e *Exchanger) SendNow() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// SendUrgent sends to the peers that pass a change on, or to every peer in a
// deployment without relays, at once. A peer to which a message is under way gets
// the next one as soon as that call has ended.
func (e *Exchanger) SendUrgent() {
	now, leads := e.now(), e.source.Leads()
	e.mu.Lock()
	for _, peer := range e.urgentReceivers(leads, now) {
		peer.urgent = true
	}
	e.mu.Unlock()
	e.SendNow()
}

// urgentReceivers returns the peers that get a change at once. A host sends it to
// its relay, the leader to all relays, and a relay to the other relays and to its
// hosts. The caller holds the mutex.
func (e *Exchanger) urgentReceivers(leads bool, now time.Time) []*peerState {
	peers, _ := e.classifyPeers(now)
	isRelay := !leads && e.isRelay(now)
	if relay := e.currentRelay(peers, now); relay != nil && !leads && !isRelay {
		return []*peerState{relay}
	}
	targets := e.planFeeds(peers, leads, now).targets
	var receivers []*peerState
	for _, peer := range peers {
		_, isTarget := targets[peer.ID]
		if isTarget || (isRelay && (e.duty.relayIDs[peer.ID] || e.relaysTo(peer))) {
			receivers = append(receivers, peer)
		}
	}
	if len(receivers) == 0 {
		return peers
	}
	return receivers
}

// Leave announces to all peers that this host stops.
func (e *Exchanger) Leave() {
	e.mu.Lock()
	e.leaving = true
	for _, peer := range e.peers {
		peer.urgent = true
	}
	e.mu.Unlock()
	e.SendNow()
}

// Run sends to the peers in rounds until the context ends.
func (e *Exchanger) Run(ctx context.Context) {
	defer e.calls.Wait()
	timer := time.NewTimer(shareInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-e.wake:
		}
		e.startRound(ctx)
		timer.Reset(shareInterval)
	}
}

// RunDirectory adds this host to the platform's list of entry hosts and reads
// the list until the context ends.
func (e *Exchanger) RunDirectory(ctx context.Context) {
	for ctx.Err() == nil {
		wait := directoryInterval
		if err := e.readDirectory(ctx); err != nil {
			_ = level.Warn(e.logger).Log("event", "host_list_failed", "err", err)
			wait = directoryRetryDelay
		}
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-e.announceAgain:
		}
		timer.Stop()
	}
}

// AnnounceAgain adds this host to the platform's list of entry hosts again, because
// the platform may have lost its entry.
func (e *Exchanger) AnnounceAgain() {
	e.announced.Store(false)
	select {
	case e.announceAgain <- struct{}{}:
	default:
	}
}

func (e *Exchanger) readDirectory(ctx context.Context) error {
	if e.announced.CompareAndSwap(false, true) {
		if err := e.directory.Announce(ctx, e.self); err != nil {
			e.announced.Store(false)
			return err
		}
	}
	hosts, err := e.directory.Hosts(ctx)
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, host := range hosts {
		known, ok := e.peers[host.ID]
		if host.ID == e.self.ID || (ok && known.Address == host.Address) {
			continue
		}
		e.addPeer(host)
	}
	if !e.directoryLoaded {
		e.directoryLoaded = true
		e.SendNow()
	}
	return nil
}
