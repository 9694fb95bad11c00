package routing

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"flamingodoor.example/flamingodoor"
)

// Penalties and bonuses of a score are in units of the whole capacity of one
// endpoint.
const (
	coldPenalty       = 0.75
	dataCentrePenalty = 0.15 // crossing to another data centre costs less than queueing
	adapterPenalty    = 0.25 // the requested adapter is not loaded
	stalePenalty      = 0.10 // for a report of age evidenceLifetime, less for a newer one
	prefixBonus       = 0.40 // for a wholly cached prompt
	highestPriority   = 9
	evidenceLifetime  = 3 * time.Second
	samplesPerSet     = 2
	// ignoredLoad is the share of the capacity below which load does not count.
	// Reports are up to 1.5 s old; reacting to small differences would send the
	// requests of every host to the same endpoints.
	ignoredLoad        = 0.8
	defaultMaxPrefixes = 65_536
)

// Request holds the properties of a request that the choice depends on.
type Request struct {
	Adapter  string
	Prefixes []uint64 // from PrefixHashes
	Priority int
}

// Candidate is a group, or an endpoint of a plain service, that may run the
// request.
type Candidate struct {
	Group flamingodoor.Group // empty for a plain service
	// Endpoint receives the request: the head of the group, or the endpoint of
	// the plain service.
	Endpoint      flamingodoor.Endpoint
	Report        flamingodoor.Report
	ReportedAt    time.Time
	InFlight      int // requests of this host in flight now
	InFlightDelta int // change of InFlight since the report
}

// Cold reports whether requests to the endpoint need a permit.
func (c *Candidate) Cold() bool {
	return c.Report.State != flamingodoor.EndpointStateWarm
}

// Chooser chooses among candidates by their scores. It is safe for concurrent
// use.
type Chooser struct {
	dataCentre  string
	hosts       func() int
	maxPrefixes int
	intN        func(n int) int

	mu      sync.Mutex
	engines map[string]*prefixSet // by endpoint ID
}

// Option changes a default of a Chooser.
type Option func(*Chooser)

// WithDataCentre sets the data centre whose endpoints are preferred.
func WithDataCentre(id string) Option {
	return func(c *Chooser) { c.dataCentre = id }
}

// WithHosts sets the function that returns the number of entry hosts. All of
// them are assumed to choose in the same way.
func WithHosts(hosts func() int) Option {
	return func(c *Chooser) { c.hosts = hosts }
}

// WithRandom replaces the random source. intN returns a number in [0, n).
func WithRandom(intN func(n int) int) Option {
	return func(c *Chooser) { c.intN = intN }
}

// WithMaxPrefixes limits the number of known prefixes of each engine.
func WithMaxPrefixes(prefixes int) Option {
	return func(c *Chooser) { c.maxPrefixes = prefixes }
}

// New returns a Chooser without any known cached prefixes.
func New(options ...Option) *Chooser {
	c := &Chooser{
		hosts:       func() int { return 1 },
		maxPrefixes: defaultMaxPrefixes,
		intN:        rand.IntN,
		engines:     map[string]*prefixSet{},
	}
	for _, option := range options {
		option(c)
	}
	return c
}

// Choose scores up to two random candidates of each of three sets (those in this
// data centre, those in others, and those with the longest cached prefix) and
// returns the best, or false if there are no candidates. Scoring only a few
// keeps the hosts from all choosing the same endpoint while reports lag behind.
func (c *Chooser) Choose(now time.Time, request Request, candidates []Candidate) (Candidate, bool) {
	if len(candidates) == 0 {
		return Candidate{}, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	cachedShares := make([]float64, len(candidates))
	var local, remote, longest []int
	for i := range candidates {
		cachedShares[i] = c.cachedShare(&candidates[i], request.Prefixes)
		switch {
		case cachedShares[i] == 0:
		case len(longest) == 0 || cachedShares[i] == cachedShares[longest[0]]:
			longest = append(longest, i)
		case cachedShares[i] > cachedShares[longest[0]]:
			longest = append(longest[:0], i)
		}
		if candidates[i].Endpoint.DataCentre == c.dataCentre {
			local = append(local, i)
		} else {
			remote = append(remote, i)
		}
	}
	sample := append(c.sample(local), c.sample(remote)...)
	sample = append(sample, c.sample(longest)...)
	mean := meanDelta(candidates)
	best := slices.MinFunc(sample, func(a, b int) int {
		return cmp.Compare(
			c.score(now, request, &candidates[a], cachedShares[a], mean),
			c.score(now, request, &candidates[b], cachedShares[b], mean))
	})
	return candidates[best], true
}

// meanDelta returns the mean InFlightDelta of the candidates.
func meanDelta(candidates []Candidate) float64 {
	sum := 0
	for i := range candidates {
		sum += candidates[i].InFlightDelta
	}
	return float64(sum) / float64(len(candidates))
}

// sample returns up to samplesPerSet random elements of indices, which it
// reorders.
func (c *Chooser) sample(indices []int) []int {
	for i := range min(samplesPerSet, len(indices)) {
		j := i + c.intN(len(indices)-i)
		indices[i], indices[j] = indices[j], indices[i]
	}
	return indices[:min(samplesPerSet, len(indices))]
}

// score returns the score of a candidate; lower is better. Load counts more for
// a request of high priority, for which a queue costs more than cached prefixes
// save.
func (c *Chooser) score(now time.Time, request Request, candidate *Candidate, cachedShare, meanDelta float64) float64 {
	capacity := candidate.Endpoint.WarmCapacity
	score := 0.0
	if candidate.Cold() {
		capacity = candidate.Endpoint.ColdAllowance
		score += coldPenalty
	}
	utilisation := (c.load(candidate, meanDelta) + 1) / float64(max(capacity, 1))
	priorityWeight := 1 + float64(request.Priority)/highestPriority
	score += priorityWeight * max(0, utilisation-ignoredLoad)
	if candidate.Endpoint.DataCentre != c.dataCentre {
		score += dataCentrePenalty
	}
	if request.Adapter != "" && !slices.Contains(candidate.Report.Adapters, request.Adapter) {
		score += adapterPenalty
	}
	score += stalePenalty * min(1, max(0, now.Sub(candidate.ReportedAt).Seconds()/evidenceLifetime.Seconds()))
	return score - prefixBonus*cachedShare
}

// load estimates the requests in flight at the candidate now. If this host has
// sent it more than the mean since the report, every host is assumed to have
// done the same, because a common prefix directs all hosts to the same
// endpoint.
func (c *Chooser) load(candidate *Candidate, meanDelta float64) float64 {
	excess := max(0, float64(candidate.InFlightDelta)-meanDelta)
	reported := float64(candidate.Report.InFlight) + float64(c.hosts())*excess
	return max(reported, float64(candidate.InFlight))
}

// cachedShare returns the share of the prompt's blocks that the endpoint has
// cached, counted from the first block.
func (c *Chooser) cachedShare(candidate *Candidate, prefixes []uint64) float64 {
	set, ok := c.engines[candidate.Endpoint.ID]
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
