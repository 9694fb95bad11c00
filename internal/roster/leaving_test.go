package roster_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/roster"
)

// A lagging list must not bring back an instance that stated itself that it is
// leaving, however long the list shows it as ready.
func TestLaggingListDoesNotReturnALeavingInstance(t *testing.T) {
	r := newFilledRoster()
	assert.Assert(t, r.MarkLeaving("i-1", start, start))
	assert.Assert(t, !r.MarkLeaving("i-1", start, start), "the same statement is not new")
	assert.Assert(t, !serving(t, r, start))
	for minute := range 30 {
		now := start.Add(time.Duration(minute) * time.Minute)
		r.Upsert(member(1))
		r.Replace([]flamingodoor.Instance{member(0), member(1), member(2)}, now)
		r.Publish(now)
		view := r.View()
		assert.Assert(t, view.Entries["i-1"].Leaving, "minute %d", minute)
		assert.Assert(t, view.ByService["llm"][1].Leaving, "minute %d", minute)
		assert.Assert(t, !view.Serving(view.Groups[0], 3, now), "minute %d", minute)
	}
	r.Remove("i-1", start.Add(31*time.Minute))
	for second := range 1800 { // the entry expires
		r.Publish(start.Add(31*time.Minute + time.Duration(second)*time.Second))
	}
	r.Upsert(member(1))
	r.Publish(start.Add(61*time.Minute + time.Second))
	assert.Assert(t, r.View().Entries["i-1"].Leaving, "a list that lags shows it again")
}

// An instance that starts again under its identifier must not stay out of use for
// what its earlier process stated, and a late statement of that process must not
// take the new one out.
func TestRestartedInstanceIsNotLeaving(t *testing.T) {
	r := newFilledRoster()
	r.MarkLeaving("i-1", start, start)
	restarted := member(1)
	restarted.StartedAt = start.Add(time.Second)
	r.Upsert(restarted)
	r.Publish(start)
	assert.Assert(t, !r.View().Entries["i-1"].Leaving)
	assert.Assert(t, !r.MarkLeaving("i-1", start, start))
	r.Publish(start)
	assert.Assert(t, !r.View().Entries["i-1"].Leaving)
}

// A statement that another host passes on before this host knows the process
// must count as soon as it registers.
func TestStatementBeforeTheRegistration(t *testing.T) {
	r := newFilledRoster()
	restarted := member(1)
	restarted.StartedAt = start.Add(time.Second)
	assert.Assert(t, r.MarkLeaving("i-1", restarted.StartedAt, start))
	r.Publish(start)
	assert.Assert(t, !r.View().Entries["i-1"].Leaving)
	r.Upsert(restarted)
	r.Publish(start)
	assert.Assert(t, r.View().Entries["i-1"].Leaving)
}

// Marks of instances that are gone must not stay in memory.
func TestMarksOfInstancesThatAreGoneExpire(t *testing.T) {
	r := roster.New()
	r.MarkLeaving("i-1", start, start)
	r.Publish(start.Add(2 * time.Hour))
	assert.Assert(t, r.MarkLeaving("i-1", start, start.Add(2*time.Hour)), "the mark is still kept")
}
