package intent_test

import (
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"flamingodoor.example/flamingodoor"
	peerv1 "flamingodoor.example/flamingodoor/gen/flamingodoor/peer/v1"
	"flamingodoor.example/flamingodoor/gen/flamingodoor/peer/v1/peerv1connect"
	"flamingodoor.example/flamingodoor/internal/intent"
)

func newKey(at time.Time) string {
	id := uuid.New()
	var ms [8]byte
	binary.BigEndian.PutUint64(ms[:], uint64(at.UnixMilli())<<16)
	copy(id[:6], ms[:6])
	id[6] = 0x70 | id[6]&0x0f
	return id.String()
}

// world is a log, a service and entry hosts that fail at a given rate.
type world struct {
	mu        sync.Mutex
	random    *rand.Rand
	percent   int // of every kind of fault
	outage    bool
	retention time.Duration
	streams   map[string][][]byte
	appends   int
	sent      map[string]int  // dispatches by key
	requests  map[string]bool // request identifiers that were dispatched
	body      []byte
	service   time.Duration
	hosts     []*host
}

func newWorld(seed uint64, percent int) *world {
	return &world{
		random: rand.New(rand.NewPCG(seed, 0)), percent: percent, retention: 48 * time.Hour,
		streams: make(map[string][][]byte), sent: make(map[string]int), requests: make(map[string]bool),
		body: []byte("ok"), service: 50 * time.Millisecond,
	}
}

func (w *world) fault() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.random.IntN(100) < w.percent
}

func (w *world) upTo(limit time.Duration) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Duration(w.random.Int64N(int64(limit)))
}

func (w *world) set(change func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change()
}

// host is one process of an entry host. A dead one has no effects.
type host struct {
	*world
	id     string
	dead   atomic.Bool
	runner *intent.Runner
	calls  sync.WaitGroup
}

func (w *world) start(id int) *host {
	h := &host{world: w, id: fmt.Sprint(id)}
	h.runner = intent.NewRunner(intent.Parts{HostID: h.id, Log: h, Dispatcher: h})
	return h
}

// begin counts a call unless the host was replaced, since stop may then wait
// for its calls already.
func (h *host) begin() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	serving := slices.Contains(h.hosts, h)
	if serving {
		h.calls.Add(1)
	}
	return serving
}

func (h *host) stop(flush time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), flush)
	defer cancel()
	h.calls.Wait()
	h.runner.Close(ctx)
}

func (h *host) Append(_ context.Context, stream string, data []byte) (uint64, error) {
	time.Sleep(h.upTo(20 * time.Millisecond))
	if h.fault() {
		time.Sleep(h.upTo(6 * time.Second))
	}
	h.mu.Lock()
	failed := h.dead.Load() || h.outage
	h.mu.Unlock()
	if failed || h.fault() {
		return 0, io.ErrClosedPipe
	}
	if h.fault() {
		time.AfterFunc(h.upTo(8*time.Second), func() { h.add(stream, data) })
		return 0, io.ErrUnexpectedEOF
	}
	offset := h.add(stream, data)
	if h.fault() {
		return 0, io.ErrUnexpectedEOF
	}
	return offset, nil
}

func (w *world) add(stream string, data []byte) uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.appends++
	w.streams[stream] = append(w.streams[stream], data)
	return uint64(len(w.streams[stream]))
}

func (h *host) Read(ctx context.Context, stream string, from uint64, limit int, until time.Time) (flamingodoor.LogPage, error) {
	for {
		time.Sleep(5 * time.Millisecond)
		h.mu.Lock()
		records, outage := h.streams[stream], h.outage
		page := flamingodoor.LogPage{First: 1, Next: uint64(len(records)) + 1, Retention: h.retention}
		h.mu.Unlock()
		if outage || h.dead.Load() || ctx.Err() != nil {
			return flamingodoor.LogPage{}, io.ErrClosedPipe
		}
		for o := from; o < page.Next && len(page.Entries) < limit; o++ {
			page.Entries = append(page.Entries, flamingodoor.LogEntry{Offset: o, Data: records[o-1]})
		}
		if len(page.Entries) > 0 || !time.Now().Before(until) {
			if h.fault() {
				time.Sleep(h.upTo(2 * time.Second))
			}
			return page, nil
		}
	}
}

func (h *host) DispatchOnce(_ context.Context, call flamingodoor.ServiceCall) (flamingodoor.ServiceAnswer, error) {
	if h.dead.Load() || h.fault() {
		return flamingodoor.ServiceAnswer{}, flamingodoor.Errorf(flamingodoor.CodeNoEndpoint, "no endpoint")
	}
	h.set(func() {
		h.sent[call.IdempotencyKey]++
		h.requests[call.RequestID] = true
	})
	time.Sleep(h.service + h.upTo(time.Second))
	if h.fault() {
		return flamingodoor.ServiceAnswer{}, io.ErrUnexpectedEOF
	}
	return flamingodoor.ServiceAnswer{Status: 201, Body: h.body}, nil
}

type peer struct {
	peerv1connect.PeerServiceClient
	target *host
}

func (h *host) Peer(target flamingodoor.EntryHost) peerv1connect.PeerServiceClient {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, other := range h.hosts {
		if other.id == target.ID {
			return &peer{target: other}
		}
	}
	return &peer{target: &host{world: h.world}} // stopped
}

func (p *peer) RunOnce(ctx context.Context, request *connect.Request[peerv1.RunOnceRequest]) (*connect.Response[peerv1.RunOnceResponse], error) {
	answers := make(chan *peerv1.RunOnceResponse, 1)
	if !p.target.begin() {
		return nil, connect.NewError(connect.CodeUnavailable, io.ErrClosedPipe)
	}
	go func() {
		defer p.target.calls.Done()
		answers <- intent.ServeRunOnce(ctx, p.target.runner, request.Msg)
	}()
	select {
	case answer := <-answers:
		if !p.target.dead.Load() && !p.target.fault() {
			return connect.NewResponse(answer), nil
		}
	case <-ctx.Done():
	}
	return nil, connect.NewError(connect.CodeUnavailable, io.ErrUnexpectedEOF)
}

func (h *host) forwarder() *intent.Forwarder {
	return intent.NewForwarder(intent.ForwarderParts{
		HostID: h.id, Runner: h.runner, Peers: h,
		Owners: func(stream string) []flamingodoor.EntryHost {
			first := int(stream[len(stream)-1]) % len(h.hosts)
			owners := make([]flamingodoor.EntryHost, len(h.hosts))
			for i := range owners {
				owners[i].ID = fmt.Sprint((first + i) % len(h.hosts))
			}
			return owners
		},
		Reachable: func(string) bool { return !h.fault() },
	})
}

func (w *world) call(key string) flamingodoor.ServiceCall {
	return flamingodoor.ServiceCall{
		RequestID: uuid.NewString(), ClubID: "c", Service: "ledger", IdempotencyKey: key, Method: "POST",
		Path: "/post", Deadline: time.Now().Add(time.Second + w.upTo(15*time.Second)),
	}
}

// simulate repeats calls of some keys on hosts that restart, and returns what
// went wrong and how many calls were answered.
func simulate(t *testing.T, seed uint64, percent int) (problem string, answered int) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(seed, percent)
		for i := range 3 {
			w.hosts = append(w.hosts, w.start(i))
		}
		var group sync.WaitGroup
		for range 6 {
			key := newKey(time.Now())
			for range 5 {
				group.Go(func() {
					time.Sleep(w.upTo(30 * time.Second))
					call := w.call(key)
					var h *host
					w.set(func() {
						h = w.hosts[w.random.IntN(len(w.hosts))]
						h.calls.Add(1)
					})
					defer h.calls.Done()
					_, err := h.forwarder().RunOnce(t.Context(), call)
					if h.dead.Load() {
						return // its caller has no answer
					}
					w.set(func() {
						if err == nil {
							answered++
						}
						if err != nil && flamingodoor.RunStateOf(err) == flamingodoor.RunStateNotRun && w.requests[call.RequestID] {
							problem = "not run was said of a dispatched call: " + err.Error()
						}
						if err == nil && w.sent[key] == 0 {
							problem = "an answer without a dispatch"
						}
					})
				})
			}
		}
		for i := range 3 {
			group.Go(func() {
				time.Sleep(w.upTo(30 * time.Second))
				var old *host
				w.set(func() { old, w.hosts[i] = w.hosts[i], w.start(i) })
				old.dead.Store(true)
				old.stop(time.Millisecond)
			})
		}
		group.Go(func() {
			time.Sleep(w.upTo(30 * time.Second))
			w.set(func() { w.outage = true })
			time.Sleep(w.upTo(5 * time.Second))
			w.set(func() { w.outage = false })
		})
		group.Wait()
		var last []*host
		w.set(func() { last, w.hosts = w.hosts, nil })
		for _, h := range last {
			h.stop(time.Minute)
		}
		time.Sleep(time.Minute) // late appends end
		for key, sent := range w.sent {
			if sent > 1 {
				problem = fmt.Sprintf("key %s was dispatched %d times", key, sent)
			}
		}
	})
	return problem, answered
}

// Guards against a call that is dispatched twice, or that is said not to have
// run although it was dispatched, with lost answers, late appends, restarted
// hosts and an outage of the log.
func TestCallsRunAtMostOnce(t *testing.T) {
	total := 0
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		percent := rapid.SampledFrom([]int{0, 5, 15}).Draw(rt, "fault rate")
		problem, answered := simulate(t, seed, percent)
		if problem != "" {
			rt.Fatal(problem)
		}
		total += answered
	})
	assert.Assert(t, total > 500, "only %d calls were answered", total)
	t.Logf("%d calls answered", total)
}

func check(t *testing.T, err error, code flamingodoor.Code, state flamingodoor.RunState) {
	t.Helper()
	assert.Equal(t, flamingodoor.CodeOf(err), code, "%v", err)
	assert.Equal(t, flamingodoor.RunStateOf(err), state)
}

// Guards against refusals with the wrong code or run state.
func TestRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1, 0)
		h := w.start(0)
		defer func() { h.stop(time.Second) }()
		run := func(key string) error {
			_, err := h.runner.RunOnce(t.Context(), w.call(key))
			return err
		}
		check(t, run(""), flamingodoor.CodeKeyRequired, flamingodoor.RunStateNotRun)
		check(t, run(uuid.NewString()), flamingodoor.CodeKeyInvalid, flamingodoor.RunStateNotRun)
		check(t, run(newKey(time.Now().Add(6*time.Minute))), flamingodoor.CodeKeyInvalid, flamingodoor.RunStateNotRun)
		check(t, run(newKey(time.Now().Add(-25*time.Hour))), flamingodoor.CodeKeyExpired, flamingodoor.RunStateMayHaveRun)

		key := newKey(time.Now())
		assert.NilError(t, run(key))
		changed := w.call(key)
		changed.Path = "/other"
		_, err := h.runner.RunOnce(t.Context(), changed)
		check(t, err, flamingodoor.CodeKeyReused, flamingodoor.RunStateNotRun)

		w.set(func() { w.retention = 24 * time.Hour })
		time.Sleep(2 * time.Second)
		check(t, run(newKey(time.Now())), flamingodoor.CodeLogUnavailable, flamingodoor.RunStateNotRun)
		w.set(func() { w.retention, w.outage = 48*time.Hour, true })
		time.Sleep(10 * time.Second)
		check(t, run(newKey(time.Now())), flamingodoor.CodeLogUnavailable, flamingodoor.RunStateNotRun)
		check(t, run(key), flamingodoor.CodeLogUnavailable, flamingodoor.RunStateRan)
	})
}

// Guards against a repeat without the recorded answer, an answer that is too
// large to record, and an append for each of many waiting calls.
func TestRepeatsAndGroupCommit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1, 0)
		h, other := w.start(0), w.start(1)
		key, large := newKey(time.Now()), newKey(time.Now())
		first, err := h.runner.RunOnce(t.Context(), w.call(key))
		assert.NilError(t, err)
		assert.Assert(t, !first.Repeated)
		repeat, err := other.runner.RunOnce(t.Context(), w.call(key))
		assert.NilError(t, err)
		assert.Assert(t, repeat.Repeated && string(repeat.Body) == "ok" && repeat.Status == 201)

		w.body = make([]byte, 65<<10)
		_, err = h.runner.RunOnce(t.Context(), w.call(large))
		assert.NilError(t, err)
		_, err = other.runner.RunOnce(t.Context(), w.call(large))
		check(t, err, flamingodoor.CodeTooLarge, flamingodoor.RunStateRan)

		before := w.appends
		var group sync.WaitGroup
		for range 800 {
			group.Go(func() {
				_, err := h.runner.RunOnce(t.Context(), w.call(newKey(time.Now())))
				assert.Check(t, err)
			})
		}
		group.Wait()
		h.stop(time.Minute)
		other.stop(time.Minute)
		assert.Assert(t, w.appends-before < 800, "%d appends", w.appends-before)
	})
}
