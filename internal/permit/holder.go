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
	renewEvery = 3 * time.Second
	retryEvery = time.Second
	// lostMargin is the time left to cancel the request at the endpoint.
	lostMargin         = time.Second
	defaultCallTimeout = time.Second
)

// Parts are what a Holder works with.
type Parts struct {
	HostID string
	// Table is this host's own table, asked when it is a watcher itself.
	Table *Table
	// Watchers returns the watchers of the endpoint by the members revision.
	Watchers        func(endpoint flamingodoor.Endpoint) []flamingodoor.EntryHost
	MembersRevision func() uint64
	Peers           flamingodoor.PeerDirectory
}

// HolderOption changes a setting of a Holder.
type HolderOption func(*Holder)

// WithCallTimeout sets how long a holder waits for a watcher.
func WithCallTimeout(timeout time.Duration) HolderOption {
	return func(h *Holder) { h.timeout = timeout }
}

// Holder obtains slots from the watchers of endpoints.
type Holder struct {
	parts   Parts
	timeout time.Duration
}

var (
	_ flamingodoor.Permits = (*Holder)(nil)
	_ flamingodoor.Permit  = (*claim)(nil)
)

// NewHolder returns a holder.
func NewHolder(parts Parts, options ...HolderOption) *Holder {
	h := &Holder{parts: parts, timeout: defaultCallTimeout}
	for _, option := range options {
		option(h)
	}
	return h
}

// Acquire tries the slots of the endpoint in a random order until a majority
// of the watchers grants one. The error has CodePermitDenied when none is
// free, or CodeDeadlineExceeded when the context ended.
func (h *Holder) Acquire(ctx context.Context, endpoint flamingodoor.Endpoint, incarnation string) (flamingodoor.Permit, error) {
	for _, number := range rand.Perm(max(endpoint.ColdAllowance, 0)) { //nolint:gosec // only spreads the load
		c := h.newClaim(ctx, endpoint, incarnation, number)
		deadline, ok := c.ask(ctx, time.Now().Add(h.timeout))
		if ok && time.Now().Before(deadline.Add(-lostMargin)) {
			c.deadline = deadline
			go c.keep()
			return c, nil
		}
		go c.withdraw(context.WithoutCancel(ctx))
		if ctx.Err() != nil {
			return nil, flamingodoor.NewError(flamingodoor.CodeDeadlineExceeded, flamingodoor.RunStateNotRun, ctx.Err())
		}
	}
	return nil, flamingodoor.Errorf(flamingodoor.CodePermitDenied, "no slot of cold endpoint %s is free", endpoint.ID)
}

// claim is a claim of one slot; it is a permit once a majority granted it.
type claim struct {
	parts    Parts
	timeout  time.Duration
	endpoint flamingodoor.Endpoint
	request  Request

	ctx      context.Context // of renewals; ends with Release or Abandon
	stop     context.CancelFunc
	lost     chan struct{}
	kept     chan struct{} // closed when keep has ended
	released sync.Once
	calls    sync.WaitGroup // calls to watchers in flight

	mu       sync.Mutex
	asked    map[string]flamingodoor.EntryHost
	deadline time.Time
}

func (h *Holder) newClaim(ctx context.Context, endpoint flamingodoor.Endpoint, incarnation string, number int) *claim {
	c := &claim{
		parts:    h.parts,
		timeout:  h.timeout,
		endpoint: endpoint,
		request: Request{
			EndpointID:  endpoint.ID,
			Incarnation: incarnation,
			Slot:        number,
			Holder:      uuid.NewString(),
		},
		lost:  make(chan struct{}),
		kept:  make(chan struct{}),
		asked: make(map[string]flamingodoor.EntryHost),
	}
	c.ctx, c.stop = context.WithCancel(context.WithoutCancel(ctx))
	return c
}

// Lost is closed a second before the validity ends unrenewed.
func (c *claim) Lost() <-chan struct{} {
	return c.lost
}

// Deadline returns the end of the validity, or zero after the release.
func (c *claim) Deadline() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.deadline
}

// Release gives the slot back to the watchers. It waits for their answers
// until the context ends, at most for the time limit of calls.
func (c *claim) Release(ctx context.Context) {
	c.released.Do(func() {
		c.stop()
		<-c.kept
		c.mu.Lock()
		c.deadline = time.Time{}
		c.mu.Unlock()
		c.withdraw(ctx)
	})
}

// Abandon stops the renewal. A renewal in flight may still extend the slot
// once at a watcher.
func (c *claim) Abandon() {
	c.stop()
}

// ask asks all watchers and returns as soon as the majority is decided. The
// validity counts from the time before the first call. Calls that are still in
// flight go on, so that all watchers know of the claim.
func (c *claim) ask(ctx context.Context, end time.Time) (time.Time, bool) {
	start := time.Now()
	request := c.request
	request.MembersRevision = c.parts.MembersRevision()
	watchers := c.parts.Watchers(c.endpoint)
	if c.parts.MembersRevision() != request.MembersRevision {
		return time.Time{}, false // the watchers may be of either revision
	}
	decisions := make(chan Decision, len(watchers))
	if limit := start.Add(c.timeout); limit.Before(end) {
		end = limit
	}
	callCtx, cancel := context.WithDeadline(ctx, end)
	var calls sync.WaitGroup
	for _, watcher := range watchers {
		c.remember(watcher)
		calls.Go(func() { decisions <- c.grant(callCtx, watcher, request) })
	}
	c.calls.Go(func() {
		calls.Wait()
		cancel()
	})
	valid, granted := Validity, 0
	for answered := range watchers {
		if granted+len(watchers)-answered <= len(watchers)/2 {
			return time.Time{}, false
		}
		select {
		case <-callCtx.Done():
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

func (c *claim) grant(ctx context.Context, watcher flamingodoor.EntryHost, request Request) Decision {
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

// keep renews the slot until the release, or closes lost.
func (c *claim) keep() {
	defer close(c.kept)
	wait := renewEvery
	for {
		end := c.Deadline().Add(-lostMargin)
		timer := time.NewTimer(min(wait, time.Until(end)))
		select {
		case <-c.ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
		wait = retryEvery
		if c.renew(end) {
			wait = renewEvery
			continue
		}
		if c.ctx.Err() == nil && !time.Now().Before(end) {
			close(c.lost)
			return
		}
	}
}

// renew extends the validity. An answer that comes after the end does not
// count, because another holder may have had the slot in between.
func (c *claim) renew(end time.Time) bool {
	deadline, ok := c.ask(c.ctx, end)
	c.mu.Lock()
	defer c.mu.Unlock()
	if !ok || !time.Now().Before(end) {
		return false
	}
	c.deadline = deadline
	return true
}

// withdraw releases the slot at every watcher that was asked, after the calls
// to them have ended, so that a release seldom overtakes a grant.
func (c *claim) withdraw(ctx context.Context) {
	c.stop()
	c.calls.Wait()
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var calls sync.WaitGroup
	defer calls.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, watcher := range c.asked {
		calls.Go(func() { c.release(ctx, watcher) })
	}
}

func (c *claim) release(ctx context.Context, watcher flamingodoor.EntryHost) {
	if watcher.ID == c.parts.HostID {
		c.parts.Table.Release(c.request.EndpointID, c.request.Slot, c.request.Holder)
		return
	}
	// The slot expires at a watcher that cannot be reached.
	_, _ = c.parts.Peers.Peer(watcher).ReleasePermit(ctx, connect.NewRequest(&peerv1.ReleasePermitRequest{
		EndpointId: c.request.EndpointID,
		Slot:       encodeSlot(c.request.Slot),
		Holder:     c.request.Holder,
	}))
}

func (c *claim) remember(watcher flamingodoor.EntryHost) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.asked[watcher.ID] = watcher
}
