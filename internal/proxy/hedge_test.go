package proxy_test

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/proxy"
	"flamingodoor.example/flamingodoor/internal/roster"
	"flamingodoor.example/flamingodoor/internal/stall"
)

// transitTime is enough for the events before a silence to reach the host, so that they
// are no sign that the instance goes on.
const transitTime = 100 * time.Millisecond

// lastEvent is the last event of the streams.
const lastEvent = 6

// standstill is an endpoint that stands still in the middle of a stream.
type standstill struct {
	*endpoint

	reached chan struct{} // one value for each request that reached the silence
	goOn    chan struct{} // closed when the endpoint goes on
	left    chan struct{} // one value for each request whose connection closed meanwhile
}

// newStandstill returns an endpoint that sends the events after Last-Event-Id up to
// lastEvent, and stands still after `silentAfter` of them. `breaks` makes it close the
// connection in the end.
func newStandstill(t *testing.T, silentAfter int, breaks bool) *standstill {
	t.Helper()
	w := &standstill{reached: make(chan struct{}, 10), goOn: make(chan struct{}), left: make(chan struct{}, 10)}
	w.endpoint = newEndpoint(t, func(writer http.ResponseWriter, request *http.Request) {
		writer.Header().Set(headers.Signature, "sig")
		writer.Header().Set("Content-Type", "text/event-stream")
		begin := 1
		if resumed := request.Header.Get(headers.LastEventID); resumed != "" {
			_, _ = fmt.Sscan(resumed, &begin)
			begin++
		}
		for id := begin; id <= lastEvent; id++ {
			if id == begin+silentAfter {
				w.reached <- struct{}{}
				select {
				case <-w.goOn:
				case <-request.Context().Done():
					w.left <- struct{}{}
					return
				}
				if breaks {
					panic(http.ErrAbortHandler)
				}
			}
			_, _ = io.WriteString(writer, event(id))
			writer.(http.Flusher).Flush() //nolint:forcetypeassert // the test server flushes
		}
	})
	return w
}

// await fails the test if the channel has no value within two seconds.
func await(t *testing.T, values <-chan struct{}, what string) {
	t.Helper()
	select {
	case <-values:
	case <-time.After(2 * time.Second):
		t.Fatal("not within 2 s: " + what)
	}
}

// hedged is a host with a stream at an instance that stands still.
type hedged struct {
	*setup

	replies chan reply
}

// hedge sends a stream that the first of the instances serves, and suspects its group
// when it stands still.
func hedge(t *testing.T, s *setup, first *standstill, others ...flamingodoor.Instance) hedged {
	t.Helper()
	for i := range others {
		others[i].DataCentre = "dc-b" // local instances come first
	}
	s.register(append(others, first.instance("i-1", "llm"))...)
	c := hedged{setup: s, replies: make(chan reply, 1)}
	go func() {
		c.replies <- s.send("/stream/x", func(request *http.Request) { request.Header.Set(headers.DeadlineMS, "6000") })
	}()
	await(t, first.reached, "silence")
	time.Sleep(transitTime)
	s.suspect("i-1")
	return c
}

func (s *setup) suspect(instanceID string) {
	s.monitor.SuspectGroup(roster.GroupKey{Name: "g-" + instanceID, Epoch: 1}, stall.ErrLost)
}

// Guards against ending a stream because its instance stands still for a moment, although
// no other attempt has begun to go on with it. First seen as the violation LOST of
// review/2 and review/4: streams of a stopping host were closed midway.
func TestSilentStreamGoesOn(t *testing.T) {
	for name, silentAfter := range map[string]int{"before the first event": 0, "midway": 3} {
		t.Run(name, func(t *testing.T) {
			t.Run("no other instance", func(t *testing.T) {
				first := newStandstill(t, silentAfter, false)
				c := hedge(t, newSetup(t), first)
				time.Sleep(300 * time.Millisecond)
				close(first.goOn)
				c.assertComplete(t)
			})
			t.Run("no retry budget", func(t *testing.T) {
				s, first, other := newSetup(t), newStandstill(t, silentAfter, false), newEndpoint(t, events(lastEvent, 0))
				s.proxy.SetLimits(proxy.Limits{RevokeWithin: 5 * time.Second})
				c := hedge(t, s, first, other.instance("i-2", "llm"))
				time.Sleep(100 * time.Millisecond)
				close(first.goOn)
				c.assertComplete(t)
				assert.Equal(t, other.runs.Load(), int64(0))
			})
			t.Run("not resumable", func(t *testing.T) {
				s, first, other := newSetup(t), newStandstill(t, silentAfter, false), newEndpoint(t, events(lastEvent, 0))
				changed := *s.catalogue.Index().Catalogue
				changed.Version++
				changed.Routes = []flamingodoor.Route{route("/stream/", flamingodoor.RouteKindStreaming, "llm", 2)}
				changed.Routes[0].Resumable = false
				s.catalogue.Configure(&changed)
				c := hedge(t, s, first, other.instance("i-2", "llm"))
				time.Sleep(100 * time.Millisecond)
				close(first.goOn)
				c.assertComplete(t)
				assert.Equal(t, other.runs.Load(), int64(0))
			})
			t.Run("other instance stands still too", func(t *testing.T) {
				first, other := newStandstill(t, silentAfter, false), newStandstill(t, 0, false)
				c := hedge(t, newSetup(t), first, other.instance("i-2", "llm"))
				await(t, other.reached, "second attempt")
				c.suspect("i-2")
				close(first.goOn)
				c.assertComplete(t)
				await(t, other.left, "end of the second attempt")
			})
			t.Run("other instance breaks off", func(t *testing.T) {
				first, other := newStandstill(t, silentAfter, false), newStandstill(t, 0, true)
				c := hedge(t, newSetup(t), first, other.instance("i-2", "llm"))
				close(other.goOn)
				await(t, other.reached, "second attempt")
				time.Sleep(100 * time.Millisecond)
				close(first.goOn)
				c.assertComplete(t)
			})
		})
	}
}

// assertComplete checks that the caller received all events, each once.
func (c hedged) assertComplete(t *testing.T) {
	t.Helper()
	got := <-c.replies
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusOK)
	assert.Equal(t, got.body, allEvents(lastEvent))
}

// Guards against waiting for an instance that is gone: another one goes on with the
// stream, and the first attempt ends.
func TestAnotherInstanceGoesOnWithASilentStream(t *testing.T) {
	for name, silentAfter := range map[string]int{"before the first event": 0, "midway": 3} {
		t.Run(name, func(t *testing.T) {
			first, other := newStandstill(t, silentAfter, false), newEndpoint(t, events(lastEvent, 0))
			c := hedge(t, newSetup(t), first, other.instance("i-2", "llm"))
			c.assertComplete(t)
			await(t, first.left, "end of the first attempt")
			assert.Equal(t, other.runs.Load(), int64(1))
		})
	}
}

// Guards against ending a stream whose attempt broke while another one is under way.
func TestBrokenAttemptLeavesTheStreamToTheOther(t *testing.T) {
	for name, silentAfter := range map[string]int{"before the first event": 0, "midway": 3} {
		t.Run(name, func(t *testing.T) {
			first, other := newStandstill(t, silentAfter, true), newStandstill(t, 0, false)
			c := hedge(t, newSetup(t), first, other.instance("i-2", "llm"))
			await(t, other.reached, "second attempt")
			close(first.goOn)
			time.Sleep(100 * time.Millisecond)
			close(other.goOn)
			c.assertComplete(t)
		})
	}
}

// Guards against attempts that go on after the deadline of their request.
func TestDeadlineEndsBothAttempts(t *testing.T) {
	s, first, other := newSetup(t), newStandstill(t, 3, false), newStandstill(t, 0, false)
	s.register(first.instance("i-1", "llm"))
	replies := make(chan reply, 1)
	go func() {
		replies <- s.send("/stream/x", func(request *http.Request) { request.Header.Set(headers.DeadlineMS, "700") })
	}()
	await(t, first.reached, "silence")
	time.Sleep(transitTime)
	s.register(first.instance("i-1", "llm"), other.instance("i-2", "llm"))
	s.suspect("i-1")
	await(t, other.reached, "second attempt")
	got := <-replies
	assert.Assert(t, got.err != nil, "the response looks complete: %q", got.body)
	await(t, first.left, "end of the first attempt")
	await(t, other.left, "end of the second attempt")
}
