package logstream

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-kit/log/level"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/registry"
)

// Follower reads the config stream and applies its records to a store. While it
// cannot read the log, it uses peers as a fallback.
type Follower struct {
	settings
	log       flamingodoor.LogReader
	store     *registry.Store
	retention atomic.Int64
	started   bool // has reached the tail or installed a snapshot at least once
	failing   bool // the latest poll failed
}

// NewFollower returns a follower that applies the config stream to the store.
func NewFollower(log flamingodoor.Log, store *registry.Store, options ...Option) *Follower {
	return &Follower{settings: newSettings(options), log: log, store: store}
}

// Retention returns how long the log keeps records, or 0 before the first
// successful read.
func (f *Follower) Retention() time.Duration {
	return time.Duration(f.retention.Load())
}

// Run follows the stream until the context ends. After a record of a future
// version it applies no more records, waits for the end of the context and
// returns the error of that record, which Store.Err returns at once.
func (f *Follower) Run(ctx context.Context) error {
	delays := newBackOff(minReadRetryDelay, maxReadRetryDelay)
	for ctx.Err() == nil {
		first, err := f.poll(ctx)
		switch {
		case err == nil:
			delays.Reset()
			f.logPollRecovery()
		case f.store.Err() != nil:
			_ = level.Error(f.logger).Log("event", "future_record", "err", f.store.Err())
			<-ctx.Done()
		case ctx.Err() == nil:
			f.logPollFailure(err)
			f.recoverFrom(ctx, err, first)
			sleep(ctx, delays.NextBackOff())
		}
	}
	return f.store.Err()
}

// poll reads one page and applies it. It also returns the first retained offset,
// or 0 if the read did not return it.
func (f *Follower) poll(ctx context.Context) (uint64, error) {
	from := f.store.Current().Applied() + 1
	start := time.Now()
	page, err := f.read(ctx, from, start.Add(f.pollWait))
	if err != nil {
		return page.First, err
	}
	if err := f.apply(page.Entries); err != nil {
		return page.First, err
	}
	if reachesTail(page, from) {
		f.started = true
		f.tailReached(start)
	}
	if len(page.Entries) == 0 && time.Since(start) < minReadRetryDelay && f.pollWait > minReadRetryDelay {
		// Prevents a busy loop when the log does not wait at the tail.
		sleep(ctx, minReadRetryDelay)
	}
	return page.First, nil
}

// read reads a page from an offset on. It returns an error if the read fails, if
// the record at that offset was trimmed, or if the log ends before the preceding
// record, which this host has applied.
func (f *Follower) read(ctx context.Context, from uint64, until time.Time) (flamingodoor.LogPage, error) {
	ctx, cancel := context.WithDeadline(ctx, until.Add(readMargin))
	defer cancel()
	page, err := f.log.Read(ctx, flamingodoor.ConfigStream, from, maxPageRecords, until)
	if err != nil {
		return page, err
	}
	f.retention.Store(int64(page.Retention))
	if page.First > from {
		return page, flamingodoor.Errorf(flamingodoor.CodeTrimmed, "the log keeps records from offset %d on, but offset %d was requested", page.First, from)
	}
	if page.Next < from {
		// The log has lost records. Such a read does not show that this host is
		// up to date, and new records would reuse offsets that were applied.
		return page, flamingodoor.Errorf(flamingodoor.CodeInternal, "the next offset of the log is %d, although this host has applied offset %d", page.Next, from-1)
	}
	return page, nil
}

// reachesTail reports whether the page, read from an offset on, ends at the tail
// of the stream.
func reachesTail(page flamingodoor.LogPage, from uint64) bool {
	last := from - 1
	if count := len(page.Entries); count > 0 {
		last = page.Entries[count-1].Offset
	}
	return page.Next <= last+1
}

// apply applies the entries to the store.
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

// recoverFrom responds to a failed poll. If records were trimmed, it restores the
// state from a checkpoint. Otherwise it fetches records from a peer, after
// installing a snapshot if the follower has neither reached the tail nor
// installed one yet. The argument first is the first offset that the log retains.
func (f *Follower) recoverFrom(ctx context.Context, failure error, first uint64) {
	if flamingodoor.CodeOf(failure) == flamingodoor.CodeTrimmed {
		f.logRestoreFailure("restore from a checkpoint", f.restore(ctx, first))
		return
	}
	if !f.started && f.snapshotSource != nil {
		f.logRestoreFailure("start from a snapshot", f.installSnapshot(ctx))
	}
	f.logRestoreFailure("fetch records from a peer", f.fetchFromPeer(ctx))
}

// fetchFromPeer applies records of a peer, or installs a snapshot if the peer no
// longer has them.
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

// installSnapshot replaces the state of the store by a snapshot.
func (f *Follower) installSnapshot(ctx context.Context) error {
	if f.snapshotSource == nil {
		return flamingodoor.Errorf(flamingodoor.CodeTrimmed, "no snapshot source is configured")
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

// logRestoreFailure logs the error of a recovery step, if any.
func (f *Follower) logRestoreFailure(action string, err error) {
	if err != nil {
		_ = level.Warn(f.logger).Log("event", "restore_failed", "action", action, "err", err)
	}
}

// logPollFailure logs the first of consecutive failed polls.
func (f *Follower) logPollFailure(err error) {
	if !f.failing {
		_ = level.Warn(f.logger).Log("event", "log_read_failed", "code", flamingodoor.CodeOf(err), "err", err)
	}
	f.failing = true
}

// logPollRecovery logs the first successful poll after a failed one.
func (f *Follower) logPollRecovery() {
	if f.failing {
		_ = level.Info(f.logger).Log("event", "log_reachable_again", "applied", f.store.Current().Applied())
	}
	f.failing = false
}
