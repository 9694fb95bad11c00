package intent_test

import (
	"crypto/sha256"
	"encoding/binary"
	"runtime"
	"testing"
	"time"

	"github.com/google/uuid"

	recordv1 "flamingodoor.example/flamingodoor/gen/flamingodoor/record/v1"
	"flamingodoor.example/flamingodoor/internal/intent"
)

// BenchmarkIndexMemory reports the heap memory that the index of a shard uses for
// each key with an outcome.
func BenchmarkIndexMemory(b *testing.B) {
	const keys = 100_000
	for b.Loop() {
		before := heapBytes()
		index := intent.NewIndex()
		for key := range keys {
			hash := sha256.Sum256(binary.BigEndian.AppendUint64(nil, uint64(key)))
			attempt := uuid.NewString()
			index.Apply(uint64(2*key+1), &recordv1.IntentRecord{Version: 1, Entries: []*recordv1.IntentEntry{{
				KeyHash: hash[:], AttemptId: attempt,
				Body: &recordv1.IntentEntry_Intent{Intent: &recordv1.Intent{Fingerprint: hash[:], HostId: "entry-1"}},
			}}}, time.Now())
			index.Apply(uint64(2*key+2), &recordv1.IntentRecord{Version: 1, Entries: []*recordv1.IntentEntry{{
				KeyHash: hash[:], AttemptId: attempt,
				Body: &recordv1.IntentEntry_Outcome{Outcome: &recordv1.Outcome{Status: 200}},
			}}}, time.Now())
		}
		b.ReportMetric(float64(heapBytes()-before)/keys, "B/key")
		runtime.KeepAlive(index)
	}
}

func heapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
