package balance_test

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/balance"
)

// Guards against filling all slots of an engine that is busy with prompts. With 48 slots,
// long prompts and short answers, a group served 18 requests a second with 24 requests in
// flight as well as with 48, but the first events came after 0.6 s instead of 0.35 s.
func TestLongPromptsSaturateAnEngineBeforeItsSlots(t *testing.T) {
	engine := &flamingodoor.EngineSpec{Slots: 48, PrefillChunkTokens: 2048}
	long := balance.Saturation(engine, 1670, 20)
	assert.Assert(t, long > 22 && long < 30, "%v", long)
	short := balance.Saturation(engine, 710, 30)
	assert.Assert(t, short > float64(engine.Slots), "%v", short)
	assert.Assert(t, math.IsInf(balance.Saturation(&flamingodoor.EngineSpec{Slots: 48}, 1670, 20), 1))
}
