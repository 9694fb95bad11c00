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

// Guards against refusing a harmless request because it was in flight at two
// crashes that another request caused, and against more than three crashes by
// that request.
func TestHarmlessRequestSurvivesTwoSharedCrashes(t *testing.T) {
	const answer = 100 // tokens; enough to be in flight at both crashes
	c := newCluster(t, dispatch.WithEndpointWait(3*time.Second, 3*time.Second))
	c.ledger = poison.New()
	hidden := map[string]flamingodoor.Report{}
	for _, id := range []string{"a", "b", "c", "d"} {
		crash := c.stop(id)
		if id == "b" {
			// The second crash must also hit both requests. On a busy machine
			// the harmless one can arrive later.
			crash = func() {
				c.awaitReceived("b", 2)
				c.stop("b")()
			}
		}
		c.add(t, id, standinendpoint.WithCrash("boom", 3, crash),
			standinendpoint.WithAnswerTokens(answer), standinendpoint.WithTokenTimes(0, 10*time.Millisecond))
		hidden[id] = c.reports[id]
		if id != "a" {
			delete(c.reports, id)
		}
	}
	// reveal makes endpoints available once the given number of strikes has
	// been reported.
	reveal := func(strikes int, ids ...string) {
		for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); {
			c.mu.Lock()
			struck := len(c.strikes) >= strikes
			for _, id := range ids {
				if struck {
					c.reports[id] = hidden[id]
				}
			}
			c.mu.Unlock()
			if struck {
				return
			}
			time.Sleep(time.Millisecond)
		}
	}
	var requests sync.WaitGroup
	requests.Go(func() {
		text, _, err := c.generate(t, "harmless", 20*time.Second)
		assert.Check(t, err)
		assert.Check(t, text == standinendpoint.Answer("harmless", answer))
	})
	for c.received() == 0 {
		time.Sleep(time.Millisecond)
	}
	requests.Go(func() {
		_, _, err := c.generate(t, "boom", 20*time.Second)
		assert.Check(t, flamingodoor.CodeOf(err) == flamingodoor.CodePoisonRequest, "%v", err)
	})
	reveal(2, "b")
	reveal(4, "c") // only one of the two suspects may run there
	reveal(5, "d")
	requests.Wait()
	crashed := 0
	for _, server := range c.servers {
		crashed += server.Statistics().Crashed
	}
	assert.Equal(t, crashed, 3)
}
