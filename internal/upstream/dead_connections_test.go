package upstream_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor/internal/faultproxy"
	"flamingodoor.example/flamingodoor/internal/upstream"
)

const (
	// deadWithin is the time within which the kernel finds that the other end of a
	// connection is gone: 3 s, and half a second for the inaccuracy of its timers.
	deadWithin = 3*time.Second + 500*time.Millisecond
	// instanceDeadWithin is this time for an instance.
	instanceDeadWithin = 2*time.Second + boundSlack
	boundSlack         = 100 * time.Millisecond
)

// Guards against calls that wait for their deadline on a connection whose packets are
// lost, an idle one that is used again or one on which a response is awaited.
func TestDeadConnectionsAreFound(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name    string
		options []upstream.Option
		awaited bool // the request has arrived when the packets begin to be lost
		within  time.Duration
	}{
		{"idle connection to an instance", nil, false, instanceDeadWithin},
		{"idle connection to a host", []upstream.Option{upstream.WithFailureDetection()}, false, deadWithin},
		{"response of a host", []upstream.Option{upstream.WithFailureDetection()}, true, deadWithin},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			arrived := make(chan struct{}, 1)
			target, _ := endpoint(t, func(connection net.Conn, request *http.Request, number int) {
				if number == 2 {
					arrived <- struct{}{}
					return // answers nothing
				}
				respond(connection, request.Header.Get(idHeader), "right")
			})
			proxy, err := faultproxy.New(context.WithoutCancel(t.Context()), netip.MustParseAddr("127.0.0.1"), target.Address)
			assert.NilError(t, err)
			t.Cleanup(proxy.Close)
			target.Address = proxy.Address()
			pool := upstream.New(idHeader, test.options...)
			_, err = fetch(t, pool, target, "1")
			assert.NilError(t, err)
			if !test.awaited {
				assert.NilError(t, proxy.DropOpen())
			}
			sent := time.Now()
			result := make(chan error, 1)
			go func() { _, err := fetch(t, pool, target, "2"); result <- err }()
			if test.awaited {
				<-arrived
				assert.NilError(t, proxy.DropOpen())
			}
			var callErr *upstream.CallError
			assert.Assert(t, errors.As(<-result, &callErr))
			assert.Assert(t, callErr.Sent && callErr.Reused)
			t.Logf("%s: found after %s", t.Name(), time.Since(sent))
			assert.Assert(t, time.Since(sent) < test.within)
		})
	}
}

// Guards against connections of hosts that are gone and stay open at the listener.
func TestListenerFindsHostsThatAreGone(t *testing.T) {
	t.Parallel()
	listener, err := upstream.ListenConfig().Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	client, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = client.Close() }()
	served, err := listener.Accept()
	assert.NilError(t, err)
	assert.NilError(t, faultproxy.Drop(client))
	gone := time.Now()
	assert.NilError(t, served.SetReadDeadline(gone.Add(2*deadWithin)))
	_, err = served.Read(make([]byte, 1))
	assert.Assert(t, !errors.Is(err, context.DeadlineExceeded) && time.Since(gone) < deadWithin, "%v after %s", err, time.Since(gone))
}
