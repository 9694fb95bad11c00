package config_test

import (
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"flamingodoor.example/flamingodoor/internal/config"
)

// Guards against an error that names only the first invalid setting, so that the
// operator has to start the daemon once for each of them.
func TestParseReportsEveryMistakeByName(t *testing.T) {
	_, err := config.Parse([]string{
		"--host-id=UPPER", "--data-centre=dar-1", "--platform=localhost:1", "--max-body-bytes=1",
		"--caller-cert=/does/not/exist", "--operator-listen=10.0.0.1:8082",
	})
	for _, name := range []string{"--host-id", "--platform", "--max-body-bytes", "--caller-cert", "--operator-token"} {
		assert.Check(t, cmp.ErrorContains(err, name))
	}
}

// Guards against an environment variable being ignored.
func TestParseReadsEnvironment(t *testing.T) {
	t.Setenv("FLAMINGODOOR_HOST_ID", "entry-1")
	settings, err := config.Parse([]string{"--data-centre=dar-1", "--platform=127.0.0.1:9000"})
	assert.NilError(t, err)
	assert.Equal(t, settings.HostID, "entry-1")
	assert.Equal(t, settings.Addresses.Platform.Port(), uint16(9000))
}

// Guards against --help being reported as a failure.
func TestParseHelp(t *testing.T) {
	_, err := config.Parse([]string{"--help"})
	assert.Assert(t, config.IsHelp(err))
}
