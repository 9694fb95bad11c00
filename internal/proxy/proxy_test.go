package proxy_test

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/balance"
	"flamingodoor.example/flamingodoor/internal/catalogue"
	"flamingodoor.example/flamingodoor/internal/poison"
	"flamingodoor.example/flamingodoor/internal/proxy"
	"flamingodoor.example/flamingodoor/internal/roster"
	"flamingodoor.example/flamingodoor/internal/stall"
	"flamingodoor.example/flamingodoor/internal/upstream"
)

const (
	host  = "api.example"
	key   = "secret"
	model = "m"
)

var headers = proxy.Headers{
	RequestID: "X-Id", DeadlineMS: "X-Deadline", ExpectInstance: "X-Expect", NotRun: "X-Not-Run", Workspace: "X-Workspace",
	Model: "X-Model", Tokens: "X-Tokens", Signature: "X-Signature", Priority: "X-Priority", FaultInstance: "X-Fault",
	LastEventID: "Last-Event-Id", Leaving: "X-Leaving", PromptParts: "X-Parts", RateLimit: "X-Rate-Limit",
}

// endpoint is a stand-in that counts its requests and keeps the last headers.
type endpoint struct {
	server *httptest.Server
	runs   atomic.Int64
	mu     sync.Mutex
	last   http.Header
}

func newEndpoint(tb testing.TB, handler func(writer http.ResponseWriter, request *http.Request)) *endpoint {
	tb.Helper()
	e := &endpoint{}
	e.server = httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		e.runs.Add(1)
		// The server detects a closed connection only after it has read the body.
		_, _ = io.Copy(io.Discard, request.Body)
		e.mu.Lock()
		e.last = request.Header.Clone()
		e.mu.Unlock()
		writer.Header().Set(headers.RequestID, request.Header.Get(headers.RequestID))
		handler(writer, request)
	}))
	tb.Cleanup(e.server.Close)
	return e
}

func (e *endpoint) received(name string) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.last.Get(name)
}

func (e *endpoint) instance(id, service string) flamingodoor.Instance {
	instance := flamingodoor.Instance{
		ID: id, Service: service, DataCentre: "dc-a", FabricDomain: "d", Slots: 2, StartedAt: time.Unix(1_800_000_000, 0),
		Address: netip.MustParseAddrPort(e.server.Listener.Addr().String()),
	}
	if service == "llm" {
		instance.Membership = flamingodoor.Membership{Group: "g-" + id, Epoch: 1, State: flamingodoor.MembershipStateOpen, ModelID: model}
	}
	return instance
}

func signed(body string) func(http.ResponseWriter, *http.Request) {
	return func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set(headers.Signature, "sig")
		_, _ = io.WriteString(writer, body)
	}
}

// setup is a proxy with its configuration, its roster and an HTTP server.
type setup struct {
	t         testing.TB
	paths     *pathState
	answers   atomic.Bool // instances answer the probes of silent connections
	proxy     *proxy.Proxy
	catalogue *catalogue.Cache
	roster    *roster.Roster
	tracker   *balance.Tracker
	monitor   *stall.Monitor
	speeds    *stall.PeerSpeeds
	parts     *partTracker
	demand    *proxy.Demand
	front     *httptest.Server
}

func newSetup(tb testing.TB, options ...proxy.Option) *setup {
	tb.Helper()
	return newHost(tb, "host-1", options...)
}

func newHost(tb testing.TB, id string, options ...proxy.Option) *setup {
	tb.Helper()
	s := newStartingHost(tb, id, options...)
	s.proxy.SetHosts([]string{id}, 0)
	return s
}

// newStartingHost returns a host that does not know yet which other hosts there are.
func newStartingHost(tb testing.TB, id string, options ...proxy.Option) *setup {
	tb.Helper()
	s := &setup{t: tb, paths: &pathState{}, demand: proxy.NewDemand(), roster: roster.New(), tracker: balance.New(), parts: newPartTracker(), catalogue: catalogue.New(func(*flamingodoor.Catalogue) {})}
	s.speeds = stall.NewPeerSpeeds()
	monitor := stall.New(func(context.Context, *roster.Group) stall.Inspection { return stall.Inspection{Slowdown: 1} }, func(roster.GroupKey) {}, func() int { return 1 }, time.Now, stall.WithPeerSpeeds(s.speeds))
	s.monitor = monitor
	s.proxy = proxy.New(proxy.Parts{
		Paths: s.paths, PeerPool: upstream.New(headers.RequestID, upstream.WithFailureDetection()),
		Headers: headers, Limits: proxy.Limits{RevokeWithin: 5 * time.Second, RetryRatio: 0.2, RetryBurst: 100},
		HostID: id, DataCentre: "dc-a", Catalogue: s.catalogue, Roster: s.roster, Tracker: s.tracker, Pool: upstream.New(headers.RequestID, upstream.WithProbe(func(context.Context, upstream.Target) bool { return s.answers.Load() })),
		Monitor: monitor, CrashTracker: poison.New(), PartTracker: s.parts, Demand: s.demand, Logger: log.NewNopLogger(),
	}, append([]proxy.Option{proxy.WithFirstStart(true)}, options...)...)
	s.catalogue.Configure(&flamingodoor.Catalogue{
		Version: 1,
		Routes: []flamingodoor.Route{
			route("/read/", flamingodoor.RouteKindIdempotent, "plain", 2),
			route("/post/", flamingodoor.RouteKindNonIdempotent, "plain", 1),
			route("/post2/", flamingodoor.RouteKindNonIdempotent, "plain", 2),
			route("/stream/", flamingodoor.RouteKindStreaming, "llm", 2),
		},
		Services: map[string]flamingodoor.ServiceSpec{
			"plain": {Name: "plain"},
			"llm": {Name: "llm", Engine: &flamingodoor.EngineSpec{
				Slots: 2, StepsPerPass: 7, StepTime: 6 * time.Millisecond, PrefillTokensPerSecond: 50_000, MeanAnswerTokens: 100,
				Models: []flamingodoor.ModelSpec{{ID: model, InstancesPerGroup: 1, TimeFactor: 1}},
			}},
		},
		Limits:     flamingodoor.CallerLimits{BodyBytes: 1 << 20},
		Workspaces: []flamingodoor.Workspace{{Name: "billing", Keys: []string{key}}},
	})
	s.catalogue.Confirm(time.Now())
	s.front = httptest.NewServer(s.proxy)
	tb.Cleanup(s.front.Close)
	return s
}

func route(prefix string, kind flamingodoor.RouteKind, service string, attempts int) flamingodoor.Route {
	return flamingodoor.Route{
		Name: prefix, Host: host, Prefix: prefix, Kind: kind, Timeout: 2 * time.Second, LatencyObjective: 200 * time.Millisecond,
		MaxAttempts: attempts, Resumable: kind == flamingodoor.RouteKindStreaming,
		Split: []flamingodoor.SplitShare{{Service: service, Weight: 1}},
	}
}

func (s *setup) register(instances ...flamingodoor.Instance) {
	now := time.Now()
	s.roster.Replace(instances, now)
	s.roster.Publish(now)
}

type reply struct {
	status int
	header http.Header
	body   string
	err    error // of reading the body
}

func (s *setup) send(path string, changes ...func(*http.Request)) reply {
	s.t.Helper()
	request, err := http.NewRequestWithContext(s.t.Context(), http.MethodPost, s.front.URL+path, strings.NewReader("body"))
	assert.NilError(s.t, err)
	request.Host = host
	request.Header.Set(headers.RequestID, "r1")
	request.Header.Set(headers.DeadlineMS, "1500")
	request.Header.Set(headers.Model, model)
	request.Header.Set(headers.Tokens, "100,50")
	request.Header.Set("Authorization", "Bearer "+key)
	for _, change := range changes {
		change(request)
	}
	response, err := http.DefaultClient.Do(request)
	assert.NilError(s.t, err)
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, header: response.Header, body: string(body), err: err}
}

// Guards against losing a part of the response or a header of the request, and
// against forwarding the caller's credentials or a workspace that the caller
// set.
func TestAnswerIsPassedOn(t *testing.T) {
	s := newSetup(t)
	e := newEndpoint(t, signed("hello"))
	s.register(e.instance("i-1", "plain"))
	got := s.send("/post/x", func(request *http.Request) {
		request.Header.Set(headers.Workspace, "forged")
		request.Header.Set("X-Other", "kept")
	})
	assert.Equal(t, got.status, http.StatusOK)
	assert.Equal(t, got.body, "hello")
	assert.Equal(t, got.header.Get(headers.Signature), "sig")
	assert.Equal(t, e.received(headers.Workspace), "billing")
	assert.Equal(t, e.received(headers.ExpectInstance), "i-1")
	assert.Equal(t, e.received("Authorization"), "")
	assert.Equal(t, e.received("X-Other"), "kept")
}

// Guards against sending an endpoint a request without a route, with an unknown
// key or with a body that is too large.
func TestRefusalsBeforeAnEndpoint(t *testing.T) {
	s := newSetup(t)
	e := newEndpoint(t, signed("hello"))
	s.register(e.instance("i-1", "plain"))
	assert.Equal(t, s.send("/nowhere/x").status, http.StatusNotFound)
	unknown := s.send("/read/x", func(request *http.Request) { request.Header.Set("Authorization", "Bearer other") })
	assert.Equal(t, unknown.status, http.StatusUnauthorized)
	large := s.send("/post/x", func(request *http.Request) {
		request.Body = io.NopCloser(strings.NewReader(strings.Repeat("x", 2<<20)))
		request.ContentLength = 2 << 20
	})
	assert.Equal(t, large.status, http.StatusRequestEntityTooLarge)
	assert.Equal(t, e.runs.Load(), int64(0))
}

// Guards against a refusal for good, 401 or 404, by a configuration that may lack a change
// which is already due at every host.
func TestUnknownIsNotDeniedByAnOldConfiguration(t *testing.T) {
	for name, test := range map[string]struct {
		age, applyWithin time.Duration
		denied           bool
	}{
		"young":               {0, 2 * time.Second, true},
		"due":                 {2100 * time.Millisecond, 2 * time.Second, false},
		"not yet due":         {2100 * time.Millisecond, 3 * time.Second, true},
		"due, no bound given": {2100 * time.Millisecond, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSetup(t, proxy.WithUptime(func() time.Time { return time.Now().Add(test.age) }))
			s.proxy.SetLimits(proxy.Limits{RevokeWithin: 5 * time.Second, ApplyWithin: test.applyWithin})
			for path, status := range map[string]int{"/nowhere/x": http.StatusNotFound, "/read/x": http.StatusUnauthorized} {
				if !test.denied {
					status = http.StatusServiceUnavailable
				}
				got := s.send(path, func(request *http.Request) { request.Header.Set("Authorization", "Bearer other") })
				assert.Equal(t, got.status, status, path)
				assert.Equal(t, got.header.Get("Retry-After") != "", !test.denied, path)
			}
		})
	}
}

// Guards against serving on an outdated configuration: a host that cannot reach
// the store knows neither revoked nor added keys.
func TestUnconfirmedKeysAreNotServed(t *testing.T) {
	s := newSetup(t, proxy.WithClock(func() time.Time { return time.Now().Add(5 * time.Second) }))
	e := newEndpoint(t, signed("hello"))
	s.register(e.instance("i-1", "plain"))
	for _, value := range []string{"Bearer " + key, "Bearer other"} {
		got := s.send("/post/x", func(request *http.Request) { request.Header.Set("Authorization", value) })
		assert.Equal(t, got.status, http.StatusServiceUnavailable)
	}
	assert.Assert(t, !s.proxy.Ready())
	assert.Equal(t, e.runs.Load(), int64(0))
}

// Guards against a second run of a non-idempotent request: if its response is
// lost it may have run, so it is not retried, and the status must not state that
// it has not run.
func TestNonIdempotentRequestRunsAtMostOnce(t *testing.T) {
	for _, path := range []string{"/post/x", "/post2/x"} {
		s := newSetup(t)
		broken := newEndpoint(t, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
		// A request to this endpoint is counted at the first one as well.
		other := newEndpoint(t, broken.server.Config.Handler.ServeHTTP)
		s.register(broken.instance("i-1", "plain"), other.instance("i-2", "plain"))
		got := s.send(path)
		assert.Equal(t, got.status, http.StatusBadGateway)
		assert.Equal(t, broken.runs.Load()+other.runs.Load()/2, int64(1), path)
	}
}

// Guards against a false statement that the request has not run: a status that
// means this reaches the caller only with the endpoint's proof; without it the
// response becomes 502.
func TestNotRunStatusNeedsProof(t *testing.T) {
	for _, proof := range []bool{true, false} {
		s := newSetup(t)
		e := newEndpoint(t, func(writer http.ResponseWriter, _ *http.Request) {
			if proof {
				writer.Header().Set(headers.NotRun, "1")
			}
			writer.Header().Set(headers.Signature, "sig")
			writer.WriteHeader(http.StatusServiceUnavailable)
		})
		s.register(e.instance("i-1", "plain"))
		got := s.send("/post/x")
		want := http.StatusBadGateway
		if proof {
			want = http.StatusServiceUnavailable
		}
		assert.Equal(t, got.status, want)
		assert.Equal(t, got.header.Get(headers.Signature), "")
	}
}

// A non-idempotent request that the first instance has proved not to have run is
// sent to another instance.
func TestNonIdempotentRequestThatDidNotRunIsRetried(t *testing.T) {
	s := newSetup(t)
	full := newEndpoint(t, func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set(headers.NotRun, "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
	})
	s.register(full.instance("i-1", "plain"))
	e := newEndpoint(t, signed("done"))
	far := e.instance("i-2", "plain")
	far.DataCentre = "dc-b"
	s.register(full.instance("i-1", "plain"), far)
	got := s.send("/post2/x")
	assert.Equal(t, got.status, http.StatusOK)
	assert.Equal(t, full.runs.Load(), int64(1))
	assert.Equal(t, e.runs.Load(), int64(1))
}

// Guards against returning a server error for an idempotent request while
// another instance can serve it.
func TestIdempotentRequestIsRepeatedElsewhere(t *testing.T) {
	s := newSetup(t)
	failing := newEndpoint(t, func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set(headers.Signature, "sig")
		writer.WriteHeader(http.StatusInternalServerError)
	})
	e := newEndpoint(t, signed("done"))
	far := e.instance("i-2", "plain")
	far.DataCentre = "dc-b"
	s.register(failing.instance("i-1", "plain"), far)
	assert.Equal(t, s.send("/read/x").body, "done")
	assert.Equal(t, failing.runs.Load(), int64(1))
}

// Guards against forwarding a success without a signature, which does not come
// from the endpoint.
func TestUnsignedSuccessIsAFailure(t *testing.T) {
	s := newSetup(t)
	e := newEndpoint(t, func(writer http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(writer, "rubbish") })
	s.register(e.instance("i-1", "plain"))
	assert.Equal(t, s.send("/post/x").status, http.StatusBadGateway)
}

// Under overload, requests that cannot be served are refused at once, with
// Retry-After.
func TestRequestsAreRefusedAtOnceAtCapacity(t *testing.T) {
	s := newSetup(t)
	e := newEndpoint(t, signed("done"))
	s.register(e.instance("i-1", "plain"))
	for range 2 {
		_, ok := s.tracker.Pick([]balance.Candidate{{ID: "i-1", Capacity: 2, OwnLimit: 2}}, 0, time.Now())
		assert.Assert(t, ok)
	}
	sentAt := time.Now()
	got := s.send("/post/x")
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Assert(t, got.header.Get("Retry-After") != "")
	assert.Assert(t, time.Since(sentAt) < 150*time.Millisecond, "refused after %s", time.Since(sentAt))
	assert.Equal(t, e.runs.Load(), int64(0))
}

// A request that waits for a slot takes one that becomes free.
func TestWaitingRequestTakesAFreeSlot(t *testing.T) {
	s := newSetup(t)
	e := newEndpoint(t, signed("done"))
	s.register(e.instance("i-1", "plain"))
	for range 2 {
		s.tracker.Pick([]balance.Candidate{{ID: "i-1", Capacity: 2, OwnLimit: 2}}, 0, time.Now())
	}
	// The wait is an eighth of the objective, longer than a busy machine delays the
	// release.
	const longestWait = time.Second
	changed := *s.catalogue.Index().Catalogue
	changed.Version++
	changed.Routes = []flamingodoor.Route{route("/post/", flamingodoor.RouteKindNonIdempotent, "plain", 1)}
	changed.Routes[0].LatencyObjective = 8 * longestWait
	s.catalogue.Configure(&changed)
	time.AfterFunc(10*time.Millisecond, func() { s.tracker.Release("i-1") })
	begun := time.Now()
	assert.Equal(t, s.send("/post/x").status, http.StatusOK)
	assert.Assert(t, time.Since(begun) < longestWait, "%s", time.Since(begun))
	assert.Equal(t, e.runs.Load(), int64(1))
}

// Guards against sending requests to an instance that is leaving or in an
// evacuated data centre.
func TestEvacuatedAndLeavingInstancesGetNothing(t *testing.T) {
	s := newSetup(t)
	e := newEndpoint(t, signed("done"))
	leaving := e.instance("i-1", "plain")
	leaving.Leaving = true
	s.register(leaving)
	assert.Equal(t, s.send("/post/x").status, http.StatusServiceUnavailable)
	s.register(e.instance("i-2", "plain"))
	s.catalogue.Evacuate([]string{"dc-a"})
	assert.Equal(t, s.send("/post/x").status, http.StatusServiceUnavailable)
	assert.Equal(t, e.runs.Load(), int64(0))
}

// The engine receives the priority of the route, not one that the caller sets.
func TestPriorityOfTheRouteIsPassedOn(t *testing.T) {
	s := newSetup(t)
	e := newEndpoint(t, events(1, 0))
	s.register(e.instance("i-1", "llm"))
	s.send("/stream/x", func(request *http.Request) { request.Header.Set(headers.Priority, "7") })
	assert.Equal(t, e.received(headers.Priority), "0")
}

// The request to the endpoint is cancelled when the caller closes its connection.
func TestCallerLeaves(t *testing.T) {
	s := newSetup(t)
	ended := make(chan struct{})
	e := newEndpoint(t, func(writer http.ResponseWriter, request *http.Request) {
		writer.Header().Set(headers.Signature, "sig")
		_, _ = io.WriteString(writer, event(1))
		writer.(http.Flusher).Flush() //nolint:forcetypeassert // the test server flushes
		<-request.Context().Done()
		close(ended)
	})
	s.register(e.instance("i-1", "llm"))
	ctx, cancel := context.WithCancel(t.Context())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, s.front.URL+"/stream/x", strings.NewReader("body"))
	assert.NilError(t, err)
	request.Host = host
	request.Header.Set(headers.RequestID, "r1")
	request.Header.Set(headers.Model, model)
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	_, err = bufio.NewReader(response.Body).ReadString('\n')
	assert.NilError(t, err)
	cancel()
	_ = response.Body.Close()
	select {
	case <-ended:
	case <-time.After(time.Second):
		t.Fatal("the endpoint still runs the request after the caller closed its connection")
	}
}

// A request ends at its deadline, even if the endpoint does not respond.
func TestRouteTimeout(t *testing.T) {
	s := newSetup(t)
	e := newEndpoint(t, func(_ http.ResponseWriter, request *http.Request) { <-request.Context().Done() })
	s.register(e.instance("i-1", "plain"))
	sentAt := time.Now()
	got := s.send("/post/x", func(request *http.Request) { request.Header.Set(headers.DeadlineMS, "300") })
	assert.Equal(t, got.status, http.StatusGatewayTimeout)
	assert.Assert(t, time.Since(sentAt) < 500*time.Millisecond)
}
