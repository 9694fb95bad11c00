package balance

import (
	"time"

	"flamingodoor.example/flamingodoor"
)

// maxPromptWait bounds the time of a prompt, and of all prompts of this host that wait at
// an instance: callers give up on a first event after it, and a number of tokens that a
// caller states wrongly must not keep an instance from requests.
const maxPromptWait = 2 * time.Second

// longestTime bounds each predicted time, so that sums of declared times cannot overflow.
const longestTime = time.Hour

// Timing predicts the time to the first event of a request from the declared times of an
// engine. All groups of a model have the same.
type Timing struct {
	Idle        time.Duration // time to the first event at an idle group
	PerRequest  time.Duration // by which each request in flight lengthens a pass
	OtherPrompt time.Duration // expected wait for the prompt of each request of other hosts
	Prompt      time.Duration // to process the prompt of this request; part of Idle
	Full        time.Duration // time to the first event at a group whose slots are all in use
}

// NewTiming returns the timing of a request. A request without a known number of prompt
// tokens is expected to have the mean.
func NewTiming(engine *flamingodoor.EngineSpec, model string, promptTokens int) *Timing {
	timeFactor := 1.0
	for _, spec := range engine.Models {
		if spec.ID == model {
			timeFactor = spec.TimeFactor
		}
	}
	scale := func(seconds float64) time.Duration {
		return time.Duration(min(longestTime.Seconds(), timeFactor*seconds) * float64(time.Second))
	}
	tokens := float64(promptTokens)
	if promptTokens <= 0 {
		tokens = engine.MeanPromptTokens
	}
	prompt, meanPrompt := 0.0, 0.0
	if engine.PrefillTokensPerSecond > 0 {
		prompt = tokens / engine.PrefillTokensPerSecond
		meanPrompt = engine.MeanPromptTokens / engine.PrefillTokensPerSecond
	}
	steps := float64(max(1, engine.StepsPerPass))
	// A request waits for its prompt during one of the passes that it takes part in.
	waiting := steps / (steps + max(0, engine.MeanAnswerTokens))
	pass, perRequest := steps*engine.StepTime.Seconds(), steps*engine.StepTimePerSlot.Seconds()
	return &Timing{
		Idle: scale(pass) + min(scale(prompt), maxPromptWait), PerRequest: scale(perRequest), OtherPrompt: scale(waiting * meanPrompt), Prompt: min(scale(prompt), maxPromptWait),
		Full: scale(pass + float64(engine.Slots)*perRequest + meanPrompt),
	}
}

// firstEvent predicts the time to the first event at a group with the given requests in
// flight of this host and of the others, and the given wait for the prompts of this
// host.
func (t *Timing) firstEvent(own, others int, ownPrompts time.Duration, speed float64) time.Duration {
	atFullSpeed := t.Idle + time.Duration(own+others)*t.PerRequest + time.Duration(others)*t.OtherPrompt
	return ownPrompts + time.Duration(float64(atFullSpeed)/speed)
}

// Predicted returns the predicted time to the first event of the request that Pick placed
// last at a candidate, or 0 if no times are declared.
func (t *Tracker) Predicted(candidate Candidate, now time.Time) time.Duration {
	if candidate.Timing == nil {
		return 0
	}
	speed := speedOf(candidate)
	t.mu.Lock()
	defer t.mu.Unlock()
	before := t.promptsUntil[candidate.ID].Sub(now) - time.Duration(float64(candidate.Timing.Prompt)/speed)
	return candidate.RoundTrip + candidate.Timing.firstEvent(max(0, t.own[candidate.ID]-1), t.peerTotals[candidate.ID], max(0, before), speed)
}
