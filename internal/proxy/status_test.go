package proxy_test

import (
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against delivering a response that follows, or has, an invalid status, and
// against a second run of a request that may run once. A request that may be repeated
// gets the answer of another instance.
func TestInvalidStatusIsAFailedAttempt(t *testing.T) {
	answer := "Content-Type: text/event-stream\r\nContent-Length: " + fmt.Sprint(len(event(1))) + "\r\n\r\n" + event(1)
	for _, status := range []string{"000", "+20", "101", "600"} {
		for path, service := range paths {
			t.Run(status+" "+path, func(t *testing.T) {
				s := newSetup(t)
				head := "HTTP/1.1 " + status + " X\r\n" + headers.RequestID + ": ID\r\n" + headers.Signature + ": sig\r\n"
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
