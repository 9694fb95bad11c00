package balance

import (
	"math"

	"flamingodoor.example/flamingodoor"
)

// Saturation returns the number of requests in flight from which on a group serves no more
// requests per second: each pass processes as many prompt tokens as it can, and further
// requests only wait for their first events. `promptTokens` and `answerPasses` are the
// mean prompt and the mean number of passes of an answer. It is infinite for an engine
// that declares no limit of prompt tokens.
func Saturation(engine *flamingodoor.EngineSpec, promptTokens, answerPasses float64) float64 {
	if engine.PrefillChunkTokens <= 0 || promptTokens <= 0 {
		return math.Inf(1)
	}
	promptsPerPass := float64(engine.PrefillChunkTokens) / promptTokens
	// A request is in flight for the pass of its prompt as well.
	return promptsPerPass * (answerPasses + 1)
}
