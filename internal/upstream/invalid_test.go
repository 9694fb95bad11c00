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
			err := requireInvalidHead(t, status+" X\r\nX-A: b")
			assert.Equal(t, flamingodoor.CodeOf(err), flamingodoor.CodeProtocol)
		})
	}
}

// Guards against delivering a head with a blank or a control byte in the name of a field,
// or skipping it as an interim response. Such a field may be the length of the body.
func TestInvalidFieldNameFailsTheCall(t *testing.T) {
	for _, field := range []string{
		"X A: b", "X-A : b", "X-A\t: b", " X-A: b", "\tX-A: b", "X-\x00A: b", "X-\x01A: b", "X-A\x7f: b", "X\rA: b", "X-\xe9: b", ": b",
		"Content-Length : 1", " Content-Length: 1", "Transfer-Encoding : chunked",
	} {
		for _, status := range []string{"103 Early Hints", "200 OK"} {
			for _, before := range []string{"", "X-A: b\r\n"} {
				t.Run(fmt.Sprintf("%s %q after %q", status, field, before), func(t *testing.T) {
					_ = requireInvalidHead(t, status+"\r\n"+before+field)
				})
			}
		}
	}
}

// requireInvalidHead fails the test unless a call fails because of a response whose head
// begins with the lines, and its connection is closed. It returns the error of the call.
func requireInvalidHead(t *testing.T, lines string) error {
	t.Helper()
	closed := make(chan struct{})
	target, _ := endpoint(t, func(connection net.Conn, request *http.Request, _ int) {
		id := request.Header.Get(idHeader)
		_, _ = fmt.Fprintf(connection, "HTTP/1.1 %s\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", lines, idHeader, id)
		respond(connection, id, "later")
		_, _ = connection.Read(make([]byte, 1)) // until the caller closes
		close(closed)
	})
	heads := 0
	request := call("1")
	request.OnHead = func(int, http.Header) { heads++ }
	_, err := upstream.New(idHeader).Do(t.Context(), target, request)
	var failure *upstream.CallError
	assert.Assert(t, errors.As(err, &failure) && failure.Sent, "%q: %v", lines, err)
	assert.Equal(t, heads, 0)
	select {
	case <-closed:
	case <-time.After(2 * time.Second):
		t.Fatal("the connection is still open")
	}
	return err
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
