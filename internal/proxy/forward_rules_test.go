package proxy_test

import (
	"io"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/balance"
)

// configure replaces the configuration by a changed one.
func (s *setup) configure(change func(configuration *flamingodoor.Catalogue)) {
	configuration := *s.catalogue.Index().Catalogue
	configuration.Version++
	configuration.Routes = append([]flamingodoor.Route(nil), configuration.Routes...)
	change(&configuration)
	s.catalogue.Configure(&configuration)
	s.catalogue.Confirm(time.Now())
}

// Guards against a stream that runs more often than its route allows, because the peer
// resumed it after it had stated how often the request was sent (BUDGET).
func TestRunsAtPeersCountForTheRoute(t *testing.T) {
	f := newFleet(t, 2)
	var runs atomic.Int64
	for n, peer := range f.peers {
		instances := make([]flamingodoor.Instance, 0, 2)
		for k, last := range []int{2, 4} {
			count := func(last int) func(http.ResponseWriter, *http.Request) {
				return func(writer http.ResponseWriter, request *http.Request) {
					runs.Add(1)
					events(20, last+4*n)(writer, request)
				}
			}
			instances = append(instances, newEndpoint(t, count(last)).instance("i-"+string(rune('1'+2*n+k)), "llm"))
		}
		peer.register(instances...)
	}
	f.send("/stream/x")
	assert.Assert(t, runs.Load() <= 2, "max_attempts is 2, runs %d", runs.Load())
}

// Guards against 404 and 401 for a request whose route and key this host's newer
// configuration has: the peer has not read it yet.
func TestPeerWithAnOlderConfiguration(t *testing.T) {
	f := newFleet(t, 2)
	for _, peer := range f.peers {
		peer.register(newEndpoint(t, signed("done")).instance("i-1", "plain"))
	}
	newer := func(configuration *flamingodoor.Catalogue) {
		configuration.Routes = append(configuration.Routes, route("/new/", flamingodoor.RouteKindIdempotent, "plain", 2))
		configuration.Workspaces = []flamingodoor.Workspace{{Name: "billing", Keys: []string{key, "newer"}}}
	}
	f.configure(newer)
	f.peers[1].configure(newer)
	assert.Equal(t, f.send("/new/x").status, http.StatusOK)
	assert.Equal(t, f.send("/read/x", func(request *http.Request) { request.Header.Set("Authorization", "Bearer newer") }).status, http.StatusOK)
}

// Guards against a stream that goes on at another service of a split route.
func TestForwardedStreamKeepsItsService(t *testing.T) {
	other := 0
	for range 10 {
		f := newFleet(t, 2)
		var first, second atomic.Value
		for n, seen := range []*atomic.Value{&first, &second} {
			instances := make([]flamingodoor.Instance, 0, 2)
			for _, service := range []string{"llm", "llm2"} {
				e := newEndpoint(t, func(writer http.ResponseWriter, request *http.Request) {
					seen.Store(service)
					events(6, 3-3*n)(writer, request)
				})
				instance := e.instance("i-"+service, "llm")
				instance.Service = service
				instances = append(instances, instance)
			}
			f.peers[n].register(instances...)
		}
		for _, each := range append([]*setup{f.setup}, f.peers...) {
			each.configure(func(configuration *flamingodoor.Catalogue) {
				spec := configuration.Services["llm"]
				spec.Name = "llm2"
				configuration.Services = map[string]flamingodoor.ServiceSpec{"plain": configuration.Services["plain"], "llm": configuration.Services["llm"], "llm2": spec}
				configuration.Routes[3].Split = []flamingodoor.SplitShare{{Service: "llm", Weight: 1}, {Service: "llm2", Weight: 1}}
				configuration.Routes[3].MaxAttempts = 2
			})
		}
		f.send("/stream/x")
		if first.Load() != second.Load() {
			other++
		}
	}
	assert.Equal(t, other, 0, "streams that went on at another service, of 10")
}

// Guards against a peer that counts as silent because the caller reads slowly.
func TestSlowCallerOfAForwardedStream(t *testing.T) {
	f := newFleet(t, 2)
	var runs atomic.Int64
	stream := func(writer http.ResponseWriter, request *http.Request) {
		runs.Add(1)
		writer.Header().Set(headers.Signature, "sig")
		pad := strings.Repeat("x", 100<<10)
		for n := 1; n <= 150; n++ {
			if _, err := io.WriteString(writer, strings.Replace(event(n), "\n\n", "\ndata: "+pad+"\n\n", 1)); err != nil {
				return
			}
			writer.(http.Flusher).Flush() //nolint:forcetypeassert // the test server flushes
		}
	}
	for _, peer := range f.peers {
		peer.register(newEndpoint(t, stream).instance("i-1", "llm"))
	}
	for _, each := range append([]*setup{f.setup}, f.peers...) {
		each.configure(func(configuration *flamingodoor.Catalogue) { configuration.Routes[3].Timeout = 20 * time.Second })
	}
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, f.front.URL+"/stream/x", strings.NewReader("body"))
	assert.NilError(t, err)
	request.Host = host
	request.Header.Set(headers.RequestID, "r1")
	request.Header.Set(headers.DeadlineMS, "20000")
	request.Header.Set(headers.Model, model)
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	time.Sleep(1900 * time.Millisecond)
	_, err = io.Copy(io.Discard, response.Body)
	assert.NilError(t, err)
	assert.Equal(t, runs.Load(), int64(1))
}

// Guards against a forwarded stream that breaks off with its instance although the only
// peer has another one.
func TestOnlyPeerResumesAStreamAtAnotherInstance(t *testing.T) {
	f := newFleet(t, 1)
	broken, sound := newEndpoint(t, events(6, 3)), newEndpoint(t, events(6, 0))
	f.peers[0].register(broken.instance("i-1", "llm"), sound.instance("i-2", "llm"))
	for range 6 {
		assert.Equal(t, f.send("/stream/x").body, allEvents(6))
	}
}

// Guards against refusals while a change of the configuration is on its way to the
// peers, although they can serve the request as the new configuration says.
func TestPeerWithAnOlderConfigurationServesWhatItKnows(t *testing.T) {
	f := newFleet(t, 1)
	f.peers[0].register(newEndpoint(t, signed("done")).instance("i-1", "plain"))
	f.configure(func(*flamingodoor.Catalogue) {})
	assert.Equal(t, f.send("/read/x").status, http.StatusOK)
}

// Guards against refusals, and against attempts that are ended, at hosts that are all
// stranded: instances that are slow or starved look like paths that are lost (soak, seed
// 3106).
func TestHostWithoutASoundPeerTriesItsInstances(t *testing.T) {
	for _, each := range []struct {
		path            string
		marked, refuses bool // the instance is marked as unreachable, and refuses
		during          bool // the host becomes stranded during the request
		status          int
	}{
		{path: "/read/x", status: 200},
		{path: "/post/x", marked: true, status: 200},
		{path: "/read/x", marked: true, during: true, status: 200},
		{path: "/read/x", marked: true, refuses: true, status: 503},
	} {
		f := newFleet(t, 0)
		f.paths.stranded.Store(!each.during)
		instance := newEndpoint(t, func(writer http.ResponseWriter, request *http.Request) {
			f.paths.stranded.Store(true)
			f.proxy.EndUnreached()
			time.Sleep(50 * time.Millisecond)
			signed("done")(writer, request)
		}).instance("i-1", "plain")
		if each.refuses {
			instance = f.unreachable()
		}
		if each.marked {
			f.roster.MarkUnreachable(instance.ID, instance.StartedAt, time.Now())
		}
		f.register(instance)
		sentAt := time.Now()
		assert.Equal(t, f.send(each.path).status, each.status, "%+v", each)
		assert.Assert(t, time.Since(sentAt) < 500*time.Millisecond, "answered after %s", time.Since(sentAt))
	}
}

// unreachable returns an instance that this host has marked as unreachable.
func (s *setup) unreachable() flamingodoor.Instance {
	instance := flamingodoor.Instance{ID: "i-9", Service: "plain", DataCentre: "dc-a", Slots: 2, StartedAt: time.Unix(1_800_000_000, 0), Address: netip.MustParseAddrPort("127.0.0.1:1")}
	s.roster.MarkUnreachable(instance.ID, instance.StartedAt, time.Now())
	return instance
}

func (s *setup) fill(id string) {
	for range 2 {
		_, ok := s.tracker.Pick([]balance.Candidate{{ID: id, Capacity: 2, OwnLimit: 2}}, 0, time.Now())
		assert.Assert(s.t, ok)
	}
}
