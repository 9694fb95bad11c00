package integration_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor/internal/harness"
)

// Guards against a payment that runs although the log does not keep its records
// for as long as its key is valid.
func TestRefusalShortRetention(t *testing.T) {
	t.Parallel()
	topology := onceTopology
	topology.PlatformArguments = []string{"--retention=24h30m"}
	recorder := startReplyRecorder(t, topology)
	for entry := range recorder.testbed.Deployment.Entries {
		reply := recorder.post(entry, harness.NewKey())
		assert.Equal(t, reply.Code, "log_unavailable")
		assert.Equal(t, reply.RunState, "not_run")
		assert.Assert(t, strings.Contains(reply.Body, "24h"), reply.Body)
	}
	runs, err := recorder.testbed.Ledger.Runs(recorder.ctx)
	assert.NilError(t, err)
	assert.Equal(t, runs, 0)
	recorder.checkReplies(t)
}
