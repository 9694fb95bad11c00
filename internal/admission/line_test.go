package admission_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor/internal/admission"
)

// Times of the requests in these tests, as of the deployment that was measured: an
// objective of 250 ms and callers that give up after 2 s.
const (
	objective = 250 * time.Millisecond
	givesUp   = 2 * time.Second
	predicted = 150 * time.Millisecond
)

var lineStart = time.Unix(1_800_000_000, 0) //nolint:gochecknoglobals // a constant time

func arrival(workspace string, priority int, at time.Time) admission.Request {
	return admission.Request{
		Workspace: workspace, Priority: priority, ArrivedAt: at,
		InTimeUntil: at.Add(objective - predicted), ServeUntil: at.Add(givesUp - predicted),
	}
}

// drain releases a slot at each interval until no request waits, and returns the values of
// the served requests in order and the number of those that were refused.
func drain(line *admission.Line[int], now time.Time, interval time.Duration) (order []int, refused int) {
	for line.Len() > 0 {
		for w, _ := line.Expired(now); w != nil; w, _ = line.Expired(now) {
			line.Remove(w)
			refused++
		}
		if w := line.Next(now); w != nil {
			line.Grant(w)
			line.CountServed(w.Request.Workspace, 0.1, now)
			line.CountRelease(now)
			order = append(order, w.Value)
		}
		now = now.Add(interval)
	}
	return order, refused
}

// Guards against the race for slots in a burst on a full model, in which priority had no
// effect, and against an order by priority alone that starves the least urgent.
func TestMoreUrgentPriorityIsServedFirstAndNoneStarvesInABurst(t *testing.T) {
	line := admission.NewLine[int](lineStart)
	for i := range 200 {
		line.Add(arrival("w", i%2*5, lineStart.Add(time.Duration(i)*time.Millisecond)), i%2*5)
	}
	order, refused := drain(line, lineStart.Add(200*time.Millisecond), 20*time.Millisecond)
	served := map[int]int{}
	for _, priority := range order {
		served[priority]++
	}
	assert.Equal(t, len(order)+refused, 200)
	assert.Assert(t, served[0] >= 2*served[5], "%v", served)
	assert.Assert(t, 4*served[5] >= len(order)*9/10, "the less urgent half gets its one grant in four: %v of %d", served, len(order))
}

// Guards against the rule that refused callers' second tries 2.5 to 3 times as often as
// first ones: they have less time left and may arrive while others always wait.
func TestSecondTriesAreNotRefusedMoreOftenThanFirstOnes(t *testing.T) {
	line := admission.NewLine[bool](lineStart)
	arrived, refused := map[bool]int{}, map[bool]int{}
	for tick := range 12_000 { // 60 s of 1.33 times the capacity
		now := lineStart.Add(time.Duration(tick) * 5 * time.Millisecond)
		for w, _ := line.Expired(now); w != nil; w, _ = line.Expired(now) {
			line.Remove(w)
			refused[w.Value]++
		}
		if tick%3 == 0 {
			second := tick%12 == 0
			request := arrival("w", tick/3%3, now)
			if second {
				request.ServeUntil = now.Add(givesUp/2 - predicted)
			}
			arrived[second]++
			if line.MayWait(request, now) {
				line.Add(request, second)
			} else {
				refused[second]++
			}
		}
		if tick%4 == 0 {
			line.CountRelease(now)
			if w := line.Next(now); w != nil {
				line.Grant(w)
				line.CountServed("w", 0.1, now)
			}
		}
	}
	first, second := share(refused, arrived, false), share(refused, arrived, true)
	assert.Assert(t, first > 0.1, "the load does not exceed the capacity: %.2f", first)
	assert.Assert(t, second <= 1.1*first, "refused: %.2f of second tries, %.2f of first ones", second, first)
}

func share[K comparable](part, whole map[K]int, key K) float64 {
	return float64(part[key]) / float64(whole[key])
}

// Guards against a workspace that takes the slots of the others by sending more requests.
func TestWorkspacesShareTheSlotsOfAFullModel(t *testing.T) {
	line := admission.NewLine[string](lineStart)
	served := map[string]int{}
	for tick := range 1_000 {
		now := lineStart.Add(time.Duration(tick) * 10 * time.Millisecond)
		for w, _ := line.Expired(now); w != nil; w, _ = line.Expired(now) {
			line.Remove(w)
		}
		for i := range 4 { // three of four requests are of one workspace
			workspace := "large"
			if i == 0 {
				workspace = "small"
			}
			request := arrival(workspace, 0, now)
			request.InTimeUntil = request.ServeUntil
			line.Add(request, workspace)
		}
		if w := line.Next(now); w != nil {
			line.Grant(w)
			line.CountServed(w.Value, 0.1, now)
			served[w.Value]++
		}
	}
	difference := float64(served["large"]-served["small"]) / 1_000
	assert.Assert(t, difference < 0.1 && difference > -0.1, "%v", served)
}

// Guards against late requests that make others late, and against losing them: they are
// still of use until their callers give up.
func TestLateRequestsGiveWayButAreServedWhileTheirCallersWait(t *testing.T) {
	line := admission.NewLine[int](lineStart)
	now := lineStart.Add(500 * time.Millisecond)
	for i := range 10 {
		line.Add(arrival("w", 0, lineStart.Add(time.Duration(i)*time.Millisecond)), 1) // late
	}
	for range 10 {
		line.Add(arrival("w", 0, now), 0)
	}
	order, refused := drain(line, now, 8*time.Millisecond)
	assert.Equal(t, refused, 0)
	late := 0
	for _, kind := range order[:10] {
		late += kind
	}
	assert.Assert(t, late <= 3, "the late ones get one grant in four until the others are served: %v", order)
}

// Guards against refusing on a rate that is not measured, waiting in vain when it is, and
// refusing what can be served.
func TestRequestIsRefusedAtOnceOnlyIfItsTurnIsKnownToComeTooLate(t *testing.T) {
	for name, each := range map[string]struct {
		releases int // one each 100 ms until the arrival
		waiting  int
		want     bool
	}{
		"not measured":        {3, 1000, true},
		"short queue":         {40, 5, true},
		"long queue":          {40, 100, false},
		"slots end no longer": {0, 100, true},
	} {
		t.Run(name, func(t *testing.T) {
			line := admission.NewLine[int](lineStart)
			now := lineStart.Add(time.Minute)
			for i := range each.releases {
				line.CountRelease(now.Add(time.Duration(i-each.releases) * 100 * time.Millisecond))
			}
			for range each.waiting {
				line.Add(arrival("w", 0, now.Add(-time.Millisecond)), 0)
			}
			assert.Equal(t, line.MayWait(arrival("w", 0, now), now), each.want)
			urgent := arrival("w", 0, now)
			urgent.Resumed = true
			assert.Assert(t, line.MayWait(urgent, now), "a resumed stream comes first")
		})
	}
}

// Guards against a request that cannot be placed, because its own candidates failed it,
// and that blocks those behind it.
func TestSkippedHeadDoesNotBlockOthers(t *testing.T) {
	line := admission.NewLine[int](lineStart)
	first := line.Add(arrival("w", 0, lineStart), 1)
	second := line.Add(arrival("w", 1, lineStart), 2)
	assert.Equal(t, line.Next(lineStart), first)
	line.Skip(first)
	assert.Equal(t, line.Next(lineStart), second)
	line.Skip(second)
	assert.Assert(t, line.Next(lineStart) == nil)
	line.Retry()
	assert.Equal(t, line.Next(lineStart), first)
}

// BenchmarkDecisionWith1000Waiting measures a grant and the arrival that follows it, with
// 1,000 requests waiting. A decision is to take less than 5 µs.
func BenchmarkDecisionWith1000Waiting(b *testing.B) {
	for _, workspaces := range []int{1, 30, 1000} {
		b.Run(fmt.Sprint(workspaces, "_workspaces"), func(b *testing.B) {
			line := admission.NewLine[int](lineStart)
			for i := range 1000 {
				line.Add(arrival(fmt.Sprint(i%workspaces), i%10, lineStart.Add(time.Duration(i)*100*time.Microsecond)), i)
			}
			now := lineStart.Add(50 * time.Millisecond)
			b.ReportAllocs()
			for b.Loop() {
				w := line.Next(now)
				line.Grant(w)
				line.CountServed(w.Request.Workspace, 0.1, now)
				line.Add(w.Request, w.Value)
			}
		})
	}
}
