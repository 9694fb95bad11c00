package integration_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor/internal/harness"
	standinendpoint "flamingodoor.example/flamingodoor/internal/standin/endpoint"
)

// Guards against programs that do not work together. A caller must get a
// complete answer, and a payment that is repeated through every host runs once.
func TestWholePath(t *testing.T) {
	t.Parallel()
	ctx, testbed := startTestbed(t, harness.SmallTopology)

	const prompt = "Explain the invoice."
	answer, err := testbed.NewCaller(0).Stream(ctx, prompt, 8, nil)
	assert.NilError(t, err)
	assert.Assert(t, answer.Complete, "code %s", answer.Code)
	assert.Equal(t, answer.Text, standinendpoint.Answer("user: "+prompt+"\n", 8))

	key := harness.NewKey()
	for entry := range testbed.Deployment.Entries {
		reply, err := testbed.NewCaller(entry).Post(ctx, "/v1/services/ledger/payments", key, `{"amount":1}`)
		assert.NilError(t, err)
		assert.Equal(t, reply.Status, 200, reply.Body)
	}
	runs, err := testbed.Ledger.Runs(ctx)
	assert.NilError(t, err)
	assert.Equal(t, runs, 1)
}
