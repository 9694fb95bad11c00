package permit_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"pgregory.net/rapid"

	"flamingodoor.example/flamingodoor"
	peerv1 "flamingodoor.example/flamingodoor/gen/flamingodoor/peer/v1"
	"flamingodoor.example/flamingodoor/gen/flamingodoor/peer/v1/peerv1connect"
	"flamingodoor.example/flamingodoor/internal/permit"
)

const simulatedTime = 2 * time.Minute // on the synctest clock

// cluster simulates one cold endpoint, its watchers and an unreliable network.
type cluster struct {
	mu               sync.Mutex
	random           *rand.Rand
	endpoint         flamingodoor.Endpoint
	tables           []*permit.Table // by watcher; nil while it is down
	revision         uint64          // current entry hosts revision
	appliedRevisions []uint64        // by watcher
	running          int             // requests at the endpoint
	acquired         int             // permits under which a request was sent
	permits          map[flamingodoor.Permit]bool
	violation        string // empty if no limit was exceeded
}

// watchers returns the indices of the watchers at the entry hosts revision.
func watchers(revision uint64) []int {
	first := int(revision % 4)
	return []int{0, 1 + first, 1 + (first+1)%4}
}

// chance returns true in the given percentage of its calls.
func (c *cluster) chance(percent int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.random.IntN(100) < percent
}

// randomDuration returns a duration below the limit.
func (c *cluster) randomDuration(limit time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Duration(c.random.Int64N(int64(limit)))
}

// delay sleeps for a short time, and in 10% of its calls for up to 15 s, which
// exceeds the validity of a permit.
func (c *cluster) delay() {
	if c.chance(10) {
		time.Sleep(c.randomDuration(15 * time.Second))
		return
	}
	time.Sleep(c.randomDuration(20 * time.Millisecond))
}

func (c *cluster) table(i int) *permit.Table {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tables[i]
}

// applyRevision makes a watcher apply the entry hosts revision. The caller must
// hold c.mu.
func (c *cluster) applyRevision(i int, revision uint64) {
	c.appliedRevisions[i] = revision
	if c.tables[i] == nil {
		return
	}
	var watched []flamingodoor.Endpoint
	for _, watcher := range watchers(revision) {
		if watcher == i {
			watched = append(watched, c.endpoint)
		}
	}
	c.tables[i].Update(time.Now(), revision, watched)
}

// checkLimits records a violation if the valid permits, or the requests at the
// endpoint, exceed the allowance. The caller must hold c.mu.
func (c *cluster) checkLimits() {
	valid := 0
	for p := range c.permits {
		if time.Now().Before(p.Deadline()) {
			valid++
		}
	}
	if valid > c.endpoint.ColdAllowance {
		c.violation = fmt.Sprintf("%d valid permits", valid)
	}
	if c.running > c.endpoint.ColdAllowance {
		c.violation = fmt.Sprintf("%d requests at the endpoint", c.running)
	}
}

// peer is the connection from a host to a watcher.
type peer struct {
	peerv1connect.PeerServiceClient
	cluster *cluster
	watcher int
	host    *host
}

// host is an entry host that holds permits.
type host struct {
	cluster     *cluster
	mu          sync.Mutex
	dead        bool
	pausedUntil time.Time // no call is sent before, as if the process was paused
}

func (h *host) Peer(target flamingodoor.EntryHost) peerv1connect.PeerServiceClient {
	var watcher int
	_, _ = fmt.Sscan(target.ID, &watcher)
	return &peer{cluster: h.cluster, watcher: watcher, host: h}
}

func (h *host) isDead() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.dead
}

// waitWhilePaused waits until the pause ends and reports whether the host is
// dead then.
func (h *host) waitWhilePaused() (dead bool) {
	h.mu.Lock()
	until := h.pausedUntil
	h.mu.Unlock()
	time.Sleep(time.Until(until))
	return h.isDead()
}

// call delivers a message to a watcher. It may delay or lose the message or its
// answer, and delivers the message even after the caller has given up.
func call[A any](ctx context.Context, p *peer, deliver func(*permit.Table) A) (A, error) {
	answers := make(chan A, 1)
	go func() {
		if p.host.waitWhilePaused() || p.cluster.chance(5) {
			return
		}
		p.cluster.delay()
		table := p.cluster.table(p.watcher)
		if table == nil {
			return
		}
		answer := deliver(table)
		p.cluster.delay()
		if !p.cluster.chance(5) {
			answers <- answer
		}
	}()
	select {
	case answer := <-answers:
		return answer, nil
	case <-ctx.Done():
		var none A
		return none, ctx.Err()
	}
}

func (p *peer) GrantPermit(ctx context.Context, request *connect.Request[peerv1.GrantPermitRequest]) (*connect.Response[peerv1.GrantPermitResponse], error) {
	return call(ctx, p, func(table *permit.Table) *connect.Response[peerv1.GrantPermitResponse] {
		return connect.NewResponse(table.ServeGrant(time.Now(), request.Msg))
	})
}

func (p *peer) ReleasePermit(ctx context.Context, request *connect.Request[peerv1.ReleasePermitRequest]) (*connect.Response[peerv1.ReleasePermitResponse], error) {
	return call(ctx, p, func(table *permit.Table) *connect.Response[peerv1.ReleasePermitResponse] {
		table.ServeRelease(request.Msg)
		return connect.NewResponse(&peerv1.ReleasePermitResponse{})
	})
}

// holder acquires permits and runs requests with them. A host that dies leaves
// its request running at the endpoint and is replaced by a new one.
func (c *cluster) holder(ctx context.Context, callTimeout time.Duration) {
	revision := func() uint64 {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.revision
	}
	for ctx.Err() == nil {
		h := &host{cluster: c}
		holder := permit.NewHolder(permit.Parts{
			HostID: "holder", Peers: h, EntryHostsRevision: revision,
			Watchers: func(flamingodoor.Endpoint) []flamingodoor.EntryHost {
				hosts := make([]flamingodoor.EntryHost, 3)
				for i, watcher := range watchers(revision()) {
					hosts[i].ID = fmt.Sprint(watcher)
				}
				return hosts
			},
		}, permit.WithCallTimeout(callTimeout))
		for ctx.Err() == nil && !h.isDead() {
			time.Sleep(c.randomDuration(3 * time.Second))
			if p, err := holder.Acquire(ctx, c.endpoint, "1"); err == nil {
				c.run(ctx, h, p)
			}
		}
	}
}

func (c *cluster) run(ctx context.Context, h *host, p flamingodoor.Permit) {
	c.mu.Lock()
	c.permits[p] = true
	c.checkLimits()
	c.mu.Unlock()
	if c.chance(20) {
		h.mu.Lock()
		h.pausedUntil = time.Now().Add(c.randomDuration(30 * time.Second))
		h.mu.Unlock()
	}
	if c.chance(60) {
		time.Sleep(c.randomDuration(15 * time.Second)) // until then probes do not count the request
	}
	c.mu.Lock()
	sent := time.Now().Before(p.Deadline())
	if sent {
		c.acquired++
		c.running++
	}
	c.checkLimits()
	c.mu.Unlock()
	finished := time.After(c.randomDuration(20 * time.Second))
	h.mu.Lock()
	h.dead = c.chance(10)
	dead := h.dead
	h.mu.Unlock()
	if dead {
		<-finished
	} else {
		select {
		case <-finished:
		case <-p.Lost():
			h.waitWhilePaused() // a paused host does not cancel in time
		}
	}
	c.mu.Lock()
	if sent {
		c.running--
	}
	if !dead {
		delete(c.permits, p)
	}
	c.mu.Unlock()
	if !dead {
		p.Release(ctx)
	}
}

// watcher probes the endpoint every second or more and restarts in 2% of the
// rounds. changeEntryHosts makes it apply a new revision.
func (c *cluster) watcher(ctx context.Context, i int) {
	for ctx.Err() == nil {
		time.Sleep(time.Second)
		probedAt := time.Now()
		time.Sleep(c.randomDuration(100 * time.Millisecond))
		c.mu.Lock()
		inFlight, table := c.running, c.tables[i]
		c.mu.Unlock()
		time.Sleep(c.randomDuration(500 * time.Millisecond))
		if table != nil {
			table.ObserveReport(flamingodoor.Evidence{
				EndpointID: c.endpoint.ID, ProbedAt: probedAt, Report: flamingodoor.Report{InFlight: inFlight},
			})
		}
		if c.chance(2) {
			c.mu.Lock()
			c.tables[i] = nil
			c.mu.Unlock()
			time.Sleep(c.randomDuration(5 * time.Second))
			c.mu.Lock()
			c.tables[i] = permit.NewTable()
			c.applyRevision(i, c.appliedRevisions[i])
			c.mu.Unlock()
		}
	}
}

// changeEntryHosts changes the entry hosts revision from time to time. The
// watchers apply it up to 3 s later, the duration of a freshness lease.
func (c *cluster) changeEntryHosts(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(30*time.Second + c.randomDuration(time.Minute))
		step := uint64(1) // replaces one watcher
		if c.chance(50) {
			step = 2 // replaces two
		}
		c.mu.Lock()
		c.revision += step
		revision := c.revision
		c.mu.Unlock()
		for i := range c.tables {
			lag := c.randomDuration(3 * time.Second)
			time.AfterFunc(lag, func() {
				c.mu.Lock()
				defer c.mu.Unlock()
				c.applyRevision(i, max(revision, c.appliedRevisions[i]))
			})
		}
	}
}

// simulate runs the cluster and returns the violation, if any, and the number
// of permits under which a request was sent.
func simulate(t *testing.T, seed uint64, allowance int, callTimeout time.Duration) (violation string, acquired int) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := &cluster{
			random:           rand.New(rand.NewPCG(seed, 0)),
			endpoint:         flamingodoor.Endpoint{ID: "e", ColdAllowance: allowance},
			revision:         1,
			tables:           make([]*permit.Table, 5),
			appliedRevisions: make([]uint64, 5),
			permits:          make(map[flamingodoor.Permit]bool),
		}
		ctx, cancel := context.WithTimeout(t.Context(), simulatedTime)
		defer cancel()
		var group sync.WaitGroup
		for i := range c.tables {
			c.tables[i] = permit.NewTable()
			c.applyRevision(i, 1)
			group.Go(func() { c.watcher(ctx, i) })
		}
		for range 6 {
			group.Go(func() { c.holder(ctx, callTimeout) })
		}
		group.Go(func() { c.changeEntryHosts(ctx) })
		group.Go(func() {
			for ctx.Err() == nil {
				time.Sleep(200 * time.Millisecond)
				c.mu.Lock()
				c.checkLimits()
				c.mu.Unlock()
			}
		})
		group.Wait()
		time.Sleep(time.Minute) // until no message is in flight
		violation, acquired = c.violation, c.acquired
	})
	return violation, acquired
}

// Guards against more valid permits, or more requests at the endpoint, than the
// allowance. Messages are delayed and lost, watchers restart and change, and
// the hosts that hold permits die or are paused.
func TestHoldersNeverExceedAllowance(t *testing.T) {
	total := 0
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		allowance := rapid.IntRange(1, 3).Draw(rt, "allowance")
		callTimeout := rapid.SampledFrom([]time.Duration{time.Second, 8 * time.Second}).Draw(rt, "call timeout")
		violation, acquired := simulate(t, seed, allowance, callTimeout)
		if violation != "" {
			rt.Fatal(violation)
		}
		total += acquired
	})
	if total < 100 {
		t.Fatalf("only %d permits acquired", total)
	}
	t.Logf("%d permits acquired", total)
}
