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

// newKey returns an idempotency key, a UUID of version 7, with the given time.
func newKey(at time.Time) string {
	id := uuid.New()
	var ms [8]byte
	binary.BigEndian.PutUint64(ms[:], uint64(at.UnixMilli())<<16)
	copy(id[:6], ms[:6])
	id[6] = 0x70 | id[6]&0x0f
	return id.String()
}

// cluster simulates a log, a service and entry hosts, with faults at a given
// rate.
type cluster struct {
	mu          sync.Mutex
	random      *rand.Rand
	faultRate   int  // per cent, for each kind of fault
	outage      bool // the log is down
	retention   time.Duration
	streams     map[string][][]byte
	appends     int
	dispatches  map[string]int  // by key
	requests    map[string]bool // identifiers of the dispatched requests
	body        []byte
	serviceTime time.Duration
	hosts       []*host
}

func newCluster(seed uint64, faultRate int) *cluster {
	return &cluster{
		random: rand.New(rand.NewPCG(seed, 0)), faultRate: faultRate, retention: 48 * time.Hour,
		streams: make(map[string][][]byte), dispatches: make(map[string]int), requests: make(map[string]bool),
		body: []byte("ok"), serviceTime: 50 * time.Millisecond,
	}
}

func (c *cluster) drawFault() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.random.IntN(100) < c.faultRate
}

func (c *cluster) randomDuration(limit time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Duration(c.random.Int64N(int64(limit)))
}

func (c *cluster) update(change func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change()
}

// host is one process of an entry host. Once it has crashed, its appends, reads
// and dispatches fail and its answers are lost.
type host struct {
	*cluster
	id      string
	crashed atomic.Bool
	runner  *intent.Runner
	calls   sync.WaitGroup
}

func (c *cluster) start(id int) *host {
	h := &host{cluster: c, id: fmt.Sprint(id)}
	h.runner = intent.NewRunner(intent.Parts{HostID: h.id, Log: h, Dispatcher: h})
	return h
}

// beginCall counts a call in progress. It returns false if the host was replaced,
// because stop may then already be waiting for its calls.
func (h *host) beginCall() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	current := slices.Contains(h.hosts, h)
	if current {
		h.calls.Add(1)
	}
	return current
}

// stop waits for the calls in progress and closes the runner, which may flush its
// outcomes until the timeout.
func (h *host) stop(flushTimeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	h.calls.Wait()
	h.runner.Close(ctx)
}

func (h *host) Append(_ context.Context, stream string, data []byte) (uint64, error) {
	time.Sleep(h.randomDuration(20 * time.Millisecond))
	if h.drawFault() {
		time.Sleep(h.randomDuration(6 * time.Second))
	}
	h.mu.Lock()
	failed := h.crashed.Load() || h.outage
	h.mu.Unlock()
	if failed || h.drawFault() {
		return 0, io.ErrClosedPipe
	}
	if h.drawFault() {
		time.AfterFunc(h.randomDuration(8*time.Second), func() { h.appendRecord(stream, data) })
		return 0, io.ErrUnexpectedEOF
	}
	offset := h.appendRecord(stream, data)
	if h.drawFault() {
		return 0, io.ErrUnexpectedEOF
	}
	return offset, nil
}

func (c *cluster) appendRecord(stream string, data []byte) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.appends++
	c.streams[stream] = append(c.streams[stream], data)
	return uint64(len(c.streams[stream]))
}

func (h *host) Read(ctx context.Context, stream string, from uint64, limit int, until time.Time) (flamingodoor.LogPage, error) {
	for {
		time.Sleep(5 * time.Millisecond)
		h.mu.Lock()
		records, outage := h.streams[stream], h.outage
		page := flamingodoor.LogPage{First: 1, Next: uint64(len(records)) + 1, Retention: h.retention}
		h.mu.Unlock()
		if outage || h.crashed.Load() || ctx.Err() != nil {
			return flamingodoor.LogPage{}, io.ErrClosedPipe
		}
		for o := from; o < page.Next && len(page.Entries) < limit; o++ {
			page.Entries = append(page.Entries, flamingodoor.LogEntry{Offset: o, Data: records[o-1]})
		}
		if len(page.Entries) > 0 || !time.Now().Before(until) {
			if h.drawFault() {
				time.Sleep(h.randomDuration(2 * time.Second))
			}
			return page, nil
		}
	}
}

func (h *host) DispatchOnce(_ context.Context, call flamingodoor.ServiceCall) (flamingodoor.ServiceAnswer, error) {
	if h.crashed.Load() || h.drawFault() {
		return flamingodoor.ServiceAnswer{}, flamingodoor.Errorf(flamingodoor.CodeNoEndpoint, "no endpoint")
	}
	h.update(func() {
		h.dispatches[call.IdempotencyKey]++
		h.requests[call.RequestID] = true
	})
	time.Sleep(h.serviceTime + h.randomDuration(time.Second))
	if h.drawFault() {
		return flamingodoor.ServiceAnswer{}, io.ErrUnexpectedEOF
	}
	return flamingodoor.ServiceAnswer{Status: 201, Body: h.body}, nil
}

// peerClient calls the runner of the target directly and loses some answers.
type peerClient struct {
	peerv1connect.PeerServiceClient
	target *host
}

func (h *host) Peer(target flamingodoor.EntryHost) peerv1connect.PeerServiceClient {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, other := range h.hosts {
		if other.id == target.ID {
			return &peerClient{target: other}
		}
	}
	return &peerClient{target: &host{cluster: h.cluster}} // the target has stopped
}

func (p *peerClient) RunOnce(ctx context.Context, request *connect.Request[peerv1.RunOnceRequest]) (*connect.Response[peerv1.RunOnceResponse], error) {
	answers := make(chan *peerv1.RunOnceResponse, 1)
	if !p.target.beginCall() {
		return nil, connect.NewError(connect.CodeUnavailable, io.ErrClosedPipe)
	}
	go func() {
		defer p.target.calls.Done()
		answers <- intent.ServeRunOnce(ctx, p.target.runner, request.Msg)
	}()
	select {
	case answer := <-answers:
		if !p.target.crashed.Load() && !p.target.drawFault() {
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
		Reachable: func(string) bool { return !h.drawFault() },
	})
}

func (c *cluster) call(key string) flamingodoor.ServiceCall {
	return flamingodoor.ServiceCall{
		RequestID: uuid.NewString(), ClubID: "c", Service: "ledger", IdempotencyKey: key, Method: "POST",
		Path: "/post", Deadline: time.Now().Add(time.Second + c.randomDuration(15*time.Second)),
	}
}

// simulate makes concurrent calls with a few keys on hosts that restart. It
// returns a violation of the guarantees, if any, and the number of calls that
// were answered.
func simulate(t *testing.T, seed uint64, faultRate int) (violation string, answered int) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(seed, faultRate)
		for i := range 3 {
			c.hosts = append(c.hosts, c.start(i))
		}
		var group sync.WaitGroup
		for range 6 {
			key := newKey(time.Now())
			for range 5 {
				group.Go(func() {
					time.Sleep(c.randomDuration(30 * time.Second))
					call := c.call(key)
					var h *host
					c.update(func() {
						h = c.hosts[c.random.IntN(len(c.hosts))]
						h.calls.Add(1)
					})
					defer h.calls.Done()
					_, err := h.forwarder().RunOnce(t.Context(), call)
					if h.crashed.Load() {
						return // the caller receives no answer
					}
					c.update(func() {
						if err == nil {
							answered++
						}
						if err != nil && flamingodoor.RunStateOf(err) == flamingodoor.RunStateNotRun && c.requests[call.RequestID] {
							violation = "a dispatched call was reported as not run: " + err.Error()
						}
						if err == nil && c.dispatches[key] == 0 {
							violation = "a call was answered without a dispatch"
						}
					})
				})
			}
		}
		for i := range 3 {
			group.Go(func() {
				time.Sleep(c.randomDuration(30 * time.Second))
				var old *host
				c.update(func() { old, c.hosts[i] = c.hosts[i], c.start(i) })
				old.crashed.Store(true)
				old.stop(time.Millisecond)
			})
		}
		group.Go(func() {
			time.Sleep(c.randomDuration(30 * time.Second))
			c.update(func() { c.outage = true })
			time.Sleep(c.randomDuration(5 * time.Second))
			c.update(func() { c.outage = false })
		})
		group.Wait()
		var remaining []*host
		c.update(func() { remaining, c.hosts = c.hosts, nil })
		for _, h := range remaining {
			h.stop(time.Minute)
		}
		time.Sleep(time.Minute) // all late appends have taken effect
		for key, count := range c.dispatches {
			if count > 1 {
				violation = fmt.Sprintf("key %s was dispatched %d times", key, count)
			}
		}
	})
	return violation, answered
}

// Guards against a call that is dispatched twice, or reported as not run although
// it was dispatched, while answers are lost, appends take effect late, hosts
// restart and the log has an outage.
func TestCallsRunAtMostOnce(t *testing.T) {
	total := 0
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		faultRate := rapid.SampledFrom([]int{0, 5, 15}).Draw(rt, "fault rate")
		violation, answered := simulate(t, seed, faultRate)
		if violation != "" {
			rt.Fatal(violation)
		}
		total += answered
	})
	assert.Assert(t, total > 500, "only %d calls were answered", total)
	t.Logf("%d calls answered", total)
}

// checkError checks the code and the run state of an error.
func checkError(t *testing.T, err error, code flamingodoor.Code, state flamingodoor.RunState) {
	t.Helper()
	assert.Equal(t, flamingodoor.CodeOf(err), code, "%v", err)
	assert.Equal(t, flamingodoor.RunStateOf(err), state)
}

// Guards against calls that are refused with the wrong code or run state.
func TestRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(1, 0)
		h := c.start(0)
		defer func() { h.stop(time.Second) }()
		run := func(key string) error {
			_, err := h.runner.RunOnce(t.Context(), c.call(key))
			return err
		}
		checkError(t, run(""), flamingodoor.CodeKeyRequired, flamingodoor.RunStateNotRun)
		checkError(t, run(uuid.NewString()), flamingodoor.CodeKeyInvalid, flamingodoor.RunStateNotRun)
		checkError(t, run(newKey(time.Now().Add(6*time.Minute))), flamingodoor.CodeKeyInvalid, flamingodoor.RunStateNotRun)
		checkError(t, run(newKey(time.Now().Add(-25*time.Hour))), flamingodoor.CodeKeyExpired, flamingodoor.RunStateMayHaveRun)

		key := newKey(time.Now())
		assert.NilError(t, run(key))
		changed := c.call(key)
		changed.Path = "/other"
		_, err := h.runner.RunOnce(t.Context(), changed)
		checkError(t, err, flamingodoor.CodeKeyReused, flamingodoor.RunStateNotRun)

		c.update(func() { c.retention = 24 * time.Hour })
		time.Sleep(2 * time.Second)
		checkError(t, run(newKey(time.Now())), flamingodoor.CodeLogUnavailable, flamingodoor.RunStateNotRun)
		c.update(func() { c.retention, c.outage = 48*time.Hour, true })
		time.Sleep(10 * time.Second)
		checkError(t, run(newKey(time.Now())), flamingodoor.CodeLogUnavailable, flamingodoor.RunStateNotRun)
		checkError(t, run(key), flamingodoor.CodeLogUnavailable, flamingodoor.RunStateRan)
	})
}

// Guards against a repeated call that does not get the recorded answer, against a
// wrong result when the answer was too large to record, and against a separate
// append for each of many concurrent calls.
func TestRepeatsAndGroupCommit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(1, 0)
		h, other := c.start(0), c.start(1)
		key, large := newKey(time.Now()), newKey(time.Now())
		first, err := h.runner.RunOnce(t.Context(), c.call(key))
		assert.NilError(t, err)
		assert.Assert(t, !first.Repeated)
		repeat, err := other.runner.RunOnce(t.Context(), c.call(key))
		assert.NilError(t, err)
		assert.Assert(t, repeat.Repeated && string(repeat.Body) == "ok" && repeat.Status == 201)

		c.body = make([]byte, 65<<10)
		_, err = h.runner.RunOnce(t.Context(), c.call(large))
		assert.NilError(t, err)
		_, err = other.runner.RunOnce(t.Context(), c.call(large))
		checkError(t, err, flamingodoor.CodeTooLarge, flamingodoor.RunStateRan)

		before := c.appends
		var group sync.WaitGroup
		for range 800 {
			group.Go(func() {
				_, err := h.runner.RunOnce(t.Context(), c.call(newKey(time.Now())))
				assert.Check(t, err)
			})
		}
		group.Wait()
		h.stop(time.Minute)
		other.stop(time.Minute)
		assert.Assert(t, c.appends-before < 800, "%d appends", c.appends-before)
	})
}
