package permit

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"

	"flamingodoor.example/flamingodoor"
	peerv1 "flamingodoor.example/flamingodoor/gen/flamingodoor/peer/v1"
)

const (
	renewInterval = 3 * time.Second // after a grant or a successful renewal
	retryInterval = time.Second     // after a failed renewal
	// lostMargin is how long before its expiry a permit counts as lost. It
	// leaves time to cancel the request at the endpoint.
	lostMargin         = time.Second
	defaultCallTimeout = time.Second
)

// Parts are the dependencies of a Holder.
type Parts struct {
	HostID string
	// Table is the table of this host. The Holder calls it directly where this
	// host is a watcher.
	Table *Table
	// Watchers returns the watchers of the endpoint at the current entry hosts
	// revision.
	Watchers func(endpoint flamingodoor.Endpoint) []flamingodoor.EntryHost
	// EntryHostsRevision returns the revision of the set of entry hosts, which
	// determines the watchers.
	EntryHostsRevision func() uint64
	Peers              flamingodoor.PeerDirectory
}

// HolderOption changes a default of a Holder.
type HolderOption func(*Holder)

// WithCallTimeout limits how long a Holder waits for the answers of watchers.
func WithCallTimeout(timeout time.Duration) HolderOption {
	return func(h *Holder) { h.callTimeout = timeout }
}

// Holder acquires permits for cold endpoints from their watchers.
type Holder struct {
	parts       Parts
	callTimeout time.Duration
}

var (
	_ flamingodoor.Permits = (*Holder)(nil)
	_ flamingodoor.Permit  = (*claim)(nil)
)

// NewHolder returns a Holder with the given dependencies.
func NewHolder(parts Parts, options ...HolderOption) *Holder {
	h := &Holder{parts: parts, callTimeout: defaultCallTimeout}
	for _, option := range options {
		option(h)
	}
	return h
}

// Acquire tries the slots of the endpoint in random order until a majority of
// the watchers grants one. The permit renews itself until it is released,
// abandoned or lost. The error has CodePermitDenied if no slot is granted, and
// CodeDeadlineExceeded if ctx ends first.
func (h *Holder) Acquire(ctx context.Context, endpoint flamingodoor.Endpoint, incarnation string) (flamingodoor.Permit, error) {
	for _, number := range rand.Perm(max(endpoint.ColdAllowance, 0)) { //nolint:gosec // spreads hosts over the slots
		c := h.newClaim(ctx, endpoint, incarnation, number)
		deadline, ok := c.requestGrants(ctx, time.Now().Add(h.callTimeout))
		if ok && time.Now().Before(deadline.Add(-lostMargin)) {
			c.deadline = deadline
			go c.renewLoop()
			return c, nil
		}
		go c.releaseAll(context.WithoutCancel(ctx))
		if ctx.Err() != nil {
			return nil, flamingodoor.NewError(flamingodoor.CodeDeadlineExceeded, flamingodoor.RunStateNotRun, ctx.Err())
		}
	}
	return nil, flamingodoor.Errorf(flamingodoor.CodePermitDenied, "no slot of cold endpoint %s is free", endpoint.ID)
}

// claim is a claim to one slot. Once a majority of the watchers has granted it,
// it is a permit.
type claim struct {
	parts       Parts
	callTimeout time.Duration
	endpoint    flamingodoor.Endpoint
	request     Request

	renewalCtx   context.Context // ends with Release or Abandon
	stopRenewal  context.CancelFunc
	lost         chan struct{}
	renewalEnded chan struct{} // closed when renewLoop returns
	released     sync.Once
	pendingCalls sync.WaitGroup // grant requests to watchers in flight

	mu            sync.Mutex
	askedWatchers map[string]flamingodoor.EntryHost // by host ID
	deadline      time.Time
}

func (h *Holder) newClaim(ctx context.Context, endpoint flamingodoor.Endpoint, incarnation string, number int) *claim {
	c := &claim{
		parts:       h.parts,
		callTimeout: h.callTimeout,
		endpoint:    endpoint,
		request: Request{
			EndpointID:  endpoint.ID,
			Incarnation: incarnation,
			Slot:        number,
			Holder:      uuid.NewString(),
		},
		lost:          make(chan struct{}),
		renewalEnded:  make(chan struct{}),
		askedWatchers: make(map[string]flamingodoor.EntryHost),
	}
	c.renewalCtx, c.stopRenewal = context.WithCancel(context.WithoutCancel(ctx))
	return c
}

// Lost returns a channel that is closed one second before the permit expires,
// if it could not be renewed.
func (c *claim) Lost() <-chan struct{} {
	return c.lost
}

// Deadline returns the time at which the permit expires unless it is renewed,
// or the zero time after Release.
func (c *claim) Deadline() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.deadline
}

// Release releases the slot at the watchers. It waits for their answers until
// ctx ends, but no longer than the call timeout.
func (c *claim) Release(ctx context.Context) {
	c.released.Do(func() {
		c.stopRenewal()
		<-c.renewalEnded
		c.mu.Lock()
		c.deadline = time.Time{}
		c.mu.Unlock()
		c.releaseAll(ctx)
	})
}

// Abandon stops the renewal, so that the slot expires. A renewal in flight may
// still extend it once at a watcher.
func (c *claim) Abandon() {
	c.stopRenewal()
}

// requestGrants asks all watchers to grant or renew the slot. It returns the
// new deadline as soon as a majority has granted it, or false if a majority can
// no longer grant it, the set of watchers has just changed, or the time end, the
// call timeout or the end of ctx comes first. The validity counts from the time
// before the first call. Calls still in flight continue, so that all watchers
// receive the claim.
func (c *claim) requestGrants(ctx context.Context, end time.Time) (time.Time, bool) {
	start := time.Now()
	request := c.request
	request.EntryHostsRevision = c.parts.EntryHostsRevision()
	watchers := c.parts.Watchers(c.endpoint)
	if c.parts.EntryHostsRevision() != request.EntryHostsRevision {
		return time.Time{}, false // the list may belong to either revision
	}
	decisions := make(chan Decision, len(watchers))
	if limit := start.Add(c.callTimeout); limit.Before(end) {
		end = limit
	}
	callCtx, cancelCalls := context.WithDeadline(ctx, end)
	var calls sync.WaitGroup
	for _, watcher := range watchers {
		c.recordAsked(watcher)
		calls.Go(func() { decisions <- c.requestGrant(callCtx, watcher, request) })
	}
	c.pendingCalls.Go(func() {
		calls.Wait()
		cancelCalls()
	})
	// The calls' context also ends with the last call, whose decision counts.
	waitCtx, stopWaiting := context.WithDeadline(ctx, end)
	defer stopWaiting()
	valid, granted := Validity, 0
	for answered := range watchers {
		if granted+len(watchers)-answered <= len(watchers)/2 {
			return time.Time{}, false
		}
		select {
		case <-waitCtx.Done():
			return time.Time{}, false
		case decision := <-decisions:
			if !decision.Granted {
				continue
			}
			granted++
			valid = min(valid, decision.ValidFor)
		}
		if granted > len(watchers)/2 {
			return start.Add(valid), true
		}
	}
	return time.Time{}, false
}

// requestGrant asks one watcher. A failed call counts as a denial.
func (c *claim) requestGrant(ctx context.Context, watcher flamingodoor.EntryHost, request Request) Decision {
	if watcher.ID == c.parts.HostID {
		return c.parts.Table.Grant(time.Now(), request)
	}
	response, err := c.parts.Peers.Peer(watcher).GrantPermit(ctx, connect.NewRequest(encodeRequest(request)))
	if err != nil {
		return Decision{Reason: err.Error()}
	}
	return Decision{
		Granted:  response.Msg.GetGranted(),
		ValidFor: response.Msg.GetValidFor().AsDuration(),
		Reason:   response.Msg.GetReason(),
	}
}

// renewLoop renews the slot until Release or Abandon stops it. If the slot
// cannot be renewed in time, it closes lost and returns.
func (c *claim) renewLoop() {
	defer close(c.renewalEnded)
	wait := renewInterval
	for {
		end := c.Deadline().Add(-lostMargin)
		timer := time.NewTimer(min(wait, time.Until(end)))
		select {
		case <-c.renewalCtx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
		wait = retryInterval
		if c.renew(end) {
			wait = renewInterval
			continue
		}
		if c.renewalCtx.Err() == nil && !time.Now().Before(end) {
			close(c.lost)
			return
		}
	}
}

// renew extends the deadline and reports whether that succeeded. A grant that
// arrives after end does not count: the permit is lost then, and after its expiry
// another holder may have had the slot.
func (c *claim) renew(end time.Time) bool {
	deadline, ok := c.requestGrants(c.renewalCtx, end)
	c.mu.Lock()
	defer c.mu.Unlock()
	if !ok || !time.Now().Before(end) {
		return false
	}
	c.deadline = deadline
	return true
}

// releaseAll releases the slot at every watcher that was asked. It first waits
// for the grant calls to end, so that a release rarely overtakes a grant.
func (c *claim) releaseAll(ctx context.Context) {
	c.stopRenewal()
	c.pendingCalls.Wait()
	ctx, cancel := context.WithTimeout(ctx, c.callTimeout)
	defer cancel()
	var calls sync.WaitGroup
	defer calls.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, watcher := range c.askedWatchers {
		calls.Go(func() { c.release(ctx, watcher) })
	}
}

func (c *claim) release(ctx context.Context, watcher flamingodoor.EntryHost) {
	if watcher.ID == c.parts.HostID {
		c.parts.Table.Release(c.request.EndpointID, c.request.Slot, c.request.Holder)
		return
	}
	// At a watcher that cannot be reached the slot expires.
	_, _ = c.parts.Peers.Peer(watcher).ReleasePermit(ctx, connect.NewRequest(&peerv1.ReleasePermitRequest{
		EndpointId: c.request.EndpointID,
		Slot:       encodeSlot(c.request.Slot),
		Holder:     c.request.Holder,
	}))
}

func (c *claim) recordAsked(watcher flamingodoor.EntryHost) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.askedWatchers[watcher.ID] = watcher
}
