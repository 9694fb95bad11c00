package integration_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor/internal/harness"
)

// Guards against a posting that runs while the log does not keep its record
// for as long as its key is valid.
func TestRefusalShortRetention(t *testing.T) {
	t.Parallel()
	shape := onceShape
	shape.PlatformArguments = []string{"--retention=24h30m"}
	w := startWitness(t, shape)
	for entry := range w.scene.Deployment.Entries {
		reply := w.post(entry, harness.NewKey())
		assert.Equal(t, reply.Code, "log_unavailable")
		assert.Equal(t, reply.RunState, "not_run")
		assert.Assert(t, strings.Contains(reply.Body, "24h"), reply.Body)
	}
	runs, err := w.scene.Ledger.Runs(w.ctx)
	assert.NilError(t, err)
	assert.Equal(t, runs, 0)
	w.check(t)
}
