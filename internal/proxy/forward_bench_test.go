package proxy_test

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// BenchmarkRequest measures requests that this host serves itself, with the stand-in
// of the endpoint.
func BenchmarkRequest(b *testing.B) {
	for _, path := range []string{"/read/x", "/stream/x"} {
		b.Run(path, func(b *testing.B) {
			s := newSetup(b)
			s.register(newEndpoint(b, signed("done")).instance("i-1", "plain"), newEndpoint(b, events(20, 0)).instance("i-2", "llm"))
			benchmark(b, s, path)
		})
	}
}

// BenchmarkForwardedRequest measures the same through another host. What it adds is
// the price at both hosts together.
func BenchmarkForwardedRequest(b *testing.B) {
	for _, path := range []string{"/read/x", "/stream/x"} {
		b.Run(path, func(b *testing.B) {
			f := newFleet(b, 1)
			f.peers[0].register(newEndpoint(b, signed("done")).instance("i-1", "plain"), newEndpoint(b, events(20, 0)).instance("i-2", "llm"))
			benchmark(b, f.setup, path)
		})
	}
}

func benchmark(b *testing.B, s *setup, path string) {
	b.Helper()
	b.ReportAllocs()
	before := processorTime(b)
	requests := 0
	for b.Loop() {
		requests++
		request := httptest.NewRequestWithContext(b.Context(), http.MethodPost, path, strings.NewReader("body"))
		request.RequestURI, request.Host = path, host
		request.Header.Set(headers.RequestID, strconv.Itoa(requests))
		request.Header.Set(headers.DeadlineMS, "1500")
		request.Header.Set(headers.Model, model)
		request.Header.Set(headers.Tokens, "100,50")
		request.Header.Set("Authorization", "Bearer "+key)
		writer := httptest.NewRecorder()
		s.proxy.ServeHTTP(writer, request)
		assert.Equal(b, writer.Code, http.StatusOK)
		if requests%1000 == 0 {
			s.catalogue.Confirm(time.Now())
		}
	}
	b.ReportMetric(float64((processorTime(b)-before).Microseconds())/float64(requests), "cpu-µs/op")
}

// processorTime returns the processor time of this process.
func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
