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

const simulated = 2 * time.Minute

// world is one cold endpoint, its watchers and an unreliable network.
type world struct {
	mu       sync.Mutex
	random   *rand.Rand
	endpoint flamingodoor.Endpoint
	tables   []*permit.Table // nil while the watcher is down
	revision uint64
	learned  []uint64 // members revision that each watcher follows
	running  int
	acquired int
	permits  map[flamingodoor.Permit]bool
	problem  string
}

// watchers returns the indices of the watchers by the members revision.
func watchers(revision uint64) []int {
	first := int(revision % 4)
	return []int{0, 1 + first, 1 + (first+1)%4}
}

func (w *world) chance(percent int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.random.IntN(100) < percent
}

func (w *world) upTo(limit time.Duration) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Duration(w.random.Int64N(int64(limit)))
}

// delay is mostly short and sometimes longer than the validity of a permit.
func (w *world) delay() {
	if w.chance(10) {
		time.Sleep(w.upTo(15 * time.Second))
		return
	}
	time.Sleep(w.upTo(20 * time.Millisecond))
}

func (w *world) table(i int) *permit.Table {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.tables[i]
}

// learn makes a watcher follow the revision. It must hold the lock.
func (w *world) learn(i int, revision uint64) {
	w.learned[i] = revision
	if w.tables[i] == nil {
		return
	}
	var watched []flamingodoor.Endpoint
	for _, watcher := range watchers(revision) {
		if watcher == i {
			watched = append(watched, w.endpoint)
		}
	}
	w.tables[i].Update(time.Now(), revision, watched)
}

// check must hold the lock.
func (w *world) check() {
	valid := 0
	for p := range w.permits {
		if time.Now().Before(p.Deadline()) {
			valid++
		}
	}
	if valid > w.endpoint.ColdAllowance {
		w.problem = fmt.Sprintf("%d valid holders", valid)
	}
	if w.running > w.endpoint.ColdAllowance {
		w.problem = fmt.Sprintf("%d requests at the endpoint", w.running)
	}
}

// peer is the connection of one holder's host to a watcher.
type peer struct {
	peerv1connect.PeerServiceClient
	w       *world
	watcher int
	host    *host
}

type host struct {
	w    *world
	mu   sync.Mutex
	dead bool
	// calls are not sent before this time, as if the process was paused
	paused time.Time
}

func (h *host) Peer(target flamingodoor.EntryHost) peerv1connect.PeerServiceClient {
	var watcher int
	_, _ = fmt.Sscan(target.ID, &watcher)
	return &peer{w: h.w, watcher: watcher, host: h}
}

func (h *host) isDead() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.dead
}

func (h *host) wait() (dead bool) {
	h.mu.Lock()
	until := h.paused
	h.mu.Unlock()
	time.Sleep(time.Until(until))
	return h.isDead()
}

// call delivers a message even after the caller has given up on it.
func call[A any](ctx context.Context, p *peer, deliver func(*permit.Table) A) (A, error) {
	answers := make(chan A, 1)
	go func() {
		if p.host.wait() || p.w.chance(5) {
			return
		}
		p.w.delay()
		table := p.w.table(p.watcher)
		if table == nil {
			return
		}
		answer := deliver(table)
		p.w.delay()
		if !p.w.chance(5) {
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

// holder acquires permits and runs requests under them. A host that dies
// leaves its request running at the endpoint.
func (w *world) holder(ctx context.Context, calls time.Duration) {
	revision := func() uint64 {
		w.mu.Lock()
		defer w.mu.Unlock()
		return w.revision
	}
	for ctx.Err() == nil {
		h := &host{w: w}
		holder := permit.NewHolder(permit.Parts{
			HostID: "holder", Peers: h, MembersRevision: revision,
			Watchers: func(flamingodoor.Endpoint) []flamingodoor.EntryHost {
				hosts := make([]flamingodoor.EntryHost, 3)
				for i, watcher := range watchers(revision()) {
					hosts[i].ID = fmt.Sprint(watcher)
				}
				return hosts
			},
		}, permit.WithCallTimeout(calls))
		for ctx.Err() == nil && !h.isDead() {
			time.Sleep(w.upTo(3 * time.Second))
			if p, err := holder.Acquire(ctx, w.endpoint, "1"); err == nil {
				w.run(ctx, h, p)
			}
		}
	}
}

func (w *world) run(ctx context.Context, h *host, p flamingodoor.Permit) {
	w.mu.Lock()
	w.permits[p] = true
	w.check()
	w.mu.Unlock()
	if w.chance(20) {
		h.mu.Lock()
		h.paused = time.Now().Add(w.upTo(30 * time.Second))
		h.mu.Unlock()
	}
	if w.chance(60) {
		time.Sleep(w.upTo(15 * time.Second)) // probes do not see the request yet
	}
	w.mu.Lock()
	dispatch := time.Now().Before(p.Deadline())
	if dispatch {
		w.acquired++
		w.running++
	}
	w.check()
	w.mu.Unlock()
	finished := time.After(w.upTo(20 * time.Second))
	h.mu.Lock()
	h.dead = w.chance(10)
	dead := h.dead
	h.mu.Unlock()
	if dead {
		<-finished
	} else {
		select {
		case <-finished:
		case <-p.Lost():
			h.wait() // a paused host does not cancel in time
		}
	}
	w.mu.Lock()
	if dispatch {
		w.running--
	}
	if !dead {
		delete(w.permits, p)
	}
	w.mu.Unlock()
	if !dead {
		p.Release(ctx)
	}
}

// watcher probes the endpoint, restarts at times and learns of changes of the
// watchers up to a freshness lease late.
func (w *world) watcher(ctx context.Context, i int) {
	for ctx.Err() == nil {
		time.Sleep(time.Second)
		probedAt := time.Now()
		time.Sleep(w.upTo(100 * time.Millisecond))
		w.mu.Lock()
		inFlight, table := w.running, w.tables[i]
		w.mu.Unlock()
		time.Sleep(w.upTo(500 * time.Millisecond))
		if table != nil {
			table.ObserveReport(flamingodoor.Evidence{
				EndpointID: w.endpoint.ID, ProbedAt: probedAt, Report: flamingodoor.Report{InFlight: inFlight},
			})
		}
		if w.chance(2) {
			w.mu.Lock()
			w.tables[i] = nil
			w.mu.Unlock()
			time.Sleep(w.upTo(5 * time.Second))
			w.mu.Lock()
			w.tables[i] = permit.NewTable()
			w.learn(i, w.learned[i])
			w.mu.Unlock()
		}
	}
}

func (w *world) changeMembers(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(30*time.Second + w.upTo(time.Minute))
		step := uint64(1) // replaces one watcher
		if w.chance(50) {
			step = 2 // replaces two
		}
		w.mu.Lock()
		w.revision += step
		revision := w.revision
		w.mu.Unlock()
		for i := range w.tables {
			lag := w.upTo(3 * time.Second)
			time.AfterFunc(lag, func() {
				w.mu.Lock()
				defer w.mu.Unlock()
				w.learn(i, max(revision, w.learned[i]))
			})
		}
	}
}

func simulate(t *testing.T, seed uint64, allowance int, calls time.Duration) (problem string, acquired int) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := &world{
			random:   rand.New(rand.NewPCG(seed, 0)),
			endpoint: flamingodoor.Endpoint{ID: "e", ColdAllowance: allowance},
			revision: 1,
			tables:   make([]*permit.Table, 5),
			learned:  make([]uint64, 5),
			permits:  make(map[flamingodoor.Permit]bool),
		}
		ctx, cancel := context.WithTimeout(t.Context(), simulated)
		defer cancel()
		var group sync.WaitGroup
		for i := range w.tables {
			w.tables[i] = permit.NewTable()
			w.learn(i, 1)
			group.Go(func() { w.watcher(ctx, i) })
		}
		for range 6 {
			group.Go(func() { w.holder(ctx, calls) })
		}
		group.Go(func() { w.changeMembers(ctx) })
		group.Go(func() {
			for ctx.Err() == nil {
				time.Sleep(200 * time.Millisecond)
				w.mu.Lock()
				w.check()
				w.mu.Unlock()
			}
		})
		group.Wait()
		time.Sleep(time.Minute) // messages in flight end
		problem, acquired = w.problem, w.acquired
	})
	return problem, acquired
}

// Guards against more valid holders, or more requests at the endpoint, than
// the allowance under delays, lost and late messages, restarted watchers,
// dead and paused holders and changes of the watchers.
func TestHoldersNeverExceedAllowance(t *testing.T) {
	total := 0
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		allowance := rapid.IntRange(1, 3).Draw(rt, "allowance")
		calls := rapid.SampledFrom([]time.Duration{time.Second, 8 * time.Second}).Draw(rt, "call timeout")
		problem, acquired := simulate(t, seed, allowance, calls)
		if problem != "" {
			rt.Fatal(problem)
		}
		total += acquired
	})
	if total < 100 {
		t.Fatalf("only %d permits acquired", total)
	}
	t.Logf("%d permits acquired", total)
}
