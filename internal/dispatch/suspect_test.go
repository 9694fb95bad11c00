package dispatch_test

import (
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/dispatch"
	"flamingodoor.example/flamingodoor/internal/poison"
	standinendpoint "flamingodoor.example/flamingodoor/internal/standin/endpoint"
)

// Guards against refusing a harmless request because it was in flight at both
// engines that another request crashed, and against more than three crashes.
func TestHarmlessRequestSurvivesTwoSharedCrashes(t *testing.T) {
	const answer = 100 // tokens; long enough to be in flight at both crashes
	w := newWorld(t, dispatch.WithEndpointWait(3*time.Second, 3*time.Second))
	w.ledger = poison.New()
	hidden := map[string]flamingodoor.Report{}
	for _, id := range []string{"a", "b", "c", "d"} {
		w.add(t, id, standinendpoint.WithCrash("boom", 3, w.stop(id)),
			standinendpoint.WithAnswerTokens(answer), standinendpoint.WithTokenTimes(0, 10*time.Millisecond))
		hidden[id] = w.reports[id]
		if id != "a" {
			delete(w.reports, id)
		}
	}
	reveal := func(strikes int, ids ...string) {
		for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); {
			w.mu.Lock()
			struck := len(w.strikes) >= strikes
			for _, id := range ids {
				if struck {
					w.reports[id] = hidden[id]
				}
			}
			w.mu.Unlock()
			if struck {
				return
			}
			time.Sleep(time.Millisecond)
		}
	}
	var requests sync.WaitGroup
	requests.Go(func() {
		text, _, err := w.generate(t, "harmless", 20*time.Second)
		assert.Check(t, err)
		assert.Check(t, text == standinendpoint.Answer("harmless", answer))
	})
	for w.received() == 0 {
		time.Sleep(time.Millisecond)
	}
	requests.Go(func() {
		_, _, err := w.generate(t, "boom", 20*time.Second)
		assert.Check(t, flamingodoor.CodeOf(err) == flamingodoor.CodePoisonRequest, "%v", err)
	})
	reveal(2, "b")
	reveal(4, "c") // only one of them may run there
	reveal(5, "d")
	requests.Wait()
	crashed := 0
	for _, server := range w.servers {
		crashed += server.Statistics().Crashed
	}
	assert.Equal(t, crashed, 3)
}
