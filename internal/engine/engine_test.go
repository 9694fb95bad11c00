package engine_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/engine"
)

func serve(tb testing.TB, handler http.HandlerFunc) flamingodoor.Endpoint {
	tb.Helper()
	server := httptest.NewServer(handler)
	tb.Cleanup(server.Close)
	return flamingodoor.Endpoint{ID: "e", Address: netip.MustParseAddrPort(server.Listener.Addr().String())}
}

func closedEndpoint(t *testing.T) flamingodoor.Endpoint {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, listener.Close())
	return flamingodoor.Endpoint{Address: netip.MustParseAddrPort(listener.Addr().String())}
}

func writeChunk(w http.ResponseWriter, body string) {
	_, _ = fmt.Fprintf(w, "data: %s\n\n", body)
	_ = http.NewResponseController(w).Flush()
}

// Guards against reporting a refused request as not run although the status
// does not prove it, or as possibly run although it does.
func TestGenerateRunStates(t *testing.T) {
	cases := map[int]flamingodoor.RunState{
		http.StatusTooManyRequests:     flamingodoor.RunStateNotRun,
		http.StatusConflict:            flamingodoor.RunStateNotRun,
		http.StatusServiceUnavailable:  flamingodoor.RunStateMayHaveRun,
		http.StatusInternalServerError: flamingodoor.RunStateMayHaveRun,
	}
	for status, expected := range cases {
		endpoint := serve(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) })
		_, err := engine.NewClient().Generate(t.Context(), endpoint, flamingodoor.GenerateRequest{})
		assert.Equal(t, flamingodoor.RunStateOf(err), expected, "status %d", status)
	}
	_, err := engine.NewClient().Generate(t.Context(), closedEndpoint(t), flamingodoor.GenerateRequest{})
	assert.Equal(t, flamingodoor.RunStateOf(err), flamingodoor.RunStateNotRun)
}

// Guards against a retry by net/http itself, and against reporting a call whose
// connection was lost as not run.
func TestLostConnectionIsSentOnceAndMayHaveRun(t *testing.T) {
	var received atomic.Int32
	endpoint := serve(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if received.Add(1)%2 == 0 { // every second request loses its connection
			panic(http.ErrAbortHandler)
		}
	})
	client := engine.NewServiceClient()
	for method, body := range map[string]string{http.MethodPost: "x", http.MethodDelete: "", http.MethodGet: ""} {
		received.Store(0)
		call := flamingodoor.ServiceCall{Method: method, Path: "/post", Body: []byte(body), IdempotencyKey: "k"}
		_, err := client.Call(t.Context(), endpoint, call)
		assert.NilError(t, err)
		_, err = client.Call(t.Context(), endpoint, call)
		assert.Equal(t, flamingodoor.RunStateOf(err), flamingodoor.RunStateMayHaveRun, method)
		assert.Equal(t, received.Load(), int32(2), method)
	}
}

// Guards against sending an order whose deadline passed while the process was
// paused.
func TestOrderIsNotSentAfterItsDeadline(t *testing.T) {
	var received atomic.Int32
	endpoint := serve(t, func(http.ResponseWriter, *http.Request) { received.Add(1) })
	start := time.Now()
	now := start
	client := engine.NewClient(engine.WithClock(func() time.Time { return now }))
	order := flamingodoor.Order{FencingNumber: 7, GroupID: "g", Deadline: start.Add(5 * time.Second)}
	assert.NilError(t, client.Order(t.Context(), endpoint, order))
	now = order.Deadline
	err := client.Order(t.Context(), endpoint, order)
	assert.Equal(t, flamingodoor.CodeOf(err), flamingodoor.CodeDeadlineExceeded)
	assert.Equal(t, flamingodoor.RunStateOf(err), flamingodoor.RunStateNotRun)
	assert.Equal(t, received.Load(), int32(1))
}

// Guards against taking a stream without an end marker for a complete answer.
func TestStreamEndsWithEndMarkerOnly(t *testing.T) {
	for _, complete := range []bool{true, false} {
		endpoint := serve(t, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Incarnation", "i1")
			writeChunk(w, `{"request_id":"r","attempt":2,"seq":3,"text":"a"}`)
			if complete {
				writeChunk(w, `{"request_id":"r","attempt":2,"seq":4,"done":true,"finish_reason":"stop"}`)
			}
		})
		stream, err := engine.NewClient().Generate(t.Context(), endpoint, flamingodoor.GenerateRequest{})
		assert.NilError(t, err)
		assert.Equal(t, stream.Incarnation(), "i1")
		chunk, err := stream.Next()
		assert.NilError(t, err)
		assert.DeepEqual(t, chunk, flamingodoor.Chunk{RequestID: "r", Attempt: 2, Seq: 3, Text: "a"})
		chunk, err = stream.Next()
		if complete {
			assert.NilError(t, err)
			assert.Assert(t, chunk.Done)
			_, err = stream.Next()
			assert.Assert(t, errors.Is(err, io.EOF))
		} else {
			assert.Equal(t, flamingodoor.CodeOf(err), flamingodoor.CodeStreamLost)
		}
		assert.NilError(t, stream.Close())
	}
}

// Guards against waiting for ever on a connection that no longer carries data:
// before the headers, before the first chunk and between chunks.
func TestProgressDeadline(t *testing.T) {
	for _, stallAt := range []string{"headers", "first", "between"} {
		endpoint := serve(t, func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			if stallAt == "first" {
				_ = http.NewResponseController(w).Flush()
			}
			if stallAt == "between" {
				writeChunk(w, `{"text":"a"}`)
			}
			<-r.Context().Done() // the client closes the connection
		})
		client := engine.NewClient(engine.WithFirstChunkTimeout(200*time.Millisecond), engine.WithChunkGapTimeout(50*time.Millisecond))
		stream, err := client.Generate(t.Context(), endpoint, flamingodoor.GenerateRequest{})
		for err == nil {
			_, err = stream.Next()
		}
		assert.Assert(t, errors.Is(err, engine.ErrNoProgress), "%s: %v", stallAt, err)
		assert.Equal(t, flamingodoor.RunStateOf(err), flamingodoor.RunStateMayHaveRun)
	}
}

// Guards against unbounded memory use by the response of a faulty endpoint.
func TestAnswersAreBounded(t *testing.T) {
	endpoint := serve(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, strings.Repeat("x", 100)) })
	_, err := engine.NewServiceClient(engine.WithMaxResponseBytes(99)).Call(t.Context(), endpoint, flamingodoor.ServiceCall{Method: http.MethodGet, Path: "/"})
	assert.Equal(t, flamingodoor.CodeOf(err), flamingodoor.CodeEndpointFailed)
	stream, err := engine.NewClient(engine.WithMaxEventBytes(50)).Generate(t.Context(), endpoint, flamingodoor.GenerateRequest{})
	assert.NilError(t, err)
	_, err = stream.Next()
	assert.Equal(t, flamingodoor.CodeOf(err), flamingodoor.CodeEndpointFailed)
	assert.NilError(t, stream.Close())
}

// Guards against reporting a call as run although its deadline passed before it
// was sent, and against reporting one that expired later as not run.
func TestServiceCallDeadline(t *testing.T) {
	endpoint := serve(t, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	call := flamingodoor.ServiceCall{Method: http.MethodPost, Path: "/", Deadline: time.Now().Add(-time.Second)}
	_, err := engine.NewServiceClient().Call(t.Context(), endpoint, call)
	assert.Equal(t, flamingodoor.RunStateOf(err), flamingodoor.RunStateNotRun)
	call.Deadline = time.Now().Add(50 * time.Millisecond)
	_, err = engine.NewServiceClient().Call(context.Background(), endpoint, call)
	assert.Equal(t, flamingodoor.RunStateOf(err), flamingodoor.RunStateMayHaveRun)
	assert.Equal(t, flamingodoor.CodeOf(err), flamingodoor.CodeDeadlineExceeded)
}
