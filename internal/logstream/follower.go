package logstream

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-kit/log/level"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/registry"
)

// Follower applies the records of the config stream to a store.
type Follower struct {
	settings
	log       flamingodoor.LogReader
	store     *registry.Store
	retention atomic.Int64
	started   bool // reached the tail or installed a snapshot once
	failing   bool // the last read failed
}

// NewFollower returns a follower of the config stream.
func NewFollower(log flamingodoor.Log, store *registry.Store, options ...Option) *Follower {
	return &Follower{settings: newSettings(options), log: log, store: store}
}

// Retention returns how long the log keeps records, or 0 before the first
// successful read.
func (f *Follower) Retention() time.Duration {
	return time.Duration(f.retention.Load())
}

// Run follows the stream until the context ends. After a record of a future
// version it applies nothing more, and returns the error of the record when
// the context ends; Store.Err gives it at once.
func (f *Follower) Run(ctx context.Context) error {
	delays := newBackOff(minRetryDelay, maxRetryDelay)
	for ctx.Err() == nil {
		first, err := f.poll(ctx)
		switch {
		case err == nil:
			delays.Reset()
			f.noteSuccess()
		case f.store.Err() != nil:
			_ = level.Error(f.logger).Log("event", "future_record", "err", f.store.Err())
			<-ctx.Done()
		case ctx.Err() == nil:
			f.noteFailure(err)
			f.help(ctx, err, first)
			sleep(ctx, delays.NextBackOff())
		}
	}
	return f.store.Err()
}

// poll reads one page and applies it. It also returns the first kept offset,
// if the read told it.
func (f *Follower) poll(ctx context.Context) (uint64, error) {
	from := f.store.Current().Applied() + 1
	began := time.Now()
	page, err := f.read(ctx, from, began.Add(f.pollWait))
	if err != nil {
		return page.First, err
	}
	if err := f.apply(page.Entries); err != nil {
		return page.First, err
	}
	if reachesTail(page, from) {
		f.started = true
		f.tailReached(began)
	}
	if len(page.Entries) == 0 && time.Since(began) < minRetryDelay && f.pollWait > minRetryDelay {
		// A log that does not wait at the tail is not read in a tight loop.
		sleep(ctx, minRetryDelay)
	}
	return page.First, nil
}

func (f *Follower) read(ctx context.Context, from uint64, until time.Time) (flamingodoor.LogPage, error) {
	ctx, cancel := context.WithDeadline(ctx, until.Add(readMargin))
	defer cancel()
	page, err := f.log.Read(ctx, flamingodoor.ConfigStream, from, pageRecords, until)
	if err != nil {
		return page, err
	}
	f.retention.Store(int64(page.Retention))
	if page.First > from {
		return page, flamingodoor.Errorf(flamingodoor.CodeTrimmed, "records before offset %d are no longer kept, wanted %d", page.First, from)
	}
	if page.Next < from {
		// A log that lost records gives no evidence that this host is up to
		// date, and its next records would reuse applied offsets.
		return page, flamingodoor.Errorf(flamingodoor.CodeInternal, "the log ends at offset %d, before the applied offset %d", page.Next, from-1)
	}
	return page, nil
}

func reachesTail(page flamingodoor.LogPage, from uint64) bool {
	last := from - 1
	if count := len(page.Entries); count > 0 {
		last = page.Entries[count-1].Offset
	}
	return page.Next <= last+1
}

func (f *Follower) apply(entries []flamingodoor.LogEntry) error {
	for _, entry := range entries {
		verdict, err := f.store.Apply(entry)
		if err != nil {
			return err
		}
		_ = level.Debug(f.logger).Log("event", "record_applied", "offset", entry.Offset,
			"command_id", verdict.GetCommandId(), "verdict", verdict.GetCode(), "reason", verdict.GetReason())
	}
	return nil
}

// help gets records or a state from elsewhere after a failed read.
func (f *Follower) help(ctx context.Context, failure error, first uint64) {
	if flamingodoor.CodeOf(failure) == flamingodoor.CodeTrimmed {
		f.report("restore from a checkpoint", f.restore(ctx, first))
		return
	}
	if !f.started && f.snapshotSource != nil {
		f.report("start from a snapshot", f.installSnapshot(ctx))
	}
	f.report("fetch records from a peer", f.fetchFromPeer(ctx))
}

func (f *Follower) fetchFromPeer(ctx context.Context) error {
	if f.peerSource == nil {
		return nil
	}
	entries, err := f.peerSource(ctx, f.store.Current().Applied()+1)
	if flamingodoor.CodeOf(err) == flamingodoor.CodeTrimmed {
		return f.installSnapshot(ctx)
	}
	if err != nil {
		return err
	}
	return f.apply(entries)
}

func (f *Follower) installSnapshot(ctx context.Context) error {
	if f.snapshotSource == nil {
		return flamingodoor.Errorf(flamingodoor.CodeTrimmed, "there is no source of snapshots")
	}
	data, err := f.snapshotSource(ctx)
	if err != nil {
		return err
	}
	state, err := registry.Decode(data)
	if err != nil {
		return err
	}
	if err := f.store.Install(state); err != nil {
		return err
	}
	f.started = true
	_ = level.Info(f.logger).Log("event", "snapshot_installed", "applied", state.Applied())
	return nil
}

func (f *Follower) report(action string, err error) {
	if err != nil {
		_ = level.Warn(f.logger).Log("event", "restore_failed", "action", action, "err", err)
	}
}

// noteFailure and noteSuccess log the changes between a log that can be read
// and one that cannot.
func (f *Follower) noteFailure(err error) {
	if !f.failing {
		_ = level.Warn(f.logger).Log("event", "log_read_failed", "code", flamingodoor.CodeOf(err), "err", err)
	}
	f.failing = true
}

func (f *Follower) noteSuccess() {
	if f.failing {
		_ = level.Info(f.logger).Log("event", "log_reachable_again", "applied", f.store.Current().Applied())
	}
	f.failing = false
}
