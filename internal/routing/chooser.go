package routing

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"flamingodoor.example/flamingodoor"
)

// Weights of a score, in units of one endpoint's whole capacity.
const (
	coldPenalty       = 0.75
	dataCentrePenalty = 0.15 // a hop to another data centre costs less than a queue
	adapterPenalty    = 0.25
	stalePenalty      = 0.10 // of a report as old as evidence can be
	prefixBonus       = 0.40
	highestPriority   = 9
	evidenceLifetime  = 3 * time.Second
	choicesPerSide    = 2
	// Below this part of the capacity the load does not count: reports are up to
	// 1.5 s old, and following small differences sends every host's requests to
	// the same endpoints.
	freeLoad         = 0.8
	defaultMaxPrefix = 65_536
)

// Request is what the choice depends on.
type Request struct {
	Adapter  string
	Prefixes []uint64 // of PrefixHashes
	Priority int
}

// Candidate is a group, or an endpoint of a plain service, that may run the
// request.
type Candidate struct {
	Group         flamingodoor.Group // empty for a plain service
	Leader        flamingodoor.Endpoint
	Report        flamingodoor.Report
	ReportedAt    time.Time
	InFlight      int // requests of this host now
	InFlightDelta int // requests that this host sent since the report, less those that ended
}

// Cold reports whether the leader needs a permit.
func (c *Candidate) Cold() bool {
	return c.Report.State != flamingodoor.EndpointStateWarm
}

// Chooser scores candidates. It is safe for concurrent use.
type Chooser struct {
	dataCentre  string
	hosts       func() int
	maxPrefixes int
	intN        func(n int) int

	mu      sync.Mutex
	engines map[string]*prefixSet // by endpoint
}

// Option changes a default of the chooser.
type Option func(*Chooser)

// WithDataCentre sets the data centre whose endpoints are preferred.
func WithDataCentre(id string) Option {
	return func(c *Chooser) { c.dataCentre = id }
}

// WithHosts sets the function that returns the number of entry hosts, which are
// assumed to choose as this one does.
func WithHosts(hosts func() int) Option {
	return func(c *Chooser) { c.hosts = hosts }
}

// WithRandom replaces the random source; intN returns a number below n.
func WithRandom(intN func(n int) int) Option {
	return func(c *Chooser) { c.intN = intN }
}

// WithMaxPrefixes bounds the prefixes remembered for each engine.
func WithMaxPrefixes(prefixes int) Option {
	return func(c *Chooser) { c.maxPrefixes = prefixes }
}

// New returns a chooser that knows no cached prefixes.
func New(options ...Option) *Chooser {
	c := &Chooser{
		hosts:       func() int { return 1 },
		maxPrefixes: defaultMaxPrefix,
		intN:        rand.IntN,
		engines:     map[string]*prefixSet{},
	}
	for _, option := range options {
		option(c)
	}
	return c
}

// Choose returns the best of a few random candidates of each side (own and
// other data centres) and of the one with the longest cached prefix. Looking
// at few keeps the hosts from all choosing the same endpoint while reports lag.
func (c *Chooser) Choose(now time.Time, request Request, candidates []Candidate) (Candidate, bool) {
	if len(candidates) == 0 {
		return Candidate{}, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	matches := make([]float64, len(candidates))
	var own, other, longest []int
	for i := range candidates {
		matches[i] = c.match(&candidates[i], request.Prefixes)
		switch {
		case matches[i] == 0:
		case len(longest) == 0 || matches[i] == matches[longest[0]]:
			longest = append(longest, i)
		case matches[i] > matches[longest[0]]:
			longest = append(longest[:0], i)
		}
		if candidates[i].Leader.DataCentre == c.dataCentre {
			own = append(own, i)
		} else {
			other = append(other, i)
		}
	}
	sample := append(c.sample(own), c.sample(other)...)
	sample = append(sample, c.sample(longest)...)
	mean := meanChange(candidates)
	best := slices.MinFunc(sample, func(a, b int) int {
		return cmp.Compare(
			c.score(now, request, &candidates[a], matches[a], mean),
			c.score(now, request, &candidates[b], matches[b], mean))
	})
	return candidates[best], true
}

func meanChange(candidates []Candidate) float64 {
	sum := 0
	for i := range candidates {
		sum += candidates[i].InFlightDelta
	}
	return float64(sum) / float64(len(candidates))
}

func (c *Chooser) sample(indices []int) []int {
	for i := range min(choicesPerSide, len(indices)) {
		j := i + c.intN(len(indices)-i)
		indices[i], indices[j] = indices[j], indices[i]
	}
	return indices[:min(choicesPerSide, len(indices))]
}

// score is lower for a better candidate. Load counts more for a high
// priority, because the cache saves less than a queue costs.
func (c *Chooser) score(now time.Time, request Request, candidate *Candidate, match, mean float64) float64 {
	capacity := candidate.Leader.WarmCapacity
	score := 0.0
	if candidate.Cold() {
		capacity = candidate.Leader.ColdAllowance
		score += coldPenalty
	}
	used := (c.load(candidate, mean) + 1) / float64(max(capacity, 1))
	urgency := 1 + float64(request.Priority)/highestPriority
	score += urgency * max(0, used-freeLoad)
	if candidate.Leader.DataCentre != c.dataCentre {
		score += dataCentrePenalty
	}
	if request.Adapter != "" && !slices.Contains(candidate.Report.Adapters, request.Adapter) {
		score += adapterPenalty
	}
	score += stalePenalty * min(1, max(0, now.Sub(candidate.ReportedAt).Seconds()/evidenceLifetime.Seconds()))
	return score - prefixBonus*match
}

// load estimates the requests in flight now. What this host sent beyond its
// mean since the report is assumed of every host: prompts with a common prefix
// draw all hosts to the same endpoint.
func (c *Chooser) load(candidate *Candidate, mean float64) float64 {
	surplus := max(0, float64(candidate.InFlightDelta)-mean)
	reported := float64(candidate.Report.InFlight) + float64(c.hosts())*surplus
	return max(reported, float64(candidate.InFlight))
}

// match returns the share of the prompt's blocks that the leader has cached.
func (c *Chooser) match(candidate *Candidate, prefixes []uint64) float64 {
	set, ok := c.engines[candidate.Leader.ID]
	if !ok || set.incarnation != candidate.Report.Incarnation {
		return 0
	}
	for i, prefix := range prefixes {
		if !set.stored[prefix] {
			return float64(i) / float64(len(prefixes))
		}
	}
	if len(prefixes) == 0 {
		return 0
	}
	return 1
}
