package proxy_test

import (
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against delivering a response that follows, or has, an invalid status or an
// invalid name of a field, and against a second run of a request that may run once. A
// request that may be repeated gets the answer of another instance.
func TestInvalidHeadIsAFailedAttempt(t *testing.T) {
	answer := "Content-Type: text/event-stream\r\nContent-Length: " + fmt.Sprint(len(event(1))) + "\r\n\r\n" + event(1)
	for _, lines := range []string{
		"000 X", "+20 X", "101 X", "600 X",
		"200 OK\r\nX A: b", "200 OK\r\nX-\x01A: b", "200 OK\r\nContent-Length : 1", "200 OK\r\nTransfer-Encoding : chunked", "200 OK\r\nX-A: b\r\n Content-Length: 1",
	} {
		for path, service := range paths {
			t.Run(fmt.Sprintf("%q %s", lines, path), func(t *testing.T) {
				s := newSetup(t)
				head := "HTTP/1.1 " + lines + "\r\n" + headers.RequestID + ": ID\r\n" + headers.Signature + ": sig\r\n"
				faulty := newWorker(t, writing(head+"Content-Length: 0\r\n\r\n"+success+"\r\nwrong"))
				other := newWorker(t, writing(success+answer))
				s.register(faulty.instance("i-1", service))
				alone := s.send(path)
				assert.Equal(t, alone.status, http.StatusBadGateway, alone.body)
				assert.Equal(t, alone.header.Get(headers.Signature), "")
				assert.Equal(t, faulty.runs.Load(), int64(1))
				s = newSetup(t) // a repeat of a request that failed before is restricted
				far := other.instance("i-2", service)
				far.DataCentre = "dc-b"
				s.register(faulty.instance("i-1", service), far)
				got := s.send(path)
				assert.Equal(t, faulty.runs.Load(), int64(2))
				if path == "/post2/x" {
					assert.Equal(t, got.status, http.StatusBadGateway, got.body)
					assert.Equal(t, other.runs.Load(), int64(0))
					return
				}
				assert.Equal(t, got.status, http.StatusOK, got.body)
				assert.Equal(t, got.body, event(1))
			})
		}
	}
}
