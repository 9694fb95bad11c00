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
	// ExchangeInterval is the time between the starts of two rounds. Evidence
	// that is probed each second then reaches a peer within 1.5 s.
	ExchangeInterval = 500 * time.Millisecond
	exchangeTimeout  = 1 * time.Second
	// reachableFor is how long a peer counts as reachable after its latest
	// answer; the same as the validity of health evidence.
	reachableFor = 3 * time.Second
)

// ExchangerOption changes an Exchanger at its construction.
type ExchangerOption func(*Exchanger)

// WithResponseHandler hands every answer to the function. The time is the start of
// the round, from which deadlines of the evidence count.
func WithResponseHandler(take func(start time.Time, response *peerv1.ExchangeResponse)) ExchangerOption {
	return func(e *Exchanger) { e.take = take }
}

// WithVerdicts drops the restrictions whose command has a verdict.
func WithVerdicts(verdictOf func(commandID string) bool) ExchangerOption {
	return func(e *Exchanger) { e.verdictOf = verdictOf }
}

// WithExchangeLogger logs peers that become reachable or unreachable.
func WithExchangeLogger(logger log.Logger) ExchangerOption {
	return func(e *Exchanger) { e.logger = logger }
}

// WithExchangeGoneCheck sets the function that tells which members have stopped, as the
// platform's host list shows. Without it every member counts as present.
func WithExchangeGoneCheck(gone func(hostID string, now time.Time) bool) ExchangerOption {
	return func(e *Exchanger) { e.gone = gone }
}

// ExchangeStore is the replica of the configuration that the exchange needs.
type ExchangeStore interface {
	flamingodoor.ConfigurationSource
	// Err returns why the state machine has stopped, or nil.
	Err() error
}

type contact struct {
	answered time.Time
	applied  uint64
	stopping bool
	failing  bool // already logged
}

// Exchanger pulls digests and freshness grants from all other entry hosts.
type Exchanger struct {
	hostID    string
	store     ExchangeStore
	lease     *freshness.Lease
	directory flamingodoor.PeerDirectory
	take      func(time.Time, *peerv1.ExchangeResponse)
	verdictOf func(string) bool
	gone      func(string, time.Time) bool
	logger    log.Logger

	mu         sync.Mutex
	contacts   map[string]contact
	introduced bool

	digests digestCaches
}

// NewExchanger returns an exchanger of the host.
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
		contacts:  make(map[string]contact),
		digests:   digestCaches{byHost: make(map[string]*digestCache)},
	}
	for _, option := range options {
		option(e)
	}
	return e
}

// Run exchanges until the context ends.
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

// Round pulls once from every other member. It returns after the last answer
// or the deadline of the calls.
func (e *Exchanger) Round(ctx context.Context) {
	round := &round{start: time.Now(), configuration: e.store.Current()}
	hosts := round.configuration.EntryHosts()
	e.forget(hosts)
	round.voters = make(map[string]bool, member.MaxVoters)
	for _, voter := range member.VotersOf(hosts) {
		round.voters[voter.ID] = true
	}
	e.lease.Confirm(round.configuration, e.verdictOf)
	e.renew(round, "")
	var group sync.WaitGroup
	for _, host := range hosts {
		if host.ID != e.hostID {
			group.Go(func() { e.pull(ctx, round, host) })
		}
	}
	group.Wait()
}

// round collects the grants of one round.
type round struct {
	start         time.Time
	configuration flamingodoor.Configuration
	voters        map[string]bool

	mu      sync.Mutex
	granted []string
	renewed bool
}

func (e *Exchanger) pull(ctx context.Context, round *round, host flamingodoor.EntryHost) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	epoch, version := e.digests.held(host.ID)
	response, err := e.directory.Peer(host).Exchange(ctx, connect.NewRequest(&peerv1.ExchangeRequest{
		HostId:        e.hostID,
		Applied:       round.configuration.Applied(),
		DigestEpoch:   epoch,
		DigestVersion: version,
	}))
	if err == nil && response.Msg.GetHostId() != host.ID {
		// An address can pass on to another host before the member list shows it.
		err = flamingodoor.Errorf(flamingodoor.CodeInternal, "host %q answered", response.Msg.GetHostId())
	}
	if err != nil {
		e.failed(host.ID, err)
		return
	}
	e.digests.expand(host.ID, response.Msg)
	// Restrictions come before the lease that they accompany takes effect.
	for _, r := range response.Msg.GetRestrictions() {
		if e.verdictOf == nil || !e.verdictOf(r.GetCommandId()) {
			e.lease.AddRestriction(restrictionFrom(r))
		}
	}
	// A new host must know the strikes before it holds a lease, or it would send
	// a request that the other hosts refuse.
	if e.take != nil {
		e.take(round.start, response.Msg)
	}
	e.answered(host.ID, response.Msg)
	if response.Msg.GetGranted() {
		e.renew(round, host.ID)
	}
}

// renew counts one more grant, if any, and extends the lease as soon as the
// grants suffice, so that an unreachable peer does not delay it. A host whose
// state machine has stopped does not renew. Grants of hosts that do not vote,
// and those after the renewal of the round, change nothing.
func (e *Exchanger) renew(round *round, grantedBy string) {
	round.mu.Lock()
	defer round.mu.Unlock()
	if round.renewed || grantedBy != "" && !round.voters[grantedBy] {
		return
	}
	if grantedBy != "" {
		round.granted = append(round.granted, grantedBy)
	}
	if e.store.Err() == nil {
		round.renewed = e.lease.RenewFromVoters(round.start, round.granted, round.configuration)
	}
}

// CheckRestrictionsSynced reports whether a majority of the voters that are not gone has
// answered this process at least once. It then holds every provisional
// restriction that was accepted before it started, which the log does not show
// yet. The configuration must be that of a read that reached the log's tail. An
// entry of this host is one of an earlier process, so that it does not count.
func (e *Exchanger) CheckRestrictionsSynced(now time.Time) bool {
	if e.RestrictionsSynced() {
		return true
	}
	introduced := freshness.Accepted(e.store.Current(),
		func(hostID string) bool { return hostID != e.hostID && e.hasAnswered(hostID) },
		func(hostID string) bool { return hostID == e.hostID || e.gone(hostID, now) })
	e.mu.Lock()
	defer e.mu.Unlock()
	e.introduced = e.introduced || introduced
	return e.introduced
}

// RestrictionsSynced reports whether CheckRestrictionsSynced has returned true before.
func (e *Exchanger) RestrictionsSynced() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.introduced
}

func (e *Exchanger) hasAnswered(hostID string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.contacts[hostID].answered.IsZero()
}

// Reachable reports whether the peer has answered within the last 3 s. This
// host always reaches itself.
func (e *Exchanger) Reachable(hostID string, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := e.contacts[hostID]
	return hostID == e.hostID || !c.answered.IsZero() && now.Before(c.answered.Add(reachableFor))
}

// Stopping reports whether the peer said that it is stopping.
func (e *Exchanger) Stopping(hostID string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.contacts[hostID].stopping
}

// Applied returns the offset that the peer had applied at its latest answer.
func (e *Exchanger) Applied(hostID string) uint64 {
	if hostID == e.hostID {
		return e.store.Current().Applied()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.contacts[hostID].applied
}

func (e *Exchanger) answered(hostID string, response *peerv1.ExchangeResponse) {
	e.mu.Lock()
	known := e.contacts[hostID]
	e.contacts[hostID] = contact{
		answered: time.Now(),
		applied:  response.GetApplied(),
		stopping: response.GetStopping(),
	}
	e.mu.Unlock()
	if known.failing {
		_ = level.Info(e.logger).Log("event", "peer_reachable_again", "peer", hostID)
	}
}

func (e *Exchanger) failed(hostID string, err error) {
	e.mu.Lock()
	known := e.contacts[hostID]
	logged := known.failing
	known.failing = true
	e.contacts[hostID] = known
	e.mu.Unlock()
	if !logged {
		_ = level.Warn(e.logger).Log("event", "peer_unreachable", "peer", hostID, "err", err)
	}
}

// forget drops what is known of hosts that have left, and their connections.
func (e *Exchanger) forget(hosts []flamingodoor.EntryHost) {
	members := make(map[string]bool, len(hosts))
	for _, host := range hosts {
		members[host.ID] = true
	}
	e.mu.Lock()
	for id := range e.contacts {
		if !members[id] {
			delete(e.contacts, id)
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
