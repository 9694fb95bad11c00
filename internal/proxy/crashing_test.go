package proxy_test

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against sending a request that crashes the instances that run it to one after
// the other: crashes were recorded for streams only (rule BUDGET on the day
// crashing-reads of the Kivuko deployment, seed 1).
func TestRequestsThatCrashInstancesAreRefused(t *testing.T) {
	const mostRuns = 3
	for _, path := range []string{"/read/", "/post/", "/post2/", "/stream/"} {
		t.Run(path, func(t *testing.T) {
			s := newSetup(t)
			var deadlyRuns atomic.Int64
			crashing := func(writer http.ResponseWriter, request *http.Request) {
				if strings.HasSuffix(request.URL.Path, "/deadly") {
					deadlyRuns.Add(1)
					panic(http.ErrAbortHandler)
				}
				events(3, 0)(writer, request)
			}
			first, second := newEndpoint(t, crashing), newEndpoint(t, crashing)
			service := "plain"
			if path == "/stream/" {
				service = "llm"
			}
			s.register(first.instance("i-1", service), second.instance("i-2", service))
			statuses := make([]int, 0, 2*mostRuns)
			for range 2 * mostRuns {
				s.send(path + "sound") // leaves a connection for the next request
				statuses = append(statuses, s.send(path+"deadly").status)
			}
			runs := deadlyRuns.Load()
			assert.Check(t, runs <= mostRuns, "%d runs, statuses %v", runs, statuses)
			assert.Equal(t, statuses[mostRuns], http.StatusServiceUnavailable)
			assert.Equal(t, s.send(path+"deadly").body, `{"error":"crashes_endpoints"}`)
			assert.Equal(t, s.send(path+"sound").body, allEvents(3))
		})
	}
}

// Guards against refusing a sound request that callers repeat often and that was in
// flight at several crashes: one that has been answered crashes no instance.
func TestAnsweredRequestIsNotRefused(t *testing.T) {
	for _, path := range []string{"/read/", "/post/", "/stream/"} {
		t.Run(path, func(t *testing.T) {
			s := newSetup(t)
			var requests atomic.Int64
			e := newEndpoint(t, func(writer http.ResponseWriter, request *http.Request) {
				if requests.Add(1)%3 != 0 {
					panic(http.ErrAbortHandler) // another request has crashed the instance
				}
				events(3, 0)(writer, request)
			})
			service := "plain"
			if path == "/stream/" {
				service = "llm"
			}
			s.register(e.instance("i-1", service))
			for range 4 {
				assert.Equal(t, s.send(path+"sound").status, http.StatusBadGateway)
				assert.Equal(t, s.send(path+"sound").status, http.StatusBadGateway)
				assert.Equal(t, s.send(path+"sound").status, http.StatusOK)
			}
		})
	}
}

// Guards against forgetting a request whose answer breaks off after a part of it has
// reached the caller: the instance that sent it may have crashed.
func TestLongAnswersThatBreakOffAreCounted(t *testing.T) {
	const mostRuns = 3
	s := newSetup(t)
	e := newEndpoint(t, func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set(headers.Signature, "sig")
		_, _ = io.WriteString(writer, strings.Repeat("x", 1<<20))
		panic(http.ErrAbortHandler)
	})
	for run := range 2 * mostRuns {
		s.register(e.instance("i-"+strconv.Itoa(run), "plain")) // each run ends a process
		got := s.send("/read/deadly")
		assert.Assert(t, got.status == http.StatusServiceUnavailable || got.err != nil, "the answer looks complete")
	}
	assert.Assert(t, e.runs.Load() <= mostRuns, "%d runs", e.runs.Load())
}
