package proxy

import (
	"math"
	"sync"
	"time"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/demand"
)

// rateTimeConstant is the time constant of the decaying mean rates: long enough
// to smooth single requests, short compared with loading a model's weights.
const rateTimeConstant = 4 * time.Second

// DemandKey identifies a model of a service.
type DemandKey = demand.Key

// Demand estimates the engine time that callers request of each model, whether
// or not their requests are served. It is safe for concurrent use.
type Demand struct {
	mu               sync.Mutex
	rates            map[DemandKey]*meanRate
	meanOutputLimits map[string]float64 // mean of callers' output token limits, by service
}

// outputLimitWeight is the weight of the newest request in the mean output token
// limit.
const outputLimitWeight = 0.01

// meanRate is an exponentially decaying mean of an amount per second.
type meanRate struct {
	perSecond float64
	updatedAt time.Time
}

// NewDemand returns an empty Demand.
func NewDemand() *Demand {
	return &Demand{rates: make(map[DemandKey]*meanRate), meanOutputLimits: make(map[string]float64)}
}

// Add counts a request by its estimated engine seconds. Services without an
// engine are not counted.
func (d *Demand) Add(service flamingodoor.ServiceSpec, model string, promptTokens, maxOutputTokens int, now time.Time) {
	if service.Engine == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	work := EngineSeconds(service.Engine, model, float64(promptTokens), d.expectedOutput(service, float64(maxOutputTokens)))
	key := DemandKey{Service: service.Name, Model: model}
	rateOf(d.rates, key, now).add(work, now)
}

// rateOf returns the mean rate of a key, and adds a zero one if there is none.
func rateOf(rates map[DemandKey]*meanRate, key DemandKey, now time.Time) *meanRate {
	mean, ok := rates[key]
	if !ok {
		mean = &meanRate{updatedAt: now}
		rates[key] = mean
	}
	return mean
}

// arrivalRates holds the mean number of requests per second of each model. It is
// safe for concurrent use.
type arrivalRates struct {
	mu    sync.Mutex
	rates map[DemandKey]*meanRate
}

func newArrivalRates() *arrivalRates {
	return &arrivalRates{rates: make(map[DemandKey]*meanRate)}
}

// add counts a request.
func (a *arrivalRates) add(key DemandKey, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	rateOf(a.rates, key, now).add(1, now)
}

// perSecond returns the mean requests per second of a key.
func (a *arrivalRates) perSecond(key DemandKey, now time.Time) float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	mean := rateOf(a.rates, key, now)
	mean.decay(now)
	return mean.perSecond
}

// Work returns the estimated engine seconds of a request to a service with an engine,
// without counting it.
func (d *Demand) Work(service flamingodoor.ServiceSpec, model string, promptTokens, maxOutputTokens int) float64 {
	d.mu.Lock()
	output := scaledOutput(service.Engine, float64(maxOutputTokens), d.meanOutputLimits[service.Name])
	d.mu.Unlock()
	return EngineSeconds(service.Engine, model, float64(promptTokens), output)
}

// expectedOutput updates the service's mean limit of output tokens, and estimates the
// output tokens of a request from its limit.
func (d *Demand) expectedOutput(service flamingodoor.ServiceSpec, limit float64) float64 {
	mean, ok := d.meanOutputLimits[service.Name]
	if !ok {
		mean = max(1, service.Engine.MeanAnswerTokens)
	}
	mean += outputLimitWeight * (limit - mean)
	d.meanOutputLimits[service.Name] = mean
	return scaledOutput(service.Engine, limit, mean)
}

// scaledOutput scales a limit of output tokens by the ratio of the mean output to the mean
// limit, because callers allow more tokens than are generated.
func scaledOutput(engine *flamingodoor.EngineSpec, limit, meanLimit float64) float64 {
	if engine.MeanAnswerTokens <= 0 || meanLimit <= engine.MeanAnswerTokens {
		return limit
	}
	return limit * engine.MeanAnswerTokens / meanLimit
}

func (r *meanRate) add(amount float64, now time.Time) {
	r.decay(now)
	r.perSecond += amount / rateTimeConstant.Seconds()
}

func (r *meanRate) decay(now time.Time) {
	r.perSecond *= math.Exp(-now.Sub(r.updatedAt).Seconds() / rateTimeConstant.Seconds())
	r.updatedAt = now
}

// Rates returns the engine seconds requested per second.
func (d *Demand) Rates(now time.Time) demand.Rates {
	d.mu.Lock()
	defer d.mu.Unlock()
	rates := make(demand.Rates, len(d.rates))
	for key, mean := range d.rates {
		mean.decay(now)
		rates[key] = mean.perSecond
	}
	return rates
}

// Rate returns the engine seconds requested of a model per second.
func (d *Demand) Rate(key DemandKey, now time.Time) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	mean, ok := d.rates[key]
	if !ok {
		return 0
	}
	mean.decay(now)
	return mean.perSecond
}

// EngineSeconds estimates how long a request occupies an engine whose slots are
// all in use: the prefill of its prompt, plus its part of the decode steps that
// it shares with the other requests.
func EngineSeconds(engine *flamingodoor.EngineSpec, model string, promptTokens, outputTokens float64) float64 {
	timeFactor := 1.0
	for _, spec := range engine.Models {
		if spec.ID == model {
			timeFactor = spec.TimeFactor
		}
	}
	slots := float64(max(1, engine.Slots))
	step := engine.StepTime.Seconds() + slots*engine.StepTimePerSlot.Seconds()
	prefill := 0.0
	if engine.PrefillTokensPerSecond > 0 {
		prefill = promptTokens / engine.PrefillTokensPerSecond
	}
	return timeFactor * (prefill + outputTokens*step/slots)
}
