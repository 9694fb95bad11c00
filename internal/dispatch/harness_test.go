package dispatch_test

import (
	"context"
	"crypto/sha256"
	"net/http/httptest"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/dispatch"
	"flamingodoor.example/flamingodoor/internal/engine"
	"flamingodoor.example/flamingodoor/internal/poison"
	standinendpoint "flamingodoor.example/flamingodoor/internal/standin/endpoint"
)

// world is a deployment in memory: each endpoint leads a group of its own.
type world struct {
	flamingodoor.Configuration // other queries are not used
	mu                         sync.Mutex
	stale                      bool
	restricted                 string
	notServing                 string // group
	out                        string // data centre
	endpoints                  []flamingodoor.Endpoint
	groups                     []flamingodoor.Group
	servers                    map[string]*standinendpoint.Server
	listeners                  map[string]*httptest.Server
	reports                    map[string]flamingodoor.Report
	suspects                   []string
	strikes                    []string
	crashed                    []string       // incarnations that peers reported
	ledger                     *poison.Ledger // decides instead of strikes if set
	slots                      int
	lost                       chan struct{}
	released                   int
	abandoned                  int
	dispatcher                 *dispatch.Dispatcher
}

// progressDeadline is above the pauses of a busy machine, which would pass for
// a stalled endpoint.
const progressDeadline = time.Second

func newWorld(tb testing.TB, options ...dispatch.Option) *world {
	tb.Helper()
	w := &world{
		servers: map[string]*standinendpoint.Server{}, listeners: map[string]*httptest.Server{},
		reports: map[string]flamingodoor.Report{}, lost: make(chan struct{}),
	}
	w.dispatcher = dispatch.New(dispatch.Parts{
		Configuration: w, Freshness: w, Health: health{w}, HealthRecorder: w, Permits: w, Strikes: w,
		Engine: engine.NewClient(engine.WithChunkGapTimeout(progressDeadline)), Service: engine.NewServiceClient(),
		HostID: "h1", DataCentre: "dc1",
	}, append([]dispatch.Option{dispatch.WithEndpointWait(0, 0)}, options...)...)
	return w
}

// add starts an engine. Its data centre is the identifier with "dc-".
func (w *world) add(tb testing.TB, id string, options ...standinendpoint.Option) {
	tb.Helper()
	w.start(tb, id, false, options...)
}

// addService starts a plain service with a delay.
func (w *world) addService(tb testing.TB, id string, delay time.Duration) {
	tb.Helper()
	w.start(tb, id, true, standinendpoint.WithService(delay))
}

func (w *world) start(tb testing.TB, id string, service bool, options ...standinendpoint.Option) {
	tb.Helper()
	server := standinendpoint.New(append(options, standinendpoint.WithIncarnation("i-"+id))...)
	listener := httptest.NewServer(server.Handler())
	tb.Cleanup(func() {
		assert.Check(tb, w.dispatcher.Drain(context.Background()))
		listener.Close()
	})
	endpoint := flamingodoor.Endpoint{
		ID: id, DataCentre: "dc-" + id, Service: "ledger", WarmCapacity: 8, ColdAllowance: 1,
		Address: netip.MustParseAddrPort(listener.Listener.Addr().String()),
	}
	fencing := uint64(len(w.groups) + 1)
	group := flamingodoor.Group{ID: "g-" + id, ModelID: "m", Version: "v", EndpointIDs: []string{id}, FencingNumber: fencing}
	client := engine.NewClient()
	if !service {
		assert.NilError(tb, client.Order(tb.Context(), endpoint, flamingodoor.Order{
			FencingNumber: fencing, GroupID: group.ID, Deadline: time.Now().Add(time.Second),
		}))
	}
	report, err := client.Report(tb.Context(), endpoint)
	assert.NilError(tb, err)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endpoints, w.groups = append(w.endpoints, endpoint), append(w.groups, group)
	w.servers[id], w.listeners[id], w.reports[id] = server, listener, report
}

// stop makes the endpoint refuse connections, as after a crash.
func (w *world) stop(id string) func() {
	return func() {
		w.mu.Lock()
		listener := w.listeners[id]
		w.mu.Unlock()
		_ = listener.Listener.Close()
		listener.CloseClientConnections()
	}
}

func (w *world) received() (count int) {
	for _, server := range w.servers {
		count += server.Statistics().Received
	}
	return count
}

func (w *world) generate(t *testing.T, prompt string, timeout time.Duration) (string, dispatch.Result, error) {
	t.Helper()
	text := ""
	result, err := w.dispatcher.Generate(t.Context(), dispatch.Request{
		RequestID: "r-" + prompt, ModelID: "m", Version: "v", Prompt: prompt, Deadline: time.Now().Add(timeout),
		Fingerprint: sha256.Sum256([]byte(prompt)),
	}, func(token string) error {
		text += token
		return nil
	})
	return text, result, err
}

func (w *world) Current() flamingodoor.Configuration { return w }

func (w *world) GroupsOfModel(string) []flamingodoor.Group { return w.groups }

func (w *world) ServiceEndpoints(string) []flamingodoor.Endpoint { return w.endpoints }

func (w *world) Endpoint(id string) (flamingodoor.Endpoint, bool) {
	i := slices.IndexFunc(w.endpoints, func(e flamingodoor.Endpoint) bool { return e.ID == id })
	return w.endpoints[i], true
}

func (w *world) DataCentre(id string) (flamingodoor.DataCentre, bool) {
	return flamingodoor.DataCentre{ID: id, OutOfService: id == w.out}, true
}

func (w *world) Fresh(time.Time) bool { return !w.stale }

func (w *world) Restricted(dataCentre string) bool { return dataCentre == w.restricted }

// health implements the part of HealthView whose name clashes with the
// configuration's.
type health struct{ *world }

func (h health) Endpoint(id string, now time.Time) (flamingodoor.EndpointHealth, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	report, ok := h.reports[id]
	return flamingodoor.EndpointHealth{Report: report, ProbedAt: now, Deadline: now.Add(time.Second), Watchers: 3}, ok
}

func (w *world) GroupServing(group flamingodoor.Group, _ time.Time) (bool, string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, ok := w.reports[group.EndpointIDs[0]]
	return ok && group.ID != w.notServing, ""
}

func (w *world) Record(flamingodoor.Evidence) {}

func (w *world) Suspect(id string, _ time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.reports, id)
	w.suspects = append(w.suspects, id)
}

func (w *world) Acquire(context.Context, flamingodoor.Endpoint, string) (flamingodoor.Permit, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.slots == 0 {
		return nil, flamingodoor.Errorf(flamingodoor.CodePermitDenied, "no slot")
	}
	w.slots--
	return w, nil
}

func (w *world) Lost() <-chan struct{} { return w.lost }

func (w *world) Deadline() time.Time { return time.Now().Add(time.Second) }

func (w *world) Release(context.Context) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.slots++
	w.released++
}

func (w *world) Abandon() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.abandoned++
}

func (w *world) Blocked(fingerprint flamingodoor.Fingerprint, now time.Time) bool {
	if w.ledger != nil {
		return w.ledger.Blocked(fingerprint, now)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.strikes) >= 2
}

func (w *world) MustRunAlone(fingerprint flamingodoor.Fingerprint, now time.Time) (flamingodoor.Suspicion, bool) {
	if w.ledger == nil {
		return flamingodoor.Suspicion{}, false
	}
	return w.ledger.MustRunAlone(fingerprint, now)
}

func (w *world) CrashedBefore(incarnation string, at time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Contains(w.crashed, incarnation) || w.ledger != nil && w.ledger.CrashedBefore(incarnation, at)
}

func (w *world) ReportCrash(ctx context.Context, fingerprint flamingodoor.Fingerprint, incarnation string) {
	w.mu.Lock()
	w.strikes = append(w.strikes, incarnation)
	w.mu.Unlock()
	if w.ledger != nil {
		w.ledger.ReportCrash(ctx, fingerprint, incarnation)
	}
}
