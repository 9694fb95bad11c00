package burn

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/timestamppb"

	recordv1 "flamingodoor.example/flamingodoor/gen/flamingodoor/record/v1"
)

// Defaults of a collector.
const (
	// DefaultBacklog is the largest number of summaries that are kept while the
	// log is down, those of one hour. The oldest are dropped first and appear as
	// missing in reports.
	DefaultBacklog = 60
	// DefaultRetryWait is the time between attempts to append a summary.
	DefaultRetryWait = 5 * time.Second
)

const (
	summaryVersion = 1
	appendTimeout  = 5 * time.Second
	// finalTimeout bounds the last appends of a host that stops.
	finalTimeout = 2 * time.Second
)

// Append is a function that appends a record to the summary stream.
type Append func(ctx context.Context, data []byte) error

// Collector counts the requests of each club and appends a summary of each
// interval to the log. It is safe for concurrent use.
type Collector struct {
	hostID             string
	append             Append
	interval           time.Duration
	retryWait          time.Duration
	backlog            int
	firstTokenLimit    time.Duration
	betweenTokensLimit time.Duration

	mu            sync.Mutex
	intervalStart time.Time
	clubs         map[string]*recordv1.ClubSummary
	downtime      map[string]time.Duration // by group
	stranded      uint32                   // accelerators outside serving groups
	pending       [][]byte                 // encoded summaries to append, oldest first
	dropped       int
}

// Option changes a default of a collector.
type Option func(*Collector)

// WithAppend sets the function that appends to the summary stream. Without it
// summaries stay in the backlog.
func WithAppend(appendRecord Append) Option {
	return func(c *Collector) { c.append = appendRecord }
}

// WithInterval sets the length of the interval of one summary.
func WithInterval(interval time.Duration) Option {
	return func(c *Collector) { c.interval = interval }
}

// WithBacklog sets the largest number of summaries that are kept while appends
// fail.
func WithBacklog(summaries int) Option {
	return func(c *Collector) { c.backlog = summaries }
}

// WithLimits sets the latencies above which a first token and a later token
// count as slow.
func WithLimits(firstToken, betweenTokens time.Duration) Option {
	return func(c *Collector) { c.firstTokenLimit, c.betweenTokensLimit = firstToken, betweenTokens }
}

// NewCollector returns a collector for an entry host.
func NewCollector(hostID string, options ...Option) *Collector {
	collector := &Collector{
		hostID:             hostID,
		interval:           DefaultInterval,
		retryWait:          DefaultRetryWait,
		backlog:            DefaultBacklog,
		firstTokenLimit:    DefaultFirstTokenLimit,
		betweenTokensLimit: DefaultBetweenTokensLimit,
		clubs:              map[string]*recordv1.ClubSummary{},
		downtime:           map[string]time.Duration{},
	}
	for _, option := range options {
		option(collector)
	}
	return collector
}

// RequestFinished counts a request. A first-token latency of 0 means that no
// token arrived. The gaps are the times between successive tokens.
func (c *Collector) RequestFinished(clubID string, failed bool, firstToken time.Duration, gaps []time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	club := c.clubs[clubID]
	if club == nil {
		club = &recordv1.ClubSummary{ClubId: clubID}
		c.clubs[clubID] = club
	}
	club.Requests++
	if failed {
		club.Failed++
	}
	if firstToken > 0 {
		club.FirstTokens++
		if firstToken > c.firstTokenLimit {
			club.FirstTokenSlow++
		}
	}
	for _, gap := range gaps {
		club.Tokens++
		if gap > c.betweenTokensLimit {
			club.TokensSlow++
		}
	}
}

// GroupDown adds time in which a group did not serve.
func (c *Collector) GroupDown(groupID string, down time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.downtime[groupID] += down
}

// StrandedAccelerators sets the number of accelerators outside serving groups.
func (c *Collector) StrandedAccelerators(count int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stranded = uint32(max(0, count)) //nolint:gosec // Fleets have far fewer accelerators than 2^32.
}

// Dropped returns the number of summaries that were lost because the backlog was
// full or their encoding failed.
func (c *Collector) Dropped() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dropped
}

// Run appends a summary at the end of each interval and retries failed appends.
// When the context ends, it makes one last attempt to append the pending
// summaries.
func (c *Collector) Run(ctx context.Context) {
	c.mu.Lock()
	c.intervalStart = time.Now()
	c.mu.Unlock()
	intervals, retries := time.NewTicker(c.interval), time.NewTicker(c.retryWait)
	defer intervals.Stop()
	defer retries.Stop()
	for {
		select {
		case <-ctx.Done():
			c.closeInterval(time.Now())
			finalCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), finalTimeout)
			defer cancel()
			c.flush(finalCtx)
			return
		case <-intervals.C:
			c.closeInterval(time.Now())
		case <-retries.C:
		}
		flushCtx, cancel := context.WithTimeout(ctx, appendTimeout)
		c.flush(flushCtx)
		cancel()
	}
}

// closeInterval moves the counts into a summary of the interval that ends now.
// The summary is encoded once, so that a repeated append is recognised as a
// duplicate.
func (c *Collector) closeInterval(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	summary := &recordv1.SummaryRecord{
		Version:              summaryVersion,
		HostId:               c.hostID,
		From:                 timestamppb.New(c.intervalStart),
		To:                   timestamppb.New(now),
		StrandedAccelerators: c.stranded,
		Clubs: slices.SortedFunc(maps.Values(c.clubs), func(a, b *recordv1.ClubSummary) int {
			return cmp.Compare(a.GetClubId(), b.GetClubId())
		}),
	}
	for _, id := range slices.Sorted(maps.Keys(c.downtime)) {
		summary.Groups = append(summary.Groups, &recordv1.GroupSummary{
			GroupId: id, DownMs: uint64(max(0, c.downtime[id].Milliseconds())),
		})
	}
	c.intervalStart = now
	c.clubs = map[string]*recordv1.ClubSummary{}
	c.downtime = map[string]time.Duration{}
	data, err := proto.Marshal(summary)
	if err != nil {
		c.dropped++
		return
	}
	c.pending = append(c.pending, data)
	if excess := len(c.pending) - c.backlog; excess > 0 {
		c.pending = slices.Delete(c.pending, 0, excess)
		c.dropped += excess
	}
}

// flush appends the pending summaries, oldest first, until an append fails. Only
// Run calls flush and closeInterval, so the list does not change during an
// append.
func (c *Collector) flush(ctx context.Context) {
	for c.append != nil {
		c.mu.Lock()
		if len(c.pending) == 0 {
			c.mu.Unlock()
			return
		}
		data := c.pending[0]
		c.mu.Unlock()
		if err := c.append(ctx, data); err != nil {
			return
		}
		c.mu.Lock()
		c.pending = slices.Delete(c.pending, 0, 1)
		c.mu.Unlock()
	}
}
