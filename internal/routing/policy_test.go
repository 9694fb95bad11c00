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

// Parameters of the simulation. The hosts choose among the engines by reports
// and cache events that are one second old.
const (
	policyHosts       = 6
	policyEngines     = 18
	policySlots       = 16 // requests that an engine runs at a time
	policyPrefixes    = 24 // conversations that an engine can cache
	conversations     = 300
	promptBlocks      = 8
	policyStep        = 10 * time.Millisecond
	policySteps       = 6_000
	policyLag         = time.Second
	prefillTime       = 300 * time.Millisecond // of a prompt without cached blocks
	decodeTime        = 1200 * time.Millisecond
	firstTokenTarget  = 500 * time.Millisecond // design.md section 1.3
	firstTokenShare   = 0.95
	arrivalsPerSecond = 0.75 * policyEngines * policySlots / 1.5 // three quarters of the capacity, at 1.5 s a request
)

// simulatedEngine has a queue, slots and an LRU cache of conversations.
type simulatedEngine struct {
	endpoint        flamingodoor.Endpoint
	running         []time.Time // ascending ends of the running and queued requests
	cache           map[int]*list.Element
	lru             *list.List
	events          []flamingodoor.CacheEvent
	inFlightHistory []int // requests in flight at each step
}

// run starts or queues a request. It returns the time to its first token and
// whether the conversation was cached.
func (e *simulatedEngine) run(now time.Time, conversation int, hashes []uint64) (time.Duration, bool) {
	start := now
	if len(e.running) >= policySlots {
		start = e.running[len(e.running)-policySlots]
	}
	prefill := prefillTime
	element, hit := e.cache[conversation]
	if hit {
		prefill /= promptBlocks
		e.lru.MoveToFront(element)
	} else {
		e.store(conversation, hashes)
	}
	end := start.Add(prefill + decodeTime)
	index := len(e.running)
	for index > 0 && e.running[index-1].After(end) {
		index--
	}
	e.running = append(e.running[:index], append([]time.Time{end}, e.running[index:]...)...)
	return start.Add(prefill).Sub(now), hit
}

func (e *simulatedEngine) store(conversation int, hashes []uint64) {
	e.cache[conversation] = e.lru.PushFront(conversation)
	e.recordEvents(true, hashes)
	if e.lru.Len() > policyPrefixes {
		oldest := e.lru.Remove(e.lru.Back()).(int)
		delete(e.cache, oldest)
		e.recordEvents(false, conversationHashes(oldest))
	}
}

// recordEvents appends one cache event for each hash.
func (e *simulatedEngine) recordEvents(stored bool, hashes []uint64) {
	for _, hash := range hashes {
		e.events = append(e.events, flamingodoor.CacheEvent{Seq: uint64(len(e.events) + 1), Stored: stored, PrefixHash: hash})
	}
}

// finish removes the requests that have ended by now and records how many are
// left in flight.
func (e *simulatedEngine) finish(now time.Time) {
	for len(e.running) > 0 && !e.running[0].After(now) {
		e.running = e.running[1:]
	}
	e.inFlightHistory = append(e.inFlightHistory, len(e.running))
}

func conversationHashes(conversation int) []uint64 {
	return routing.PrefixHashes("m", "v", "", strings.Repeat(strconv.Itoa(conversation)+" ", 2000)[:promptBlocks*256])
}

type policyResult struct {
	hits, withinTarget, requests int
}

// measurePolicy simulates the requests with the chooser or, as the baseline,
// with a uniformly random choice.
func measurePolicy(seed uint64, uniform bool) policyResult {
	random := rand.New(rand.NewPCG(seed, seed))
	engines := make([]*simulatedEngine, policyEngines)
	for i := range engines {
		engines[i] = &simulatedEngine{
			endpoint: flamingodoor.Endpoint{ID: strconv.Itoa(i), DataCentre: "dc", WarmCapacity: policySlots},
			cache:    map[int]*list.Element{}, lru: list.New(),
		}
	}
	choosers := make([]*routing.Chooser, policyHosts)
	sent := make([][]map[int]int, policyHosts) // by host, engine and step; requests since the reports
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
	arrivalsDue := 0.0
	for step := range policySteps {
		now := start.Add(time.Duration(step) * policyStep)
		for i, engine := range engines {
			engine.finish(now)
			if step%lag == 0 {
				deliverEvents(choosers, engine, i+step)
			}
		}
		for arrivalsDue += arrivalsPerSecond * policyStep.Seconds(); arrivalsDue >= 1; arrivalsDue-- {
			host, conversation := random.IntN(policyHosts), int(popularity.Uint64())
			hashes := conversationHashes(conversation)
			chosen := random.IntN(policyEngines)
			if !uniform {
				candidates := laggedCandidates(engines, sent[host], step, lag, now)
				candidate, _ := choosers[host].Choose(now, routing.Request{Prefixes: hashes}, candidates)
				chosen, _ = strconv.Atoi(candidate.Endpoint.ID)
			}
			sent[host][chosen][step]++
			first, hit := engines[chosen].run(now, conversation, hashes)
			result.requests++
			if hit {
				result.hits++
			}
			if first <= firstTokenTarget {
				result.withinTarget++
			}
		}
	}
	return result
}

// deliverEvents passes the new cache events to the chooser of each host. Every
// twentieth page lacks its first half.
func deliverEvents(choosers []*routing.Chooser, engine *simulatedEngine, round int) {
	for _, chooser := range choosers {
		from := chooser.NextCacheSeq(engine.endpoint.ID, "i")
		page := flamingodoor.CacheEvents{First: max(from, 1), Next: uint64(len(engine.events) + 1)}
		if from <= uint64(len(engine.events)) {
			page.Events = engine.events[max(from, 1)-1:]
			if round%20 == 0 {
				lost := len(page.Events) / 2
				page.Events = page.Events[lost:]
				page.First += uint64(lost)
			}
		}
		chooser.ApplyCacheEvents(engine.endpoint.ID, "i", page, from)
	}
}

// laggedCandidates returns the engines with their reports of lag steps ago and
// the requests that one host has sent since.
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
			Endpoint: engine.endpoint,
			Report: flamingodoor.Report{
				Incarnation: "i", State: flamingodoor.EndpointStateWarm, InFlight: engine.inFlightHistory[reported],
			},
			ReportedAt:    now.Add(-policyLag),
			InFlightDelta: change,
		}
	}
	return candidates
}

// Guards against a choice of endpoints that misses the target for the first
// token when reports lag behind, or that uses the prefix caches no better than
// a random choice.
func TestPolicyAgainstUniformChoice(t *testing.T) {
	share := func(part, whole int) float64 { return float64(part) / float64(whole) }
	for _, seed := range []uint64{7, 8, 9} {
		policy, baseline := measurePolicy(seed, false), measurePolicy(seed, true)
		t.Logf("seed %d, %d requests: cache hits %.3f against %.3f, first token within %s %.3f against %.3f",
			seed, policy.requests, share(policy.hits, policy.requests), share(baseline.hits, baseline.requests),
			firstTokenTarget, share(policy.withinTarget, policy.requests), share(baseline.withinTarget, baseline.requests))
		assert.Assert(t, share(policy.withinTarget, policy.requests) >= firstTokenShare)
		assert.Assert(t, policy.withinTarget >= baseline.withinTarget)
		assert.Assert(t, policy.hits > baseline.hits)
	}
}
