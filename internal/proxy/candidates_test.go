package proxy_test

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/stall"
)

// Guards against a slow group that fills up as soon as its measurement expires, and
// against one that gets no further request and so is never measured again. A group
// without an alternative is not limited.
func TestSlowGroupIsRetriedWithOneRequest(t *testing.T) {
	for name, test := range map[string]struct {
		groups []string
		want   int // requests at the group that was slow
	}{"beside another": {[]string{"was-slow", "sound"}, 1}, "alone": {[]string{"was-slow"}, 4}} {
		t.Run(name, func(t *testing.T) {
			s := newSetup(t)
			release := make(chan struct{})
			releaseAll := sync.OnceFunc(func() { close(release) })
			defer releaseAll()
			e := newEndpoint(t, func(writer http.ResponseWriter, request *http.Request) {
				<-release
				events(2, 0)(writer, request)
			})
			instances := make([]flamingodoor.Instance, 0, len(test.groups))
			for _, id := range test.groups {
				instance := e.instance(id, "llm")
				instance.Slots = 8
				instances = append(instances, instance)
			}
			s.register(instances...)
			now := time.Now()
			s.speeds.Report("h1", []stall.Reading{{Head: "was-slow", Speed: 0.2, At: now.Add(-2900 * time.Millisecond), Witnesses: 2}}, now)
			assert.Equal(t, s.monitor.Speed("was-slow"), 0.2)
			time.Sleep(110 * time.Millisecond)
			assert.Equal(t, s.monitor.Speed("was-slow"), 1.0)
			var callers sync.WaitGroup
			for range 4 {
				callers.Go(func() { assert.Check(t, s.send("/stream/x").status == http.StatusOK) })
			}
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				total := 0
				for _, requests := range s.tracker.OwnInFlight() {
					total += requests
				}
				if total < 4 {
					return poll.Continue("%d requests are in flight", total)
				}
				return poll.Success()
			}, poll.WithDelay(5*time.Millisecond), poll.WithTimeout(5*time.Second))
			assert.Equal(t, s.tracker.OwnInFlight()["was-slow"], test.want)
			releaseAll()
			callers.Wait()
		})
	}
}
