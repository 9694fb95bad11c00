package engine_test

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/engine"
	standinendpoint "flamingodoor.example/flamingodoor/internal/standin/endpoint"
)

// countingListener counts connections and the bytes that they carry.
// Connections numbered up to silentUntil discard what is written to them.
type countingListener struct {
	net.Listener
	connections atomic.Int32
	bytes       atomic.Int64
	silentUntil atomic.Int32
}

func (c *countingListener) Accept() (net.Conn, error) {
	connection, err := c.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: connection, listener: c, number: c.connections.Add(1)}, nil
}

type countedConn struct {
	net.Conn
	listener *countingListener
	number   int32
}

func (c *countedConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.listener.bytes.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(data []byte) (int, error) {
	if c.number <= c.listener.silentUntil.Load() {
		return len(data), nil
	}
	n, err := c.Conn.Write(data)
	c.listener.bytes.Add(int64(n))
	return n, err
}

func serveCounted(t *testing.T, address string, handler http.Handler) (*countingListener, *http.Server, flamingodoor.Endpoint) {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	assert.NilError(t, err)
	c := &countingListener{Listener: listener}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(c) }()
	t.Cleanup(func() { _ = server.Close() })
	return c, server, flamingodoor.Endpoint{ID: "e", Address: netip.MustParseAddrPort(listener.Addr().String())}
}

// Guards against probes with which a host exceeds the limit on its control
// traffic. With 7 hosts and 58 endpoints, each probed by 3 watchers, a host makes
// 58 x 3 / 7 = 25 probes a second. The limit of 16 KB/s, less 500 bytes/s for the
// platform and 24 exchanges a second of 245 bytes, leaves 400 bytes for a probe.
func TestProbeBytes(t *testing.T) {
	const (
		probes   = 20
		perProbe = (16<<10 - 500 - 24*245) / 25
	)
	standIn := standinendpoint.New()
	c, _, endpoint := serveCounted(t, "127.0.0.1:0", standIn.Handler())
	order := flamingodoor.Order{
		FencingNumber: 1234, GroupID: "plan-12", MemberIndex: 3, ModelID: "model-large", Version: "2026-11",
		Deadline: time.Now().Add(time.Minute),
	}
	client := engine.NewClient(engine.WithKeepAlive())
	assert.NilError(t, client.Order(t.Context(), endpoint, order))
	before := c.bytes.Load()
	for range probes {
		report, err := client.Report(t.Context(), endpoint)
		assert.NilError(t, err)
		assert.Equal(t, report.FencingNumber, order.FencingNumber)
		assert.Equal(t, report.MemberIndex, order.MemberIndex)
	}
	mean := (c.bytes.Load() - before) / probes
	t.Logf("%d bytes for a probe", mean)
	assert.Assert(t, mean <= perProbe, "%d bytes for a probe", mean)
	assert.Equal(t, c.connections.Load(), int32(2), "the order and the probes have one connection each")
}

// Guards against reusing a kept-alive connection that no longer carries data
// although new connections work.
func TestSilentReadIsNotRepeatedOnItsConnection(t *testing.T) {
	c, _, endpoint := serveCounted(t, "127.0.0.1:0", standinendpoint.New().Handler())
	client := engine.NewClient(engine.WithKeepAlive())
	_, err := client.Report(t.Context(), endpoint)
	assert.NilError(t, err)
	c.silentUntil.Store(c.connections.Load())
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	_, err = client.Report(ctx, endpoint)
	assert.Equal(t, flamingodoor.CodeOf(err), flamingodoor.CodeEndpointFailed)
	_, err = client.Report(t.Context(), endpoint)
	assert.NilError(t, err)
	assert.Equal(t, c.connections.Load(), int32(2))
}

// Guards against a probe that fails because the endpoint has restarted since
// the previous one, and against returning a report of the earlier process.
func TestReadAfterRestart(t *testing.T) {
	_, server, endpoint := serveCounted(t, "127.0.0.1:0", standinendpoint.New().Handler())
	client := engine.NewClient(engine.WithKeepAlive())
	earlier, err := client.Report(t.Context(), endpoint)
	assert.NilError(t, err)
	assert.NilError(t, server.Close())
	_, err = client.Report(t.Context(), endpoint)
	assert.Equal(t, flamingodoor.CodeOf(err), flamingodoor.CodeEndpointFailed)
	serveCounted(t, endpoint.Address.String(), standinendpoint.New().Handler())
	later, err := client.Report(t.Context(), endpoint)
	assert.NilError(t, err)
	assert.Assert(t, later.Incarnation != earlier.Incarnation)
}
