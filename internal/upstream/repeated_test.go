package upstream_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor/internal/upstream"
)

const refusal = "HTTP/1.1 503 Service Unavailable\r\n" + idHeader + ": %s\r\nContent-Length: 0\r\n\r\n"

// refuseAndRepeat returns an endpoint that refuses the first request and answers
// all others. On the connection of the refusal it writes the refusal once more
// before each answer.
func refuseAndRepeat() func(connection net.Conn, request *http.Request, number int) {
	var mu sync.Mutex
	var faulty net.Conn
	var refused string
	return func(connection net.Conn, request *http.Request, number int) {
		mu.Lock()
		defer mu.Unlock()
		id := request.Header.Get(idHeader)
		if number == 1 {
			faulty, refused = connection, id
			_, _ = fmt.Fprintf(connection, refusal, id)
			return
		}
		if connection == faulty {
			_, _ = fmt.Fprintf(connection, refusal, refused)
		}
		respond(connection, id, "ran")
	}
}

// status calls the endpoint and returns the status of the response.
func status(t *testing.T, pool *upstream.Pool, target upstream.Target, id string) int {
	t.Helper()
	got, err := pool.Do(t.Context(), target, call(id))
	assert.NilError(t, err)
	defer func() { _ = got.Body.Close() }()
	_, err = io.Copy(io.Discard, got.Body)
	assert.NilError(t, err)
	return got.StatusCode
}

// Guards against taking a repeated refusal of an earlier attempt for the answer to
// this one, which carries the same identifier and runs.
func TestRepeatedRefusalIsNotTheAnswerToTheNextAttempt(t *testing.T) {
	for name, between := range map[string][]string{"at once": nil, "after other requests": {"2", "3", "4"}} {
		t.Run(name, func(t *testing.T) {
			target, connections := endpoint(t, refuseAndRepeat())
			pool := upstream.New(idHeader)
			assert.Equal(t, status(t, pool, target, "1"), http.StatusServiceUnavailable)
			for _, id := range between {
				assert.Equal(t, status(t, pool, target, id), http.StatusOK)
			}
			assert.Equal(t, status(t, pool, target, "1"), http.StatusOK)
			assert.Equal(t, connections.Load(), int64(2))
		})
	}
}

// A connection that has carried a request stays usable for other requests, up to
// the number whose identifiers are remembered.
func TestConnectionIsReplacedAfterManyRequests(t *testing.T) {
	target, connections := endpoint(t, func(connection net.Conn, request *http.Request, _ int) {
		respond(connection, request.Header.Get(idHeader), "right")
	})
	pool := upstream.New(idHeader)
	for id := range 512 {
		assert.Equal(t, status(t, pool, target, fmt.Sprint(id)), http.StatusOK)
	}
	assert.Equal(t, connections.Load(), int64(1))
	assert.Equal(t, status(t, pool, target, "0"), http.StatusOK)
	assert.Equal(t, connections.Load(), int64(2))
}
