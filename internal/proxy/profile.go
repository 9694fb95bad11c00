package proxy

import (
	"math"
	"sync"
	"time"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/balance"
)

const (
	// profilePrior is the number of requests that the engine's declared means count as,
	// so that the first requests of a model alone do not decide its profile.
	profilePrior = 2
	// profileWindow is the number of newest requests that a profile is the mean of.
	profileWindow = 100
)

// profiles hold the mean prompt and answer of the requests for each model. They are safe
// for concurrent use.
type profiles struct {
	mu     sync.Mutex
	models map[DemandKey]*profile
}

// profile is the mean of a model's requests.
type profile struct {
	prompt movingMean // tokens
	answer movingMean // events, one of each pass of the engine
	took   movingMean // seconds from placement to the end of the answer
}

// movingMean is the mean of the newest values.
type movingMean struct {
	value float64
	count float64
}

func (m *movingMean) add(value float64) {
	m.count = min(m.count+1, profileWindow)
	m.value += (value - m.value) / m.count
}

func newProfiles() *profiles {
	return &profiles{models: make(map[DemandKey]*profile)}
}

// of returns the profile of a model, which is at first what the engine declares. The
// caller holds the mutex.
func (p *profiles) of(key DemandKey, engine *flamingodoor.EngineSpec) *profile {
	known, ok := p.models[key]
	if !ok {
		known = &profile{
			prompt: movingMean{value: engine.MeanPromptTokens, count: profilePrior},
			answer: movingMean{value: engine.MeanAnswerTokens / float64(max(1, engine.StepsPerPass)), count: profilePrior},
		}
		p.models[key] = known
	}
	return known
}

// addPrompt counts the prompt of a request.
func (p *profiles) addPrompt(j *job) {
	if j.service.Engine == nil || j.promptTokens <= 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.of(j.key(), j.service.Engine).prompt.add(float64(j.promptTokens))
}

// addAnswer counts a complete answer.
func (p *profiles) addAnswer(j *job, events int, now time.Time) {
	if j.service.Engine == nil || events <= 0 || j.lastEventID != "" {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.of(j.key(), j.service.Engine)
	known.answer.add(float64(events))
	known.took.add(now.Sub(j.placedAt).Seconds())
}

// meanTime returns how long the model's requests take from placement to the end of the
// answer, or 0 before any has ended.
func (p *profiles) meanTime(j *job) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Duration(p.of(j.key(), j.service.Engine).took.value * float64(time.Second))
}

// endedPart returns the part of a model's requests in flight that end within the time.
func (p *profiles) endedPart(j *job, within time.Duration) float64 {
	took := p.meanTime(j)
	if took <= 0 {
		return 0
	}
	return within.Seconds() / took.Seconds()
}

// usefulSlots returns how many of the slots of a group serve more requests per second if
// they are used.
func (p *profiles) usefulSlots(j *job, slots int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.of(j.key(), j.service.Engine)
	return max(1, int(min(float64(slots), math.Ceil(balance.Saturation(j.service.Engine, known.prompt.value, known.answer.value)))))
}
