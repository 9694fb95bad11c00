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
	// DefaultBacklog bounds the summaries kept while the log is down, one hour
	// of them. The oldest are dropped first and then show as missing.
	DefaultBacklog = 60
	// DefaultRetryWait is the time between attempts to append a summary.
	DefaultRetryWait = 5 * time.Second
)

const (
	summaryVersion = 1
	appendTimeout  = 5 * time.Second
	// finalTimeout bounds the last append of a host that stops.
	finalTimeout = 2 * time.Second
)

// Append adds a record to the summary stream.
type Append func(ctx context.Context, data []byte) error

// Collector counts requests of each club and cuts them into summaries.
type Collector struct {
	hostID        string
	append        Append
	interval      time.Duration
	retryWait     time.Duration
	backlog       int
	firstToken    time.Duration
	betweenTokens time.Duration

	mu       sync.Mutex
	from     time.Time
	clubs    map[string]*recordv1.ClubSummary
	down     map[string]time.Duration
	stranded uint32
	pending  [][]byte
	dropped  int
}

// Option changes a default of a collector.
type Option func(*Collector)

// WithAppend sets the function that appends to the summary stream. Without it
// summaries stay in the backlog.
func WithAppend(appendTo Append) Option {
	return func(c *Collector) { c.append = appendTo }
}

// WithInterval sets the time that one summary covers.
func WithInterval(interval time.Duration) Option {
	return func(c *Collector) { c.interval = interval }
}

// WithBacklog sets the number of summaries kept while appends fail.
func WithBacklog(summaries int) Option {
	return func(c *Collector) { c.backlog = summaries }
}

// WithLimits sets the latencies above which a first token and a later token
// count as slow.
func WithLimits(firstToken, betweenTokens time.Duration) Option {
	return func(c *Collector) { c.firstToken, c.betweenTokens = firstToken, betweenTokens }
}

// NewCollector returns a collector for an entry host.
func NewCollector(hostID string, options ...Option) *Collector {
	collector := &Collector{
		hostID:        hostID,
		interval:      DefaultInterval,
		retryWait:     DefaultRetryWait,
		backlog:       DefaultBacklog,
		firstToken:    DefaultFirstTokenLimit,
		betweenTokens: DefaultBetweenTokensLimit,
		clubs:         map[string]*recordv1.ClubSummary{},
		down:          map[string]time.Duration{},
	}
	for _, option := range options {
		option(collector)
	}
	return collector
}

// RequestFinished counts a request. A first-token latency of 0 means that no
// token arrived; the gaps are the times between later tokens.
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
		if firstToken > c.firstToken {
			club.FirstTokenSlow++
		}
	}
	for _, gap := range gaps {
		club.Tokens++
		if gap > c.betweenTokens {
			club.TokensSlow++
		}
	}
}

// GroupDown adds time in which a group did not serve.
func (c *Collector) GroupDown(groupID string, down time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.down[groupID] += down
}

// StrandedAccelerators sets the accelerators outside serving groups.
func (c *Collector) StrandedAccelerators(count int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stranded = uint32(max(0, count)) //nolint:gosec // Fleets have far fewer accelerators than 2^32.
}

// Dropped returns the number of summaries lost to the bound of the backlog.
func (c *Collector) Dropped() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dropped
}

// Run cuts a summary each interval and appends it, until the context ends.
// Then it makes one last attempt.
func (c *Collector) Run(ctx context.Context) {
	c.mu.Lock()
	c.from = time.Now()
	c.mu.Unlock()
	cuts, retries := time.NewTicker(c.interval), time.NewTicker(c.retryWait)
	defer cuts.Stop()
	defer retries.Stop()
	for {
		select {
		case <-ctx.Done():
			c.cut(time.Now())
			finalCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), finalTimeout)
			defer cancel()
			c.flush(finalCtx)
			return
		case <-cuts.C:
			c.cut(time.Now())
		case <-retries.C:
		}
		flushCtx, cancel := context.WithTimeout(ctx, appendTimeout)
		c.flush(flushCtx)
		cancel()
	}
}

// cut moves the counts into a summary of the interval that ends now. It is
// encoded once, so that a repeated append is recognised as a copy.
func (c *Collector) cut(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	summary := &recordv1.SummaryRecord{
		Version:              summaryVersion,
		HostId:               c.hostID,
		From:                 timestamppb.New(c.from),
		To:                   timestamppb.New(now),
		StrandedAccelerators: c.stranded,
		Clubs: slices.SortedFunc(maps.Values(c.clubs), func(a, b *recordv1.ClubSummary) int {
			return cmp.Compare(a.GetClubId(), b.GetClubId())
		}),
	}
	for _, id := range slices.Sorted(maps.Keys(c.down)) {
		summary.Groups = append(summary.Groups, &recordv1.GroupSummary{
			GroupId: id, DownMs: uint64(max(0, c.down[id].Milliseconds())),
		})
	}
	c.from = now
	c.clubs = map[string]*recordv1.ClubSummary{}
	c.down = map[string]time.Duration{}
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

// flush appends the pending summaries, oldest first, until one fails. Only
// Run calls it and cuts, so the pending list does not change meanwhile.
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
