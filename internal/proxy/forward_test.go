package proxy_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/proxy"
)

// pathState is what a test says of a host's paths, and what its proxy reports.
type pathState struct {
	stranded      atomic.Bool
	suspected     atomic.Bool
	heard, failed atomic.Int64
}

func (p *pathState) Stranded() bool                          { return p.stranded.Load() }
func (p *pathState) Suspected() bool                         { return p.suspected.Load() }
func (p *pathState) Heard(flamingodoor.Instance, time.Time)  { p.heard.Add(1) }
func (p *pathState) Failed(flamingodoor.Instance, time.Time) { p.failed.Add(1) }

// peerList selects the peers in their order.
type peerList struct {
	mu       sync.Mutex
	peers    []flamingodoor.EntryPeer
	inFlight int
	avoided  []string
}

func (l *peerList) NextPeer(excluded map[string]bool, _ time.Time) (flamingodoor.EntryPeer, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, peer := range l.peers {
		if !excluded[peer.ID] {
			l.inFlight++
			return peer, true
		}
	}
	return flamingodoor.EntryPeer{}, false
}

func (l *peerList) HasPeer(time.Time) bool { return len(l.peers) > 0 }

func (l *peerList) ReleasePeer(string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight--
}

func (l *peerList) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inFlight
}

func (l *peerList) AvoidPeer(id string, _ time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.avoided = append(l.avoided, id)
}

// fleet is a stranded host and its peers.
type fleet struct {
	*setup

	peers   []*setup
	servers []*httptest.Server // of the peers
	list    *peerList
}

func newFleet(tb testing.TB, peers int) *fleet {
	tb.Helper()
	f := &fleet{setup: newSetup(tb), list: &peerList{}}
	f.paths.stranded.Store(true)
	f.proxy.UsePeers(f.list)
	for n := range peers {
		id := "host-" + strconv.Itoa(n+2)
		peer := newHost(tb, id)
		// A peer that forwarded again would find itself.
		peer.proxy.UsePeers(f.list)
		server := httptest.NewServer(peer.proxy.PeerHandler(http.NotFoundHandler()))
		tb.Cleanup(server.Close)
		f.peers, f.servers = append(f.peers, peer), append(f.servers, server)
		f.list.peers = append(f.list.peers, flamingodoor.EntryPeer{ID: id, Address: netip.MustParseAddrPort(server.Listener.Addr().String())})
	}
	return f
}

// breaking responds with a part of what it should and breaks off.
func breaking(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// Guards against callers of a host that reaches no instance getting less than those
// of others (issue 30, RECOVER), and against a request that runs twice or is refused
// falsely on its way through another host. `runs` are those at the endpoint of each
// peer.
func TestRequestsOfAStrandedHostAreForwarded(t *testing.T) {
	stranded := func(peer int) func(*fleet) { return func(f *fleet) { f.peers[peer].paths.stranded.Store(true) } }
	cases := []struct {
		name     string
		path     string
		handlers []func(http.ResponseWriter, *http.Request) // of the endpoint of each peer
		prepare  func(*fleet)
		change   func(*http.Request)
		status   int
		body     string
		broken   bool
		runs     string
	}{
		{name: "answered", path: "/post/x", handlers: handlers(signed("done"), signed("other")), status: 200, body: "done", runs: "1 0"},
		{name: "only the instances are unreachable", path: "/post/x", handlers: handlers(signed("done")), status: 200, body: "done", runs: "1", prepare: func(f *fleet) {
			f.paths.stranded.Store(false)
			f.register(f.unreachable())
		}},
		{name: "forged headers of a caller", path: "/post/x", handlers: handlers(signed("done")), status: 200, body: "done", runs: "1", change: func(request *http.Request) {
			for _, name := range []string{"Entry-Forwarded-By", "Entry-Forwarded-To", "Entry-Caller-Retry", "Entry-Counted", "Entry-Stream-Begun", "Entry-Last-Choice"} {
				request.Header.Set(name, "host-9")
			}
			request.Header.Set("Entry-Sends", "50")
		}},
		{name: "stream", path: "/stream/x", handlers: handlers(events(6, 0)), status: 200, body: allEvents(6), runs: "1"},
		{name: "stream that resumes at the next peer", path: "/stream/x", handlers: handlers(events(6, 3), events(6, 0)), status: 200, body: allEvents(6), runs: "1 1"},
		{name: "stream that resumes by the budget of the peer", path: "/stream/x", handlers: handlers(events(6, 3), events(6, 0)), status: 200, body: allEvents(6), runs: "1 1", prepare: withoutRetries(0)},
		{name: "stream of a peer that falls silent", path: "/stream/x", handlers: handlers(silentAfter(3), events(6, 0)), status: 200, body: allEvents(6), runs: "1 1", change: func(request *http.Request) {
			request.Header.Set(headers.DeadlineMS, "2000")
		}},
		{name: "stream that resumes by the budget of a peer although this host has paths", path: "/stream/x", handlers: handlers(events(6, 0)), status: 200, body: allEvents(6), runs: "1", prepare: func(f *fleet) {
			withoutRetries(0)(f)
			f.paths.stranded.Store(false)
			f.register(newEndpoint(f.t, events(6, 3)).instance("i-9", "llm"))
		}},
		{name: "stream without a budget", path: "/stream/x", handlers: handlers(events(6, 3), events(6, 0)), status: 200, body: allEvents(3), broken: true, runs: "1 0", prepare: withoutRetries(0, 1, 2)},
		{name: "stream whose peers all break off", path: "/stream/x", handlers: handlers(events(6, 3), events(6, 4), events(6, 0)), status: 200, body: allEvents(4), broken: true, runs: "1 1 0"},
		{name: "refusal for want of slots", path: "/read/x", handlers: handlers(signed("done"), signed("other")), status: 503, runs: "0 0", prepare: func(f *fleet) { f.peers[0].fill("i-1") }},
		{name: "refusal of the endpoint", path: "/post/x", handlers: handlers(refusing("0.2"), signed("other")), status: 503, runs: "1 0"},
		{name: "key revoked at the peer", path: "/read/x", handlers: handlers(signed("done"), signed("other")), status: 401, runs: "0 0", prepare: func(f *fleet) { f.peers[0].revoke() }},
		{
			name: "part blocked at the peer", path: "/read/x", handlers: handlers(signed("done"), signed("other")), status: 503, runs: "0 0", prepare: func(f *fleet) { f.peers[0].parts.blockAll.Store(true) },
			change: func(request *http.Request) { request.Header.Set(headers.PromptParts, "a:10,z:1") },
		},
		{name: "declined", path: "/post/x", handlers: handlers(signed("done"), signed("other")), status: 200, body: "other", runs: "0 1", prepare: stranded(0)},
		{name: "stream declined", path: "/stream/x", handlers: handlers(events(6, 0), events(6, 0)), status: 200, body: allEvents(6), runs: "0 1", prepare: stranded(0)},
		{name: "declined by a peer that does not reach its instance", path: "/post/x", handlers: handlers(signed("done"), signed("other")), status: 200, body: "other", runs: "0 1", prepare: func(f *fleet) {
			f.peers[0].register(f.peers[0].unreachable())
		}},
		{name: "declined by a peer that does not reach one instance while the other asks for no requests", path: "/post/x", handlers: handlers(signed("done"), signed("other")), status: 200, body: "other", runs: "0 1", prepare: func(f *fleet) {
			held := newEndpoint(f.t, refusing("0.2")).instance("i-3", "plain")
			f.peers[0].register(held)
			f.peers[0].send("/post/x", func(*http.Request) {})
			f.peers[0].register(held, f.peers[0].unreachable())
		}},
		{name: "declined by a peer that stops", path: "/post/x", handlers: handlers(signed("done"), signed("other")), status: 200, body: "other", runs: "0 1", prepare: func(f *fleet) { f.peers[0].proxy.Stop() }},
		{name: "only peers that stop", path: "/post/x", handlers: handlers(signed("done")), status: 200, body: "done", runs: "1", prepare: func(f *fleet) {
			f.peers[0].proxy.Stop()
			f.list.peers[0].Leaving = true
		}},
		{name: "declined by another host at the address", path: "/post/x", handlers: handlers(signed("done"), signed("other")), status: 200, body: "other", runs: "0 1", prepare: func(f *fleet) { f.list.peers[0].ID = "host-9" }},
		{name: "peer that is gone", path: "/post/x", handlers: handlers(signed("done"), signed("other")), status: 200, body: "other", runs: "0 1", prepare: func(f *fleet) { f.servers[0].Close() }},
		{name: "nobody left", path: "/post/x", handlers: handlers(signed("done")), status: 503, body: `{"error":"no_path"}`, runs: "0", prepare: stranded(0)},
		{name: "not more than eight peers", path: "/read/x", handlers: slices.Repeat(handlers(signed("done")), 9), status: 503, body: `{"error":"no_path"}`, runs: "0 0 0 0 0 0 0 0 0", prepare: func(f *fleet) {
			for n := range 8 {
				stranded(n)(f)
			}
		}},
		{name: "four peers decline", path: "/read/x", handlers: slices.Repeat(handlers(signed("done")), 5), status: 200, body: "done", runs: "0 0 0 0 1", prepare: func(f *fleet) {
			for n := range 4 {
				stranded(n)(f)
			}
		}},
		{name: "endpoint that breaks off a posting", path: "/post2/x", handlers: handlers(breaking, signed("other")), status: 502, runs: "1 0"},
		{name: "peer that breaks off a posting", path: "/post2/x", handlers: handlers(signed("done"), signed("other")), status: 502, body: `{"error":"endpoint_failed"}`, runs: "1 0", prepare: cutAnswers},
		{name: "peer that breaks off a read", path: "/read/x", handlers: handlers(signed("done"), signed("other")), status: 200, body: "other", runs: "1 1", prepare: cutAnswers},
		{name: "peer that breaks off a read, and nobody left", path: "/read/x", handlers: handlers(signed("done"), signed("other")), status: 502, runs: "1 0", prepare: func(f *fleet) {
			cutAnswers(f)
			stranded(1)(f)
		}},
		{name: "program that is no peer", path: "/post/x", handlers: handlers(signed("done"), signed("other")), status: 502, runs: "0 0", prepare: func(f *fleet) {
			f.servers[0].Config.Handler = http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
				writer.Header().Set(headers.RequestID, request.Header.Get(headers.RequestID))
			})
		}},
		{name: "posting at a peer whose grace period has ended", path: "/post2/x", handlers: handlers(signed("done"), signed("other")), status: 200, body: "other", runs: "0 1", prepare: func(f *fleet) { f.peers[0].proxy.EndRequests() }},
		{name: "posting at a peer whose grace period ends", path: "/post2/x", handlers: handlers(silentAfter(0), signed("other")), status: 504, runs: "1 0", prepare: endRequests},
		{name: "read at a peer whose grace period ends", path: "/read/x", handlers: handlers(silentAfter(0), signed("other")), status: 200, body: "other", runs: "1 1", prepare: endRequests},
		{name: "stream at a peer whose grace period ends", path: "/stream/x", handlers: handlers(silentAfter(3), events(6, 0)), status: 200, body: allEvents(6), runs: "1 1", prepare: endRequests},
		{name: "this host stops", path: "/post/x", handlers: handlers(signed("done")), status: 200, body: "done", runs: "1", prepare: func(f *fleet) { f.proxy.Stop() }},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			f := newFleet(t, len(each.handlers))
			var endpoints []*endpoint
			for n, handler := range each.handlers {
				endpoints = append(endpoints, newEndpoint(t, handler))
				f.peers[n].register(endpoints[n].instance("i-1", "plain"), endpoints[n].instance("i-2", "llm"))
			}
			if each.prepare != nil {
				each.prepare(f)
			}
			sentAt := time.Now()
			got := f.send(each.path, func(request *http.Request) {
				if each.change != nil {
					each.change(request)
				}
			})
			assert.Equal(t, got.status, each.status)
			assert.Equal(t, got.err != nil, each.broken, got.err)
			if each.body != "" {
				assert.Equal(t, got.body, each.body)
			}
			if got.status == http.StatusServiceUnavailable {
				assert.Assert(t, time.Since(sentAt) < 500*time.Millisecond, "refused after %s", time.Since(sentAt))
			}
			assert.Equal(t, got.header.Get("Entry-Answer")+got.header.Get("Entry-Sends"), "")
			runs := make([]string, 0, len(endpoints))
			for _, e := range endpoints {
				runs = append(runs, strconv.FormatInt(e.runs.Load(), 10))
				assert.Equal(t, e.received("Entry-Forwarded-By")+e.received("Entry-Sends")+e.received("Authorization"), "")
			}
			assert.Equal(t, strings.Join(runs, " "), each.runs)
			assert.Equal(t, f.list.count(), 0)
		})
	}
}

// silentAfter sends events and then nothing until the connection ends.
func silentAfter(last int) func(http.ResponseWriter, *http.Request) {
	return func(writer http.ResponseWriter, request *http.Request) {
		events(last, 0)(writer, request)
		<-request.Context().Done()
	}
}

func handlers(each ...func(http.ResponseWriter, *http.Request)) []func(http.ResponseWriter, *http.Request) {
	return each
}

// revoke replaces the configuration by one without the caller's key.
func (s *setup) revoke() {
	configuration := *s.catalogue.Index().Catalogue
	configuration.Version++
	configuration.Workspaces = []flamingodoor.Workspace{{Name: "other", Keys: []string{"other"}}}
	s.catalogue.Configure(&configuration)
	s.catalogue.Confirm(time.Now())
}

// raiseTimeouts allows requests of all routes to take longTimeout.
func (s *setup) raiseTimeouts() {
	configuration := *s.catalogue.Index().Catalogue
	configuration.Version++
	configuration.Routes = slices.Clone(configuration.Routes)
	for i := range configuration.Routes {
		configuration.Routes[i].Timeout = longTimeout
	}
	s.catalogue.Configure(&configuration)
}

// withoutRetries takes the retry budgets of hosts away, of which 0 is the stranded one.
func withoutRetries(hosts ...int) func(*fleet) {
	return func(f *fleet) {
		for _, n := range hosts {
			append([]*setup{f.setup}, f.peers...)[n].proxy.SetLimits(proxy.Limits{RevokeWithin: 5 * time.Second})
		}
	}
}

// cutAnswers makes the first peer serve requests and lose its answers.
func cutAnswers(f *fleet) {
	served := f.servers[0].Config.Handler
	f.servers[0].Config.Handler = http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
		served.ServeHTTP(httptest.NewRecorder(), request)
		panic(http.ErrAbortHandler)
	})
}

// endRequests ends the grace period of the first peer while it serves a request.
func endRequests(f *fleet) {
	time.AfterFunc(300*time.Millisecond, f.peers[0].proxy.EndRequests)
}

// Guards against work that goes on after the caller has left: the end passes through
// both hosts (GONE).
func TestForwardedRequestEndsWithItsCaller(t *testing.T) {
	for _, path := range []string{"/read/x", "/stream/x"} {
		f := newFleet(t, 1)
		begun, ended := make(chan struct{}), make(chan time.Time, 1)
		e := newEndpoint(t, func(writer http.ResponseWriter, request *http.Request) {
			if path == "/stream/x" {
				writer.Header().Set(headers.Signature, "sig")
				_, _ = io.WriteString(writer, event(1))
				writer.(http.Flusher).Flush() //nolint:forcetypeassert // the test server flushes
			}
			close(begun)
			<-request.Context().Done()
			ended <- time.Now()
		})
		f.peers[0].register(e.instance("i-1", "plain"), e.instance("i-2", "llm"))
		ctx, leave := context.WithCancel(t.Context())
		left := make(chan time.Time, 1)
		go func() {
			<-begun
			left <- time.Now()
			leave()
		}()
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, f.front.URL+path, strings.NewReader("body"))
		assert.NilError(t, err)
		request.Host = host
		request.Header.Set(headers.RequestID, "r1")
		request.Header.Set(headers.Model, model)
		request.Header.Set("Authorization", "Bearer "+key)
		response, err := http.DefaultClient.Do(request)
		if err == nil {
			_, err = io.ReadAll(response.Body)
			_ = response.Body.Close()
		}
		assert.Assert(t, errors.Is(err, context.Canceled), "%v", err)
		took := (<-ended).Sub(<-left)
		assert.Assert(t, took < 500*time.Millisecond, "%s: ended after %s", path, took)
	}
}

// Guards against attempts that are lost on connections which died together with the
// one of a broken stream: a repeat that finds no path on a new one is provably unsent.
func TestRepeatUsesANewConnection(t *testing.T) {
	s := newSetup(t)
	var callers []string // of the second endpoint
	other := newEndpoint(t, func(writer http.ResponseWriter, request *http.Request) {
		callers = append(callers, request.RemoteAddr)
		events(6, 0)(writer, request)
	})
	far := other.instance("i-2", "llm")
	far.DataCentre = "dc-b"
	s.register(far)
	for n := range 2 {
		got := s.send("/stream/x", func(request *http.Request) { request.Header.Set(headers.RequestID, strconv.Itoa(n)) })
		assert.Equal(t, got.body, allEvents(6))
	}
	failing := newEndpoint(t, events(6, 3))
	s.register(failing.instance("i-1", "llm"), far)
	assert.Equal(t, s.send("/stream/x").body, allEvents(6))
	assert.Equal(t, failing.runs.Load(), int64(1))
	assert.Assert(t, len(callers) == 3 && callers[0] == callers[1] && callers[1] != callers[2], callers)
}

// Guards against demand that counts twice, or at a host that serves nothing.
func TestDemandOfAForwardedRequestCountsOnce(t *testing.T) {
	f := newFleet(t, 2)
	for n, handler := range handlers(events(6, 3), events(6, 0)) {
		f.peers[n].register(newEndpoint(t, handler).instance("i-1", "llm"))
	}
	assert.Equal(t, f.send("/stream/x").body, allEvents(6))
	counted := ""
	for _, each := range []*setup{f.setup, f.peers[0], f.peers[1]} {
		counted += fmt.Sprint(len(each.demand.Rates(time.Now())), " ")
	}
	assert.Equal(t, counted, "0 1 0 ")
}

// Guards against requests that wait for an instance which this host has lost: those
// that may be repeated and have no response go through a peer, a posting does not.
func TestUnansweredAttemptsOfAStrandedHostAreForwarded(t *testing.T) {
	for path, want := range map[string]string{"/read/x": "done", "/stream/x": allEvents(6), "/post2/x": "late"} {
		f := newFleet(t, 1)
		f.paths.stranded.Store(false)
		begun, release := make(chan struct{}), make(chan struct{})
		silent := newEndpoint(t, func(writer http.ResponseWriter, request *http.Request) {
			close(begun)
			<-release
			signed("late")(writer, request)
		})
		e := newEndpoint(t, func(writer http.ResponseWriter, request *http.Request) {
			if path == "/stream/x" {
				events(6, 0)(writer, request)
				return
			}
			signed("done")(writer, request)
		})
		f.register(silent.instance("i-1", "plain"), silent.instance("i-2", "llm"))
		f.peers[0].register(e.instance("i-1", "plain"), e.instance("i-2", "llm"))
		go func() {
			<-begun
			f.paths.stranded.Store(true)
			f.proxy.EndUnreached()
			time.Sleep(100 * time.Millisecond)
			close(release)
		}()
		assert.Equal(t, f.send(path).body, want, path)
	}
}

// Guards against streams that wait for the inspection of their group although their host
// knows that no instance answers it.
func TestBegunStreamsOfAStrandedHostAreResumed(t *testing.T) {
	f := newFleet(t, 1)
	f.paths.stranded.Store(false)
	silent := newEndpoint(t, func(writer http.ResponseWriter, request *http.Request) {
		events(3, 0)(writer, request)
		<-request.Context().Done()
	})
	f.register(silent.instance("i-1", "llm"))
	f.peers[0].register(newEndpoint(t, events(6, 0)).instance("i-2", "llm"))
	go func() {
		for f.paths.heard.Load() < 4 { // the response and three events
			time.Sleep(time.Millisecond)
		}
		f.paths.stranded.Store(true)
		f.proxy.EndUnreached()
	}()
	assert.Equal(t, f.send("/stream/x").body, allEvents(6))
}

// Guards against requests that are sent into a partition while their host finds out that
// it is stranded, and against refusals if all hosts suspect their paths.
func TestHostThatSuspectsItsPathsForwards(t *testing.T) {
	for suspiciousPeers, want := range []string{"peer 0", "peer 1", "own"} {
		f := newFleet(t, 2)
		f.paths.stranded.Store(false)
		f.paths.suspected.Store(true)
		f.register(newEndpoint(t, signed("own")).instance("i-1", "plain"))
		for n, peer := range f.peers {
			peer.register(newEndpoint(t, signed(fmt.Sprint("peer ", n))).instance("i-1", "plain"))
			peer.paths.suspected.Store(n < suspiciousPeers)
		}
		assert.Equal(t, f.send("/post/x").body, want)
	}
}

// Guards against a host that takes over more than it can hold.
func TestTakeoversAreBounded(t *testing.T) {
	f := newFleet(t, 1)
	release := make(chan struct{})
	end := sync.OnceFunc(func() { close(release) })
	e := newEndpoint(t, func(writer http.ResponseWriter, request *http.Request) {
		<-release
		signed("done")(writer, request)
	})
	t.Cleanup(end) // before the endpoint waits for its requests
	instance := e.instance("i-1", "plain")
	instance.Slots = 1000
	f.peers[0].register(instance)
	for _, host := range []*setup{f.setup, f.peers[0]} {
		host.raiseTimeouts()
	}
	results := make(chan int, 1)
	send := func(n int) {
		results <- f.send("/read/x", func(request *http.Request) {
			request.Header.Set(headers.RequestID, strconv.Itoa(n))
			request.Header.Set(headers.DeadlineMS, "60000")
		}).status
	}
	// A host of 160 MB has an eighth for requests of 128 KB each.
	const requests, taken = 200, 159
	for n := range taken {
		go send(n)
		for e.runs.Load() <= int64(n) {
			assert.Equal(t, len(results), 0, "request %d was not taken", n)
			time.Sleep(time.Millisecond)
		}
	}
	for n := range requests - taken {
		send(taken + n)
		assert.Equal(t, <-results, http.StatusServiceUnavailable)
	}
	end()
	for range taken {
		assert.Equal(t, <-results, http.StatusOK)
	}
	assert.Equal(t, f.peers[0].proxy.ForwardCounts().TurnedOff, int64(requests-taken))
}

// The path state hears of answers and events, and of failures of connections, but not
// of callers that leave.
func TestPathsAreReported(t *testing.T) {
	s := newSetup(t)
	s.register(newEndpoint(t, events(6, 0)).instance("i-1", "llm"))
	assert.Equal(t, s.send("/stream/x").body, allEvents(6))
	assert.Equal(t, s.paths.heard.Load(), int64(7))
	gone := newEndpoint(t, signed("done"))
	gone.server.Close()
	s.register(gone.instance("i-2", "plain"), newEndpoint(t, breaking).instance("i-3", "llm"))
	assert.Equal(t, s.send("/post/x").status, http.StatusServiceUnavailable)
	assert.Equal(t, s.paths.failed.Load(), int64(1))
	assert.Equal(t, s.send("/stream/x").status, http.StatusBadGateway)
	assert.Equal(t, s.paths.failed.Load(), int64(2))
}

var _ flamingodoor.PeerSelector = (*peerList)(nil)
