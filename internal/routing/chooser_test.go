package routing_test

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/routing"
)

var start = time.Unix(1_000_000, 0)

func candidate(id, dataCentre string, inFlight int) routing.Candidate {
	return routing.Candidate{
		Endpoint:   flamingodoor.Endpoint{ID: id, DataCentre: dataCentre, WarmCapacity: 10, ColdAllowance: 1},
		Report:     flamingodoor.Report{Incarnation: "i-" + id, State: flamingodoor.EndpointStateWarm, InFlight: inFlight},
		ReportedAt: start,
	}
}

func newChooser() *routing.Chooser {
	return routing.New(routing.WithDataCentre("dc1"), routing.WithRandom(rand.New(rand.NewPCG(1, 2)).IntN),
		routing.WithHosts(func() int { return 6 }))
}

func choose(t *testing.T, chooser *routing.Chooser, request routing.Request, candidates ...routing.Candidate) string {
	t.Helper()
	chosen, ok := chooser.Choose(start.Add(time.Second), request, candidates)
	assert.Assert(t, ok)
	return chosen.Endpoint.ID
}

// Guards against ignoring any one of the criteria by which an endpoint is
// preferred.
func TestPreferences(t *testing.T) {
	chooser := newChooser()
	idle := candidate("idle", "dc1", 1)
	assert.Equal(t, choose(t, chooser, routing.Request{}, candidate("busy", "dc1", 8), idle), "idle")
	assert.Equal(t, choose(t, chooser, routing.Request{}, candidate("far", "dc2", 1), idle), "idle")
	assert.Equal(t, choose(t, chooser, routing.Request{}, candidate("far", "dc2", 1), candidate("full", "dc1", 9)), "far")

	sent := candidate("sent", "dc1", 0) // the report does not yet show the requests of this host
	sent.InFlightDelta = 4
	assert.Equal(t, choose(t, chooser, routing.Request{}, sent, idle), "idle")

	cold := candidate("cold", "dc1", 0)
	cold.Report.State = flamingodoor.EndpointStateCold
	assert.Equal(t, choose(t, chooser, routing.Request{}, cold, candidate("warm", "dc1", 6)), "warm")

	loaded := candidate("loaded", "dc1", 2)
	loaded.Report.Adapters = []string{"a"}
	assert.Equal(t, choose(t, chooser, routing.Request{Adapter: "a"}, loaded, idle), "loaded")
	_, ok := chooser.Choose(start, routing.Request{}, nil)
	assert.Assert(t, !ok)
}

// Guards against relying on cached prefixes after a gap in the events or a
// restart of the engine, and against preferring a cached prefix at a full
// endpoint for an urgent request.
func TestPrefixCache(t *testing.T) {
	chooser := newChooser()
	prompt := strings.Repeat("x", 600)
	request := routing.Request{Prefixes: routing.PrefixHashes("m", "v", "", prompt)}
	assert.Equal(t, len(request.Prefixes), 3)
	idle, cached := candidate("idle", "dc1", 0), candidate("cached", "dc1", 10)
	store := flamingodoor.CacheEvents{First: 1, Next: 4}
	for i, hash := range request.Prefixes {
		store.Events = append(store.Events, flamingodoor.CacheEvent{Seq: uint64(i + 1), Stored: true, PrefixHash: hash})
	}
	chooser.ApplyCacheEvents("cached", "i-cached", store, 1)
	assert.Equal(t, choose(t, chooser, request, idle, cached), "cached")
	assert.Equal(t, chooser.NextCacheSeq("cached", "i-cached"), uint64(4))
	urgent := request
	urgent.Priority = 9
	assert.Equal(t, choose(t, chooser, urgent, idle, cached), "idle")

	restarted := cached
	restarted.Report.Incarnation = "new"
	assert.Equal(t, choose(t, chooser, request, idle, restarted), "idle")

	chooser.ApplyCacheEvents("cached", "i-cached", flamingodoor.CacheEvents{First: 9, Next: 9}, 4)
	assert.Equal(t, choose(t, chooser, request, idle, cached), "idle")
	assert.Equal(t, chooser.NextCacheSeq("cached", "i-cached"), uint64(9))
}

// Guards against sending all requests to the endpoint that the latest reports
// show as idle.
func TestLaggingReportsDoNotCauseAHerd(t *testing.T) {
	chooser := newChooser()
	counts := map[string]int{}
	candidates := make([]routing.Candidate, 0, 10)
	for i := range 10 {
		candidates = append(candidates, candidate(string(rune('a'+i)), "dc1", i%2))
	}
	for range 1000 {
		counts[choose(t, chooser, routing.Request{}, candidates...)]++
	}
	for id, count := range counts {
		assert.Assert(t, count < 300, "%s received %d of 1000", id, count)
	}
}
