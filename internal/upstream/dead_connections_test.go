package upstream_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
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

// Guards against requests that wait for their deadline on a reused connection that is
// silent although what is sent is acknowledged, and against taking a slow endpoint for
// such a connection.
func TestSilentConnections(t *testing.T) {
	t.Parallel()
	const usualTime, slowTime, limit = 100 * time.Millisecond, 700 * time.Millisecond, 1500 * time.Millisecond
	for _, test := range []struct {
		name      string
		silenced  bool          // open connections transfer nothing more
		answersAt time.Duration // when probes are answered first; 0 for never
		newer     bool          // a new connection is used meanwhile
		older     bool          // another idle connection is used meanwhile
		dead      bool
	}{
		{name: "new connections work", silenced: true, newer: true, dead: true},
		{name: "idle endpoint", silenced: true, answersAt: time.Millisecond, dead: true},
		{name: "endpoint that does not answer", silenced: true},
		{name: "slow endpoint", older: true, answersAt: time.Millisecond},
		{name: "endpoint that stood still", answersAt: slowTime - 50*time.Millisecond},
		{name: "busy endpoint"},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			target, accepted := endpoint(t, func(connection net.Conn, request *http.Request, _ int) {
				switch id := request.Header.Get(idHeader); id {
				case "slow":
					time.Sleep(slowTime)
					respond(connection, id, "right")
				case "idle 1", "idle 2":
					time.Sleep(usualTime) // so that they need a connection each
					respond(connection, id, "right")
				default:
					respond(connection, id, "right")
				}
			})
			proxy, err := faultproxy.New(context.WithoutCancel(t.Context()), netip.MustParseAddr("127.0.0.1"), target.Address)
			assert.NilError(t, err)
			t.Cleanup(proxy.Close)
			target.Address = proxy.Address()
			var sent time.Time
			pool := upstream.New(idHeader, upstream.WithProbe(func(context.Context, upstream.Target) bool {
				return test.answersAt != 0 && time.Since(sent) > test.answersAt
			}))
			var idle sync.WaitGroup
			for _, id := range []string{"idle 1", "idle 2"} {
				idle.Go(func() { _, err := fetch(t, pool, target, id); assert.Check(t, err) })
			}
			idle.Wait()
			if test.silenced {
				proxy.SilenceOpen()
			}
			sent = time.Now()
			ctx, cancel := context.WithTimeout(t.Context(), limit)
			defer cancel()
			result := make(chan error, 1)
			go func() {
				slow := call("slow")
				slow.SuspectAt = sent.Add(usualTime)
				response, err := pool.Do(ctx, target, slow)
				if err == nil {
					_ = response.Body.Close()
				}
				result <- err
			}()
			for i := range 6 {
				time.Sleep(usualTime)
				if test.newer || test.older {
					other := call(fmt.Sprint("other ", i))
					other.NewConnection = test.newer && i == 0
					response, err := pool.Do(t.Context(), target, other)
					assert.NilError(t, err)
					_, err = io.Copy(io.Discard, response.Body)
					assert.NilError(t, err)
				}
			}
			err = <-result
			var callErr *upstream.CallError
			assert.Equal(t, errors.As(err, &callErr) && callErr.Dead, test.dead, "%v after %s", err, time.Since(sent))
			assert.Equal(t, err == nil, !test.silenced, "%v", err)
			if test.dead {
				assert.Assert(t, time.Since(sent) < limit)
				_, err = fetch(t, pool, target, "next")
				assert.NilError(t, err)
				assert.Equal(t, accepted.Load(), int64(3), "connections")
			}
		})
	}
}
