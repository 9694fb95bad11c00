package allowance_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/allowance"
	"flamingodoor.example/flamingodoor/internal/share"
)

var (
	start     = time.Unix(1_800_000_000, 0)
	instance  = flamingodoor.Instance{ID: "i-1", StartedAt: start.Add(-time.Hour)}
	restarted = flamingodoor.Instance{ID: "i-1", StartedAt: start}
)

// books returns the books of `count` hosts that know each other.
func books(count int) []*allowance.Book {
	ids := make([]string, 0, count)
	for i := range count {
		ids = append(ids, fmt.Sprintf("host-%d", i))
	}
	all := make([]*allowance.Book, 0, count)
	for _, id := range ids {
		divider := share.NewDivider(id)
		divider.SetHosts(ids)
		all = append(all, allowance.NewBook(divider))
	}
	return all
}

func stated(perSecond float64, at time.Time) allowance.Statement {
	return allowance.Statement{InstanceID: instance.ID, StartedAt: instance.StartedAt, PerSecond: perSecond, At: at}
}

// Guards against hosts that together send an instance more than one and a half
// times the limit that it stated, and 5 requests, in some 4 s (rule LIMIT on the day
// capped), and against leaving most of the limit unused.
func TestAllHostsTogetherKeepTheLimit(t *testing.T) {
	const (
		window = 4 * time.Second
		step   = 50 * time.Millisecond
		length = 40 * time.Second
	)
	for _, hosts := range []int{1, 3, 7, 25, 75, 390} {
		for _, limit := range []float64{0.2, 0.9, 2.9, 6.2, 24, 700} {
			all := books(hosts)
			random := rand.New(rand.NewPCG(uint64(hosts), uint64(limit*10)))
			var sends []time.Time
			for now := start; now.Before(start.Add(length)); now = now.Add(step) {
				// No requests arrive for 8 s in the middle, then all hosts get many.
				idle := now.After(start.Add(16*time.Second)) && now.Before(start.Add(24*time.Second))
				for _, book := range all {
					book.Record(stated(limit, now), false, now)
					for range 1 + int(3*limit*step.Seconds())/hosts {
						if !idle && random.IntN(4) > 0 && book.Reserve(instance, now) {
							sends = append(sends, now)
						}
					}
				}
			}
			first, most := 0, 0
			for last := range sends {
				for sends[last].Sub(sends[first]) >= window {
					first++
				}
				most = max(most, last-first+1)
			}
			assert.Assert(t, float64(most) <= 1.5*limit*window.Seconds()+5, "%d hosts, limit %g: %d requests in 4 s", hosts, limit, most)
			served := float64(len(sends)) / (length - 8*time.Second).Seconds()
			assert.Assert(t, served >= 0.9*limit, "%d hosts, limit %g: only %g a second", hosts, limit, served)
		}
	}
}

// A limit must end with the first response without one to a later request, and not
// with a response that may have been begun before the limit was stated.
func TestLimitEndsWithAResponseWithoutOne(t *testing.T) {
	book := books(1)[0]
	assert.Assert(t, book.Record(stated(1, start), true, start).Began)
	now := start.Add(time.Second)
	assert.Assert(t, !book.RecordNoLimit(instance.ID, instance.StartedAt, start.Add(-time.Millisecond), now).Ended)
	assert.Equal(t, book.Count(now), 1)
	assert.Assert(t, book.RecordNoLimit(instance.ID, instance.StartedAt, start.Add(time.Millisecond), now).Ended)
	assert.Equal(t, book.Count(now), 0)
	for range 100 {
		assert.Assert(t, book.Reserve(instance, now))
	}
	// A message of another host that is older must not bring it back.
	book.Record(stated(1, start.Add(time.Millisecond)), false, now)
	assert.Equal(t, book.Count(now), 0)
}

// A limit must hold for the process that stated it alone.
func TestLimitDoesNotOutlastItsProcess(t *testing.T) {
	book := books(1)[0]
	book.Record(stated(1, start), true, start)
	for range 10 {
		assert.Assert(t, book.Reserve(restarted, start))
	}
	now := start.Add(time.Second)
	book.Record(allowance.Statement{InstanceID: restarted.ID, StartedAt: restarted.StartedAt, PerSecond: 1, At: now}, true, now)
	book.Record(stated(100, now.Add(time.Second)), true, now.Add(time.Second))
	assert.Assert(t, book.Reserve(restarted, now))
	assert.Assert(t, !book.Reserve(restarted, now), "a late statement of the earlier process replaced the limit")
}

// A limit that nobody repeats must not take an instance out of use for good: its
// hosts may all be gone.
func TestLimitThatIsNotRepeatedExpires(t *testing.T) {
	for _, book := range books(40) {
		book.Record(stated(allowance.MinPerSecond, start), false, start)
		until, full := book.FullUntil(instance, start)
		assert.Assert(t, !full || !until.After(start.Add(30*time.Second)))
		_, full = book.FullUntil(instance, start.Add(30*time.Second))
		assert.Assert(t, !full && book.Reserve(instance, start.Add(30*time.Second)))
	}
}

// The time that a refused caller is told must be that of the next free request.
func TestFullUntilIsWhenTheNextRequestMayBeSent(t *testing.T) {
	book := books(1)[0]
	book.Record(stated(2, start), true, start)
	for now := start; now.Before(start.Add(5 * time.Second)); {
		until, full := book.FullUntil(instance, now)
		if !full {
			assert.Assert(t, book.Reserve(instance, now))
			continue
		}
		assert.Assert(t, until.After(now) && !until.After(now.Add(510*time.Millisecond)))
		assert.Assert(t, !book.Reserve(instance, until.Add(-5*time.Millisecond)))
		now = until
		_, full = book.FullUntil(instance, now)
		assert.Assert(t, !full)
	}
}

// Statements must reach the other hosts without a message for each response, also
// where the limit changes with each of them.
func TestFewStatementsAreShared(t *testing.T) {
	book := books(1)[0]
	urgent, shared := 0, 0
	for i := range 100 {
		now := start.Add(time.Duration(i) * 100 * time.Millisecond)
		if book.Record(stated(2, now), true, now).Urgent {
			urgent++
		}
		if i%2 == 0 { // a round of the exchange
			shared += len(book.Shared(now))
		}
	}
	assert.Equal(t, urgent, 1)
	assert.Assert(t, shared >= 15 && shared <= 25, "in %d of 50 rounds", shared)
	urgent = 0
	for i := range 100 {
		now := start.Add(20*time.Second + time.Duration(i)*100*time.Millisecond)
		if book.Record(stated(float64(1+(i*7)%10), now), true, now).Urgent {
			urgent++
		}
	}
	assert.Assert(t, urgent <= 10, "%d times at once in 10 s", urgent)
	assert.Equal(t, len(books(1)[0].Shared(start)), 0)
}

// What a relay passes on must not circulate between relays.
func TestPassedOnStatementsDoNotCirculate(t *testing.T) {
	const hop = 3 * time.Millisecond
	relays := books(2)
	relays[0].Record(stated(2, start), true, start)
	rounds := 0
	for i := range 150 {
		now := start.Add(time.Duration(i) * 200 * time.Millisecond)
		for from, to := range map[int]int{0: 1, 1: 0} {
			for _, statement := range relays[from].Shared(now) {
				statement.At = statement.At.Add(hop) // the time of the message is not part of its age
				relays[to].Record(statement, true, now.Add(hop))
				rounds++
			}
		}
	}
	assert.Assert(t, rounds <= 24, "%d messages in 30 s", rounds)
	assert.Equal(t, relays[0].Count(start.Add(31*time.Second)), 0)
}
