package upstream_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor/internal/upstream"
)

const idHeader = "X-Request-Id"

// endpoint starts an endpoint that calls handle for each request. It returns its
// target and the number of accepted connections.
func endpoint(t *testing.T, handle func(connection net.Conn, request *http.Request, number int)) (upstream.Target, *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	var connections, requests atomic.Int64
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			connections.Add(1)
			go func() {
				defer func() { _ = connection.Close() }()
				reader := bufio.NewReader(connection)
				for {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					body, err := io.ReadAll(request.Body)
					if err != nil {
						return
					}
					request.Body = io.NopCloser(strings.NewReader(string(body)))
					handle(connection, request, int(requests.Add(1)))
				}
			}()
		}
	}()
	return upstream.Target{InstanceID: "i", Address: netip.MustParseAddrPort(listener.Addr().String())}, &connections
}

// respond writes a response with the identifier of a request.
func respond(connection net.Conn, id, body string) {
	_, _ = fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", idHeader, id, len(body), body)
}

func call(id string) upstream.Call {
	return upstream.Call{Method: http.MethodPost, URI: "/a/b?c=d", Host: "h.example", Header: http.Header{idHeader: {id}}, Body: []byte("hello")}
}

// fetch calls the endpoint and returns the body of the response.
func fetch(t *testing.T, pool *upstream.Pool, target upstream.Target, id string) (string, error) {
	t.Helper()
	got, err := pool.Do(t.Context(), target, call(id))
	if err != nil {
		return "", err
	}
	defer func() { _ = got.Body.Close() }()
	body, err := io.ReadAll(got.Body)
	return string(body), err
}

// Guards against changing the method, path, query, host or body of a request,
// and against a new connection for each request.
func TestRequestIsPassedOnUnchanged(t *testing.T) {
	target, connections := endpoint(t, func(connection net.Conn, request *http.Request, _ int) {
		body, _ := io.ReadAll(request.Body)
		respond(connection, request.Header.Get(idHeader), request.Method+" "+request.RequestURI+" "+request.Host+" "+string(body))
	})
	pool := upstream.New(idHeader)
	for _, id := range []string{"1", "2", "3"} {
		body, err := fetch(t, pool, target, id)
		assert.NilError(t, err)
		assert.Equal(t, body, "POST /a/b?c=d h.example hello")
	}
	assert.Equal(t, connections.Load(), int64(1))
}

// An endpoint sends a second response to a request, which arrives where the next
// response is expected. It must be skipped.
func TestAnswerToAnEarlierRequestIsSkipped(t *testing.T) {
	target, _ := endpoint(t, func(connection net.Conn, request *http.Request, number int) {
		if number == 2 {
			respond(connection, "1", "again")
		}
		respond(connection, request.Header.Get(idHeader), "right")
	})
	pool := upstream.New(idHeader)
	for _, id := range []string{"1", "2"} {
		body, err := fetch(t, pool, target, id)
		assert.NilError(t, err)
		assert.Equal(t, body, "right")
	}
}

// A connection with unread bytes after a complete response must not be reused.
func TestBytesAfterAnAnswerEndTheConnection(t *testing.T) {
	target, connections := endpoint(t, func(connection net.Conn, request *http.Request, _ int) {
		respond(connection, request.Header.Get(idHeader), "right")
		respond(connection, request.Header.Get(idHeader), "extra")
	})
	pool := upstream.New(idHeader)
	for _, id := range []string{"1", "2"} {
		body, err := fetch(t, pool, target, id)
		assert.NilError(t, err)
		assert.Equal(t, body, "right")
		time.Sleep(20 * time.Millisecond)
	}
	assert.Equal(t, connections.Load(), int64(2))
}

// A request must not be sent again when a reused connection is closed before the
// response.
func TestNothingIsSentTwice(t *testing.T) {
	var runs atomic.Int64
	target, _ := endpoint(t, func(connection net.Conn, request *http.Request, number int) {
		runs.Add(1)
		if number == 2 {
			_ = connection.Close()
			return
		}
		respond(connection, request.Header.Get(idHeader), "right")
	})
	pool := upstream.New(idHeader)
	_, err := fetch(t, pool, target, "1")
	assert.NilError(t, err)
	_, err = fetch(t, pool, target, "2")
	var callErr *upstream.CallError
	assert.Assert(t, errors.As(err, &callErr))
	assert.Assert(t, callErr.Sent && callErr.Reused)
	assert.Equal(t, runs.Load(), int64(2))
}

// A call to an address without a listener is reported as refused and not sent.
func TestRefusedConnectionIsReported(t *testing.T) {
	target, _ := endpoint(t, func(net.Conn, *http.Request, int) {})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	target.Address = netip.MustParseAddrPort(listener.Addr().String())
	assert.NilError(t, listener.Close())
	_, err = upstream.New(idHeader).Do(t.Context(), target, call("1"))
	var callErr *upstream.CallError
	assert.Assert(t, errors.As(err, &callErr))
	assert.Assert(t, !callErr.Sent && callErr.Refused)
}

// A truncated response must not look complete.
func TestCutAnswerIsAnError(t *testing.T) {
	target, _ := endpoint(t, func(connection net.Conn, request *http.Request, _ int) {
		_, _ = fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 100\r\n\r\nshort", idHeader, request.Header.Get(idHeader))
		_ = connection.Close()
	})
	_, err := fetch(t, upstream.New(idHeader), target, "1")
	assert.Assert(t, err != nil)
}

// The endpoint responds before it has read a long body. The response must be
// returned while the rest of the body is still being sent.
func TestEarlyAnswerToALongBody(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	go func() {
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		reader := bufio.NewReader(connection)
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		respond(connection, request.Header.Get(idHeader), "early")
		_, _ = io.Copy(io.Discard, request.Body)
	}()
	long := call("1")
	long.Body = make([]byte, 8<<20)
	target := upstream.Target{InstanceID: "i", Address: netip.MustParseAddrPort(listener.Addr().String())}
	got, err := upstream.New(idHeader).Do(t.Context(), target, long)
	assert.NilError(t, err)
	body, err := io.ReadAll(got.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "early")
}

// When the caller cancels, the connection is closed, which ends the work at the
// endpoint.
func TestCancelClosesTheConnection(t *testing.T) {
	ended := make(chan struct{})
	ctx, cancel := context.WithCancel(t.Context())
	target, _ := endpoint(t, func(connection net.Conn, _ *http.Request, _ int) {
		time.AfterFunc(50*time.Millisecond, cancel)
		_, _ = connection.Read(make([]byte, 1))
		close(ended)
	})
	_, err := upstream.New(idHeader).Do(ctx, target, call("1"))
	assert.Assert(t, err != nil)
	select {
	case <-ended:
	case <-time.After(2 * time.Second):
		t.Fatal("the connection to the endpoint is still open")
	}
}

// Guards against a round trip that is taken from requests on open connections, which
// open in no time, or never measured.
func TestOpeningOfConnectionsIsMeasured(t *testing.T) {
	target, _ := endpoint(t, func(connection net.Conn, request *http.Request, _ int) {
		respond(connection, request.Header.Get(idHeader), "body")
	})
	var opened []upstream.Target
	pool := upstream.New(idHeader, upstream.WithOpenListener(func(target upstream.Target, took time.Duration) {
		assert.Check(t, took > 0 && took < time.Second)
		opened = append(opened, target)
	}))
	for _, id := range []string{"r1", "r2", "r3"} {
		_, err := fetch(t, pool, target, id)
		assert.NilError(t, err)
	}
	assert.Equal(t, len(opened), 1)
	assert.Equal(t, opened[0], target)
}
