package poison_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor"
	peerv1 "flamingodoor.example/flamingodoor/gen/flamingodoor/peer/v1"
	"flamingodoor.example/flamingodoor/internal/poison"
)

var request = flamingodoor.Fingerprint{1}

// Guards against counting one crash twice, against not adding up the strikes of
// peers, and against a block that lasts longer than an hour because digests
// renew it.
func TestTwoIncarnationsBlockForAnHour(t *testing.T) {
	start := time.Unix(1000, 0)
	clock := poison.WithClock(func() time.Time { return start })
	local, peer := poison.New(clock), poison.New(clock)
	local.ReportCrash(t.Context(), request, "a")
	local.ReportCrash(t.Context(), request, "a")
	assert.Assert(t, !local.Blocked(request, start))

	peer.ReportCrash(t.Context(), request, "b")
	for age := time.Duration(0); age < time.Hour; age += 10 * time.Minute {
		local.Merge(peer.Digest(start.Add(age)), start.Add(age))
		peer.Merge(local.Digest(start.Add(age)), start.Add(age))
	}
	assert.Assert(t, local.Blocked(request, start.Add(59*time.Minute)))
	assert.Assert(t, peer.Blocked(request, start.Add(59*time.Minute)))
	assert.Assert(t, !local.Blocked(request, start.Add(time.Hour)))
	local.Merge([]*peerv1.Strike{{Fingerprint: []byte("short"), Incarnations: []string{"a", "b"}}}, start)
}

// Guards against mistaking a crash at the same time or of another incarnation
// for an earlier one, and against missing an earlier one.
func TestCrashedBefore(t *testing.T) {
	start := time.Unix(1000, 0)
	ledger := poison.New(poison.WithClock(func() time.Time { return start }))
	ledger.ReportCrash(t.Context(), request, "a")
	assert.Assert(t, ledger.CrashedBefore("a", start.Add(time.Millisecond)))
	assert.Assert(t, !ledger.CrashedBefore("a", start))
	assert.Assert(t, !ledger.CrashedBefore("b", start.Add(time.Millisecond)))
}

// Guards against memory use that grows with the number of requests in flight at
// crashes.
func TestOldestFingerprintIsDropped(t *testing.T) {
	start := time.Unix(1000, 0)
	ledger := poison.New(poison.WithMaxFingerprints(2), poison.WithClock(func() time.Time {
		start = start.Add(time.Second)
		return start
	}))
	for i := range 3 {
		for _, incarnation := range []string{"a", "b"} {
			ledger.ReportCrash(t.Context(), flamingodoor.Fingerprint{byte(i)}, fmt.Sprint(incarnation, i))
		}
	}
	assert.Assert(t, !ledger.Blocked(flamingodoor.Fingerprint{0}, start))
	assert.Assert(t, ledger.Blocked(flamingodoor.Fingerprint{2}, start))
	assert.Equal(t, len(ledger.Digest(start)), 2)
}

// Guards against a push that is cancelled when the caller disconnects, or that
// delays the retry by more than 300 ms.
func TestPushIsDetachedAndBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pushed := make(chan *peerv1.Strike, 1)
		ledger := poison.New(poison.WithPush(func(ctx context.Context, strike *peerv1.Strike) {
			assert.Check(t, ctx.Err())
			pushed <- strike
			time.Sleep(time.Minute)
		}))
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		start := time.Now()
		ledger.ReportCrash(ctx, request, "a")
		assert.Equal(t, time.Since(start), 300*time.Millisecond)
		assert.DeepEqual(t, (<-pushed).GetIncarnations(), []string{"a"})
		time.Sleep(time.Minute) // until the push has ended
	})
}

// Guards against blocking a request that was only in flight together with the
// one that caused the crashes, and against more than three crashes by one
// request.
func TestSharedCrashesNeedProof(t *testing.T) {
	start := time.Unix(1000, 0)
	harmless, unrelated := flamingodoor.Fingerprint{2}, flamingodoor.Fingerprint{3}
	cases := map[string]struct {
		crashes        [][]flamingodoor.Fingerprint // requests in flight at each crash
		blocked, alone bool                         // expected for request
	}{
		"one crash":                {[][]flamingodoor.Fingerprint{{request}}, false, false},
		"two crashes alone":        {[][]flamingodoor.Fingerprint{{request}, {request}}, true, false},
		"second crash shared":      {[][]flamingodoor.Fingerprint{{request}, {request, harmless}}, true, false},
		"both crashes shared":      {[][]flamingodoor.Fingerprint{{request, harmless}, {request, harmless}}, false, true},
		"shared with two others":   {[][]flamingodoor.Fingerprint{{request, harmless}, {request, unrelated}}, false, true},
		"third crash among others": {[][]flamingodoor.Fingerprint{{request, harmless}, {request, harmless}, {request, harmless}}, true, false},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			ledger, peer := poison.New(poison.WithClock(func() time.Time { return start })), poison.New()
			for n, crash := range test.crashes {
				for _, fingerprint := range crash {
					ledger.Merge([]*peerv1.Strike{{Fingerprint: fingerprint[:], Incarnations: []string{string(rune('a' + n))}}}, start)
				}
			}
			peer.Merge(ledger.Digest(start), start)
			for _, l := range []*poison.Ledger{ledger, peer} {
				assert.Equal(t, l.Blocked(request, start), test.blocked)
				suspicion, alone := l.MustRunAlone(request, start)
				assert.Equal(t, alone, test.alone)
				if companion, ok := l.MustRunAlone(harmless, start); alone && ok {
					assert.DeepEqual(t, companion.CrashedIncarnations, suspicion.CrashedIncarnations)
					assert.Assert(t, companion.Rank == 1 && suspicion.Rank == 0)
				}
				_, alone = l.MustRunAlone(request, start.Add(time.Hour))
				assert.Assert(t, !alone)
			}
		})
	}
}
