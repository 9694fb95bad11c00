package peer_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
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
	"flamingodoor.example/flamingodoor/internal/peer"
)

type configuration struct {
	flamingodoor.Configuration
	applied uint64
	hosts   []flamingodoor.EntryHost
}

func (c configuration) Applied() uint64                      { return c.applied }
func (c configuration) EntryHostsRevision() uint64           { return 0 }
func (c configuration) EntryHosts() []flamingodoor.EntryHost { return c.hosts }

// node is an entry host with a fake store and a real server.
type node struct {
	id        string
	hosts     *[]flamingodoor.EntryHost
	applied   atomic.Uint64
	first     uint64 // offset of the oldest retained record
	lease     *freshness.Lease
	directory *peer.Directory
	server    *httptest.Server
}

func (n *node) Current() flamingodoor.Configuration {
	return configuration{applied: n.applied.Load(), hosts: *n.hosts}
}

func (n *node) WaitApplied(ctx context.Context, offset uint64) error {
	for n.applied.Load() < offset {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(time.Millisecond):
		}
	}
	return nil
}

func (n *node) Records(from uint64, limit int) []flamingodoor.LogEntry {
	var entries []flamingodoor.LogEntry
	for offset := from; from >= n.first && offset <= n.applied.Load() && len(entries) < limit; offset++ {
		entries = append(entries, flamingodoor.LogEntry{Offset: offset, Data: []byte{byte(offset)}})
	}
	return entries
}

func (n *node) Snapshot() (uint64, []byte, error) { return n.applied.Load(), []byte(n.id), nil }
func (n *node) Err() error                        { return nil }

// serve starts a server for HTTP/2 without encryption, as the peers use it.
func serve(t *testing.T, handler http.Handler) *httptest.Server {
	t.Helper()
	server := httptest.NewUnstartedServer(handler)
	server.Config.Protocols = new(http.Protocols)
	server.Config.Protocols.SetUnencryptedHTTP2(true)
	server.Start()
	t.Cleanup(server.Close)
	return server
}

// cluster starts nodes with the IDs a, b and so on, which list each other as
// members. All have applied offset 5 and retain the records from offset 3 on.
func cluster(t *testing.T, count int, run func(context.Context, flamingodoor.ServiceCall) (flamingodoor.ServiceAnswer, error)) []*node {
	t.Helper()
	hosts := new([]flamingodoor.EntryHost)
	nodes := make([]*node, count)
	for i := range nodes {
		n := &node{id: string(rune('a' + i)), hosts: hosts, directory: peer.NewDirectory(), first: 3}
		n.applied.Store(5)
		n.lease = freshness.New(n.id, freshness.WithApplied(n.applied.Load))
		n.lease.StartGranting(1)
		server := peer.NewServer(peer.Parts{HostID: n.id, Store: n, Lease: n.lease, RunOnce: run})
		_, handler := peerv1connect.NewPeerServiceHandler(server)
		n.server = serve(t, handler)
		t.Cleanup(n.directory.Close)
		*hosts = append(*hosts, flamingodoor.EntryHost{
			ID: n.id, JoinOffset: uint64(i + 1),
			PeerAddress: netip.MustParseAddrPort(n.server.Listener.Addr().String()),
		})
		nodes[i] = n
	}
	return nodes
}

// Guards against a lease of a host that has not applied what the voters have
// acknowledged, and against a grant that arrives without the provisional
// restrictions.
func TestExchangeRenewsTheLease(t *testing.T) {
	nodes := cluster(t, 3, nil)
	nodes[1].lease.AddRestriction(flamingodoor.Restriction{CommandID: "c", DataCentre: "x"})
	answers := atomic.Int32{}
	exchanger := peer.NewExchanger("a", nodes[0], nodes[0].lease, nodes[0].directory,
		peer.WithResponseHandler(func(time.Time, *peerv1.ExchangeResponse) { answers.Add(1) }))
	exchanger.Round(t.Context())
	now := time.Now()
	assert.Assert(t, nodes[0].lease.Fresh(now))
	assert.Assert(t, nodes[0].lease.Restricted("x"))
	assert.Assert(t, exchanger.Reachable("b", now) && !exchanger.Reachable("b", now.Add(time.Minute)))
	assert.Equal(t, exchanger.Applied("c"), uint64(5))
	assert.Equal(t, answers.Load(), int32(2))

	nodes[1].lease.Acknowledge(6)
	nodes[2].lease.Acknowledge(6)
	lagging := freshness.New("a", freshness.WithApplied(nodes[0].applied.Load))
	lagging.StartGranting(1)
	peer.NewExchanger("a", nodes[0], lagging, nodes[0].directory).Round(t.Context())
	assert.Assert(t, !lagging.Fresh(time.Now()))
}

// Guards against a host that considers its provisional restrictions complete
// before a majority of the voters has answered, or that counts the entry of its
// own earlier process as one of them. Voters that are gone must not block it.
func TestRestrictionsSyncNeedsAMajority(t *testing.T) {
	nodes := cluster(t, 3, nil)
	now := time.Now()
	gone := false
	exchanger := peer.NewExchanger("a", nodes[0], nodes[0].lease, nodes[0].directory,
		peer.WithExchangeGoneCheck(func(id string, _ time.Time) bool { return gone && id == "c" }))
	assert.Assert(t, !exchanger.CheckRestrictionsSynced(now))

	nodes[2].server.Close()
	exchanger.Round(t.Context())
	assert.Assert(t, !exchanger.CheckRestrictionsSynced(now))
	assert.Assert(t, !exchanger.RestrictionsSynced())
	gone = true
	assert.Assert(t, exchanger.CheckRestrictionsSynced(now))
	gone = false
	assert.Assert(t, exchanger.RestrictionsSynced())

	alone := cluster(t, 1, nil)
	assert.Assert(t, peer.NewExchanger("a", alone[0], alone[0].lease, alone[0].directory).CheckRestrictionsSynced(now))
}

// Guards against accepting a change before a majority of the voters has applied
// it, and against voters that are gone and block every change.
func TestAcceptNeedsAMajority(t *testing.T) {
	nodes := cluster(t, 3, nil)
	nodes[0].applied.Store(6)
	gone := atomic.Bool{}
	acknowledger := peer.NewAcknowledger("a", nodes[0], nodes[0].lease, nodes[0].directory,
		peer.WithAcknowledgeGoneCheck(func(id string, _ time.Time) bool { return gone.Load() && id != "a" }))
	err := acknowledger.Accept(t.Context(), 6)
	assert.Equal(t, flamingodoor.CodeOf(err), flamingodoor.CodeNoMajority)
	assert.Equal(t, nodes[0].lease.Acknowledged(), uint64(6))

	nodes[2].applied.Store(6)
	assert.NilError(t, acknowledger.Accept(t.Context(), 6))
	assert.Equal(t, nodes[2].lease.Acknowledged(), uint64(6))

	nodes[0].applied.Store(7)
	gone.Store(true)
	assert.NilError(t, acknowledger.Accept(t.Context(), 7))
}

// Guards against reporting a provisional restriction as successful without a
// majority of the voters, and against leaving out members that have not
// confirmed it.
func TestRestrictNamesUnconfirmedHosts(t *testing.T) {
	nodes := cluster(t, 3, nil)
	acknowledger := peer.NewAcknowledger("a", nodes[0], nodes[0].lease, nodes[0].directory)
	drain := flamingodoor.Restriction{CommandID: "c", DataCentre: "x", AuthorTime: time.Now()}
	nodes[1].server.Close()
	unconfirmed, err := acknowledger.Restrict(t.Context(), drain)
	assert.NilError(t, err)
	assert.DeepEqual(t, unconfirmed, []string{"b"})
	assert.Assert(t, nodes[2].lease.Restricted("x"))

	nodes[2].server.Close()
	unconfirmed, err = acknowledger.Restrict(t.Context(), drain)
	assert.Equal(t, flamingodoor.CodeOf(err), flamingodoor.CodeNoMajority)
	assert.DeepEqual(t, unconfirmed, []string{"b", "c"})
}

// Guards against installing an outdated snapshot and against gaps in the
// fetched records.
func TestFetch(t *testing.T) {
	nodes := cluster(t, 3, nil)
	nodes[2].applied.Store(9)
	fetcher := peer.NewFetcher("a", nodes[0], nodes[0].directory)
	snapshot, err := fetcher.FetchSnapshot(t.Context())
	assert.NilError(t, err)
	assert.DeepEqual(t, snapshot, peer.Snapshot{Applied: 9, State: []byte("c")})

	entries, err := fetcher.FetchRecords(t.Context(), 6)
	assert.NilError(t, err)
	assert.Equal(t, len(entries), 4)
	entries, err = fetcher.FetchRecords(t.Context(), 10)
	assert.NilError(t, err)
	assert.Equal(t, len(entries), 0)
	_, err = fetcher.FetchRecords(t.Context(), 1)
	assert.Equal(t, flamingodoor.CodeOf(err), flamingodoor.CodeTrimmed)
}

// Guards against losing the run state of a failed RunOnce on the way to the
// caller. A call that the host does not implement must fail with
// CodeUnimplemented.
func TestRunOnceKeepsTheRunState(t *testing.T) {
	nodes := cluster(t, 2, func(ctx context.Context, call flamingodoor.ServiceCall) (flamingodoor.ServiceAnswer, error) {
		assert.Assert(t, time.Until(call.Deadline) < time.Minute)
		return flamingodoor.ServiceAnswer{}, flamingodoor.Errorf(flamingodoor.CodeLogUnavailable, "log down")
	})
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	client := nodes[0].directory.Peer((*nodes[0].hosts)[1])
	response, err := client.RunOnce(ctx, connect.NewRequest(&peerv1.RunOnceRequest{}))
	assert.NilError(t, err)
	assert.Equal(t, response.Msg.GetRunState(), peerv1.RunState_RUN_STATE_NOT_RUN)
	assert.Equal(t, response.Msg.GetErrorCode(), "log_unavailable")
	_, err = client.GrantPermit(ctx, connect.NewRequest(&peerv1.GrantPermitRequest{}))
	assert.Equal(t, connect.CodeOf(err), connect.CodeUnimplemented)
}

// Guards against continuing to use an open connection that no longer carries
// data although new connections work.
func TestSilentConnectionIsReplaced(t *testing.T) {
	nodes := cluster(t, 2, nil)
	backend := (*nodes[0].hosts)[1].PeerAddress.String()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	connections := atomic.Int32{}
	silent := atomic.Bool{}
	go forwardConnections(listener, backend, &connections, &silent)

	(*nodes[0].hosts)[1].PeerAddress = netip.MustParseAddrPort(listener.Addr().String())
	exchanger := peer.NewExchanger("a", nodes[0], nodes[0].lease, nodes[0].directory)
	exchanger.Round(t.Context())
	assert.Assert(t, exchanger.Reachable("b", time.Now()))
	silent.Store(true)
	start := time.Now()
	for connections.Load() < 2 && time.Since(start) < 5*time.Second {
		exchanger.Round(t.Context())
	}
	exchanger.Round(t.Context())
	assert.Assert(t, time.Since(start) < 3500*time.Millisecond, "took %v", time.Since(start))
	assert.Assert(t, exchanger.Reachable("b", time.Now()))
}

// forwardConnections forwards connections to the backend. Once silent is set,
// the first connection drops all bytes.
func forwardConnections(listener net.Listener, backend string, connections *atomic.Int32, silent *atomic.Bool) {
	for {
		front, err := listener.Accept()
		if err != nil {
			return
		}
		back, err := net.Dial("tcp", backend)
		if err != nil {
			return
		}
		first := connections.Add(1) == 1
		for _, pair := range [][2]net.Conn{{front, back}, {back, front}} {
			go func() {
				defer func() { _ = pair[1].Close() }()
				buffer := make([]byte, 32<<10)
				for {
					read, err := pair[0].Read(buffer)
					if err != nil {
						return
					}
					if !first || !silent.Load() {
						_, _ = pair[1].Write(buffer[:read])
					}
				}
			}()
		}
	}
}
