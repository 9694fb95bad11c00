// Package integration_test runs the promises of docs/design.md section 1.1
// against separate processes behind fault-injecting proxies.
package integration_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor/internal/harness"
)

const (
	buildTimeout = 5 * time.Minute
	sceneTimeout = 3 * time.Minute
)

// programs is the directory of the built programs.
var programs string

func TestMain(m *testing.M) {
	os.Exit(runMain(m))
}

func runMain(m *testing.M) int {
	directory, err := os.MkdirTemp("", "flamingodoor-integration-")
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(directory) }()
	ctx, cancel := context.WithTimeout(context.Background(), buildTimeout)
	defer cancel()
	if err := harness.Build(ctx, "../..", directory, false); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		return 1
	}
	programs = directory
	return m.Run()
}

// startScene starts and configures a scene and waits until its groups serve.
// The processes' output goes to a file that is printed when the test fails.
func startScene(t *testing.T, shape harness.Topology) (context.Context, *harness.Testbed) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), sceneTimeout)
	t.Cleanup(cancel)
	log, err := os.CreateTemp(t.TempDir(), "processes-*.log")
	assert.NilError(t, err)
	deployment := &harness.Deployment{ProgramDirectory: programs, Log: log}
	t.Cleanup(func() {
		deployment.Close()
		if t.Failed() {
			printLog(t, log.Name())
		}
		_ = log.Close()
	})
	scene, err := harness.StartTestbed(ctx, deployment, shape)
	assert.NilError(t, err)
	_, err = deployment.Apply(ctx, scene.Manifest)
	assert.NilError(t, err)
	assert.NilError(t, scene.WaitServing(ctx))
	return ctx, scene
}

// logTailBytes keeps the output of a failed test readable.
const logTailBytes = 64 << 10

func printLog(t *testing.T, path string) {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		return
	}
	// One line for each request would hide the others.
	lines := slices.DeleteFunc(strings.SplitAfter(string(data), "\n"), func(line string) bool {
		return strings.Contains(line, "event=request_finished")
	})
	data = []byte(strings.Join(lines, ""))
	if len(data) > logTailBytes {
		data = data[len(data)-logTailBytes:]
	}
	t.Logf("processes:\n%s", data)
}

// newRandom returns a source with the seed FLAMINGODOOR_SEED, or the fixed one so
// that every run of CI gives the same verdict. It prints the seed.
func newRandom(t *testing.T, fixed uint64) *rand.Rand {
	t.Helper()
	seed := fixed
	if text := os.Getenv("FLAMINGODOOR_SEED"); text != "" {
		var err error
		seed, err = strconv.ParseUint(text, 10, 64)
		assert.NilError(t, err)
	}
	t.Logf("FLAMINGODOOR_SEED=%d", seed)
	return rand.New(rand.NewPCG(seed, 0))
}
