package intent

import (
	"slices"
	"time"

	recordv1 "flamingodoor.example/flamingodoor/gen/flamingodoor/record/v1"
)

// maxAbandoned is the number of abandoned attempts that are remembered for each
// key. Their intents may still appear in the log and must then be ignored. If the
// intent of a forgotten one appears, the outcome of the key can become unknown,
// but no call runs twice: the host that abandoned an attempt never dispatches it.
const maxAbandoned = 32

// Index holds the state of the keys of one shard, built from the records of its
// stream in log order. It is not safe for concurrent use.
type Index struct {
	keys map[Hash]*keyState
}

// State is the state of a key according to the log.
type State struct {
	// Attempt identifies the attempt that may dispatch: the one whose intent is
	// the first that has not been abandoned. It is empty if there is none.
	Attempt string
	// Fingerprint identifies the request of the attempt.
	Fingerprint Hash
	// Outcome is the offset of the record with the outcome; 0 if there is none.
	Outcome uint64
}

type keyState struct {
	live       []liveAttempt // in log order; the first one may dispatch
	abandoned  []string      // identifiers of attempts, oldest first
	outcome    uint64        // offset of the record with the outcome, or 0
	lastOffset uint64        // offset of the newest record of the key
	updatedAt  time.Time     // local time at which that record was applied
}

// liveAttempt is an attempt whose intent was applied and not abandoned.
type liveAttempt struct {
	id          string
	fingerprint Hash
}

// NewIndex returns the index of an empty shard.
func NewIndex() *Index {
	return &Index{keys: make(map[Hash]*keyState)}
}

// Apply applies the entries of the record at the offset. It ignores malformed
// entries.
func (x *Index) Apply(offset uint64, record *recordv1.IntentRecord, now time.Time) {
	for _, entry := range record.GetEntries() {
		if len(entry.GetKeyHash()) != len(Hash{}) || entry.GetAttemptId() == "" {
			continue
		}
		hash := Hash(entry.GetKeyHash())
		k, ok := x.keys[hash]
		if !ok {
			k = &keyState{}
			x.keys[hash] = k
		}
		k.lastOffset, k.updatedAt = offset, now
		k.apply(offset, entry)
	}
}

// Lookup returns the state of a key, or the zero State if the key has no live
// attempt.
func (x *Index) Lookup(hash Hash) State {
	k, ok := x.keys[hash]
	if !ok || len(k.live) == 0 {
		return State{}
	}
	return State{Attempt: k.live[0].id, Fingerprint: k.live[0].fingerprint, Outcome: k.outcome}
}

// HasIntent reports whether the intent of the attempt was applied and not
// abandoned.
func (x *Index) HasIntent(hash Hash, attempt string) bool {
	k, ok := x.keys[hash]
	return ok && k.indexOf(attempt) >= 0
}

// HasOtherIntent reports whether the intent of another attempt was applied and
// not abandoned.
func (x *Index) HasOtherIntent(hash Hash, attempt string) bool {
	k, ok := x.keys[hash]
	return ok && slices.ContainsFunc(k.live, func(l liveAttempt) bool { return l.id != attempt })
}

// Abandoned reports whether the abandonment of the attempt was applied.
func (x *Index) Abandoned(hash Hash, attempt string) bool {
	k, ok := x.keys[hash]
	return ok && slices.Contains(k.abandoned, attempt)
}

// Trim removes keys whose records all lie before first, the oldest offset that
// the log retains. Keys that were updated within MinRetention are kept, in case
// the log trims records too early.
func (x *Index) Trim(first uint64, now time.Time) {
	for hash, k := range x.keys {
		if k.lastOffset < first && now.Sub(k.updatedAt) > MinRetention {
			delete(x.keys, hash)
		}
	}
}

func (k *keyState) apply(offset uint64, entry *recordv1.IntentEntry) {
	id := entry.GetAttemptId()
	index := k.indexOf(id)
	switch body := entry.GetBody().(type) {
	case *recordv1.IntentEntry_Intent:
		if index >= 0 || slices.Contains(k.abandoned, id) {
			return // the append was repeated, or arrived after the abandonment
		}
		l := liveAttempt{id: id}
		copy(l.fingerprint[:], body.Intent.GetFingerprint())
		k.live = append(k.live, l)
	case *recordv1.IntentEntry_Outcome:
		if index == 0 && k.outcome == 0 {
			k.outcome = offset
		}
	case *recordv1.IntentEntry_Abandon:
		k.abandon(id, index)
	}
}

// abandon removes the attempt, which is at the given index of live, or -1. An
// attempt with an outcome cannot be abandoned.
func (k *keyState) abandon(id string, index int) {
	if index == 0 && k.outcome != 0 || slices.Contains(k.abandoned, id) {
		return
	}
	if index >= 0 {
		k.live = slices.Delete(k.live, index, index+1)
	}
	k.abandoned = append(k.abandoned, id)
	if len(k.abandoned) > maxAbandoned {
		k.abandoned = slices.Delete(k.abandoned, 0, 1)
	}
}

// indexOf returns the index of the attempt in live, or -1.
func (k *keyState) indexOf(id string) int {
	return slices.IndexFunc(k.live, func(l liveAttempt) bool { return l.id == id })
}
