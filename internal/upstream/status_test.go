package upstream_test

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/upstream"
)

// Guards against skipping a head whose status is no status as an interim response, or
// delivering it, and against reading on after it: what follows may not belong to the
// request.
func TestInvalidStatusFailsTheCall(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "+20", "-00", "101", "600", "999"} {
		t.Run(status, func(t *testing.T) {
			closed := make(chan struct{})
			target, _ := endpoint(t, func(connection net.Conn, request *http.Request, _ int) {
				id := request.Header.Get(idHeader)
				_, _ = fmt.Fprintf(connection, "HTTP/1.1 %s X\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", status, idHeader, id)
				respond(connection, id, "later")
				_, _ = connection.Read(make([]byte, 1)) // until the caller closes
				close(closed)
			})
			heads := 0
			request := call("1")
			request.OnHead = func(int, http.Header) { heads++ }
			_, err := upstream.New(idHeader).Do(t.Context(), target, request)
			var failure *upstream.CallError
			assert.Assert(t, errors.As(err, &failure) && failure.Sent, "status %s: %v", status, err)
			assert.Equal(t, flamingodoor.CodeOf(err), flamingodoor.CodeProtocol)
			assert.Equal(t, heads, 0)
			select {
			case <-closed:
			case <-time.After(2 * time.Second):
				t.Fatal("the connection is still open")
			}
		})
	}
}

// Statuses at the ends of the valid range must stay answers, and interim responses
// must be skipped.
func TestValidStatusesAreAnswers(t *testing.T) {
	for _, status := range []int{200, 299, 599} {
		target, _ := endpoint(t, func(connection net.Conn, request *http.Request, _ int) {
			_, _ = fmt.Fprint(connection, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 199 X\r\n\r\n")
			_, _ = fmt.Fprintf(connection, "HTTP/1.1 %d X\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", status, idHeader, request.Header.Get(idHeader))
		})
		response, err := upstream.New(idHeader).Do(t.Context(), target, call("1"))
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, status)
		assert.NilError(t, response.Body.Close())
	}
}
