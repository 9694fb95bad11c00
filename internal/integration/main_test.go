// Package integration_test checks the guarantees of the whole system, such as
// complete answers, payments that run at most once and drains within 5 s. It
// runs the programs as separate processes behind fault-injecting proxies.
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
	buildTimeout   = 5 * time.Minute
	testbedTimeout = 3 * time.Minute
)

// programDir is the directory of the built programs.
var programDir string

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
	programDir = directory
	return m.Run()
}

// startTestbed starts a testbed, applies its manifest and waits until its groups
// serve. The output of the processes goes to a file, whose end is printed if the
// test fails.
func startTestbed(t *testing.T, topology harness.Topology) (context.Context, *harness.Testbed) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testbedTimeout)
	t.Cleanup(cancel)
	log, err := os.CreateTemp(t.TempDir(), "processes-*.log")
	assert.NilError(t, err)
	deployment := &harness.Deployment{ProgramDirectory: programDir, Log: log}
	t.Cleanup(func() {
		deployment.Close()
		if t.Failed() {
			printLog(t, log.Name())
		}
		_ = log.Close()
	})
	testbed, err := harness.StartTestbed(ctx, deployment, topology)
	assert.NilError(t, err)
	_, err = deployment.Apply(ctx, testbed.Manifest)
	assert.NilError(t, err)
	assert.NilError(t, testbed.WaitServing(ctx))
	return ctx, testbed
}

// logTailBytes limits the process output that a failed test prints.
const logTailBytes = 64 << 10

// printLog prints the end of the process output without the lines of single
// requests.
func printLog(t *testing.T, path string) {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		return
	}
	// One line for each request would crowd out the other lines.
	lines := slices.DeleteFunc(strings.SplitAfter(string(data), "\n"), func(line string) bool {
		return strings.Contains(line, "event=request_finished")
	})
	data = []byte(strings.Join(lines, ""))
	if len(data) > logTailBytes {
		data = data[len(data)-logTailBytes:]
	}
	t.Logf("processes:\n%s", data)
}

// newRandom returns a random source with the seed from FLAMINGODOOR_SEED. If it is
// not set, the fixed seed makes every run of CI choose the same faults and times.
// It logs the seed.
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
