package admission_test

import (
	"fmt"
	"math"
	"math/rand/v2"
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
			line.Grant(w, now)
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

// kind is a priority, of first or second tries.
type kind struct {
	priority int
	second   bool
}

// overload simulates ten minutes of requests of three priorities, a quarter of them second
// tries with a second left, that exceed the capacity by the factor.
func overload(capacity, factor float64) (arrived, served map[kind]int) {
	random := rand.New(rand.NewPCG(1, 2))
	line := admission.NewLine[kind](lineStart)
	arrived, served = map[kind]int{}, map[kind]int{}
	for tick := range 600_000 {
		now := lineStart.Add(time.Duration(tick) * time.Millisecond)
		for w, _ := line.Expired(now); w != nil; w, _ = line.Expired(now) {
			line.Remove(w)
		}
		if random.Float64() < capacity*factor/1000 {
			k := kind{priority: random.IntN(3) * 3, second: random.IntN(4) == 0}
			request := arrival("w", k.priority, now)
			if k.second {
				request.ServeUntil = now.Add(time.Second - predicted)
			}
			arrived[k]++
			if line.MayWait(request, now) {
				line.Add(request, k)
			}
		}
		if random.Float64() >= capacity/1000 {
			continue
		}
		line.CountRelease(now)
		if w := line.Next(now); w != nil {
			line.Grant(w, now)
			served[w.Value]++
		}
	}
	return arrived, served
}

// Guards against refusals of second tries 2.5 to 3 times as often as of first ones, and
// against a priority that is served less than a quarter as often as all requests, in a
// long overload of hosts with few and with many slots.
func TestNeitherSecondTriesNorPrioritiesStarveInALongOverload(t *testing.T) {
	for _, capacity := range []float64{2.5, 10, 50} {
		for _, factor := range []float64{1.1, 1.5, 2} {
			t.Run(fmt.Sprint(capacity, "_per_second_", factor), func(t *testing.T) {
				arrived, served := overload(capacity, factor)
				byTry, ofTry := map[bool]int{}, map[bool]int{}
				byPriority, ofPriority := map[int]int{}, map[int]int{}
				for k, count := range arrived {
					ofTry[k.second] += count
					byTry[k.second] += served[k]
					ofPriority[k.priority] += count
					byPriority[k.priority] += served[k]
				}
				all := float64(byTry[false]+byTry[true]) / float64(ofTry[false]+ofTry[true])
				first, second := 1-share(byTry, ofTry, false), 1-share(byTry, ofTry, true)
				t.Logf("served: %.2f of all, %.2f, %.2f and %.2f by priority; refused: %.2f of first tries, %.2f of second ones", all,
					share(byPriority, ofPriority, 0), share(byPriority, ofPriority, 3), share(byPriority, ofPriority, 6), first, second)
				for _, priority := range []int{0, 3, 6} {
					assert.Assert(t, share(byPriority, ofPriority, priority) >= all/4, "priority %d", priority)
				}
				assert.Assert(t, share(byPriority, ofPriority, 0) >= share(byPriority, ofPriority, 6))
				// Where slots end rarely, none may while a second try waits.
				none := math.Exp(-capacity * (time.Second - predicted).Seconds())
				assert.Assert(t, second <= first+0.05+none, "refused: %.2f of first tries, %.2f of second ones", first, second)
			})
		}
	}
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
			line.Grant(w, now)
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

// BenchmarkArrivalWith1000Waiting measures whether an arrival may wait.
func BenchmarkArrivalWith1000Waiting(b *testing.B) {
	line := admission.NewLine[int](lineStart)
	for i := range 1000 {
		line.CountRelease(lineStart.Add(time.Duration(i) * 100 * time.Microsecond))
		line.Add(arrival(fmt.Sprint(i%30), i%10, lineStart.Add(time.Duration(i)*100*time.Microsecond)), i)
	}
	now := lineStart.Add(100 * time.Millisecond)
	b.ReportAllocs()
	for b.Loop() {
		line.MayWait(arrival("1", 5, now), now)
	}
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
				line.Grant(w, now)
				line.CountServed(w.Request.Workspace, 0.1, now)
				line.Add(w.Request, w.Value)
			}
		})
	}
}

// Guards against the refusal of a second try whose turn comes soon, because first tries
// with less slack were taken to be before it among the grants by slack.
func TestSecondTryIsNotRefusedForTheSlackOfFirstTries(t *testing.T) {
	now := lineStart.Add(10 * time.Second)
	line := admission.NewLine[string](lineStart)
	for i := range 100 { // slots end at 10 per second
		line.CountRelease(lineStart.Add(time.Duration(i) * 100 * time.Millisecond))
	}
	first := admission.Request{ArrivedAt: now, InTimeUntil: now.Add(70 * time.Millisecond), ServeUntil: now.Add(70 * time.Millisecond)}
	for i := range 20 {
		line.Add(first, fmt.Sprint("r", i))
	}
	second := admission.Request{LastTry: true, ArrivedAt: now, InTimeUntil: now.Add(-time.Second), ServeUntil: now.Add(1500 * time.Millisecond)}
	assert.Assert(t, line.MayWait(second, now))
	second.LastTry = false
	assert.Assert(t, !line.MayWait(second, now))
}
