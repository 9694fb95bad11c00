package intent_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	recordv1 "flamingodoor.example/flamingodoor/gen/flamingodoor/record/v1"
	"flamingodoor.example/flamingodoor/internal/intent"
)

// Guards against a record that changes which attempt may dispatch although it
// belongs to another attempt, or was appended late or twice.
func TestIndexFollowsLogOrder(t *testing.T) {
	index, hash, offset := intent.NewIndex(), intent.Hash{1}, uint64(0)
	apply := func(attempt string, set func(*recordv1.IntentEntry)) {
		entry := &recordv1.IntentEntry{KeyHash: hash[:], AttemptId: attempt}
		set(entry)
		offset++
		index.Apply(offset, &recordv1.IntentRecord{Entries: []*recordv1.IntentEntry{entry}}, time.Unix(0, 0))
	}
	setIntent := func(e *recordv1.IntentEntry) { e.Body = &recordv1.IntentEntry_Intent{Intent: &recordv1.Intent{}} }
	setAbandon := func(e *recordv1.IntentEntry) { e.Body = &recordv1.IntentEntry_Abandon{Abandon: &recordv1.Abandon{}} }
	setOutcome := func(e *recordv1.IntentEntry) { e.Body = &recordv1.IntentEntry_Outcome{Outcome: &recordv1.Outcome{}} }

	apply("late", setAbandon) // the abandonment precedes the intent
	apply("a", setIntent)
	apply("late", setIntent)
	apply("b", setIntent)
	apply("b", setOutcome) // ignored: "a" is the first live attempt
	assert.Equal(t, index.Lookup(hash), intent.State{Attempt: "a"})
	apply("a", setAbandon)
	apply("a", setIntent) // ignored: the append was repeated
	assert.Equal(t, index.Lookup(hash), intent.State{Attempt: "b"})
	apply("b", setOutcome)
	outcome := offset
	apply("b", setAbandon)
	apply("b", setOutcome)
	apply("c", setIntent)
	assert.Equal(t, index.Lookup(hash), intent.State{Attempt: "b", Outcome: outcome})

	index.Trim(offset+1, time.Unix(0, 0))
	assert.Equal(t, index.Lookup(hash).Attempt, "b", "within the retention")
	index.Trim(offset+1, time.Unix(0, 0).Add(26*time.Hour))
	assert.Equal(t, index.Lookup(hash).Attempt, "")
}
