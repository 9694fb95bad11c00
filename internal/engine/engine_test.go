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

// Guards against a refusal whose run state says more than is known.
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

// Guards against a silent second send by net/http, and against a lost call
// being reported as not run.
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

// Guards against an order being sent after a pause outlasted its deadline.
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

// Guards against a stream that ends early being taken for a whole answer.
func TestStreamEndsWithEndMarkerOnly(t *testing.T) {
	for _, whole := range []bool{true, false} {
		endpoint := serve(t, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Incarnation", "i1")
			writeChunk(w, `{"request_id":"r","attempt":2,"seq":3,"text":"a"}`)
			if whole {
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
		if whole {
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

// Guards against waiting for ever on a connection that stopped carrying data,
// before the headers, before the first chunk and between chunks.
func TestProgressDeadline(t *testing.T) {
	for _, stage := range []string{"headers", "first", "between"} {
		endpoint := serve(t, func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			if stage == "first" {
				_ = http.NewResponseController(w).Flush()
			}
			if stage == "between" {
				writeChunk(w, `{"text":"a"}`)
			}
			<-r.Context().Done() // the client closes the connection
		})
		client := engine.NewClient(engine.WithFirstChunkTimeout(200*time.Millisecond), engine.WithChunkGapTimeout(50*time.Millisecond))
		stream, err := client.Generate(t.Context(), endpoint, flamingodoor.GenerateRequest{})
		for err == nil {
			_, err = stream.Next()
		}
		assert.Assert(t, errors.Is(err, engine.ErrNoProgress), "%s: %v", stage, err)
		assert.Equal(t, flamingodoor.RunStateOf(err), flamingodoor.RunStateMayHaveRun)
	}
}

// Guards against unbounded memory for a broken endpoint's answer.
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

// Guards against a call that expired before sending being reported as run.
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
