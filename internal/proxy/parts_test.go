package proxy_test

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/balance"
	"flamingodoor.example/flamingodoor/internal/poison"
)

// partTracker is a PartTracker of one host, for which each broken attempt is a
// crash.
type partTracker struct {
	*poison.PartLedger
	blockAll atomic.Bool
	broken   atomic.Int64
	begun    atomic.Int64
}

func newPartTracker() *partTracker {
	return &partTracker{PartLedger: poison.NewPartLedger()}
}

func (p *partTracker) Loaded() bool {
	return true
}

func (p *partTracker) Blocked(parts []flamingodoor.PromptPart, now time.Time) bool {
	return len(parts) > 0 && (p.blockAll.Load() || p.PartLedger.Blocked(parts, now))
}

func (p *partTracker) ReportBegun(parts []flamingodoor.PromptPart) {
	p.PartLedger.ReportBegun(parts, time.Now())
	p.begun.Add(1)
}

func (p *partTracker) ReportBroken(_ context.Context, instance flamingodoor.Instance, parts []flamingodoor.PromptPart) {
	process := poison.ProcessOf(instance)
	count := p.broken.Add(1)
	process.StartedMS += count // each attempt ends a process
	// The crashes are apart, so that each counts.
	p.ReportCrash(process, parts, time.Now().Add(time.Duration(count)*time.Second-time.Minute))
}

func withParts(value string) func(*http.Request) {
	return func(request *http.Request) { request.Header.Set(headers.PromptParts, value) }
}

// crashing aborts streams of requests with the part before their first event, and
// serves others.
func crashing(part string) func(http.ResponseWriter, *http.Request) {
	return func(writer http.ResponseWriter, request *http.Request) {
		if request.Header.Get(headers.PromptParts)[:len(part)] == part {
			writer.Header().Set(headers.Signature, "sig")
			writer.(http.Flusher).Flush() //nolint:forcetypeassert // the test server flushes
			panic(http.ErrAbortHandler)
		}
		events(3, 0)(writer, request)
	}
}

// Guards against sending more than a few requests with a part that crashes
// instances, and against refusing others (rule BUDGET on the day tainted of the
// Kivuko deployment, seed 1).
func TestRequestsWithADeadlyPartAreRefused(t *testing.T) {
	s := newSetup(t)
	first, second := newEndpoint(t, crashing("dead")), newEndpoint(t, crashing("dead"))
	s.register(first.instance("i-1", "llm"), second.instance("i-2", "llm"))
	statuses := []int{http.StatusBadGateway, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusServiceUnavailable}
	for i, want := range statuses {
		own := string(rune('a' + i))
		got := s.send("/stream/"+own, withParts("dead:5,own-"+own+":7"))
		assert.Equal(t, got.status, want)
		assert.Equal(t, got.header.Get("Retry-After"), "")
	}
	assert.Equal(t, first.runs.Load()+second.runs.Load(), int64(3))
	// The last part and the number of tokens identify no part.
	for _, parts := range []string{"fine:5,dead:5", "fine:5,own:9", "own:1"} {
		assert.Equal(t, s.send("/stream/x", withParts(parts)).body, allEvents(3), parts)
	}
	assert.Equal(t, s.send("/stream/x", withParts("DEAD:9, own:9")).status, http.StatusServiceUnavailable)
}

// Guards against sending a request that waited for a slot while its part became
// blocked.
func TestPartIsCheckedAfterTheWait(t *testing.T) {
	s := newSetup(t)
	e := newEndpoint(t, events(3, 0))
	s.register(e.instance("i-1", "llm"))
	for range 2 {
		_, ok := s.tracker.Pick([]balance.Candidate{{ID: "i-1", Capacity: 2, OwnLimit: 2}}, 0, time.Now())
		assert.Assert(t, ok)
	}
	time.AfterFunc(10*time.Millisecond, func() {
		s.parts.blockAll.Store(true)
		s.tracker.Release("i-1")
	})
	assert.Equal(t, s.send("/stream/x", withParts("a:1,b:1")).status, http.StatusServiceUnavailable)
	assert.Equal(t, e.runs.Load(), int64(0))
}

// Guards against counting a crash against a request whose stream had begun.
func TestBegunStreamIsNoSuspect(t *testing.T) {
	s := newSetup(t)
	first, second := newEndpoint(t, events(6, 3)), newEndpoint(t, events(6, 0))
	far := second.instance("i-2", "llm")
	far.DataCentre = "dc-b"
	s.register(first.instance("i-1", "llm"), far)
	assert.Equal(t, s.send("/stream/x", withParts("a:1,b:1")).body, allEvents(6))
	assert.Equal(t, s.parts.broken.Load(), int64(0))
}

// Guards against an instance crashing because of a request that was sent shortly
// before its part became blocked, and against ending streams that have begun.
func TestUnbegunRequestsWithABlockedPartEnd(t *testing.T) {
	s := newSetup(t)
	waiting, ended := make(chan struct{}, 1), make(chan struct{}, 1)
	e := newEndpoint(t, func(_ http.ResponseWriter, request *http.Request) {
		waiting <- struct{}{}
		<-request.Context().Done()
		ended <- struct{}{}
	})
	proceed := make(chan struct{})
	other := newEndpoint(t, func(writer http.ResponseWriter, request *http.Request) {
		events(3, 0)(writer, request)
		<-proceed
	})
	replies := make(chan reply, 2)
	s.register(other.instance("i-1", "llm"))
	go func() { replies <- s.send("/stream/a", withParts("dead:5,a:1")) }()
	for begun := time.Now(); s.parts.begun.Load() == 0; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Since(begun) < 10*time.Second, "the response does not begin")
	}
	s.register(e.instance("i-2", "llm"))
	go func() { replies <- s.send("/stream/b", withParts("dead:5,b:1")) }()
	<-waiting
	s.parts.blockAll.Store(true)
	s.proxy.EndUnbegun(func(parts []flamingodoor.PromptPart) bool { return len(parts) == 2 }) // the deadly part and the whole request
	<-ended
	got := <-replies
	assert.Equal(t, got.status, http.StatusBadGateway)
	assert.Equal(t, s.parts.broken.Load(), int64(0), "this host ended the attempt")
	close(proceed)
	assert.Equal(t, (<-replies).body, allEvents(3))
}

// Guards against clearing a part that crashes instances because an instance failed
// for another reason: an error is no response to the prompt.
func TestErrorDoesNotClearAPart(t *testing.T) {
	s := newSetup(t)
	var fails atomic.Bool
	e := newEndpoint(t, func(writer http.ResponseWriter, _ *http.Request) {
		if !fails.Load() {
			panic(http.ErrAbortHandler)
		}
		writer.WriteHeader(http.StatusInternalServerError)
	})
	s.register(e.instance("i-1", "plain"))
	statuses := make([]int, 0, 6)
	for i := range 6 {
		fails.Store(i == 2)
		statuses = append(statuses, s.send("/post/"+string(rune('a'+i)), withParts("dead:5,own:7")).status)
	}
	assert.DeepEqual(t, statuses, []int{502, 502, 500, 502, 503, 503})
}
