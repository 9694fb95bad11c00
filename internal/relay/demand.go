package relay

import (
	"math"
	"sync"
	"time"

	"flamingodoor.example/flamingodoor"
)

// demandTime is the time constant of the mean demand: long enough to smooth
// single requests, short against a weight load.
const demandTime = 4 * time.Second

// DemandKey names a model of a service.
type DemandKey struct {
	Service string
	Model   string
}

// Demand keeps the mean work asked of each model, served or not.
type Demand struct {
	mu    sync.Mutex
	rates map[DemandKey]*rate
	most  map[string]float64 // mean of the most answer tokens, by service
}

// mostWeight is the weight of the newest request in the mean of the most
// answer tokens.
const mostWeight = 0.01

type rate struct {
	perSecond float64
	at        time.Time
}

// NewDemand returns a demand of nothing.
func NewDemand() *Demand {
	return &Demand{rates: make(map[DemandKey]*rate), most: make(map[string]float64)}
}

// Add counts a request by the time that it takes of a full engine.
func (d *Demand) Add(service flamingodoor.ServiceSpec, model string, prompt, answer int, now time.Time) {
	if service.Engine == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	work := EngineSeconds(service.Engine, model, float64(prompt), d.usualAnswer(service, float64(answer)))
	key := DemandKey{Service: service.Name, Model: model}
	rateOf(d.rates, key, now).add(work, now)
}

// rateOf returns the rate of a key, which begins at nothing.
func rateOf(rates map[DemandKey]*rate, key DemandKey, now time.Time) *rate {
	mean, ok := rates[key]
	if !ok {
		mean = &rate{at: now}
		rates[key] = mean
	}
	return mean
}

// arrivals keeps the mean number of requests a second for each model.
type arrivals struct {
	mu    sync.Mutex
	rates map[DemandKey]*rate
}

func newArrivals() *arrivals {
	return &arrivals{rates: make(map[DemandKey]*rate)}
}

// add counts a request.
func (a *arrivals) add(key DemandKey, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	rateOf(a.rates, key, now).add(1, now)
}

// perSecond returns the mean requests a second.
func (a *arrivals) perSecond(key DemandKey, now time.Time) float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	mean := rateOf(a.rates, key, now)
	mean.decay(now)
	return mean.perSecond
}

// usualAnswer scales the most tokens of an answer to the usual length: callers
// allow more than they get.
func (d *Demand) usualAnswer(service flamingodoor.ServiceSpec, most float64) float64 {
	mean, ok := d.most[service.Name]
	if !ok {
		mean = max(1, service.Engine.MeanAnswerTokens)
	}
	mean += mostWeight * (most - mean)
	d.most[service.Name] = mean
	if service.Engine.MeanAnswerTokens <= 0 || mean <= service.Engine.MeanAnswerTokens {
		return most
	}
	return most * service.Engine.MeanAnswerTokens / mean
}

func (r *rate) add(amount float64, now time.Time) {
	r.decay(now)
	r.perSecond += amount / demandTime.Seconds()
}

func (r *rate) decay(now time.Time) {
	r.perSecond *= math.Exp(-now.Sub(r.at).Seconds() / demandTime.Seconds())
	r.at = now
}

// Rates returns the engine seconds asked a second.
func (d *Demand) Rates(now time.Time) map[DemandKey]float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	rates := make(map[DemandKey]float64, len(d.rates))
	for key, mean := range d.rates {
		mean.decay(now)
		rates[key] = mean.perSecond
	}
	return rates
}

// EngineSeconds estimates the share of a full engine's time that a request
// takes: reading its prompt and writing its answer beside the others.
func EngineSeconds(engine *flamingodoor.EngineSpec, model string, prompt, answer float64) float64 {
	pace := 1.0
	for _, spec := range engine.Models {
		if spec.ID == model {
			pace = spec.TimeFactor
		}
	}
	slots := float64(max(1, engine.Slots))
	step := engine.StepTime.Seconds() + slots*engine.StepTimePerSlot.Seconds()
	reading := 0.0
	if engine.PrefillTokensPerSecond > 0 {
		reading = prompt / engine.PrefillTokensPerSecond
	}
	return pace * (reading + answer*step/slots)
}
