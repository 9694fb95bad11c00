package relay_test

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
	"flamingodoor.example/flamingodoor/internal/relay"
	"flamingodoor.example/flamingodoor/internal/roster"
	"flamingodoor.example/flamingodoor/internal/stall"
	"flamingodoor.example/flamingodoor/internal/upstream"
)

const (
	host  = "api.example"
	key   = "secret"
	model = "m"
)

var headers = relay.Headers{
	RequestID: "X-Id", DeadlineMS: "X-Deadline", ExpectInstance: "X-Expect", NotRun: "X-Not-Run", Workspace: "X-Workspace",
	Model: "X-Model", Tokens: "X-Tokens", Signature: "X-Signature", Priority: "X-Priority", FaultInstance: "X-Fault",
	LastEventID: "Last-Event-Id",
}

// endpoint is a stand-in that records what it runs.
type endpoint struct {
	server *httptest.Server
	runs   atomic.Int64
	mu     sync.Mutex
	last   http.Header
}

func newEndpoint(t *testing.T, handler func(writer http.ResponseWriter, request *http.Request)) *endpoint {
	t.Helper()
	e := &endpoint{}
	e.server = httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		e.runs.Add(1)
		// The server notices a caller that leaves once the body is read.
		_, _ = io.Copy(io.Discard, request.Body)
		e.mu.Lock()
		e.last = request.Header.Clone()
		e.mu.Unlock()
		writer.Header().Set(headers.RequestID, request.Header.Get(headers.RequestID))
		handler(writer, request)
	}))
	t.Cleanup(e.server.Close)
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

// scene is a relay with its configuration and roster.
type scene struct {
	t       *testing.T
	relay   *relay.Relay
	book    *catalogue.Book
	roster  *roster.Roster
	tracker *balance.Tracker
	monitor *stall.Monitor
	front   *httptest.Server
}

func newScene(t *testing.T, options ...relay.Option) *scene {
	t.Helper()
	s := &scene{t: t, roster: roster.New(), tracker: balance.New(), book: catalogue.New(func(*flamingodoor.Catalogue) {})}
	monitor := stall.New(func(context.Context, *roster.Group) stall.Verdict { return stall.Verdict{Pace: 1} }, func(roster.GroupKey) {}, func() int { return 1 }, time.Now)
	s.monitor = monitor
	s.relay = relay.New(relay.Parts{
		Headers: headers, Limits: relay.Limits{RevokeWithin: 5 * time.Second, RetryRatio: 0.2, RetryBurst: 100},
		HostID: "host-1", DataCentre: "dc-a", Book: s.book, Roster: s.roster, Tracker: s.tracker, Pool: upstream.New(headers.RequestID),
		Monitor: monitor, Strikes: poison.New(), Demand: relay.NewDemand(), Logger: log.NewNopLogger(),
	}, options...)
	s.book.Configure(&flamingodoor.Catalogue{
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
	s.book.Confirm(time.Now())
	s.front = httptest.NewServer(s.relay)
	t.Cleanup(s.front.Close)
	return s
}

func route(prefix string, kind flamingodoor.RouteKind, service string, attempts int) flamingodoor.Route {
	return flamingodoor.Route{
		Name: prefix, Host: host, Prefix: prefix, Kind: kind, Timeout: 2 * time.Second, LatencyObjective: 200 * time.Millisecond,
		MaxAttempts: attempts, Resumable: kind == flamingodoor.RouteKindStreaming,
		Split: []flamingodoor.SplitShare{{Service: service, Weight: 1}},
	}
}

func (s *scene) list(instances ...flamingodoor.Instance) {
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

func (s *scene) ask(path string, change ...func(*http.Request)) reply {
	s.t.Helper()
	request, err := http.NewRequestWithContext(s.t.Context(), http.MethodPost, s.front.URL+path, strings.NewReader("body"))
	assert.NilError(s.t, err)
	request.Host = host
	request.Header.Set(headers.RequestID, "r1")
	request.Header.Set(headers.DeadlineMS, "1500")
	request.Header.Set(headers.Model, model)
	request.Header.Set(headers.Tokens, "100,50")
	request.Header.Set("Authorization", "Bearer "+key)
	for _, each := range change {
		each(request)
	}
	response, err := http.DefaultClient.Do(request)
	assert.NilError(s.t, err)
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, header: response.Header, body: string(body), err: err}
}

func TestAnswerIsPassedOn(t *testing.T) {
	s := newScene(t)
	e := newEndpoint(t, signed("hello"))
	s.list(e.instance("i-1", "plain"))
	got := s.ask("/post/x", func(request *http.Request) {
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

func TestRefusalsBeforeAnEndpoint(t *testing.T) {
	s := newScene(t)
	e := newEndpoint(t, signed("hello"))
	s.list(e.instance("i-1", "plain"))
	assert.Equal(t, s.ask("/nowhere/x").status, http.StatusNotFound)
	unknown := s.ask("/read/x", func(request *http.Request) { request.Header.Set("Authorization", "Bearer other") })
	assert.Equal(t, unknown.status, http.StatusUnauthorized)
	large := s.ask("/post/x", func(request *http.Request) {
		request.Body = io.NopCloser(strings.NewReader(strings.Repeat("x", 2<<20)))
		request.ContentLength = 2 << 20
	})
	assert.Equal(t, large.status, http.StatusRequestEntityTooLarge)
	assert.Equal(t, e.runs.Load(), int64(0))
}

// A host that is cut off from the store does not know which keys were taken
// away, nor which were added.
func TestUnconfirmedKeysAreNotServed(t *testing.T) {
	s := newScene(t, relay.WithClock(func() time.Time { return time.Now().Add(5 * time.Second) }))
	e := newEndpoint(t, signed("hello"))
	s.list(e.instance("i-1", "plain"))
	for _, value := range []string{"Bearer " + key, "Bearer other"} {
		got := s.ask("/post/x", func(request *http.Request) { request.Header.Set("Authorization", value) })
		assert.Equal(t, got.status, http.StatusServiceUnavailable)
	}
	assert.Assert(t, !s.relay.Ready())
	assert.Equal(t, e.runs.Load(), int64(0))
}

// A posting whose answer is lost may have run: it is not repeated, and the
// caller is not told otherwise.
func TestPostingRunsAtMostOnce(t *testing.T) {
	for _, path := range []string{"/post/x", "/post2/x"} {
		s := newScene(t)
		broken := newEndpoint(t, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
		other := newEndpoint(t, broken.server.Config.Handler.ServeHTTP)
		s.list(broken.instance("i-1", "plain"), other.instance("i-2", "plain"))
		got := s.ask(path)
		assert.Equal(t, got.status, http.StatusBadGateway)
		assert.Equal(t, broken.runs.Load()+other.runs.Load()/2, int64(1), path)
	}
}

// A refusal that promises "not run" is passed on only with the endpoint's own
// proof; an answer of the same status without it becomes another failure.
func TestPromiseOfNotRunNeedsProof(t *testing.T) {
	for _, proof := range []bool{true, false} {
		s := newScene(t)
		e := newEndpoint(t, func(writer http.ResponseWriter, _ *http.Request) {
			if proof {
				writer.Header().Set(headers.NotRun, "1")
			}
			writer.Header().Set(headers.Signature, "sig")
			writer.WriteHeader(http.StatusServiceUnavailable)
		})
		s.list(e.instance("i-1", "plain"))
		got := s.ask("/post/x")
		want := http.StatusBadGateway
		if proof {
			want = http.StatusServiceUnavailable
		}
		assert.Equal(t, got.status, want)
		assert.Equal(t, got.header.Get(headers.Signature), "")
	}
}

// A posting that the first instance proved not to have run goes to another.
func TestPostingMovesOnIfItDidNotRun(t *testing.T) {
	s := newScene(t)
	full := newEndpoint(t, func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set(headers.NotRun, "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
	})
	s.list(full.instance("i-1", "plain"))
	e := newEndpoint(t, signed("done"))
	far := e.instance("i-2", "plain")
	far.DataCentre = "dc-b"
	s.list(full.instance("i-1", "plain"), far)
	got := s.ask("/post2/x")
	assert.Equal(t, got.status, http.StatusOK)
	assert.Equal(t, full.runs.Load(), int64(1))
	assert.Equal(t, e.runs.Load(), int64(1))
}

func TestIdempotentRequestIsRepeatedElsewhere(t *testing.T) {
	s := newScene(t)
	failing := newEndpoint(t, func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set(headers.Signature, "sig")
		writer.WriteHeader(http.StatusInternalServerError)
	})
	e := newEndpoint(t, signed("done"))
	far := e.instance("i-2", "plain")
	far.DataCentre = "dc-b"
	s.list(failing.instance("i-1", "plain"), far)
	assert.Equal(t, s.ask("/read/x").body, "done")
	assert.Equal(t, failing.runs.Load(), int64(1))
}

// A success without a signature is not the endpoint's answer.
func TestUnsignedSuccessIsAFailure(t *testing.T) {
	s := newScene(t)
	e := newEndpoint(t, func(writer http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(writer, "rubbish") })
	s.list(e.instance("i-1", "plain"))
	assert.Equal(t, s.ask("/post/x").status, http.StatusBadGateway)
}

// Overload: what cannot be served is refused at once, with a time to return.
func TestFullFleetRefusesAtOnce(t *testing.T) {
	s := newScene(t)
	e := newEndpoint(t, signed("done"))
	s.list(e.instance("i-1", "plain"))
	for range 2 {
		_, ok := s.tracker.Pick([]balance.Candidate{{ID: "i-1", Capacity: 2, Own: 2}}, 0, time.Now())
		assert.Assert(t, ok)
	}
	begun := time.Now()
	got := s.ask("/post/x")
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Assert(t, got.header.Get("Retry-After") != "")
	assert.Assert(t, time.Since(begun) < 150*time.Millisecond, "refused after %s", time.Since(begun))
	assert.Equal(t, e.runs.Load(), int64(0))
}

// A place that becomes free within the wait is taken.
func TestWaitingRequestTakesAFreePlace(t *testing.T) {
	s := newScene(t)
	e := newEndpoint(t, signed("done"))
	s.list(e.instance("i-1", "plain"))
	for range 2 {
		s.tracker.Pick([]balance.Candidate{{ID: "i-1", Capacity: 2, Own: 2}}, 0, time.Now())
	}
	time.AfterFunc(10*time.Millisecond, func() { s.tracker.Release("i-1") })
	assert.Equal(t, s.ask("/post/x").status, http.StatusOK)
}

func TestEvacuatedAndLeavingInstancesGetNothing(t *testing.T) {
	s := newScene(t)
	e := newEndpoint(t, signed("done"))
	leaving := e.instance("i-1", "plain")
	leaving.Leaving = true
	s.list(leaving)
	assert.Equal(t, s.ask("/post/x").status, http.StatusServiceUnavailable)
	s.list(e.instance("i-2", "plain"))
	s.book.Evacuate([]string{"dc-a"})
	assert.Equal(t, s.ask("/post/x").status, http.StatusServiceUnavailable)
	assert.Equal(t, e.runs.Load(), int64(0))
}

// Urgent work goes first at the engine.
func TestPriorityOfTheRouteIsPassedOn(t *testing.T) {
	s := newScene(t)
	e := newEndpoint(t, events(1, 0))
	s.list(e.instance("i-1", "llm"))
	s.ask("/stream/x", func(request *http.Request) { request.Header.Set(headers.Priority, "7") })
	assert.Equal(t, e.received(headers.Priority), "0")
}

// The caller leaves: the work at the endpoint ends.
func TestCallerLeaves(t *testing.T) {
	s := newScene(t)
	ended := make(chan struct{})
	e := newEndpoint(t, func(writer http.ResponseWriter, request *http.Request) {
		writer.Header().Set(headers.Signature, "sig")
		_, _ = io.WriteString(writer, event(1))
		writer.(http.Flusher).Flush() //nolint:forcetypeassert // the test server flushes
		<-request.Context().Done()
		close(ended)
	})
	s.list(e.instance("i-1", "llm"))
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
		t.Fatal("the endpoint still works for a caller that left")
	}
}

// A request is ended at its route's limit, whatever the endpoint does.
func TestRouteTimeout(t *testing.T) {
	s := newScene(t)
	e := newEndpoint(t, func(_ http.ResponseWriter, request *http.Request) { <-request.Context().Done() })
	s.list(e.instance("i-1", "plain"))
	begun := time.Now()
	got := s.ask("/post/x", func(request *http.Request) { request.Header.Set(headers.DeadlineMS, "300") })
	assert.Equal(t, got.status, http.StatusGatewayTimeout)
	assert.Assert(t, time.Since(begun) < 500*time.Millisecond)
}

// One member of a data centre returns cold: it bears few requests a second.
func TestColdInstanceGetsItsShare(t *testing.T) {
	s := newScene(t)
	e := newEndpoint(t, signed("done"))
	cold := e.instance("i-1", "plain")
	cold.Slots, cold.ColdUntil = 100, time.Now().Add(time.Minute)
	s.list(cold)
	changed := *s.book.Index().Catalogue
	changed.Version++
	changed.Services = map[string]flamingodoor.ServiceSpec{"plain": {Name: "plain", ColdRate: 12}}
	s.book.Configure(&changed)
	s.relay.SetHosts([]string{"host-1", "host-2", "host-3"}, 0)
	served := 0
	for range 10 {
		if s.ask("/post/x").status == http.StatusOK {
			served++
		}
	}
	assert.Equal(t, served, 4)
}

// A data centre is back cold: its instances are the emptiest, but requests that
// they do not bear go to the warm ones.
func TestWarmInstancesServeBesideAColdOne(t *testing.T) {
	s := newScene(t)
	e := newEndpoint(t, signed("done"))
	cold, warm := e.instance("i-1", "plain"), e.instance("i-2", "plain")
	cold.Slots, cold.ColdUntil = 1000, time.Now().Add(time.Minute)
	s.list(cold, warm)
	changed := *s.book.Index().Catalogue
	changed.Version++
	changed.Services = map[string]flamingodoor.ServiceSpec{"plain": {Name: "plain", ColdRate: 1}}
	s.book.Configure(&changed)
	s.relay.SetHosts([]string{"host-1"}, 0)
	for range 10 {
		assert.Equal(t, s.ask("/post/x").status, http.StatusOK)
	}
}
