package logstream

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
	"github.com/go-kit/log/level"
	"google.golang.org/protobuf/types/known/timestamppb"

	"flamingodoor.example/flamingodoor"
	recordv1 "flamingodoor.example/flamingodoor/gen/flamingodoor/record/v1"
	"flamingodoor.example/flamingodoor/internal/registry"
)

// Checkpointer appends a checkpoint of the state to the config stream when more
// than 512 records, or half of the log's retention, have passed since the last
// accepted checkpoint.
type Checkpointer struct {
	settings
	recorder *Recorder
	store    *registry.Store
	hostID   string
	started  time.Time
}

// NewCheckpointer returns a checkpointer of the host. A Follower must be running
// on the same store.
func NewCheckpointer(log flamingodoor.Log, store *registry.Store, hostID string, options ...Option) *Checkpointer {
	return &Checkpointer{
		settings: newSettings(options),
		recorder: NewRecorder(log, store, options...),
		store:    store,
		hostID:   hostID,
		started:  time.Now(),
	}
}

// Run appends checkpoints when they are due, until the context ends; it returns
// nil. Hosts wait for different times, in rendezvous order, so that usually only
// the first one appends a checkpoint.
func (c *Checkpointer) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		sleep(ctx, c.checkInterval)
		if !c.due(time.Now()) {
			continue
		}
		sleep(ctx, c.appendDelay())
		if ctx.Err() == nil && c.due(time.Now()) {
			c.append(ctx)
		}
	}
	return nil
}

// due reports whether a new checkpoint is needed. Without new records it becomes
// due as well, because the last checkpoint must be repeated before the log trims
// it.
func (c *Checkpointer) due(now time.Time) bool {
	applied := c.store.Current().Applied()
	if applied == 0 || c.store.Err() != nil {
		return false
	}
	status := c.store.CheckpointStatus()
	if applied-status.Accepted.GetOffset() > checkpointRecords {
		return true
	}
	since := c.started
	if last := status.Accepted; last != nil {
		since = authorTime(last, since)
	} else if status.OldestVerdict != nil {
		since = authorTime(status.OldestVerdict, since)
	}
	retention := c.retention()
	return retention > 0 && now.Sub(since) > retention/2
}

// authorTime returns the author's time in a verdict, or the fallback if it is
// unset. The time is that of another host's clock, which may be off by seconds;
// this does not matter, because retentions are hours.
func authorTime(verdict *recordv1.Verdict, fallback time.Time) time.Time {
	if verdict.GetAuthorTime() == nil {
		return fallback
	}
	return verdict.GetAuthorTime().AsTime()
}

// appendDelay returns how long this host waits before it appends a checkpoint
// that is due. The order of the hosts changes with each checkpoint.
func (c *Checkpointer) appendDelay() time.Duration {
	hosts := c.store.Current().EntryHosts()
	names := make([]string, 0, len(hosts))
	for _, host := range hosts {
		names = append(names, host.ID)
	}
	key := "checkpoint/" + strconv.FormatUint(c.store.CheckpointStatus().Accepted.GetOffset(), 10)
	rank := rankOf(c.hostID, names, key)
	//nolint:gosec // the jitter needs no secrecy
	jitter := rand.N(c.rankDelay/2 + 1)
	return time.Duration(rank)*c.rankDelay + jitter
}

// rankOf returns the position of a host in the rendezvous order of the key. A host
// that is not among the names comes after all of them.
func rankOf(hostID string, names []string, key string) int {
	candidates := slices.Clone(names)
	for rank := range names {
		next := rendezvous.New(candidates, xxhash.Sum64String).Lookup(key)
		if next == hostID {
			return rank
		}
		candidates = slices.DeleteFunc(candidates, func(name string) bool { return name == next })
	}
	return len(names)
}

// append appends a checkpoint of the current state and logs its verdict.
func (c *Checkpointer) append(ctx context.Context) {
	checkpoint, err := c.store.Checkpoint()
	if err != nil {
		_ = level.Error(c.logger).Log("event", "checkpoint_encoding_failed", "err", err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, c.appendTimeout+maxAppendRetryDelay)
	defer cancel()
	verdict, err := c.recorder.Record(ctx, &recordv1.Record{
		Author:     c.hostID,
		AuthorTime: timestamppb.Now(),
		Body:       &recordv1.Record_Checkpoint{Checkpoint: checkpoint},
	})
	if err != nil {
		_ = level.Warn(c.logger).Log("event", "checkpoint_append_failed", "offset", checkpoint.GetOffset(), "err", err)
		return
	}
	_ = level.Info(c.logger).Log("event", "checkpoint_appended", "offset", checkpoint.GetOffset(),
		"verdict", verdict.GetCode(), "reason", verdict.GetReason())
}
