// Command capacity measures the CPU time, memory and traffic that an entry host
// uses for control at several numbers of hosts and engines. docs/CAPACITY.md
// derives the growth for each host and engine.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/harness"
)

type options struct {
	Sizes  []string      `long:"size" description:"entry hosts and engines, as 6x48; may be repeated (default: the sizes of docs/CAPACITY.md)"`
	Group  int           `long:"group" default:"4" description:"hosts of a group"`
	Settle time.Duration `long:"settle" default:"25s" description:"time before the measurement"`
	Window time.Duration `long:"window" default:"20s" description:"length of the measurement"`
	Load   int           `long:"load" default:"0" description:"streams in flight through every host during the measurement"`
}

// defaultSizes are the sizes of docs/CAPACITY.md, in entry hosts x engines.
var defaultSizes = []string{"7x58", "3x48", "6x48", "12x48", "24x48", "6x96", "6x192"}

func main() {
	args := options{Sizes: defaultSizes}
	os.Exit(harness.Main("capacity", &args, func(ctx context.Context, programs string, log io.Writer) error {
		return measureSizes(ctx, args, programs, log)
	}))
}

func measureSizes(ctx context.Context, args options, programs string, log io.Writer) error {
	_, _ = fmt.Fprintln(os.Stdout, "hosts engines groups  cpu_percent  resident_mb  peer_bytes_s  platform_bytes_s  probe_bytes_s  streams  tokens_s")
	for _, size := range args.Sizes {
		var hosts, engines int
		if _, err := fmt.Sscanf(size, "%dx%d", &hosts, &engines); err != nil {
			return flamingodoor.Errorf(flamingodoor.CodeInvalidConfiguration, "--size %q is not a number of hosts and engines such as 6x48: %w", size, err)
		}
		deployment := &harness.Deployment{ProgramDirectory: programs, Log: log}
		err := measureSize(ctx, args, deployment, hosts, engines)
		deployment.Close()
		if err != nil {
			return err
		}
	}
	return nil
}

// measureSize prints the mean resource use of an entry host over the window.
func measureSize(ctx context.Context, args options, deployment *harness.Deployment, hosts, engines int) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	testbed, farm, err := startTestbed(ctx, deployment, args, hosts, engines)
	if err != nil {
		return err
	}
	load := startLoad(ctx, testbed, args.Load)
	time.Sleep(args.Settle)
	if err := testbed.WaitServing(ctx); err != nil {
		return err
	}
	before, err := sampleAll(ctx, deployment)
	if err != nil {
		return err
	}
	probeBytesBefore, tokensBefore := farm.bytes(), load.tokens.Load()
	time.Sleep(args.Window)
	after, err := sampleAll(ctx, deployment)
	if err != nil {
		return err
	}
	seconds := args.Window.Seconds()
	var mean sample
	for index := range after {
		used := after[index].minus(before[index])
		mean.cpuSeconds += used.cpuSeconds / float64(hosts)
		mean.residentBytes += used.residentBytes / float64(hosts)
		mean.peerBytes += used.peerBytes / float64(hosts)
		mean.platformBytes += used.platformBytes / float64(hosts)
	}
	probeBytes := float64(farm.bytes()-probeBytesBefore) / float64(hosts)
	_, err = fmt.Fprintf(os.Stdout, "%5d %7d %6d  %11.2f  %11.1f  %12.0f  %16.0f  %13.0f  %7d  %8.0f\n",
		hosts, engines, engines/args.Group, 100*mean.cpuSeconds/seconds, mean.residentBytes/(1<<20),
		mean.peerBytes/seconds, mean.platformBytes/seconds, probeBytes/seconds,
		args.Load*hosts, float64(load.tokens.Load()-tokensBefore)/seconds)
	return err
}

func sampleAll(ctx context.Context, deployment *harness.Deployment) ([]sample, error) {
	samples := make([]sample, 0, len(deployment.Entries))
	for _, entry := range deployment.Entries {
		current, err := sampleEntry(ctx, entry)
		if err != nil {
			return nil, err
		}
		samples = append(samples, current)
	}
	return samples, nil
}

// startTestbed starts a testbed without engines and a farm of engines, and applies
// the configuration of both.
func startTestbed(ctx context.Context, deployment *harness.Deployment, args options, hosts, engines int) (*harness.Testbed, *farm, error) {
	topology := harness.Topology{Entries: hosts, HostsPerGroup: args.Group, Groups: engines / args.Group}
	testbed, err := harness.StartTestbed(ctx, deployment, topology)
	if err != nil {
		return nil, nil, err
	}
	farm, err := newFarm(ctx, engines, args.Group)
	if err != nil {
		return nil, nil, err
	}
	testbed.Manifest.Endpoints = append(testbed.Manifest.Endpoints, farm.endpoints...)
	if _, err := deployment.Apply(ctx, testbed.Manifest); err != nil {
		return nil, nil, err
	}
	return testbed, farm, nil
}
