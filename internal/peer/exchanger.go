package peer

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"flamingodoor.example/flamingodoor"
	peerv1 "flamingodoor.example/flamingodoor/gen/flamingodoor/peer/v1"
	"flamingodoor.example/flamingodoor/internal/freshness"
	"flamingodoor.example/flamingodoor/internal/member"
)

const (
	// ExchangeInterval is the time between the starts of two rounds, unless a
	// round takes longer. With one probe a second, a change of an endpoint then
	// reaches a peer within 1.5 s.
	ExchangeInterval = 500 * time.Millisecond
	exchangeTimeout  = 1 * time.Second
	// reachableFor is how long a peer counts as reachable after its latest
	// response. It equals the validity of health evidence.
	reachableFor = 3 * time.Second
)

// ExchangerOption changes a default of an Exchanger.
type ExchangerOption func(*Exchanger)

// WithResponseHandler sets the function that processes every response. Its
// first argument is the start of the round, from which the deadlines of the
// evidence are computed.
func WithResponseHandler(handle func(start time.Time, response *peerv1.ExchangeResponse)) ExchangerOption {
	return func(e *Exchanger) { e.handleResponse = handle }
}

// WithVerdicts sets the function that reports whether the log holds a verdict
// on a command. Restrictions of such commands are dropped.
func WithVerdicts(hasVerdict func(commandID string) bool) ExchangerOption {
	return func(e *Exchanger) { e.hasVerdict = hasVerdict }
}

// WithExchangeLogger sets the logger for peers that become unreachable or
// reachable again.
func WithExchangeLogger(logger log.Logger) ExchangerOption {
	return func(e *Exchanger) { e.logger = logger }
}

// WithExchangeGoneCheck sets the function that reports whether a member is
// gone: the platform's host list no longer shows it, so its process has
// stopped. The default reports every member as present.
func WithExchangeGoneCheck(gone func(hostID string, now time.Time) bool) ExchangerOption {
	return func(e *Exchanger) { e.gone = gone }
}

// ExchangeStore is this host's replica of the configuration, as far as the
// Exchanger uses it.
type ExchangeStore interface {
	flamingodoor.ConfigurationSource
	// Err returns why the state machine has stopped, or nil.
	Err() error
}

// peerStatus is what this host knows of a peer from its latest response.
type peerStatus struct {
	answeredAt    time.Time // zero before the first response
	applied       uint64
	stopping      bool
	failureLogged bool // the latest call failed, which is logged once
}

// Exchanger pulls digests and freshness grants from all other entry hosts.
type Exchanger struct {
	hostID         string
	store          ExchangeStore
	lease          *freshness.Lease
	directory      flamingodoor.PeerDirectory
	handleResponse func(time.Time, *peerv1.ExchangeResponse)
	hasVerdict     func(string) bool
	gone           func(string, time.Time) bool
	logger         log.Logger

	mu                 sync.Mutex
	peers              map[string]peerStatus // by host ID
	restrictionsSynced bool

	digests digestCaches
}

// NewExchanger returns an Exchanger for the host with the given ID.
func NewExchanger(
	hostID string, store ExchangeStore, lease *freshness.Lease,
	directory flamingodoor.PeerDirectory, options ...ExchangerOption,
) *Exchanger {
	e := &Exchanger{
		hostID:    hostID,
		store:     store,
		lease:     lease,
		directory: directory,
		gone:      func(string, time.Time) bool { return false },
		logger:    log.NewNopLogger(),
		peers:     make(map[string]peerStatus),
		digests:   digestCaches{byHost: make(map[string]*digestCache)},
	}
	for _, option := range options {
		option(e)
	}
	return e
}

// Run starts a round every ExchangeInterval until the context ends. If a round
// takes longer, as it can with an unreachable peer, the next one follows at
// once.
func (e *Exchanger) Run(ctx context.Context) {
	ticker := time.NewTicker(ExchangeInterval)
	defer ticker.Stop()
	for {
		e.Round(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Round pulls once from every other member. It returns when all calls have
// ended, at the latest after their timeout of 1 s.
func (e *Exchanger) Round(ctx context.Context) {
	round := &round{start: time.Now(), configuration: e.store.Current()}
	hosts := round.configuration.EntryHosts()
	e.dropFormerMembers(hosts)
	round.voters = make(map[string]bool, member.MaxVoters)
	for _, voter := range member.VotersOf(hosts) {
		round.voters[voter.ID] = true
	}
	e.lease.DropRecorded(round.configuration, e.hasVerdict)
	// If this host is the only voter, its own grant suffices.
	e.renewLease(round, "")
	var pulls sync.WaitGroup
	for _, host := range hosts {
		if host.ID != e.hostID {
			pulls.Go(func() { e.pull(ctx, round, host) })
		}
	}
	pulls.Wait()
}

// round collects the freshness grants of one round.
type round struct {
	start         time.Time
	configuration flamingodoor.Configuration
	voters        map[string]bool // by host ID

	mu       sync.Mutex
	grantors []string // IDs of the voters that granted a lease
	renewed  bool
}

// pull calls Exchange at one peer and processes the response.
func (e *Exchanger) pull(ctx context.Context, round *round, host flamingodoor.EntryHost) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	epoch, version := e.digests.heldVersion(host.ID)
	response, err := e.directory.Peer(host).Exchange(ctx, connect.NewRequest(&peerv1.ExchangeRequest{
		HostId:        e.hostID,
		Applied:       round.configuration.Applied(),
		DigestEpoch:   epoch,
		DigestVersion: version,
	}))
	if err == nil && response.Msg.GetHostId() != host.ID {
		// The address may have been reassigned to another host before the member
		// list shows it.
		err = flamingodoor.Errorf(flamingodoor.CodeInternal, "peer address belongs to host %q", response.Msg.GetHostId())
	}
	if err != nil {
		e.recordFailure(host.ID, err)
		return
	}
	e.digests.expand(host.ID, response.Msg)
	// The restrictions must apply before the lease that was granted with them.
	for _, r := range response.Msg.GetRestrictions() {
		if e.hasVerdict == nil || !e.hasVerdict(r.GetCommandId()) {
			e.lease.AddRestriction(restrictionFrom(r))
		}
	}
	// The strikes report which requests crashed endpoints. A new host must have
	// them before it holds a lease, or it would dispatch requests that the other
	// hosts refuse.
	if e.handleResponse != nil {
		e.handleResponse(round.start, response.Msg)
	}
	e.recordResponse(host.ID, response.Msg)
	if response.Msg.GetGranted() {
		e.renewLease(round, host.ID)
	}
}

// renewLease adds a grant, unless grantor is empty, and extends the lease as
// soon as the grants suffice, so that an unreachable peer does not delay it. It
// ignores grants of hosts that are not voters and those after the renewal in
// the same round. If the state machine has stopped, it does not extend the
// lease.
func (e *Exchanger) renewLease(round *round, grantor string) {
	round.mu.Lock()
	defer round.mu.Unlock()
	if round.renewed || grantor != "" && !round.voters[grantor] {
		return
	}
	if grantor != "" {
		round.grantors = append(round.grantors, grantor)
	}
	if e.store.Err() == nil {
		round.renewed = e.lease.RenewFromVoters(round.start, round.grantors, round.configuration)
	}
}

// CheckRestrictionsSynced reports whether a majority of the voters that are not
// gone has answered this process at least once. The process then holds every
// provisional restriction that was accepted before it started and that the log
// does not contain yet. The caller must have read the log up to its tail. If
// the member list contains this host, the entry is from an earlier process and
// does not count as a voter.
func (e *Exchanger) CheckRestrictionsSynced(now time.Time) bool {
	if e.RestrictionsSynced() {
		return true
	}
	synced := freshness.Accepted(e.store.Current(),
		func(hostID string) bool { return hostID != e.hostID && e.hasAnswered(hostID) },
		func(hostID string) bool { return hostID == e.hostID || e.gone(hostID, now) })
	e.mu.Lock()
	defer e.mu.Unlock()
	e.restrictionsSynced = e.restrictionsSynced || synced
	return e.restrictionsSynced
}

// RestrictionsSynced reports whether CheckRestrictionsSynced has returned true
// before.
func (e *Exchanger) RestrictionsSynced() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.restrictionsSynced
}

func (e *Exchanger) hasAnswered(hostID string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.peers[hostID].answeredAt.IsZero()
}

// Reachable reports whether the peer has answered within the last 3 s. It
// always returns true for this host.
func (e *Exchanger) Reachable(hostID string, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	status := e.peers[hostID]
	return hostID == e.hostID || !status.answeredAt.IsZero() && now.Before(status.answeredAt.Add(reachableFor))
}

// Stopping reports whether the peer's latest response said that it is stopping.
func (e *Exchanger) Stopping(hostID string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.peers[hostID].stopping
}

// Applied returns the offset that the peer had applied at its latest response.
func (e *Exchanger) Applied(hostID string) uint64 {
	if hostID == e.hostID {
		return e.store.Current().Applied()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.peers[hostID].applied
}

// recordResponse updates the status of a peer that answered.
func (e *Exchanger) recordResponse(hostID string, response *peerv1.ExchangeResponse) {
	e.mu.Lock()
	previous := e.peers[hostID]
	e.peers[hostID] = peerStatus{
		answeredAt: time.Now(),
		applied:    response.GetApplied(),
		stopping:   response.GetStopping(),
	}
	e.mu.Unlock()
	if previous.failureLogged {
		_ = level.Info(e.logger).Log("event", "peer_reachable_again", "peer", hostID)
	}
}

// recordFailure logs a failed call, unless the previous call failed too.
func (e *Exchanger) recordFailure(hostID string, err error) {
	e.mu.Lock()
	status := e.peers[hostID]
	logged := status.failureLogged
	status.failureLogged = true
	e.peers[hostID] = status
	e.mu.Unlock()
	if !logged {
		_ = level.Warn(e.logger).Log("event", "peer_unreachable", "peer", hostID, "err", err)
	}
}

// dropFormerMembers drops the status, the digest and the connection of hosts
// that are no longer members.
func (e *Exchanger) dropFormerMembers(hosts []flamingodoor.EntryHost) {
	members := make(map[string]bool, len(hosts))
	for _, host := range hosts {
		members[host.ID] = true
	}
	e.mu.Lock()
	for id := range e.peers {
		if !members[id] {
			delete(e.peers, id)
		}
	}
	e.mu.Unlock()
	e.digests.retain(members)
	if retainer, ok := e.directory.(interface {
		Retain(hosts []flamingodoor.EntryHost)
	}); ok && len(hosts) > 0 {
		retainer.Retain(hosts)
	}
}
