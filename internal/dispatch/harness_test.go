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

// cluster fakes the dependencies of a dispatcher. Its endpoints are stand-ins
// on loopback listeners, and each one leads a group of its own.
type cluster struct {
	flamingodoor.Configuration // nil: methods that cluster does not override are not called
	mu                         sync.Mutex
	stale                      bool
	restrictedDataCentre       string
	notServingGroup            string
	outDataCentre              string
	endpoints                  []flamingodoor.Endpoint
	groups                     []flamingodoor.Group
	servers                    map[string]*standinendpoint.Server
	listeners                  map[string]*httptest.Server
	reports                    map[string]flamingodoor.Report
	invalidated                []string       // IDs of endpoints whose evidence was discarded
	strikes                    []string       // incarnations whose crash the dispatcher has reported
	reportedCrashes            []string       // incarnations whose crash peers have reported
	ledger                     *poison.Ledger // if set, decides on suspects instead of the count of strikes
	slots                      int            // permits that can still be acquired
	permitLost                 chan struct{}  // returned by Lost
	released                   int            // permits
	abandoned                  int            // permits
	dispatcher                 *dispatch.Dispatcher
}

// progressDeadline is longer than the pauses of a busy machine, which the
// client would otherwise take for a stalled endpoint.
const progressDeadline = time.Second

func newCluster(tb testing.TB, options ...dispatch.Option) *cluster {
	tb.Helper()
	c := &cluster{
		servers: map[string]*standinendpoint.Server{}, listeners: map[string]*httptest.Server{},
		reports: map[string]flamingodoor.Report{}, permitLost: make(chan struct{}),
	}
	c.dispatcher = dispatch.New(c.parts(), append([]dispatch.Option{dispatch.WithEndpointWait(0, 0)}, options...)...)
	return c
}

func (c *cluster) parts() dispatch.Parts {
	return dispatch.Parts{
		Configuration: c, Freshness: c, Health: health{c}, HealthRecorder: c, Permits: c, CrashTracker: c,
		Engine: engine.NewClient(engine.WithChunkGapTimeout(progressDeadline)), Service: engine.NewServiceClient(),
		HostID: "h1", DataCentre: "dc1",
	}
}

// uncancelledEngine is an engine client whose requests do not end when the caller's
// deadline passes, so that each attempt ends with the engine's response.
type uncancelledEngine struct{ flamingodoor.EngineClient }

func (e uncancelledEngine) Generate(ctx context.Context, endpoint flamingodoor.Endpoint, request flamingodoor.GenerateRequest) (flamingodoor.ChunkStream, error) {
	return e.EngineClient.Generate(context.WithoutCancel(ctx), endpoint, request)
}

// add starts an engine in the data centre "dc-" + id.
func (c *cluster) add(tb testing.TB, id string, options ...standinendpoint.Option) {
	tb.Helper()
	c.startEndpoint(tb, id, false, options...)
}

// addService starts a plain service that answers after a delay.
func (c *cluster) addService(tb testing.TB, id string, delay time.Duration) {
	tb.Helper()
	c.startEndpoint(tb, id, true, standinendpoint.WithService(delay))
}

func (c *cluster) startEndpoint(tb testing.TB, id string, service bool, options ...standinendpoint.Option) {
	tb.Helper()
	server := standinendpoint.New(append(options, standinendpoint.WithIncarnation("i-"+id))...)
	listener := httptest.NewServer(server.Handler())
	tb.Cleanup(func() {
		assert.Check(tb, c.dispatcher.Drain(context.Background()))
		listener.Close()
	})
	endpoint := flamingodoor.Endpoint{
		ID: id, DataCentre: "dc-" + id, Service: "ledger", WarmCapacity: 8, ColdAllowance: 1,
		Address: netip.MustParseAddrPort(listener.Listener.Addr().String()),
	}
	fencing := uint64(len(c.groups) + 1)
	group := flamingodoor.Group{ID: "g-" + id, ModelID: "m", Version: "v", EndpointIDs: []string{id}, FencingNumber: fencing}
	client := engine.NewClient()
	if !service {
		assert.NilError(tb, client.Order(tb.Context(), endpoint, flamingodoor.Order{
			FencingNumber: fencing, GroupID: group.ID, Deadline: time.Now().Add(time.Second),
		}))
	}
	report, err := client.Report(tb.Context(), endpoint)
	assert.NilError(tb, err)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endpoints, c.groups = append(c.endpoints, endpoint), append(c.groups, group)
	c.servers[id], c.listeners[id], c.reports[id] = server, listener, report
}

// stop returns a function that makes the endpoint refuse connections, as after
// a crash.
func (c *cluster) stop(id string) func() {
	return func() {
		c.mu.Lock()
		listener := c.listeners[id]
		c.mu.Unlock()
		_ = listener.Listener.Close()
		listener.CloseClientConnections()
	}
}

// received returns the number of requests that arrived at any endpoint.
func (c *cluster) received() (count int) {
	for _, server := range c.servers {
		count += server.Statistics().Received
	}
	return count
}

// awaitReceived waits until the number of requests has arrived at an endpoint, but
// at most 20 seconds.
func (c *cluster) awaitReceived(id string, count int) {
	c.mu.Lock()
	server := c.servers[id]
	c.mu.Unlock()
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if server.Statistics().Received >= count {
			return
		}
	}
}

func (c *cluster) generate(t *testing.T, prompt string, timeout time.Duration) (string, dispatch.Result, error) {
	t.Helper()
	text := ""
	result, err := c.dispatcher.Generate(t.Context(), dispatch.Request{
		RequestID: "r-" + prompt, ModelID: "m", Version: "v", Prompt: prompt, Deadline: time.Now().Add(timeout),
		Fingerprint: sha256.Sum256([]byte(prompt)),
	}, func(token string) error {
		text += token
		return nil
	})
	return text, result, err
}

func (c *cluster) Current() flamingodoor.Configuration { return c }

func (c *cluster) GroupsOfModel(string) []flamingodoor.Group { return c.groups }

func (c *cluster) ServiceEndpoints(string) []flamingodoor.Endpoint { return c.endpoints }

func (c *cluster) Endpoint(id string) (flamingodoor.Endpoint, bool) {
	i := slices.IndexFunc(c.endpoints, func(e flamingodoor.Endpoint) bool { return e.ID == id })
	return c.endpoints[i], true
}

func (c *cluster) DataCentre(id string) (flamingodoor.DataCentre, bool) {
	return flamingodoor.DataCentre{ID: id, OutOfService: id == c.outDataCentre}, true
}

func (c *cluster) Fresh(time.Time) bool { return !c.stale }

func (c *cluster) Restricted(dataCentre string) bool { return dataCentre == c.restrictedDataCentre }

// health adapts cluster to HealthView, whose method Endpoint has the same name
// as one of Configuration.
type health struct{ *cluster }

func (h health) Endpoint(id string, now time.Time) (flamingodoor.EndpointHealth, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	report, ok := h.reports[id]
	return flamingodoor.EndpointHealth{Report: report, ProbedAt: now, Deadline: now.Add(time.Second), Watchers: 3}, ok
}

func (c *cluster) GroupServing(group flamingodoor.Group, _ time.Time) (bool, string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, ok := c.reports[group.EndpointIDs[0]]
	return ok && group.ID != c.notServingGroup, ""
}

func (c *cluster) Record(flamingodoor.Evidence) {}

func (c *cluster) Invalidate(id string, _ time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.reports, id)
	c.invalidated = append(c.invalidated, id)
}

func (c *cluster) Acquire(context.Context, flamingodoor.Endpoint, string) (flamingodoor.Permit, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.slots == 0 {
		return nil, flamingodoor.Errorf(flamingodoor.CodePermitDenied, "no slot")
	}
	c.slots--
	return c, nil
}

func (c *cluster) Lost() <-chan struct{} { return c.permitLost }

func (c *cluster) Deadline() time.Time { return time.Now().Add(time.Second) }

func (c *cluster) Release(context.Context) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.slots++
	c.released++
}

func (c *cluster) Abandon() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.abandoned++
}

func (c *cluster) Blocked(fingerprint flamingodoor.Fingerprint, now time.Time) bool {
	if c.ledger != nil {
		return c.ledger.Blocked(fingerprint, now)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.strikes) >= 2
}

func (c *cluster) MustRunAlone(fingerprint flamingodoor.Fingerprint, now time.Time) (flamingodoor.Suspicion, bool) {
	if c.ledger == nil {
		return flamingodoor.Suspicion{}, false
	}
	return c.ledger.MustRunAlone(fingerprint, now)
}

func (c *cluster) CrashedBefore(incarnation string, at time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Contains(c.reportedCrashes, incarnation) || c.ledger != nil && c.ledger.CrashedBefore(incarnation, at)
}

func (c *cluster) ReportCrash(ctx context.Context, fingerprint flamingodoor.Fingerprint, incarnation string) {
	c.mu.Lock()
	c.strikes = append(c.strikes, incarnation)
	c.mu.Unlock()
	if c.ledger != nil {
		c.ledger.ReportCrash(ctx, fingerprint, incarnation)
	}
}
