package faultproxy_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor/internal/faultproxy"
)

// Guards against a reset of all proxies that also hits connections which clients
// open at another proxy in response to it.
func TestResetAllSparesConnectionsOpenedInResponse(t *testing.T) {
	t.Parallel()
	const connectionsPerProxy = 100
	target := startEcho(t)
	proxies := make([]*faultproxy.Proxy, 8)
	for i := range proxies {
		proxy, err := faultproxy.New(t.Context(), netip.MustParseAddr("127.0.0.1"), target)
		assert.NilError(t, err)
		t.Cleanup(proxy.Close)
		proxies[i] = proxy
	}
	last := proxies[len(proxies)-1].Address()

	var clients sync.WaitGroup
	var resets, secondResets atomic.Int32
	injected := make(chan struct{})
	for _, proxy := range proxies {
		for range connectionsPerProxy {
			connection := dial(t, proxy.Address())
			assert.Assert(t, echoes(connection))
			clients.Go(func() {
				if _, err := connection.Read(make([]byte, 1)); err == nil {
					return
				}
				resets.Add(1)
				replacement, err := net.Dial("tcp", last.String())
				if err != nil {
					secondResets.Add(1)
					return
				}
				defer func() { _ = replacement.Close() }()
				ok := echoes(replacement)
				<-injected
				if !ok || !echoes(replacement) {
					secondResets.Add(1)
				}
			})
		}
	}
	faultproxy.ResetAll(proxies...)
	close(injected)
	clients.Wait()

	assert.Equal(t, int(resets.Load()), len(proxies)*connectionsPerProxy)
	assert.Equal(t, int(secondResets.Load()), 0)
}

// Guards against targets that never end a request, because a silent connection outlives
// its reset or its proxy.
func TestResetsEndSilentConnections(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name  string
		reset func(proxy *faultproxy.Proxy)
	}{
		{"reset", (*faultproxy.Proxy).Reset},
		{"reset of all", func(proxy *faultproxy.Proxy) { faultproxy.ResetAll(proxy) }},
		{"refused", func(proxy *faultproxy.Proxy) { proxy.SetRule(faultproxy.Refused) }},
		{"closed", (*faultproxy.Proxy).Close},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			ended := make(chan struct{})
			server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
				_, _ = io.Copy(io.Discard, request.Body)
				close(ended)
			}))
			t.Cleanup(server.Close)
			proxy, err := faultproxy.New(t.Context(), netip.MustParseAddr("127.0.0.1"), netip.MustParseAddrPort(server.Listener.Addr().String()))
			assert.NilError(t, err)
			t.Cleanup(proxy.Close)
			client := dial(t, proxy.Address())
			_, err = client.Write([]byte("POST / HTTP/1.1\r\nHost: engine\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\n"))
			assert.NilError(t, err)
			_, err = client.Read(make([]byte, 1)) // the server waits for the body
			assert.NilError(t, err)
			proxy.SilenceOpen()
			_, err = client.Write([]byte("x"))
			assert.NilError(t, err)
			time.Sleep(50 * time.Millisecond) // the proxy holds the body back
			test.reset(proxy)
			select {
			case <-ended:
			case <-time.After(5 * time.Second):
				server.CloseClientConnections()
				t.Fatal("the server still waits for the request")
			}
		})
	}
}

// startEcho starts a server that sends back what it receives.
func startEcho(t *testing.T) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = connection.Close() }()
				_, _ = io.Copy(connection, connection)
			}()
		}
	}()
	return listener.Addr().(*net.TCPAddr).AddrPort()
}

func dial(t *testing.T, address netip.AddrPort) net.Conn {
	t.Helper()
	connection, err := net.Dial("tcp", address.String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = connection.Close() })
	return connection
}

// echoes reports whether the connection returns a byte.
func echoes(connection net.Conn) bool {
	_ = connection.SetDeadline(time.Now().Add(5 * time.Second))
	defer func() { _ = connection.SetDeadline(time.Time{}) }()
	if _, err := connection.Write([]byte{1}); err != nil {
		return false
	}
	_, err := io.ReadFull(connection, make([]byte, 1))
	return err == nil
}

// Guards against dropped connections whose clients get acknowledgements, so that no
// timer of the kernel finds them dead, and against a wrong order of the two timers: a
// TCP_USER_TIMEOUT ends keep-alive probes before their count does.
func TestClientsFindDroppedConnectionsDead(t *testing.T) {
	const tcpUserTimeout = 0x12
	withUserTimeout := func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(descriptor uintptr) {
			_ = syscall.SetsockoptInt(int(descriptor), syscall.IPPROTO_TCP, tcpUserTimeout, 1500)
		})
	}
	tenProbes := net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 10}
	for _, test := range []struct {
		name    string
		dialer  net.Dialer
		writes  bool
		atMost  time.Duration
		atLeast time.Duration
	}{
		{"sent bytes, user time-out of 1.5 s", net.Dialer{Control: withUserTimeout}, true, 3 * time.Second, time.Second},
		{"idle, ten probes", net.Dialer{KeepAliveConfig: tenProbes}, false, 13 * time.Second, 10 * time.Second},
		{"idle, ten probes, user time-out of 1.5 s", net.Dialer{Control: withUserTimeout, KeepAliveConfig: tenProbes}, false, 3 * time.Second, time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			proxy, err := faultproxy.New(context.WithoutCancel(t.Context()), netip.MustParseAddr("127.0.0.1"), startEcho(t))
			assert.NilError(t, err)
			t.Cleanup(proxy.Close)
			connection, err := test.dialer.Dial("tcp", proxy.Address().String())
			assert.NilError(t, err)
			defer func() { _ = connection.Close() }()
			assert.Assert(t, echoes(connection))
			assert.NilError(t, proxy.DropOpen())
			began := time.Now()
			if test.writes {
				_, err = connection.Write([]byte{1})
				assert.NilError(t, err)
			}
			assert.NilError(t, connection.SetReadDeadline(began.Add(20*time.Second)))
			_, err = connection.Read(make([]byte, 1))
			assert.Assert(t, errors.Is(err, syscall.ETIMEDOUT), "%v", err)
			took := time.Since(began)
			t.Logf("found dead after %s", took)
			assert.Assert(t, took > test.atLeast && took < test.atMost, "%s", took)
		})
	}
}
