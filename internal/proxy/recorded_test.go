package proxy_test

import (
	"encoding/json"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor"
)

// recordedLanding is the commit whose forwarded requests are in testdata.
const recordedLanding = "a8bcb62"

// hop is a request from one host to another with its answer.
type hop struct {
	Peer    int               `json:"peer"`
	Path    string            `json:"path"`
	Request map[string]string `json:"request"`
	Status  int               `json:"status"`
	Answer  map[string]string `json:"answer"`
	Body    string            `json:"body"`
	Broken  bool              `json:"broken"` // the connection ended within the answer
	Demand  bool              `json:"demand"` // the peer has counted the demand for a model
}

// forwardRecording is a caller's request to a host without paths: its hops and the end.
type forwardRecording struct {
	Hops   []hop  `json:"hops"`
	Status int    `json:"status"`
	Body   string `json:"body"`
}

// forwardCase is a request that the landing's hosts forwarded.
type forwardCase struct {
	name     string
	path     string
	handlers []func(http.ResponseWriter, *http.Request) // of the endpoint of each peer
	prepare  func(*fleet)
}

func forwardCases() []forwardCase {
	return []forwardCase{
		{"posting", "/post/x", handlers(signed("done")), func(*fleet) {}},
		{"declined", "/read/x", handlers(signed("done"), signed("other")), func(f *fleet) { f.peers[0].paths.stranded.Store(true) }},
		{"last choice", "/read/x", handlers(signed("done")), func(f *fleet) {
			f.peers[0].proxy.Stop()
			f.list.peers[0].Leaving = true
		}},
		{"resumed", "/stream/x", handlers(events(6, 3), events(6, 0)), func(*fleet) {}},
		{"resumed by the budget of the peer", "/stream/x", handlers(events(6, 3), events(6, 0)), withoutRetries(0)},
		{"caller's retry of a route that the peer does not have", "/new/x", handlers(signed("done"), signed("other")), func(f *fleet) {
			newer := func(configuration *flamingodoor.Catalogue) {
				configuration.Routes = append(configuration.Routes, route("/new/", flamingodoor.RouteKindIdempotent, "plain", 2))
			}
			f.configure(newer)
			f.peers[1].configure(newer)
			f.send("/new/x", func(request *http.Request) { request.Header.Set(headers.DeadlineMS, "2900") })
		}},
	}
}

// hopTap records the hops to the peers of a fleet or, if it has recorded ones, answers
// as they did.
type hopTap struct {
	recorded []hop
	fleet    *fleet
	serving  sync.WaitGroup

	mu   sync.Mutex
	hops []*hop
}

// made returns the hops, once the peers have served all.
func (h *hopTap) made() []*hop {
	h.serving.Wait()
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.hops
}

func (h *hopTap) begin(peer int, request *http.Request) (made *hop, n int) {
	made = &hop{Peer: peer, Path: request.URL.Path, Request: stated(request.Header)}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.hops = append(h.hops, made)
	return made, len(h.hops) - 1
}

func (h *hopTap) wrap(peer int, handler http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		h.serving.Add(1)
		defer h.serving.Done()
		made, n := h.begin(peer, request)
		kept := &keptAnswer{ResponseWriter: writer, status: http.StatusOK}
		defer func() {
			failure := recover()
			made.Status, made.Answer, made.Body, made.Broken = kept.status, stated(writer.Header()), kept.body.String(), failure != nil
			made.Demand = len(h.fleet.peers[peer].demand.Rates(time.Now())) > 0
			if failure != nil {
				panic(failure)
			}
		}()
		if n >= len(h.recorded) {
			handler.ServeHTTP(kept, request)
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		answer := h.recorded[n]
		for name, value := range answer.Answer {
			writer.Header().Set(name, value)
		}
		kept.WriteHeader(answer.Status)
		_, _ = io.WriteString(kept, answer.Body)
		_ = http.NewResponseController(writer).Flush()
		if answer.Broken {
			panic(http.ErrAbortHandler)
		}
	})
}

// keptAnswer keeps a copy of an answer.
type keptAnswer struct {
	http.ResponseWriter

	status int
	body   strings.Builder
}

func (k *keptAnswer) WriteHeader(status int) {
	k.status = status
	k.ResponseWriter.WriteHeader(status)
}

func (k *keptAnswer) Write(data []byte) (int, error) {
	k.body.Write(data)
	return k.ResponseWriter.Write(data)
}

func (k *keptAnswer) Unwrap() http.ResponseWriter { return k.ResponseWriter }

// stated returns the headers that hosts act on.
func stated(header http.Header) map[string]string {
	found := make(map[string]string)
	for _, name := range []string{
		"Authorization", "Content-Type", headers.RequestID, headers.DeadlineMS, headers.Model, headers.Tokens, headers.LastEventID,
		headers.NotRun, headers.Signature,
	} {
		if value := header.Get(name); value != "" {
			found[name] = value
		}
	}
	for name, values := range header {
		if strings.HasPrefix(name, "Entry-") {
			found[name] = values[0]
		}
	}
	return found
}

// newRecordedFleet returns the hosts of a case. The tap is not used before the caller's
// request.
func newRecordedFleet(t *testing.T, each forwardCase, tap *hopTap) *fleet {
	t.Helper()
	f := newFleet(t, len(each.handlers))
	for n, handler := range each.handlers {
		e := newEndpoint(t, handler)
		f.peers[n].register(e.instance("i-1", "plain"), e.instance("i-2", "llm"))
	}
	each.prepare(f)
	tap.fleet = f
	for n, server := range f.servers {
		server.Config.Handler = tap.wrap(n, server.Config.Handler)
	}
	return f
}

func recordedForwards(t *testing.T) map[string]forwardRecording {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("testdata", recordedLanding, "forwards.json"))
	assert.NilError(t, err)
	var recorded map[string]forwardRecording
	assert.NilError(t, json.Unmarshal(data, &recorded))
	return recorded
}

// Guards against hosts of the newest landing that take a forwarded request for another,
// and against a caller who gets something else because its answer is theirs.
func TestForwardedAsByTheLanding(t *testing.T) {
	recorded := recordedForwards(t)
	for _, each := range forwardCases() {
		want := recorded[each.name]
		for name, answers := range map[string][]hop{"own answers": nil, "recorded answers": want.Hops} {
			t.Run(each.name+", "+name, func(t *testing.T) {
				tap := &hopTap{recorded: answers}
				got := newRecordedFleet(t, each, tap).send(each.path)
				assert.Equal(t, got.status, want.Status)
				assert.Equal(t, got.body, want.Body)
				hops := tap.made()
				assert.Equal(t, len(hops), len(want.Hops))
				for i, landed := range want.Hops {
					assert.Equal(t, hops[i].Peer, landed.Peer)
					assertStated(t, hops[i].Request, landed.Request)
					assertStated(t, hops[i].Answer, landed.Answer)
				}
			})
		}
	}
}

// assertStated checks that each recorded header is there with its value. Others may be
// added. The time left differs from run to run.
func assertStated(t *testing.T, got, recorded map[string]string) {
	t.Helper()
	for name, want := range recorded {
		if name == headers.DeadlineMS {
			left, err := strconv.Atoi(got[name])
			assert.NilError(t, err)
			landed, err := strconv.Atoi(want)
			assert.NilError(t, err)
			assert.Assert(t, left > landed-1000 && left < landed+1000, "%d ms left, recorded %d", left, landed)
			continue
		}
		assert.Equal(t, got[name], want, name)
	}
}

// Guards against requests of the newest landing that this build takes for others: each
// gets the answer that the landing's host gave, also with a header that is not known.
func TestForwardsOfTheLandingAreTaken(t *testing.T) {
	recorded := recordedForwards(t)
	for _, each := range forwardCases() {
		t.Run(each.name, func(t *testing.T) {
			assert.Assert(t, len(recorded[each.name].Hops) > 0, "no recording")
			tap := &hopTap{}
			f := newRecordedFleet(t, each, tap)
			for i, landed := range recorded[each.name].Hops {
				request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, f.servers[landed.Peer].URL+landed.Path, strings.NewReader("body"))
				assert.NilError(t, err)
				request.Host = host
				for name, value := range landed.Request {
					request.Header.Set(name, value)
				}
				request.Header.Set("Entry-Added-Later", "1")
				response, err := http.DefaultClient.Do(request)
				assert.NilError(t, err)
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
				got := tap.made()[i]
				assert.Equal(t, got.Status, landed.Status)
				assert.Equal(t, got.Body, landed.Body)
				assert.Equal(t, got.Broken, landed.Broken)
				assert.Equal(t, got.Demand, landed.Demand)
				assertStated(t, got.Answer, landed.Answer)
			}
		})
	}
}
