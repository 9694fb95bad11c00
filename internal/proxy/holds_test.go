package proxy_test

import (
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/proxy"
	"flamingodoor.example/flamingodoor/internal/roster"
)

// refusing refuses each request as not run, with a Retry-After.
func refusing(retryAfter string) func(http.ResponseWriter, *http.Request) {
	return func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set(headers.NotRun, "1")
		writer.Header().Set("Retry-After", retryAfter)
		writer.WriteHeader(http.StatusServiceUnavailable)
	}
}

// retryAfterOf returns the Retry-After of a refusal.
func retryAfterOf(t *testing.T, got reply) time.Duration {
	t.Helper()
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	seconds, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	assert.NilError(t, err)
	return time.Duration(seconds * float64(time.Second))
}

// An instance that refused a request with a Retry-After must get nothing until
// then, although the product's own pause after a refusal ends sooner. Its requests
// are refused at once, with the time from which it takes requests again.
func TestInstanceGetsNothingUntilItsRetryAfter(t *testing.T) {
	const objective = 2 * time.Second
	for _, path := range []string{"/read/x", "/post/x", "/stream/x"} {
		t.Run(path, func(t *testing.T) {
			s := newSetup(t)
			e := newEndpoint(t, refusing("0.9"))
			service := "plain"
			if path == "/stream/x" {
				service = "llm"
			}
			s.register(e.instance("i-1", service))
			allowed := func(request *http.Request) { request.Header.Set(headers.DeadlineMS, "60000") }
			s.allowLongRequests(20*time.Second, objective)
			began := time.Now()
			got := s.send(path, allowed)
			answered := time.Now()
			for {
				// The time of the hold began later than `began`.
				left := time.Until(began.Add(900 * time.Millisecond))
				assert.Assert(t, retryAfterOf(t, got) > left-10*time.Millisecond, "Retry-After %s, %s before the end", got.header.Get("Retry-After"), left)
				if time.Since(answered) > 500*time.Millisecond {
					break
				}
				sent := time.Now()
				got = s.send(path, allowed)
				assert.Assert(t, time.Since(sent) < objective/8, "refused only after the wait for a slot")
				time.Sleep(20 * time.Millisecond)
			}
			assert.Equal(t, e.runs.Load(), int64(1))
			time.Sleep(time.Until(answered.Add(900 * time.Millisecond)))
			s.send(path, allowed)
			assert.Equal(t, e.runs.Load(), int64(2), "it is used again at the end of the time")
		})
	}
}

// The Retry-After of a refusal must not be later than callers wait: at most a
// third of the time that they have left.
func TestRetryAfterOfAHoldIsWithinTheCallersTime(t *testing.T) {
	s := newSetup(t)
	e := newEndpoint(t, refusing("20"))
	s.register(e.instance("i-1", "plain"))
	s.send("/post/x")
	assert.Assert(t, retryAfterOf(t, s.send("/post/x")) <= 500*time.Millisecond)
	assert.Equal(t, e.runs.Load(), int64(1))
}

// Requests must go to the other instances while one takes none, and wait for an
// instance that takes requests again before the end of the wait.
func TestRequestsGoElsewhereWhileAnInstanceIsHeld(t *testing.T) {
	s := newSetup(t)
	full, other := newEndpoint(t, refusing("5")), newEndpoint(t, signed("hello"))
	s.register(full.instance("i-1", "plain"), other.instance("i-2", "plain"))
	for range 20 {
		assert.Equal(t, s.send("/read/x").status, http.StatusOK)
	}
	assert.Assert(t, full.runs.Load() <= 1)

	s = newSetup(t)
	s.register(other.instance("i-2", "plain"))
	s.proxy.Observe(flamingodoor.InstanceNotice{InstanceID: "i-2", StartedAt: other.instance("i-2", "plain").StartedAt, RetryAfter: "0.015"})
	assert.Equal(t, s.send("/read/x").status, http.StatusOK, "the wait lasts 25 ms")
}

// Values without a sense must neither stop the process nor take an instance out of
// use, and one that is too long must not do so for good.
func TestSenselessRetryAfterDoesNotTakeAnInstanceOut(t *testing.T) {
	for _, value := range []string{"", "0", "-5", "NaN", "Inf", "1e999", "soon", "Wed, 21 Oct 2026 07:28:00 GMT", strings.Repeat("9", 4<<10)} {
		s := newSetup(t)
		e := newEndpoint(t, refusing(value))
		s.register(e.instance("i-1", "plain"))
		s.send("/post/x")
		time.Sleep(110 * time.Millisecond) // the product's own pause
		s.send("/post/x")
		assert.Equal(t, e.runs.Load(), int64(2), value)
	}
	for value, until := range map[string]time.Duration{"90": 90 * time.Second, "3600": 2 * time.Minute, "1e300": 2 * time.Minute} {
		var elapsed atomic.Int64
		s := newSetup(t, proxy.WithClock(func() time.Time { return time.Now().Add(time.Duration(elapsed.Load())) }))
		e := newEndpoint(t, signed("hello"))
		s.register(e.instance("i-1", "plain"))
		s.proxy.Observe(flamingodoor.InstanceNotice{InstanceID: "i-1", StartedAt: e.instance("i-1", "plain").StartedAt, RetryAfter: value})
		for at, want := range map[time.Duration]int{until - time.Second: http.StatusServiceUnavailable, until: http.StatusOK} {
			elapsed.Store(int64(at))
			s.catalogue.Confirm(time.Now().Add(at))
			assert.Equal(t, s.send("/post/x").status, want, "%s after %s", value, at)
		}
	}
}

// allowLongRequests sets the timeout and the latency objective of all routes.
func (s *setup) allowLongRequests(timeout, objective time.Duration) {
	changed := *s.catalogue.Index().Catalogue
	changed.Version++
	changed.Routes = slices.Clone(changed.Routes)
	for i := range changed.Routes {
		changed.Routes[i].Timeout, changed.Routes[i].LatencyObjective = timeout, objective
	}
	s.catalogue.Configure(&changed)
}

// A process that starts again does not get its predecessor's hold, and an answer
// of another instance at the address holds nobody.
func TestHoldIsOfOneProcess(t *testing.T) {
	s := newSetup(t)
	e := newEndpoint(t, func(writer http.ResponseWriter, request *http.Request) {
		if request.URL.Path == "/post/full" {
			refusing("5")(writer, request)
			return
		}
		signed("hello")(writer, request)
	})
	s.register(e.instance("i-1", "plain"))
	s.send("/post/full")
	restarted := e.instance("i-1", "plain")
	restarted.StartedAt = restarted.StartedAt.Add(time.Second)
	time.Sleep(110 * time.Millisecond) // the product's own pause
	s.register(restarted)
	assert.Equal(t, s.send("/post/x").status, http.StatusOK)

	s = newSetup(t)
	other := newEndpoint(t, func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("Retry-After", "5")
		writer.WriteHeader(http.StatusMisdirectedRequest)
	})
	s.register(other.instance("i-1", "plain"))
	s.send("/post/x")
	time.Sleep(510 * time.Millisecond) // the product's own pause
	s.send("/post/x")
	assert.Equal(t, other.runs.Load(), int64(2))
}

// A group whose head takes no requests is full: it must be neither lost nor
// stalled, or its streams would end.
func TestGroupOfAHeldHeadIsFullNotLost(t *testing.T) {
	s := newSetup(t)
	e := newEndpoint(t, refusing("5"))
	head := e.instance("i-1", "llm")
	s.register(head)
	s.send("/stream/x")
	view, now := s.roster.View(), time.Now()
	assert.Assert(t, !view.Lost(head, now) && !view.Stalled(roster.GroupKey{Name: "g-i-1", Epoch: 1}, now))
	assert.Assert(t, view.Serving(view.Groups[0], 1, now))
	assert.Assert(t, s.proxy.MayProbe(head) && !s.proxy.MayProbe(head), "it is probed once")
	assert.Assert(t, strings.Contains(s.send("/stream/x").body, "full"))
}

// Guards against a refusal that an instance writes once more on a kept connection
// and that holds it again: its time counts from the first one.
func TestRepeatedRefusalDoesNotHoldAgain(t *testing.T) {
	s := newSetup(t)
	refusal := "HTTP/1.1 503 E\r\n" + headers.RequestID + ": r1\r\n" + headers.NotRun + ": 1\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n"
	var requests atomic.Int64
	worker := newWorker(t, func(connection *net.TCPConn, request *http.Request, number int) bool {
		answer := success + "Content-Length: 2\r\n\r\nok"
		switch {
		case requests.Add(1) == 1:
			answer = refusal
		case number == 2:
			answer = refusal + answer
		}
		writeText(connection, request, answer)
		return true
	})
	s.register(worker.instance("i-1", "plain"))
	sendAs := func(id string) int {
		return s.send("/read/x", func(request *http.Request) { request.Header.Set(headers.RequestID, id) }).status
	}
	assert.Equal(t, sendAs("r1"), http.StatusServiceUnavailable)
	time.Sleep(1100 * time.Millisecond)
	assert.Equal(t, sendAs("r2"), http.StatusOK)
	assert.Equal(t, sendAs("r3"), http.StatusOK)
}
