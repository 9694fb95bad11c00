package proxy_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor"
)

// limiting answers each request and states a limit of requests a second.
func limiting(perSecond func() string) func(http.ResponseWriter, *http.Request) {
	return func(writer http.ResponseWriter, request *http.Request) {
		if value := perSecond(); value != "" {
			writer.Header().Set(headers.RateLimit, value)
		}
		signed("hello")(writer, request)
	}
}

func newLimitSetup(t *testing.T) *setup {
	t.Helper()
	s := newSetup(t)
	s.proxy.SetHosts([]string{"host-1"}, 0)
	return s
}

// Guards against requests beyond the limit that an instance stated (rule LIMIT),
// and against refusing those that another instance can serve.
func TestLimitedInstanceGetsItsLimit(t *testing.T) {
	s := newLimitSetup(t)
	limited, other := newEndpoint(t, limiting(func() string { return "5" })), newEndpoint(t, signed("hello"))
	s.register(limited.instance("i-1", "plain"), other.instance("i-2", "plain"))
	for began := time.Now(); time.Since(began) < 2*time.Second; time.Sleep(5 * time.Millisecond) {
		assert.Equal(t, s.send("/read/x").status, http.StatusOK)
	}
	assert.Assert(t, limited.runs.Load() >= 10 && limited.runs.Load() <= 16, "%d requests in 2 s", limited.runs.Load())
}

// Requests that no instance accepts must be refused at once, with the time at which
// one accepts the next, and a limit must end with a response without one.
func TestRequestsBeyondAllLimitsAreRefusedAtOnce(t *testing.T) {
	const objective = 4 * time.Second
	value := "1"
	for _, path := range []string{"/read/x", "/post/x"} {
		s := newLimitSetup(t)
		s.allowLongRequests(20*time.Second, objective)
		value = "1"
		e := newEndpoint(t, limiting(func() string { return value }))
		s.register(e.instance("i-1", "plain"))
		allowed := func(request *http.Request) { request.Header.Set(headers.DeadlineMS, "60000") }
		assert.Equal(t, s.send(path, allowed).status, http.StatusOK)
		used := time.Now()
		assert.Equal(t, s.send(path, allowed).status, http.StatusOK, "the first request was sent before the limit was known")
		value = ""
		sent := time.Now()
		got := s.send(path, allowed)
		assert.Assert(t, time.Since(sent) < objective/8, "refused only after the wait for a slot")
		wait := retryAfterOf(t, got)
		assert.Assert(t, wait > time.Second-time.Since(used)-10*time.Millisecond && wait < 8*time.Second, "Retry-After %s", wait)
		assert.Equal(t, e.runs.Load(), int64(2))
		time.Sleep(time.Until(used.Add(1100 * time.Millisecond)))
		for range 5 {
			assert.Equal(t, s.send(path, allowed).status, http.StatusOK, "the limit has ended")
		}
	}
}

// A request that waits for a slot must get the one that a limit frees meanwhile.
func TestRequestWaitsForTheNextPartOfALimit(t *testing.T) {
	s := newLimitSetup(t)
	s.allowLongRequests(20*time.Second, 2*time.Second)
	e := newEndpoint(t, limiting(func() string { return "10" }))
	s.register(e.instance("i-1", "plain"))
	for range 20 {
		assert.Equal(t, s.send("/read/x").status, http.StatusOK)
	}
}

// Values without a sense must neither stop the process nor take an instance out of
// use, and the lowest limit must leave it some requests.
func TestSenselessLimitDoesNotTakeAnInstanceOut(t *testing.T) {
	for _, value := range []string{"-1", "-0.001", "NaN", "Inf", "-Inf", "1e999", "many", "5 per second", " ", strings.Repeat("9", 4<<10), "1e308", "1000000"} {
		s := newLimitSetup(t)
		e := newEndpoint(t, limiting(func() string { return value }))
		s.register(e.instance("i-1", "plain"))
		for range 10 {
			assert.Equal(t, s.send("/read/x").status, http.StatusOK, value)
		}
	}
	for _, value := range []string{"0", "-0", "1e-300", "0.000"} {
		s := newLimitSetup(t)
		e := newEndpoint(t, limiting(func() string { return value }))
		s.register(e.instance("i-1", "plain"))
		for range 5 {
			s.send("/read/x")
		}
		assert.Assert(t, e.runs.Load() >= 1 && e.runs.Load() <= 2, "%s: %d requests", value, e.runs.Load())
		now := time.Now()
		_, full := s.proxy.Allowances().FullUntil(e.instance("i-1", "plain"), now.Add(6*time.Second))
		assert.Assert(t, !full, "%s: no request after 6 s", value)
	}
}

// A response of another instance at the address states nothing about the expected
// one.
func TestLimitOfAnotherInstanceIsIgnored(t *testing.T) {
	s := newLimitSetup(t)
	moved := newEndpoint(t, func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set(headers.RateLimit, "1")
		writer.WriteHeader(http.StatusMisdirectedRequest)
	})
	s.register(moved.instance("i-1", "plain"))
	s.send("/read/x")
	assert.Equal(t, s.proxy.Allowances().Count(time.Now()), 0)
	s.proxy.Observe(flamingodoor.InstanceNotice{InstanceID: "i-1", RateLimit: "1"})
	assert.Equal(t, s.proxy.Allowances().Count(time.Now()), 1)
	s.proxy.Observe(flamingodoor.InstanceNotice{InstanceID: "i-1"})
	assert.Equal(t, s.proxy.Allowances().Count(time.Now()), 1, "a report without a limit does not end it")
}
