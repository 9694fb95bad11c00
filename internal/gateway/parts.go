package gateway

import (
	"context"
	"maps"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/go-kit/log/level"
	"golang.org/x/sync/singleflight"

	"flamingodoor.example/flamingodoor"
	exchangev1 "flamingodoor.example/flamingodoor/gen/flamingodoor/exchange/v1"
	"flamingodoor.example/flamingodoor/internal/poison"
	"flamingodoor.example/flamingodoor/internal/reach"
)

const (
	// crashWait is how long a request waits until it is known whether the instance
	// at which it ended has crashed. A process that ended refuses connections at
	// once.
	crashWait = 150 * time.Millisecond
	// settleInterval is the time between two checks for parts to block. It is short,
	// because hosts that are all killed at once forget what is not stored.
	settleInterval = 50 * time.Millisecond
	// blockedLoadTimeout bounds the first read of the blocked parts, for which a
	// starting host waits before it is ready.
	blockedLoadTimeout = time.Second
	maxBlockedPause    = time.Second
	// A host that is cut off from others, which may have found parts, reads the blocked
	// ones again: at first after minCutOffPause, and later less often.
	minCutOffPause = time.Second
	maxCutOffPause = 4 * time.Second
)

// partTracker finds the parts of prompts that crash instances, together with the
// other hosts.
type partTracker struct {
	gateway *Gateway
	ledger  *poison.PartLedger
	probes  singleflight.Group
	loaded  atomic.Bool
	changed chan struct{}

	mu       sync.Mutex
	unsaved  map[string]blockedChange // by the parts
	sequence int                      // of the latest change
}

// blockedChange is a change of the stored blocked parts.
type blockedChange struct {
	blocked  flamingodoor.BlockedParts
	ended    bool
	sequence int
}

var _ flamingodoor.PartTracker = (*partTracker)(nil)

func newPartTracker(gateway *Gateway) *partTracker {
	return &partTracker{gateway: gateway, ledger: poison.NewPartLedger(), changed: make(chan struct{}, 1), unsaved: make(map[string]blockedChange)}
}

// Blocked reports whether a request with the parts would crash an instance.
func (t *partTracker) Blocked(parts []flamingodoor.PromptPart, now time.Time) bool {
	return t.ledger.Blocked(parts, now)
}

// Suspected reports whether any of the parts may have caused two crashes.
func (t *partTracker) Suspected(parts []flamingodoor.PromptPart) bool {
	return t.ledger.Suspected(parts)
}

// ReportBegun clears the parts of a request whose response began.
func (t *partTracker) ReportBegun(parts []flamingodoor.PromptPart) {
	cleared := t.ledger.ReportBegun(parts, time.Now())
	t.endBlocked(cleared)
	if cleared.Suspected || len(cleared.Ended) > 0 {
		t.gateway.exchanger.SendUrgent()
	}
}

// ReportBroken finds out whether the instance has crashed, and if so records the
// parts of the request that ended there and sends them to the peers. It waits for
// at most crashWait.
func (t *partTracker) ReportBroken(ctx context.Context, instance flamingodoor.Instance, parts []flamingodoor.PromptPart) {
	recorded := make(chan struct{})
	go func() {
		defer close(recorded)
		t.recordBroken(ctx, instance, parts)
	}()
	timer := time.NewTimer(crashWait)
	defer timer.Stop()
	select {
	case <-recorded:
	case <-timer.C:
	}
}

func (t *partTracker) recordBroken(ctx context.Context, instance flamingodoor.Instance, parts []flamingodoor.PromptPart) {
	process, now := poison.ProcessOf(instance), time.Now()
	if !t.ledger.Known(process) && t.hasEnded(ctx, instance) && t.ledger.ReportCrash(process, nil, now) {
		_ = level.Info(t.gateway.logger).Log("event", "instance_crashed", "instance", instance.ID, "started_ms", process.StartedMS)
		t.gateway.markCrashed(instance)
	}
	if !t.ledger.Known(process) || !t.ledger.ReportCrash(process, parts, now) {
		return
	}
	_ = level.Info(t.gateway.logger).Log("event", "parts_suspected", "instance", instance.ID, "parts", formatParts(parts))
	t.gateway.exchanger.SendUrgent()
	t.endUnbegun(now)
}

// hasEnded reports whether the process of an instance has ended. All requests that
// end there at the same time share the probes. An instance that does not answer them
// gets no requests of this host: its connections may break only after a request is sent.
func (t *partTracker) hasEnded(ctx context.Context, instance flamingodoor.Instance) bool {
	ended, _, _ := t.probes.Do(reach.ProcessKey(instance), func() (any, error) {
		ended, answers := false, true
		if t.gateway.proxy.MayProbe(instance) {
			ended, answers = t.gateway.prober.HasEnded(ctx, instance)
		}
		if now := time.Now(); !answers && t.gateway.roster.MarkUnreachable(instance.ID, instance.StartedAt, now) {
			t.gateway.roster.Publish(now)
			t.gateway.tracker.Wake()
		}
		if !ended {
			_ = level.Info(t.gateway.logger).Log("event", "unbegun_without_crash", "instance", instance.ID)
		}
		return ended, nil
	})
	return ended == true
}

// merge records what a peer found. A relay passes it on at once.
func (t *partTracker) merge(request *exchangev1.ShareRequest, now time.Time) {
	if !t.ledger.Merge(request, now) {
		return
	}
	if t.gateway.exchanger.IsRelay() {
		t.gateway.exchanger.SendUrgent()
	}
	t.endUnbegun(now)
}

// endUnbegun ends this host's requests that would crash instances next.
func (t *partTracker) endUnbegun(now time.Time) {
	t.gateway.proxy.EndUnbegun(func(parts []flamingodoor.PromptPart) bool { return t.ledger.BlamedAlone(parts, now) })
}

// refute records that a process answers that some host took for crashed.
func (t *partTracker) refute(process poison.Process, at time.Time) {
	t.endBlocked(t.ledger.Refute(process, at))
}

// endBlocked logs parts that are no longer blocked and has them deleted from the
// store.
func (t *partTracker) endBlocked(cleared poison.Cleared) {
	if len(cleared.Ended) == 0 {
		return
	}
	_ = level.Info(t.gateway.logger).Log("event", "parts_cleared", "parts", formatParts(cleared.Parts), "blocked_ended", len(cleared.Ended), "remaining", len(cleared.Remaining))
	t.save(cleared.Remaining, cleared.Ended)
}

// settle blocks and stores what explains the latest crashes.
func (t *partTracker) settle(now time.Time) {
	settled := t.ledger.Settle(now)
	for _, blocked := range settled.Blocked {
		_ = level.Warn(t.gateway.logger).Log("event", "parts_blocked", "parts", formatParts(blocked.Parts))
	}
	if len(settled.Blocked) == 0 {
		return
	}
	t.gateway.exchanger.SendUrgent()
	t.save(settled.Blocked, settled.Ended)
}

// save queues changes of the stored blocked parts. The latest change of the same
// parts counts.
func (t *partTracker) save(blocked, ended []flamingodoor.BlockedParts) {
	t.mu.Lock()
	for _, each := range ended {
		t.sequence++
		t.unsaved[formatParts(each.Parts)] = blockedChange{blocked: each, ended: true, sequence: t.sequence}
	}
	for _, each := range blocked {
		t.sequence++
		t.unsaved[formatParts(each.Parts)] = blockedChange{blocked: each, sequence: t.sequence}
	}
	t.mu.Unlock()
	select {
	case t.changed <- struct{}{}:
	default:
	}
}

// Loaded reports whether the stored blocked parts have been read, or the first
// attempt has failed: a store that is down must not keep hosts from serving.
func (t *partTracker) Loaded() bool {
	return t.loaded.Load()
}

// Run reads the stored blocked parts, and then blocks and stores parts until the
// context ends.
func (t *partTracker) Run(ctx context.Context) {
	var tasks sync.WaitGroup
	defer tasks.Wait()
	tasks.Go(func() {
		t.load(ctx)
		t.runStore(ctx)
	})
	tasks.Go(func() { t.runReads(ctx) })
	ticker := time.NewTicker(settleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			t.settle(now)
		}
	}
}

// load reads the stored blocked parts and retries in the background.
func (t *partTracker) load(ctx context.Context) {
	t.retry(ctx, "blocked_parts_unread", func() error {
		defer t.loaded.Store(true)
		return t.read(ctx)
	})
}

// runReads reads the stored blocked parts while this host is cut off from others,
// until the context ends.
func (t *partTracker) runReads(ctx context.Context) {
	pause := minCutOffPause
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		if !t.Loaded() || !t.gateway.exchanger.CutOff() {
			pause = minCutOffPause
			continue
		}
		if err := t.read(ctx); err != nil {
			_ = level.Info(t.gateway.logger).Log("event", "blocked_parts_unread", "err", err)
		}
		pause = min(2*pause, maxCutOffPause)
	}
}

// read adds the stored blocked parts to the ledger.
func (t *partTracker) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, blockedLoadTimeout)
	defer cancel()
	stored, err := t.gateway.platform.Blocked.Load(ctx)
	if err == nil {
		t.ledger.Restore(stored, time.Now())
	}
	return err
}

// runStore writes queued changes to the store until the context ends.
func (t *partTracker) runStore(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.changed:
		}
		t.retry(ctx, "blocked_parts_unsaved", func() error { return t.writeChanges(ctx) })
	}
}

func (t *partTracker) writeChanges(ctx context.Context) error {
	t.mu.Lock()
	changes := maps.Clone(t.unsaved)
	t.mu.Unlock()
	var blocked, ended []flamingodoor.BlockedParts
	for _, change := range changes {
		if change.ended {
			ended = append(ended, change.blocked)
		} else {
			blocked = append(blocked, change.blocked)
		}
	}
	if len(changes) == 0 {
		return nil
	}
	if err := t.gateway.platform.Blocked.Save(ctx, blocked, ended); err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.unsaved, func(parts string, change blockedChange) bool {
		return changes[parts].sequence == change.sequence
	})
	return nil
}

// retry calls the function until it succeeds or the context ends.
func (t *partTracker) retry(ctx context.Context, event string, call func() error) {
	pauses := backoff.NewExponentialBackOff()
	pauses.MaxInterval = maxBlockedPause
	_, err := backoff.Retry(ctx, func() (struct{}, error) { return struct{}{}, call() },
		backoff.WithBackOff(pauses), backoff.WithMaxElapsedTime(0), backoff.WithNotify(func(err error, _ time.Duration) {
			_ = level.Info(t.gateway.logger).Log("event", event, "err", err)
		}))
	if err != nil && ctx.Err() == nil {
		_ = level.Warn(t.gateway.logger).Log("event", event, "err", err)
	}
}

func formatParts(parts []flamingodoor.PromptPart) string {
	names := make([]string, 0, len(parts))
	for _, part := range parts {
		names = append(names, part.String())
	}
	return strings.Join(names, ",")
}
