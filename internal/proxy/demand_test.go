package proxy_test

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/proxy"
)

// demandStart is the arrival of the first request in tests of the demand.
var demandStart = time.Unix(1_800_000_000, 0)

// demandService has two models. A request with demandPrompt tokens takes an engine 0.1 s.
func demandService() flamingodoor.ServiceSpec {
	return flamingodoor.ServiceSpec{Name: "llm", Engine: &flamingodoor.EngineSpec{
		Slots: 8, PrefillTokensPerSecond: 1000, Models: []flamingodoor.ModelSpec{{ID: "large", TimeFactor: 1}, {ID: "small", TimeFactor: 1}},
	}}
}

const demandPrompt = 100

// addSteadily adds requests at an interval, of which every fourth is for the small model,
// and returns the time after the last interval.
func addSteadily(demand *proxy.Demand, count int, interval time.Duration) time.Time {
	now := demandStart
	for i := range count {
		model := "large"
		if i%4 == 3 {
			model = "small"
		}
		demand.Add(demandService(), model, demandPrompt, 0, now)
		now = now.Add(interval)
	}
	return now
}

// Guards against a demand that is measured as a fraction of the steady rate in the first
// seconds, because the mean over 4 s begins at zero.
func TestDemandOfTheFirstSecondsIsThatOfTheSteadyRate(t *testing.T) {
	const interval, perSecond = 20 * time.Millisecond, 5.0 // engine seconds
	for _, elapsed := range []time.Duration{time.Second, 2 * time.Second, 5 * time.Second, 30 * time.Second} {
		demand := proxy.NewDemand()
		now := addSteadily(demand, int(elapsed/interval), interval)
		rates := demand.Rates(now)
		for model, share := range map[string]float64{"large": 0.75, "small": 0.25} {
			rate := rates[proxy.DemandKey{Service: "llm", Model: model}]
			assert.Assert(t, math.Abs(rate-perSecond*share) < 0.1*perSecond*share, "%s after %v: %v", model, elapsed, rate)
		}
	}
}

// Guards against a single early request that is taken for a steady rate.
func TestSingleRequestIsNotScaledUp(t *testing.T) {
	demand := proxy.NewDemand()
	now := addSteadily(demand, 1, 10*time.Millisecond)
	rate := demand.Rates(now)[proxy.DemandKey{Service: "llm", Model: "large"}]
	assert.Assert(t, rate > 0 && rate <= 0.1/4, "%v", rate)
}

// Guards against the demand of a host that joins a deployment with callers, or gets a few
// requests, that is taken for a multiple.
func TestDemandIsNotScaledUpAfterTheStart(t *testing.T) {
	demand := proxy.NewDemand()
	demand.Start(demandStart.Add(-time.Minute))
	now := addSteadily(demand, 100, 10*time.Millisecond)
	rates := demand.Rates(now)
	rate := rates[proxy.DemandKey{Service: "llm", Model: "large"}] + rates[proxy.DemandKey{Service: "llm", Model: "small"}]
	assert.Assert(t, rate < 10*(1-math.Exp(-0.25))*1.05, "%v", rate)
}

// Guards against declared shares that hold longer than the first second, or than the
// first 50 requests, and against a split that follows from fewer requests.
func TestDemandIsMeasuredAfterASecondOrEnoughRequests(t *testing.T) {
	demand := proxy.NewDemand()
	assert.Assert(t, !demand.Measured(demandStart.Add(time.Hour)))
	now := addSteadily(demand, 49, time.Millisecond)
	assert.Assert(t, !demand.Measured(now))
	assert.Assert(t, demand.Measured(demandStart.Add(time.Second)))
	demand.Add(demandService(), "large", demandPrompt, 0, now)
	assert.Assert(t, demand.Measured(now))

	elsewhere := proxy.NewDemand()
	elsewhere.Start(demandStart)
	assert.Assert(t, !elsewhere.Measured(demandStart.Add(999*time.Millisecond)))
	assert.Assert(t, elsewhere.Measured(demandStart.Add(time.Second)))
}
