package peer_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor"
	peerv1 "flamingodoor.example/flamingodoor/gen/flamingodoor/peer/v1"
	"flamingodoor.example/flamingodoor/gen/flamingodoor/peer/v1/peerv1connect"
	"flamingodoor.example/flamingodoor/internal/freshness"
	"flamingodoor.example/flamingodoor/internal/health"
	"flamingodoor.example/flamingodoor/internal/peer"
)

// puller is host a, which pulls the digest of host b. It counts the bytes on
// the connection.
type puller struct {
	exchanger     *peer.Exchanger
	handler       atomic.Pointer[http.Handler]       // of b
	source        *health.Table                      // of b
	served        atomic.Pointer[[]*peerv1.Evidence] // latest digest of b
	merged        *health.Table                      // of a
	evidence      []*peerv1.Evidence                 // in a's latest expanded response
	start         time.Time                          // of a's latest successful round
	bytes         atomic.Int64
	loseResponses atomic.Bool
}

func newPuller(t *testing.T) *puller {
	t.Helper()
	p := &puller{source: health.New(), merged: health.New()}
	p.restart()
	server := serve(t, http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		(*p.handler.Load()).ServeHTTP(writer, request)
	}))
	hosts := &[]flamingodoor.EntryHost{
		{ID: "host-a", JoinOffset: 1},
		{ID: "host-b", JoinOffset: 2, PeerAddress: netip.MustParseAddrPort(server.Listener.Addr().String())},
	}
	a := &node{id: "host-a", hosts: hosts}
	directory := peer.NewDirectory(peer.WithDial(func(ctx context.Context, network, address string) (net.Conn, error) {
		connection, err := new(net.Dialer).DialContext(ctx, network, address)
		return countedConn{connection, &p.bytes}, err
	}))
	t.Cleanup(directory.Close)
	lease := freshness.New(a.id, freshness.WithApplied(a.applied.Load))
	p.exchanger = peer.NewExchanger(a.id, a, lease, directory,
		peer.WithResponseHandler(func(start time.Time, response *peerv1.ExchangeResponse) {
			p.start, p.evidence = start, response.GetEvidence()
			p.merged.Merge(start, p.evidence)
		}))
	return p
}

// restart replaces b's server, as a restart of its process does. The health
// table of b is kept.
func (p *puller) restart() {
	b := &node{id: "host-b", hosts: &[]flamingodoor.EntryHost{}}
	lease := freshness.New(b.id, freshness.WithApplied(b.applied.Load))
	server := peer.NewServer(peer.Parts{
		HostID: b.id, Store: b, Lease: lease,
		Digest: func(now time.Time) []*peerv1.Evidence {
			digest := p.source.Digest(now, b.id)
			p.served.Store(&digest)
			return digest
		},
	})
	_, handler := peer.NewHandler(server, connect.WithInterceptors(connect.UnaryInterceptorFunc(
		func(next connect.UnaryFunc) connect.UnaryFunc {
			return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
				response, err := next(ctx, request)
				if p.loseResponses.Load() {
					return nil, connect.NewError(connect.CodeUnavailable, context.DeadlineExceeded)
				}
				return response, err
			}
		})))
	p.handler.Store(&handler)
}

// probePeriod is the time between two probes of an endpoint. The ages at host a
// are only accurate to the duration of a pull, so host a could confuse the order
// of probes in quicker succession.
const probePeriod = time.Second

// probe records evidence at b from a probe that starts now, and returns the
// start.
func (p *puller) probe(endpoint int, change func(*flamingodoor.Report)) time.Time {
	now := time.Now()
	p.probeAt(now, endpoint, change)
	return now
}

func (p *puller) probeAt(at time.Time, endpoint int, change func(*flamingodoor.Report)) {
	report := flamingodoor.Report{
		Incarnation: fmt.Sprintf("5f0c8f1e-%08d", endpoint), State: flamingodoor.EndpointStateWarm,
		GroupID: fmt.Sprintf("plan-%d", endpoint/4), FencingNumber: 1234, MemberIndex: endpoint % 4,
		ModelID: "model-large", Version: "2026-11", Adapters: []string{"adapter"},
	}
	if change != nil {
		change(&report)
	}
	p.source.Record(flamingodoor.Evidence{
		EndpointID: fmt.Sprintf("engine-%d", endpoint), Watcher: "host-b", Report: report,
		ProbedAt: at, Deadline: at.Add(health.Validity),
	})
}

type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countedConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countedConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.bytes.Add(int64(n))
	return n, err
}

// Guards against digests that exceed the limit of 16 KB/s on the control
// traffic of a host. With 7 hosts and 58 endpoints a host watches
// 58 x 3 / 7 = 25 endpoints and makes 25 probes a second. It pulls from 6 hosts
// and answers 6 pulls every 500 ms, which is 24 exchanges a second. The limit,
// less 500 bytes/s for the platform and 25 x 400 bytes/s for the probes, leaves
// 245 bytes for each exchange.
func TestExchangeBytes(t *testing.T) {
	const (
		endpoints   = 25
		rounds      = 20
		perExchange = (16<<10 - 500 - 25*400) / 24
	)
	p := newPuller(t)
	probeAll := func(inFlight int) {
		for endpoint := range endpoints {
			p.probe(endpoint, func(r *flamingodoor.Report) { r.InFlight = inFlight })
		}
	}
	probeAll(0)
	p.exchanger.Round(t.Context()) // opens the connection and fetches all entries in full
	before := p.bytes.Load()
	for round := range rounds {
		if round%2 == 0 {
			probeAll(round)
		}
		p.exchanger.Round(t.Context())
		assert.Equal(t, len(p.evidence), endpoints)
	}
	mean := (p.bytes.Load() - before) / rounds
	t.Logf("%d bytes per exchange", mean)
	assert.Assert(t, mean <= perExchange, "%d bytes per exchange", mean)
}

// Guards against a reference that is expanded to other content, to another
// number of requests in flight or to a younger age than the full entry has.
func TestReferencesRestoreTheDigest(t *testing.T) {
	p := newPuller(t)
	probedAt := p.probe(0, nil)
	p.probe(1, func(r *flamingodoor.Report) { r.InFlight = 3 })
	p.exchanger.Round(t.Context())
	full := p.evidence
	p.exchanger.Round(t.Context())
	assert.Equal(t, len(p.evidence), 2)
	for i, e := range p.evidence {
		assert.Assert(t, e != full[i])
		assert.Equal(t, e.GetEndpointId(), full[i].GetEndpointId())
		assert.Equal(t, e.GetWatcher(), "host-b")
		assert.Equal(t, e.GetInFlight(), full[i].GetInFlight())
		assert.Assert(t, e.GetAge().AsDuration() >= (*p.served.Load())[i].GetAge().AsDuration())
	}
	got, ok := p.merged.Endpoint("engine-0", time.Now())
	want, _ := p.source.Endpoint("engine-0", time.Now())
	assert.Assert(t, ok)
	assert.DeepEqual(t, got.Report, want.Report)
	age := p.evidence[0].GetAge().AsDuration()
	assert.Assert(t, !p.start.Add(-age).After(probedAt), "evidence appears younger than it is")

	for name, change := range map[string]func(*flamingodoor.Report){
		"incarnation": func(r *flamingodoor.Report) { r.Incarnation = "next" },
		"state":       func(r *flamingodoor.Report) { r.State = flamingodoor.EndpointStateCold },
		"group":       func(r *flamingodoor.Report) { r.GroupID = "other" },
		"fencing":     func(r *flamingodoor.Report) { r.FencingNumber++ },
		"index":       func(r *flamingodoor.Report) { r.MemberIndex++ },
		"model":       func(r *flamingodoor.Report) { r.ModelID = "other" },
		"version":     func(r *flamingodoor.Report) { r.Version = "other" },
		"adapters":    func(r *flamingodoor.Report) { r.Adapters = nil },
		"load":        func(r *flamingodoor.Report) { r.InFlight = 9 },
	} {
		p := newPuller(t)
		p.probeAt(time.Now().Add(-probePeriod), 0, nil)
		p.probe(1, nil)
		p.exchanger.Round(t.Context())
		p.probe(0, change)
		p.exchanger.Round(t.Context())
		got, _ := p.merged.Endpoint("engine-0", time.Now())
		want, _ := p.source.Endpoint("engine-0", time.Now())
		assert.DeepEqual(t, got.Report, want.Report)
		assert.Equal(t, len(p.evidence), 2, name)
	}
}

// Guards against expanding a reference of the restarted peer to an entry of its
// earlier process, and against losing entries through the restart.
func TestRestartedPeerSendsFullEntries(t *testing.T) {
	p := newPuller(t)
	p.probe(0, nil)
	p.probe(1, nil)
	p.exchanger.Round(t.Context())
	p.exchanger.Round(t.Context())
	p.source = health.New()
	p.probe(2, nil) // gets the reference that engine-0 had
	p.probe(3, nil)
	p.restart()
	for range 2 {
		p.exchanger.Round(t.Context())
		assert.Equal(t, len(p.evidence), 2)
		assert.Equal(t, p.evidence[0].GetEndpointId(), "engine-2")
		assert.Equal(t, p.evidence[1].GetEndpointId(), "engine-3")
	}
}

// Guards against losing a change because the response with it was lost, and
// against a stale entry of an endpoint that was absent from the digest for a
// time, whether or not responses were lost meanwhile.
func TestLostResponseIsRepeated(t *testing.T) {
	p := newPuller(t)
	p.probe(0, nil)
	p.exchanger.Round(t.Context())
	p.loseResponses.Store(true)
	p.probe(0, func(r *flamingodoor.Report) { r.State = flamingodoor.EndpointStateCold })
	p.exchanger.Round(t.Context())
	p.source.Invalidate("engine-0", time.Now())
	p.exchanger.Round(t.Context())
	p.probe(0, func(r *flamingodoor.Report) { r.State = flamingodoor.EndpointStateLoading })
	p.exchanger.Round(t.Context())
	p.loseResponses.Store(false)
	for range 2 {
		p.exchanger.Round(t.Context())
		assert.Equal(t, len(p.evidence), 1)
		assert.Equal(t, p.evidence[0].GetState(), peerv1.EndpointState_ENDPOINT_STATE_LOADING)
	}

	p.source.Invalidate("engine-0", time.Now())
	p.exchanger.Round(t.Context())
	assert.Equal(t, len(p.evidence), 0)
	p.probe(0, func(r *flamingodoor.Report) { r.State = flamingodoor.EndpointStateLoading })
	for range 2 {
		p.exchanger.Round(t.Context())
		assert.Equal(t, len(p.evidence), 1)
		assert.Equal(t, p.evidence[0].GetState(), peerv1.EndpointState_ENDPOINT_STATE_LOADING)
	}
}

// unsentReferenceServer responds with a reference to an entry that it never
// sent.
type unsentReferenceServer struct {
	peerv1connect.UnimplementedPeerServiceHandler
	requests []*peerv1.ExchangeRequest
}

func (s *unsentReferenceServer) Exchange(
	_ context.Context, request *connect.Request[peerv1.ExchangeRequest],
) (*connect.Response[peerv1.ExchangeResponse], error) {
	s.requests = append(s.requests, request.Msg)
	return connect.NewResponse(&peerv1.ExchangeResponse{
		HostId: "host-b", DigestEpoch: 7, DigestVersion: 9,
		Evidence:  []*peerv1.Evidence{{EndpointId: "engine-0", Watcher: "host-b", Incarnation: "1", Reference: 1}},
		Unchanged: []uint32{2}, UnchangedAgesMs: []uint32{100},
	}), nil
}

// Guards against a caller that lacks an entry but keeps requesting only changes,
// so that it never receives the evidence of that endpoint.
func TestUnknownReferenceClearsTheCache(t *testing.T) {
	p, service := newPuller(t), &unsentReferenceServer{}
	_, handler := peerv1connect.NewPeerServiceHandler(service)
	p.handler.Store(&handler)
	for range 2 {
		p.exchanger.Round(t.Context())
		assert.Equal(t, len(p.evidence), 1)
	}
	assert.Equal(t, len(service.requests), 2)
	assert.Equal(t, service.requests[1].GetDigestEpoch(), uint64(0))
	assert.Equal(t, service.requests[1].GetDigestVersion(), uint64(0))
}
