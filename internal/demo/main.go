// Command demo starts a small deployment as separate processes, sends a streamed
// request and a non-idempotent call through it, and stops it.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"flamingodoor.example/flamingodoor/internal/harness"
)

const (
	demoTimeout     = 3 * time.Minute
	summaryInterval = time.Second
)

func main() {
	var noOptions struct{}
	os.Exit(harness.Main("demo", &noOptions, func(ctx context.Context, programs string, log io.Writer) error {
		ctx, cancel := context.WithTimeout(ctx, demoTimeout)
		defer cancel()
		deployment := &harness.Deployment{ProgramDirectory: programs, Log: log}
		defer deployment.Close()
		return runDemo(ctx, deployment, os.Stdout)
	}))
}

// runDemo starts the processes, applies a configuration, sends the requests and
// prints the status and the burn report.
func runDemo(ctx context.Context, deployment *harness.Deployment, output io.Writer) error {
	started := time.Now()
	topology := harness.SmallTopology
	topology.EntryArguments = []string{"--summary-interval=" + summaryInterval.String()}
	testbed, err := harness.StartTestbed(ctx, deployment, topology)
	if err != nil {
		return err
	}
	printLine("started the platform, %d entry hosts, %d engines and a ledger service", len(deployment.Entries), len(testbed.Engines))
	applied, err := deployment.Apply(ctx, testbed.Manifest)
	if err != nil {
		return err
	}
	printLine("flamingodoorctl apply:\n%s", applied)
	if err := testbed.WaitServing(ctx); err != nil {
		return err
	}
	printLine("two groups of two hosts serve %.1f s after the start", time.Since(started).Seconds())

	printLine("streaming an answer through %s:", deployment.Entries[0].Name)
	answer, err := testbed.NewCaller(0).Stream(ctx, "Explain invoice 7 of building 12.", 12, func(text string) {
		_, _ = io.WriteString(output, text)
	})
	if err != nil {
		return err
	}
	printLine("\nwhole answer of %d tokens, first token after %d ms", answer.Tokens, answer.FirstToken.Milliseconds())
	if err := postPayment(ctx, testbed); err != nil {
		return err
	}
	status, err := deployment.RunControl(ctx, "status")
	if err != nil {
		return err
	}
	printLine("flamingodoorctl status:\n%s", status)
	time.Sleep(2 * summaryInterval)
	report, err := deployment.RunControl(ctx, "report", "burn", "--period=1m")
	if err != nil {
		return err
	}
	printLine("flamingodoorctl report burn:\n%s", report)
	return nil
}

// postPayment posts one payment twice, through different entry hosts, and prints
// how often the ledger service ran it.
func postPayment(ctx context.Context, testbed *harness.Testbed) error {
	key := harness.NewKey()
	for index := range 2 {
		reply, err := testbed.NewCaller(index).Post(ctx, "/v1/services/ledger/payments", key, `{"invoice":7,"amount":"120.00"}`)
		if err != nil {
			return err
		}
		printLine("posted the payment through %s under key %s: status %d, run state %q",
			testbed.Deployment.Entries[index].Name, key, reply.Status, reply.RunState)
	}
	runs, err := testbed.Ledger.Runs(ctx)
	if err != nil {
		return err
	}
	printLine("the ledger counts %d run", runs)
	return nil
}

func printLine(format string, arguments ...any) {
	_, _ = fmt.Fprintf(os.Stdout, format+"\n", arguments...)
}
