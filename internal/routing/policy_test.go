package routing_test

import (
	"container/list"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/routing"
)

// The fleet of the measurement: hosts choose among engines by reports and
// cache events that are a second old.
const (
	policyHosts       = 6
	policyEngines     = 18
	policySlots       = 16 // requests that an engine runs at once
	policyPrefixes    = 24 // conversations in an engine's cache
	conversations     = 300
	promptBlocks      = 8
	policyStep        = 10 * time.Millisecond
	policySteps       = 6_000
	policyLag         = time.Second
	prefillTime       = 300 * time.Millisecond // of a prompt without cached blocks
	decodeTime        = 1200 * time.Millisecond
	firstTokenTarget  = 500 * time.Millisecond // design.md section 1.3
	firstTokenShare   = 0.95
	arrivalsPerSecond = 0.75 * policyEngines * policySlots / 1.5 // three quarters of the capacity
)

// simulatedEngine is a queue with slots and a cache of conversations.
type simulatedEngine struct {
	endpoint flamingodoor.Endpoint
	busy     []time.Time // ends of the running requests
	cache    map[int]*list.Element
	recent   *list.List
	events   []flamingodoor.CacheEvent
	seen     []int // requests in flight at each step
}

// run starts a request and returns the time to its first token and whether the
// conversation was cached.
func (e *simulatedEngine) run(now time.Time, conversation int, hashes []uint64) (time.Duration, bool) {
	start := now
	if len(e.busy) >= policySlots {
		start = e.busy[len(e.busy)-policySlots]
	}
	prefill := prefillTime
	element, hit := e.cache[conversation]
	if hit {
		prefill /= promptBlocks
		e.recent.MoveToFront(element)
	} else {
		e.store(conversation, hashes)
	}
	end := start.Add(prefill + decodeTime)
	index := len(e.busy)
	for index > 0 && e.busy[index-1].After(end) {
		index--
	}
	e.busy = append(e.busy[:index], append([]time.Time{end}, e.busy[index:]...)...)
	return start.Add(prefill).Sub(now), hit
}

func (e *simulatedEngine) store(conversation int, hashes []uint64) {
	e.cache[conversation] = e.recent.PushFront(conversation)
	e.event(true, hashes)
	if e.recent.Len() > policyPrefixes {
		oldest := e.recent.Remove(e.recent.Back()).(int)
		delete(e.cache, oldest)
		e.event(false, conversationHashes(oldest))
	}
}

func (e *simulatedEngine) event(stored bool, hashes []uint64) {
	for _, hash := range hashes {
		e.events = append(e.events, flamingodoor.CacheEvent{Seq: uint64(len(e.events) + 1), Stored: stored, PrefixHash: hash})
	}
}

func (e *simulatedEngine) finish(now time.Time) {
	for len(e.busy) > 0 && !e.busy[0].After(now) {
		e.busy = e.busy[1:]
	}
	e.seen = append(e.seen, len(e.busy))
}

func conversationHashes(conversation int) []uint64 {
	return routing.PrefixHashes("m", "v", "", strings.Repeat(strconv.Itoa(conversation)+" ", 2000)[:promptBlocks*256])
}

type policyResult struct {
	hits, inTime, requests int
}

// measurePolicy runs the same arrivals against the chooser or, as the
// baseline, a uniformly random choice.
func measurePolicy(seed uint64, uniform bool) policyResult {
	random := rand.New(rand.NewPCG(seed, seed))
	engines := make([]*simulatedEngine, policyEngines)
	for i := range engines {
		engines[i] = &simulatedEngine{
			endpoint: flamingodoor.Endpoint{ID: strconv.Itoa(i), DataCentre: "dc", WarmCapacity: policySlots},
			cache:    map[int]*list.Element{}, recent: list.New(),
		}
	}
	choosers := make([]*routing.Chooser, policyHosts)
	sent := make([][]map[int]int, policyHosts) // by host, engine and step of the report window
	for host := range choosers {
		choosers[host] = routing.New(routing.WithDataCentre("dc"), routing.WithRandom(random.IntN),
			routing.WithHosts(func() int { return policyHosts }))
		sent[host] = make([]map[int]int, policyEngines)
		for engine := range sent[host] {
			sent[host][engine] = map[int]int{}
		}
	}
	popularity := rand.NewZipf(random, 1.1, 4, conversations-1)
	lag := int(policyLag / policyStep)
	result := policyResult{}
	start := time.Unix(1_000_000, 0)
	due := 0.0
	for step := range policySteps {
		now := start.Add(time.Duration(step) * policyStep)
		for i, engine := range engines {
			engine.finish(now)
			if step%lag == 0 {
				followEvents(choosers, engine, i+step)
			}
		}
		for due += arrivalsPerSecond * policyStep.Seconds(); due >= 1; due-- {
			host, conversation := random.IntN(policyHosts), int(popularity.Uint64())
			hashes := conversationHashes(conversation)
			chosen := random.IntN(policyEngines)
			if !uniform {
				candidates := laggedCandidates(engines, sent[host], step, lag, now)
				candidate, _ := choosers[host].Choose(now, routing.Request{Prefixes: hashes}, candidates)
				chosen, _ = strconv.Atoi(candidate.Leader.ID)
			}
			sent[host][chosen][step]++
			first, hit := engines[chosen].run(now, conversation, hashes)
			result.requests++
			if hit {
				result.hits++
			}
			if first <= firstTokenTarget {
				result.inTime++
			}
		}
	}
	return result
}

// followEvents hands the new cache events to each host; every twentieth page
// has lost its beginning.
func followEvents(choosers []*routing.Chooser, engine *simulatedEngine, turn int) {
	for _, chooser := range choosers {
		from := chooser.NextCacheSeq(engine.endpoint.ID, "i")
		page := flamingodoor.CacheEvents{First: max(from, 1), Next: uint64(len(engine.events) + 1)}
		if from <= uint64(len(engine.events)) {
			page.Events = engine.events[max(from, 1)-1:]
			if turn%20 == 0 {
				lost := len(page.Events) / 2
				page.Events = page.Events[lost:]
				page.First += uint64(lost)
			}
		}
		chooser.ApplyCacheEvents(engine.endpoint.ID, "i", page, from)
	}
}

func laggedCandidates(engines []*simulatedEngine, sent []map[int]int, step, lag int, now time.Time) []routing.Candidate {
	candidates := make([]routing.Candidate, len(engines))
	reported := max(0, step-lag)
	for i, engine := range engines {
		change := 0
		for at, count := range sent[i] {
			if at < reported {
				delete(sent[i], at)
				continue
			}
			change += count
		}
		candidates[i] = routing.Candidate{
			Leader: engine.endpoint,
			Report: flamingodoor.Report{
				Incarnation: "i", State: flamingodoor.EndpointStateWarm, InFlight: engine.seen[reported],
			},
			ReportedAt:    now.Add(-policyLag),
			InFlightDelta: change,
		}
	}
	return candidates
}

// Guards against the choice of endpoint missing the first-token target under
// lagging reports, or using the prefix caches no better than a random choice.
func TestPolicyAgainstUniformChoice(t *testing.T) {
	share := func(part, whole int) float64 { return float64(part) / float64(whole) }
	for _, seed := range []uint64{7, 8, 9} {
		policy, baseline := measurePolicy(seed, false), measurePolicy(seed, true)
		t.Logf("seed %d, %d requests: cache hits %.3f against %.3f, first token within %s %.3f against %.3f",
			seed, policy.requests, share(policy.hits, policy.requests), share(baseline.hits, baseline.requests),
			firstTokenTarget, share(policy.inTime, policy.requests), share(baseline.inTime, baseline.requests))
		assert.Assert(t, share(policy.inTime, policy.requests) >= firstTokenShare)
		assert.Assert(t, policy.inTime >= baseline.inTime)
		assert.Assert(t, policy.hits > baseline.hits)
	}
}
