package proxy_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor/internal/proxy"
)

const (
	maxBody = 1 << 20 // of newSetup
	// bodiesMemory has room for four of the largest bodies.
	bodiesMemory = 3 * 4 * maxBody
)

// sendBody sends a request with a body of the given size.
func (s *setup) sendBody(path string, size int, chunked bool) reply {
	s.t.Helper()
	return s.send(path, func(request *http.Request) {
		request.Body, request.ContentLength = io.NopCloser(bytes.NewReader(make([]byte, size))), int64(size)
		if chunked {
			request.ContentLength = -1
		}
	})
}

// Guards against a host that exceeds its memory because its callers send the largest
// bodies that are allowed all at once (review/3), and against small requests that are
// refused because of them.
func TestLargeBodiesAreAdmittedWithinTheMemory(t *testing.T) {
	for name, chunked := range map[string]bool{"sized": false, "chunked": true} {
		t.Run(name, func(t *testing.T) {
			s := newSetup(t, proxy.WithMemory(bodiesMemory))
			arrived, goOn := make(chan struct{}, 10), make(chan struct{})
			e := newEndpoint(t, func(writer http.ResponseWriter, request *http.Request) {
				if strings.HasSuffix(request.URL.Path, "large") {
					arrived <- struct{}{}
					<-goOn
				}
				signed("hello")(writer, request)
			})
			instance := e.instance("i-1", "plain")
			instance.Slots = 100
			s.register(instance)
			var sending sync.WaitGroup
			for range 4 {
				sending.Go(func() { assert.Check(t, s.sendBody("/post/large", maxBody, chunked).status == http.StatusOK) })
			}
			for range 4 {
				await(t, arrived, "a large body")
			}
			for range 4 {
				refused := s.sendBody("/post/large", maxBody, chunked)
				assert.Equal(t, refused.status, http.StatusServiceUnavailable)
				assert.Equal(t, refused.body, `{"error":"bodies_full"}`)
				assert.Equal(t, s.sendBody("/post/small", 1000, chunked).status, http.StatusOK)
			}
			close(goOn)
			sending.Wait()
			assert.Equal(t, s.sendBody("/post/large", maxBody, chunked).status, http.StatusOK)
			assert.Equal(t, e.runs.Load(), int64(4+4+1))
		})
	}
}

// Guards against small requests that wait for callers that send large bodies slowly.
func TestSlowSendersDoNotHoldUpSmallRequests(t *testing.T) {
	s := newSetup(t, proxy.WithMemory(bodiesMemory))
	s.register(newEndpoint(t, signed("hello")).instance("i-1", "plain"))
	for range 30 {
		connection, err := net.Dial("tcp", s.front.Listener.Addr().String())
		assert.NilError(t, err)
		defer func() { _ = connection.Close() }()
		_, err = fmt.Fprintf(connection, "POST /post/x HTTP/1.1\r\nHost: %s\r\n%s: r1\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\nb", host, headers.RequestID, key, maxBody)
		assert.NilError(t, err)
	}
	time.Sleep(transitTime)
	for range 10 {
		assert.Equal(t, s.sendBody("/post/small", 1000, false).status, http.StatusOK)
	}
}

// Guards against bodies that are cut or refused at the sizes at which they are read in
// another way.
func TestBodiesOfAllSizesArePassedOn(t *testing.T) {
	s := newSetup(t, proxy.WithMemory(bodiesMemory))
	e := newEndpoint(t, func(writer http.ResponseWriter, request *http.Request) {
		signed(request.Header.Get("Content-Length"))(writer, request)
	})
	s.register(e.instance("i-1", "plain"))
	for _, chunked := range []bool{false, true} {
		for _, size := range []int{0, 1, 64<<10 - 1, 64 << 10, 64<<10 + 1, maxBody - 1, maxBody} {
			got := s.sendBody("/post/x", size, chunked)
			assert.Equal(t, got.status, http.StatusOK, "%d bytes, chunked %v", size, chunked)
			assert.Equal(t, got.body, fmt.Sprint(size), "chunked %v", chunked)
		}
		assert.Equal(t, s.sendBody("/post/x", maxBody+1, chunked).status, http.StatusRequestEntityTooLarge, "chunked %v", chunked)
	}
}
