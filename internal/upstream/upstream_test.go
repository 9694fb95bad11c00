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

const echo = "X-Request-Id"

// endpoint answers each request with what the script says.
func endpoint(t *testing.T, script func(connection net.Conn, request *http.Request, number int)) (upstream.Target, *atomic.Int64) {
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
					script(connection, request, int(requests.Add(1)))
				}
			}()
		}
	}()
	return upstream.Target{InstanceID: "i", Address: netip.MustParseAddrPort(listener.Addr().String())}, &connections
}

func answer(connection net.Conn, id, body string) {
	_, _ = fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", echo, id, len(body), body)
}

func call(id string) upstream.Call {
	return upstream.Call{Method: http.MethodPost, URI: "/a/b?c=d", Host: "h.example", Header: http.Header{echo: {id}}, Body: []byte("hello")}
}

func read(t *testing.T, pool *upstream.Pool, target upstream.Target, id string) (string, error) {
	t.Helper()
	got, err := pool.Do(t.Context(), target, call(id))
	if err != nil {
		return "", err
	}
	defer func() { _ = got.Body.Close() }()
	body, err := io.ReadAll(got.Body)
	return string(body), err
}

func TestRequestIsPassedOnUnchanged(t *testing.T) {
	target, connections := endpoint(t, func(connection net.Conn, request *http.Request, _ int) {
		body, _ := io.ReadAll(request.Body)
		answer(connection, request.Header.Get(echo), request.Method+" "+request.RequestURI+" "+request.Host+" "+string(body))
	})
	pool := upstream.New(echo)
	for _, id := range []string{"1", "2", "3"} {
		body, err := read(t, pool, target, id)
		assert.NilError(t, err)
		assert.Equal(t, body, "POST /a/b?c=d h.example hello")
	}
	assert.Equal(t, connections.Load(), int64(1))
}

// An endpoint sends a second answer that arrives where the next is expected:
// it belongs to no request.
func TestAnswerToAnEarlierRequestIsSkipped(t *testing.T) {
	target, _ := endpoint(t, func(connection net.Conn, request *http.Request, number int) {
		if number == 2 {
			answer(connection, "1", "again")
		}
		answer(connection, request.Header.Get(echo), "right")
	})
	pool := upstream.New(echo)
	for _, id := range []string{"1", "2"} {
		body, err := read(t, pool, target, id)
		assert.NilError(t, err)
		assert.Equal(t, body, "right")
	}
}

// Bytes after a complete answer make the connection useless.
func TestBytesAfterAnAnswerEndTheConnection(t *testing.T) {
	target, connections := endpoint(t, func(connection net.Conn, request *http.Request, _ int) {
		answer(connection, request.Header.Get(echo), "right")
		answer(connection, request.Header.Get(echo), "extra")
	})
	pool := upstream.New(echo)
	for _, id := range []string{"1", "2"} {
		body, err := read(t, pool, target, id)
		assert.NilError(t, err)
		assert.Equal(t, body, "right")
		time.Sleep(20 * time.Millisecond)
	}
	assert.Equal(t, connections.Load(), int64(2))
}

// A request is never sent twice, also when a kept connection ends under it.
func TestNothingIsSentTwice(t *testing.T) {
	var runs atomic.Int64
	target, _ := endpoint(t, func(connection net.Conn, request *http.Request, number int) {
		runs.Add(1)
		if number == 2 {
			_ = connection.Close()
			return
		}
		answer(connection, request.Header.Get(echo), "right")
	})
	pool := upstream.New(echo)
	_, err := read(t, pool, target, "1")
	assert.NilError(t, err)
	_, err = read(t, pool, target, "2")
	var failure *upstream.CallError
	assert.Assert(t, errors.As(err, &failure))
	assert.Assert(t, failure.Sent && failure.Reused)
	assert.Equal(t, runs.Load(), int64(2))
}

func TestNobodyListens(t *testing.T) {
	target, _ := endpoint(t, func(net.Conn, *http.Request, int) {})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	target.Address = netip.MustParseAddrPort(listener.Addr().String())
	assert.NilError(t, listener.Close())
	_, err = upstream.New(echo).Do(t.Context(), target, call("1"))
	var failure *upstream.CallError
	assert.Assert(t, errors.As(err, &failure))
	assert.Assert(t, !failure.Sent && failure.Refused)
}

// An answer that ends early must not look complete.
func TestCutAnswerIsAnError(t *testing.T) {
	target, _ := endpoint(t, func(connection net.Conn, request *http.Request, _ int) {
		_, _ = fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 100\r\n\r\nshort", echo, request.Header.Get(echo))
		_ = connection.Close()
	})
	_, err := read(t, upstream.New(echo), target, "1")
	assert.Assert(t, err != nil)
}

// The endpoint answers before it has read a long body: what it reads next on
// the connection must be the rest of that body.
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
		answer(connection, request.Header.Get(echo), "early")
		_, _ = io.Copy(io.Discard, request.Body)
	}()
	long := call("1")
	long.Body = make([]byte, 8<<20)
	target := upstream.Target{InstanceID: "i", Address: netip.MustParseAddrPort(listener.Addr().String())}
	got, err := upstream.New(echo).Do(t.Context(), target, long)
	assert.NilError(t, err)
	body, err := io.ReadAll(got.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "early")
}

// The caller leaves: closing the connection ends the work at the endpoint.
func TestCancelClosesTheConnection(t *testing.T) {
	ended := make(chan struct{})
	target, _ := endpoint(t, func(connection net.Conn, _ *http.Request, _ int) {
		_, _ = connection.Read(make([]byte, 1))
		close(ended)
	})
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(50*time.Millisecond, cancel)
	_, err := upstream.New(echo).Do(ctx, target, call("1"))
	assert.Assert(t, err != nil)
	select {
	case <-ended:
	case <-time.After(2 * time.Second):
		t.Fatal("the endpoint still works")
	}
}
