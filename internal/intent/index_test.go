package intent_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	recordv1 "flamingodoor.example/flamingodoor/gen/flamingodoor/record/v1"
	"flamingodoor.example/flamingodoor/internal/intent"
)

// Guards against an index in which a loser's, late or repeated record changes
// which attempt may dispatch.
func TestIndexFollowsLogOrder(t *testing.T) {
	index, hash, offset := intent.NewIndex(), intent.Hash{1}, uint64(0)
	apply := func(attempt string, set func(*recordv1.IntentEntry)) {
		entry := &recordv1.IntentEntry{KeyHash: hash[:], AttemptId: attempt}
		set(entry)
		offset++
		index.Apply(offset, &recordv1.IntentRecord{Entries: []*recordv1.IntentEntry{entry}}, time.Unix(0, 0))
	}
	intends := func(e *recordv1.IntentEntry) { e.Body = &recordv1.IntentEntry_Intent{Intent: &recordv1.Intent{}} }
	abandons := func(e *recordv1.IntentEntry) { e.Body = &recordv1.IntentEntry_Abandon{Abandon: &recordv1.Abandon{}} }
	ends := func(e *recordv1.IntentEntry) { e.Body = &recordv1.IntentEntry_Outcome{Outcome: &recordv1.Outcome{}} }

	apply("late", abandons) // overtakes its intent
	apply("a", intends)
	apply("late", intends)
	apply("b", intends)
	apply("b", ends) // does not win
	assert.Equal(t, index.Lookup(hash), intent.State{Attempt: "a"})
	apply("a", abandons)
	apply("a", intends) // a repeated append
	assert.Equal(t, index.Lookup(hash), intent.State{Attempt: "b"})
	apply("b", ends)
	outcome := offset
	apply("b", abandons)
	apply("b", ends)
	apply("c", intends)
	assert.Equal(t, index.Lookup(hash), intent.State{Attempt: "b", Outcome: outcome})

	index.Trim(offset+1, time.Unix(0, 0))
	assert.Equal(t, index.Lookup(hash).Attempt, "b", "within the retention")
	index.Trim(offset+1, time.Unix(0, 0).Add(26*time.Hour))
	assert.Equal(t, index.Lookup(hash).Attempt, "")
}
