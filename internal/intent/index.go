package intent

import (
	"slices"
	"time"

	recordv1 "flamingodoor.example/flamingodoor/gen/flamingodoor/record/v1"
)

// Abandoned attempts are remembered because their intents may still appear. A
// forgotten one only makes the outcome unknown, since its writer never
// dispatches it.
const maxAbandoned = 32

// Index applies the records of one shard in log order.
type Index struct {
	keys map[Hash]*keyState
}

// State is what the log says of a key.
type State struct {
	// Attempt is the first intent that has not been abandoned; it is empty
	// when there is none.
	Attempt     string
	Fingerprint Hash
	// Outcome is the offset of the record with the outcome; 0 if there is none.
	Outcome uint64
}

type keyState struct {
	live      []liveAttempt // in log order; the first one wins
	abandoned []string
	outcome   uint64
	newest    uint64 // offset of the newest entry
	learned   time.Time
}

type liveAttempt struct {
	id          string
	fingerprint Hash
}

// NewIndex returns the index of an empty shard.
func NewIndex() *Index {
	return &Index{keys: make(map[Hash]*keyState)}
}

// Apply takes in the entries of the record at the offset.
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
		k.newest, k.learned = offset, now
		k.apply(offset, entry)
	}
}

// Lookup returns the state of a key.
func (x *Index) Lookup(hash Hash) State {
	k, ok := x.keys[hash]
	if !ok || len(k.live) == 0 {
		return State{}
	}
	return State{Attempt: k.live[0].id, Fingerprint: k.live[0].fingerprint, Outcome: k.outcome}
}

// HasIntent reports whether the intent of the attempt was seen and not abandoned.
func (x *Index) HasIntent(hash Hash, attempt string) bool {
	k, ok := x.keys[hash]
	return ok && k.find(attempt) >= 0
}

// HasOtherIntent reports whether an intent of another attempt is not abandoned.
func (x *Index) HasOtherIntent(hash Hash, attempt string) bool {
	k, ok := x.keys[hash]
	return ok && slices.ContainsFunc(k.live, func(l liveAttempt) bool { return l.id != attempt })
}

// Abandoned reports whether the abandonment of the attempt was seen.
func (x *Index) Abandoned(hash Hash, attempt string) bool {
	k, ok := x.keys[hash]
	return ok && slices.Contains(k.abandoned, attempt)
}

// Trim forgets keys whose records the log has dropped. Keys learned within the
// retention are kept, in case that the log drops records early.
func (x *Index) Trim(first uint64, now time.Time) {
	for hash, k := range x.keys {
		if k.newest < first && now.Sub(k.learned) > MinRetention {
			delete(x.keys, hash)
		}
	}
}

func (k *keyState) apply(offset uint64, entry *recordv1.IntentEntry) {
	id := entry.GetAttemptId()
	at := k.find(id)
	switch body := entry.GetBody().(type) {
	case *recordv1.IntentEntry_Intent:
		if at >= 0 || slices.Contains(k.abandoned, id) {
			return // a repeated or late append
		}
		l := liveAttempt{id: id}
		copy(l.fingerprint[:], body.Intent.GetFingerprint())
		k.live = append(k.live, l)
	case *recordv1.IntentEntry_Outcome:
		if at == 0 && k.outcome == 0 {
			k.outcome = offset
		}
	case *recordv1.IntentEntry_Abandon:
		k.abandon(id, at)
	}
}

func (k *keyState) abandon(id string, at int) {
	if at == 0 && k.outcome != 0 || slices.Contains(k.abandoned, id) {
		return
	}
	if at >= 0 {
		k.live = slices.Delete(k.live, at, at+1)
	}
	k.abandoned = append(k.abandoned, id)
	if len(k.abandoned) > maxAbandoned {
		k.abandoned = slices.Delete(k.abandoned, 0, 1)
	}
}

func (k *keyState) find(id string) int {
	return slices.IndexFunc(k.live, func(l liveAttempt) bool { return l.id == id })
}
