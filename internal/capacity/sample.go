package main

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"

	"flamingodoor.example/flamingodoor/internal/harness"
)

const (
	clockTicksPerSecond = 100 // USER_HZ on Linux
	statUserTime        = 11  // field of /proc/PID/stat after the command name
	statSystemTime      = 12
	kibibyte            = 1024
)

// sample holds the resources that one entry host has used since its start, and
// its current resident memory.
type sample struct {
	cpuSeconds    float64
	residentBytes float64
	peerBytes     float64
	platformBytes float64
}

// minus returns the use since an earlier sample, with the resident memory of this
// sample.
func (s sample) minus(earlier sample) sample {
	return sample{
		cpuSeconds:    s.cpuSeconds - earlier.cpuSeconds,
		residentBytes: s.residentBytes,
		peerBytes:     s.peerBytes - earlier.peerBytes,
		platformBytes: s.platformBytes - earlier.platformBytes,
	}
}

// sampleEntry reads the resource use of an entry host from /proc and from its
// metrics.
func sampleEntry(ctx context.Context, entry *harness.Entry) (sample, error) {
	result, err := sampleProcess(entry.Pid())
	if err != nil {
		return sample{}, err
	}
	metrics, err := scrape(ctx, "http://"+entry.MetricsAddress.String()+"/metrics")
	if err != nil {
		return sample{}, err
	}
	result.peerBytes = metrics["flamingodoor_peer_bytes_total"]
	result.platformBytes = metrics["flamingodoor_platform_bytes_total"]
	return result, nil
}

func sampleProcess(pid int) (sample, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return sample{}, err
	}
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	user, _ := strconv.ParseFloat(fields[statUserTime], 64)
	system, _ := strconv.ParseFloat(fields[statSystemTime], 64)
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return sample{}, err
	}
	resident := 0.0
	for line := range strings.Lines(string(status)) {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			resident, _ = strconv.ParseFloat(strings.Fields(value)[0], 64)
		}
	}
	return sample{cpuSeconds: (user + system) / clockTicksPerSecond, residentBytes: resident * kibibyte}, nil
}

// scrape sums the samples of each metric over its labels.
func scrape(ctx context.Context, url string) (map[string]float64, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	sums := make(map[string]float64)
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		line := scanner.Text()
		if strings.HasPrefix(line, "#") {
			continue
		}
		space := strings.LastIndexByte(line, ' ')
		if space < 0 {
			continue
		}
		name, _, _ := strings.Cut(line[:space], "{")
		value, _ := strconv.ParseFloat(line[space+1:], 64)
		sums[name] += value
	}
	return sums, scanner.Err()
}
