// Package exchange tells the other entry hosts this host's work in flight, the
// instances that it found lost and the demand that it sees.
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
	"golang.org/x/sync/errgroup"

	"flamingodoor.example/flamingodoor"
	exchangev1 "flamingodoor.example/flamingodoor/gen/flamingodoor/exchange/v1"
	"flamingodoor.example/flamingodoor/gen/flamingodoor/exchange/v1/exchangev1connect"
)

const (
	// shareEvery separates two rounds; in deployments of up to 7 hosts each
	// round reaches all peers.
	shareEvery = 200 * time.Millisecond
	// shareTimeout lets a lost packet be sent again once.
	shareTimeout = 500 * time.Millisecond
	// gzipBytes is the size from which messages are compressed: registrations
	// are text and shrink to about a quarter.
	gzipBytes   = 2 << 10
	dialTimeout = 300 * time.Millisecond
	// idleTime is above the turns among the peers of a fleet without relays.
	idleTime = 5 * time.Second
	// peerLife is how long a peer counts as an entry host without news.
	peerLife = 3 * time.Second
	// limitLife is how long a peer counts for the limits that all hosts share:
	// a cut between hosts, which still reach the endpoints, must not make each
	// of them take the whole limit. It is longer than a usual partition.
	limitLife = time.Minute
	// listEvery is how often the list of hosts is read: new hosts announce
	// themselves by sharing, so that it serves the first contact alone.
	listEvery = 30 * time.Second
	// listPause separates two attempts to read the list.
	listPause = time.Second
	// askedPeers of each data centre are asked for an instance that this host
	// does not reach.
	askedPeers = 4
	// feedSlack covers the leading host's own reads, a lost message and the
	// time until its successor leads.
	feedSlack = 1400 * time.Millisecond
	// nearPeers and farPeers are how many peers of this data centre and of
	// others a round reaches. Larger deployments take turns. Requests stay in
	// their data centre while they can, so that the uses there matter most.
	nearPeers = 6
	farPeers  = 6
	// silentPeers is how many peers without news a round tries, so that hosts
	// find each other again after a cut. Those that are gone take a dial
	// time-out each.
	silentPeers = 2
)

// Source gives what this host tells the others.
type Source interface {
	Describe(request *exchangev1.ShareRequest, now time.Time)
	// Feeds reports whether this host passes the registrations on.
	Feeds() bool
}

// Sink takes what another host told.
type Sink interface {
	Learn(request *exchangev1.ShareRequest, now time.Time)
	// Forget drops what a host told of its work.
	Forget(hostID string, now time.Time)
	// Answers reports whether this life of an instance answers.
	Answers(ctx context.Context, instance flamingodoor.Instance) bool
}

// Exchanger shares with the other entry hosts.
type Exchanger struct {
	self      flamingodoor.EntryPeer
	started   time.Time
	directory flamingodoor.HostDirectory
	feeds     Feeds
	source    Source
	sink      Sink
	client    *http.Client
	logger    log.Logger
	now       func() time.Time
	wake      chan struct{}
	calls     sync.WaitGroup
	copying   atomic.Bool // a configuration is on its way

	mu       sync.Mutex
	peers    map[string]*peer
	byHash   map[uint32]*peer
	sequence uint64
	leaving  bool
	listed   bool // the list of hosts was read
	duty     relayDuty
	nearTurn int
	farTurn  int
	lostTurn int

	summaries  map[string]heldSummary // by relay
	relayID    string                 // the host that relays for this one
	relayUntil time.Time
}

type peer struct {
	flamingodoor.EntryPeer
	client   exchangev1connect.ExchangeServiceClient
	added    time.Time
	heard    time.Time
	left     bool // it said that it stops
	started  int64
	sequence uint64
	answer   *exchangev1.ShareResponse // the latest
	busy     atomic.Bool               // a message is on its way
	urgent   bool                      // news for it came up since its latest message
	work     ownWork                   // of its latest message
	// coveredUntil is until when summaries tell of its work.
	coveredUntil time.Time
}

// Feeds pass on what the leading host reads from the platform.
type Feeds struct {
	Registrations flamingodoor.RegistrationFeed
	Configuration flamingodoor.ConfigurationFeed
}

// Option changes a setting of an Exchanger.
type Option func(*Exchanger)

// WithClock sets the clock.
func WithClock(now func() time.Time) Option {
	return func(e *Exchanger) { e.now = now }
}

// WithTransport sets how messages reach the other hosts.
func WithTransport(transport http.RoundTripper) Option {
	return func(e *Exchanger) { e.client.Transport = transport }
}

// New returns an exchanger.
func New(self flamingodoor.EntryPeer, directory flamingodoor.HostDirectory, feeds Feeds, source Source, sink Sink, logger log.Logger, options ...Option) *Exchanger {
	dialer := &net.Dialer{Timeout: dialTimeout}
	e := &Exchanger{
		self: self, directory: directory, feeds: feeds, source: source, sink: sink,
		client: &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, DisableCompression: true, MaxIdleConnsPerHost: 1, IdleConnTimeout: idleTime}},
		logger: logger, now: time.Now, wake: make(chan struct{}, 1), peers: make(map[string]*peer),
		byHash: make(map[uint32]*peer), summaries: make(map[string]heldSummary),
	}
	for _, option := range options {
		option(e)
	}
	e.started = e.now()
	return e
}

// Handler serves the other hosts.
func (e *Exchanger) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(exchangev1connect.NewExchangeServiceHandler(e))
	return mux
}

// Share takes what another host told.
func (e *Exchanger) Share(ctx context.Context, request *connect.Request[exchangev1.ShareRequest]) (*connect.Response[exchangev1.ShareResponse], error) {
	now := e.now()
	if message, ok := e.accept(request.Msg, now); ok {
		e.sink.Learn(message, now)
		e.takeSummary(request.Msg, now)
	}
	e.takeFeeds(context.WithoutCancel(ctx), request.Msg, now)
	return connect.NewResponse(&exchangev1.ShareResponse{
		RegistrationsNext: e.feeds.Registrations.NextOffset(), Clock: e.clock(now),
	}), nil
}

// Reach asks an instance for a host that does not reach it.
func (e *Exchanger) Reach(ctx context.Context, request *connect.Request[exchangev1.ReachRequest]) (*connect.Response[exchangev1.ReachResponse], error) {
	address, err := netip.ParseAddrPort(request.Msg.GetAddress())
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	answers := e.sink.Answers(ctx, flamingodoor.Instance{
		ID: request.Msg.GetInstanceId(), Address: address, StartedAt: time.UnixMilli(request.Msg.GetBornMs()),
	})
	return connect.NewResponse(&exchangev1.ReachResponse{Answers: answers}), nil
}

// ReachedElsewhere reports whether a peer gets an answer from an instance that
// this host does not reach.
func (e *Exchanger) ReachedElsewhere(ctx context.Context, instance flamingodoor.Instance) bool {
	ctx, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	request := &exchangev1.ReachRequest{
		InstanceId: instance.ID, Address: instance.Address.String(), BornMs: instance.StartedAt.UnixMilli(),
	}
	var reached atomic.Bool
	var calls errgroup.Group
	for _, each := range e.lately() {
		calls.Go(func() error {
			response, err := each.client.Reach(ctx, connect.NewRequest(request))
			if err != nil {
				_ = level.Debug(e.logger).Log("event", "reach_failed", "peer", each.ID, "err", err)
				return nil
			}
			if response.Msg.GetAnswers() {
				reached.Store(true)
				cancel()
			}
			return nil
		})
	}
	_ = calls.Wait() // a peer without an answer knows nothing
	return reached.Load()
}

// lately returns peers that were heard lately, a few of each data centre.
func (e *Exchanger) lately() []*peer {
	now := e.now()
	e.mu.Lock()
	defer e.mu.Unlock()
	counts := make(map[string]int)
	var peers []*peer
	for _, each := range e.peers {
		if now.Sub(each.heard) < peerLife && counts[each.DataCentre] < askedPeers {
			counts[each.DataCentre]++
			peers = append(peers, each)
		}
	}
	return peers
}

// accept drops messages that arrive after newer ones. It leaves out the work of
// a host that summaries tell of, which would count twice.
func (e *Exchanger) accept(message *exchangev1.ShareRequest, now time.Time) (*exchangev1.ShareRequest, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	known, ok := e.peers[message.GetHostId()]
	if !ok {
		address, err := netip.ParseAddrPort(message.GetAddress())
		if err != nil {
			_ = level.Warn(e.logger).Log("event", "peer_unreadable", "peer", message.GetHostId(), "err", err)
			return nil, false
		}
		known = e.add(flamingodoor.EntryPeer{ID: message.GetHostId(), Address: address, DataCentre: message.GetDataCentre()})
	}
	if message.GetStartedMs() < known.started ||
		(message.GetStartedMs() == known.started && message.GetSequence() <= known.sequence) {
		return nil, false
	}
	known.LinkMbps = int(message.GetLinkMbps())
	known.started, known.sequence, known.heard = message.GetStartedMs(), message.GetSequence(), now
	known.left = message.GetLeaving()
	known.work = ownWork{uses: message.GetUses(), demands: message.GetDemands(), at: now}
	if known.left {
		known.heard, known.coveredUntil, known.work = time.Time{}, time.Time{}, ownWork{}
	}
	if known.covered(now) {
		message = copyOf(message)
		message.Uses, message.Demands = nil, nil
	}
	return message, true
}

// copyOf copies a message without what only its first receiver gets.
func copyOf(message *exchangev1.ShareRequest) *exchangev1.ShareRequest {
	return &exchangev1.ShareRequest{
		HostId: message.GetHostId(), StartedMs: message.GetStartedMs(), Sequence: message.GetSequence(), Uses: message.GetUses(),
		Losses: message.GetLosses(), Demands: message.GetDemands(), Strikes: message.GetStrikes(), Leaving: message.GetLeaving(),
		Address: message.GetAddress(), DataCentre: message.GetDataCentre(), LinkMbps: message.GetLinkMbps(),
	}
}

// add knows a peer. Its client does not compress: a compressor for each would
// take most of a host's memory, and its time on the short messages.
func (e *Exchanger) add(host flamingodoor.EntryPeer) *peer {
	made := &peer{EntryPeer: host, added: e.now(), client: exchangev1connect.NewExchangeServiceClient(
		e.client, "http://"+host.Address.String(), connect.WithAcceptCompression("gzip", nil, nil))}
	e.peers[host.ID], e.byHash[hostHash(host.ID)] = made, made
	return made
}

// Hurry shares at once.
func (e *Exchanger) Hurry() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// HurryToAll shares with every peer at once, and with one to which a message is
// on its way as soon as that is answered.
func (e *Exchanger) HurryToAll() {
	e.mu.Lock()
	for _, each := range e.peers {
		each.urgent = true
	}
	e.mu.Unlock()
	e.Hurry()
}

// Leave tells the others that this host stops.
func (e *Exchanger) Leave() {
	e.mu.Lock()
	e.leaving = true
	e.mu.Unlock()
	e.HurryToAll()
}

// Run shares until the context ends.
func (e *Exchanger) Run(ctx context.Context) {
	defer e.calls.Wait()
	timer := time.NewTimer(shareEvery)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-e.wake:
		}
		e.round(ctx)
		timer.Reset(shareEvery)
	}
}

// RunDirectory announces this host and reads the list of the others.
func (e *Exchanger) RunDirectory(ctx context.Context) {
	announced := false
	for ctx.Err() == nil {
		wait := listEvery
		if err := e.list(ctx, &announced); err != nil {
			_ = level.Warn(e.logger).Log("event", "host_list_failed", "err", err)
			wait = listPause
		}
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
	}
}

func (e *Exchanger) list(ctx context.Context, announced *bool) error {
	if !*announced {
		if err := e.directory.Announce(ctx, e.self); err != nil {
			return err
		}
		*announced = true
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
		e.add(host)
	}
	e.listed = true
	return nil
}
