// Command departure measures completed requests and latencies while a data centre
// is drained and returns with cold engines. It compares the entry hosts with a
// plain policy, which sends a request to a random group head in a data centre
// in service, tries at most three times and ignores cold starts.
package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"time"

	"flamingodoor.example/flamingodoor/internal/faultproxy"
	"flamingodoor.example/flamingodoor/internal/harness"
)

type options struct {
	Distance time.Duration `long:"distance" default:"500us" description:"one-way delay between data centres (Kivuko 1.5ms, Valach 500us)"`
	Rate     float64       `long:"rate" default:"30" description:"requests a second"`
	Phase    time.Duration `long:"phase" default:"15s" description:"length of each phase: before, out, returned"`
	Seed     uint64        `long:"seed" default:"1" description:"seed of the arrivals"`
}

// Latency targets of docs/design.md, section 1.3.
const (
	firstTokenTarget = 500 * time.Millisecond
	gapTarget        = 25 * time.Millisecond
)

const (
	drainedDataCentre = "dc-a"
	requestTokens     = 40
	returnTimeout     = 20 * time.Second // of the command that ends the drain
)

func main() {
	var args options
	os.Exit(harness.Main("departure", &args, func(ctx context.Context, programs string, log io.Writer) error {
		return comparePolicies(ctx, args, programs, log)
	}))
}

func comparePolicies(ctx context.Context, args options, programs string, log io.Writer) error {
	_, _ = fmt.Fprintln(os.Stdout, "policy  phase     requests  complete  in_time  gaps_in_time  cold_in_flight_max  first_p50_ms  first_p99_ms  failures")
	for _, policy := range []string{"plain", "entry"} {
		deployment := &harness.Deployment{ProgramDirectory: programs, Log: log}
		err := measure(ctx, args, deployment, policy)
		deployment.Close()
		if err != nil {
			return err
		}
	}
	return nil
}

// measure runs a start phase and the three measured phases with one policy and
// prints a line for each.
func measure(ctx context.Context, args options, deployment *harness.Deployment, policy string) error {
	testbed, err := startTestbed(ctx, args, deployment)
	if err != nil {
		return err
	}
	sender := newSender(testbed, policy)
	phases := []struct {
		name  string
		begin func() error
	}{
		{"start", func() error { return nil }},
		{"before", func() error { return nil }},
		{"out", func() error {
			_, err := deployment.RunControl(ctx, "drain", drainedDataCentre, "--reason", "measurement")
			return err
		}},
		{"returned", func() error { return returnCold(ctx, testbed) }},
	}
	arrivals := rand.New(rand.NewPCG(args.Seed, args.Seed)) //nolint:gosec // Reproducible arrivals.
	for _, phase := range phases {
		if err := phase.begin(); err != nil {
			return err
		}
		if err := sender.refresh(ctx); err != nil {
			return err
		}
		result := runPhase(ctx, args, arrivals, sender)
		if err := result.print(ctx, policy, phase.name, testbed); err != nil {
			return err
		}
	}
	return nil
}

// startTestbed starts a testbed of three data centres, each with two groups of two
// engines, and waits until the groups serve.
func startTestbed(ctx context.Context, args options, deployment *harness.Deployment) (*harness.Testbed, error) {
	testbed, err := harness.StartTestbed(ctx, deployment, harness.Topology{
		Entries: 3, FabricDomains: 6, EnginesPerDomain: 2, HostsPerGroup: 2, Groups: 6,
		EngineArguments: []string{
			"--first-token-delay=100ms", "--token-interval=15ms", "--answer-tokens=40",
			"--cold-delay=300ms", "--cold-requests=10", "--cold-grace=2s", "--report-lag=200ms", "--capacity=32",
		},
	})
	if err != nil {
		return nil, err
	}
	for _, engine := range testbed.Engines {
		engine.Proxy.SetRule(faultproxy.Rule{Delay: args.Distance})
	}
	if _, err := deployment.Apply(ctx, testbed.Manifest); err != nil {
		return nil, err
	}
	return testbed, testbed.WaitServing(ctx)
}

// returnCold makes the engines of the drained data centre cold and puts it back
// into service.
func returnCold(ctx context.Context, testbed *harness.Testbed) error {
	for _, engine := range testbed.Engines {
		if engine.DataCentre != drainedDataCentre {
			continue
		}
		if err := engine.Control(ctx, "cold"); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, returnTimeout)
	defer cancel()
	_, err := testbed.Deployment.RunControl(ctx, "return", drainedDataCentre)
	return err
}

// phaseResult counts the answers of one phase.
type phaseResult struct {
	mutex       sync.Mutex
	requests    int
	complete    int
	inTime      int // complete, with the first token within its target
	gaps        int
	gapsSlow    int             // gaps between tokens above their target
	failures    map[string]int  // by code
	firstTokens []time.Duration // times to the first token of complete answers
}

func (r *phaseResult) add(answer harness.Answer) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.requests++
	if answer.Complete {
		r.complete++
		r.firstTokens = append(r.firstTokens, answer.FirstToken)
		if answer.FirstToken <= firstTokenTarget {
			r.inTime++
		}
	}
	if !answer.Complete {
		r.failures[answer.Code]++
	}
	for _, gap := range answer.Gaps {
		r.gaps++
		if gap > gapTarget {
			r.gapsSlow++
		}
	}
}

func (r *phaseResult) print(ctx context.Context, policy, phase string, testbed *harness.Testbed) error {
	coldInFlightMax := 0
	for _, engine := range testbed.Engines {
		statistics, err := engine.Statistics(ctx)
		if err != nil {
			return err
		}
		coldInFlightMax = max(coldInFlightMax, statistics.ColdInFlightMax)
	}
	share := func(part, whole int) float64 { return float64(part) / float64(max(1, whole)) }
	_, err := fmt.Fprintf(os.Stdout, "%-6s  %-8s  %8d  %8.4f  %7.4f  %12.4f  %18d  %12.1f  %12.1f  %v\n", policy, phase, r.requests,
		share(r.complete, r.requests), share(r.inTime, r.requests), 1-share(r.gapsSlow, r.gaps), coldInFlightMax, r.percentile(50), r.percentile(99), r.failures)
	return err
}

// percentile returns a percentile of the time to the first token, in
// milliseconds.
func (r *phaseResult) percentile(percent int) float64 {
	if len(r.firstTokens) == 0 {
		return 0
	}
	slices.Sort(r.firstTokens)
	return float64(r.firstTokens[(len(r.firstTokens)-1)*percent/100].Microseconds()) / 1000
}

// runPhase sends requests as a Poisson process with the given mean rate and waits
// for their answers.
func runPhase(ctx context.Context, args options, random *rand.Rand, sender *sender) *phaseResult {
	result := &phaseResult{failures: make(map[string]int)}
	var requests sync.WaitGroup
	for elapsed := time.Duration(0); elapsed < args.Phase; {
		wait := time.Duration(random.ExpFloat64() / args.Rate * float64(time.Second))
		elapsed += wait
		time.Sleep(wait)
		choice := random.Uint64()
		requests.Go(func() { result.add(sender.send(ctx, choice)) })
	}
	requests.Wait()
	return result
}
