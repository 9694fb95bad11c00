package logstream_test

import (
	"context"
	"crypto/sha256"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"
	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor"
	platformv1 "flamingodoor.example/flamingodoor/gen/flamingodoor/platform/v1"
	"flamingodoor.example/flamingodoor/gen/flamingodoor/platform/v1/platformv1connect"
	recordv1 "flamingodoor.example/flamingodoor/gen/flamingodoor/record/v1"
	"flamingodoor.example/flamingodoor/internal/logstream"
	"flamingodoor.example/flamingodoor/internal/platform"
	"flamingodoor.example/flamingodoor/internal/registry"
	standinplatform "flamingodoor.example/flamingodoor/internal/standin/platform"
)

const accepted = recordv1.VerdictCode_VERDICT_CODE_ACCEPTED

type fixture struct {
	t      *testing.T
	log    *platform.Log
	faults platformv1connect.FaultServiceClient
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	server := httptest.NewServer(standinplatform.New().Handler())
	t.Cleanup(server.Close)
	return &fixture{
		t:      t,
		log:    platform.NewLog(netip.MustParseAddrPort(server.Listener.Addr().String())),
		faults: platformv1connect.NewFaultServiceClient(http.DefaultClient, server.URL),
	}
}

// setFaults sets the faults of the stand-in log.
func (f *fixture) setFaults(request *platformv1.SetRequest) {
	f.t.Helper()
	_, err := f.faults.Set(f.t.Context(), connect.NewRequest(request))
	assert.NilError(f.t, err)
}

// startFollower runs a follower until the test ends and returns its store.
func (f *fixture) startFollower(options ...logstream.Option) *registry.Store {
	f.t.Helper()
	store := registry.NewStore()
	follower := logstream.NewFollower(f.log, store, append(options, logstream.WithPollWait(100*time.Millisecond))...)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- follower.Run(ctx) }()
	f.t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			assert.Equal(f.t, flamingodoor.CodeOf(err), flamingodoor.CodeFutureRecord)
		}
	})
	return store
}

// append appends a record and returns its offset.
func (f *fixture) append(record *recordv1.Record) uint64 {
	f.t.Helper()
	record.Version = 1
	data, err := proto.Marshal(record)
	assert.NilError(f.t, err)
	offset, err := f.log.Append(f.t.Context(), flamingodoor.ConfigStream, data)
	assert.NilError(f.t, err)
	return offset
}

// waitApplied waits until the store has applied the offset and returns the
// encoded state.
func (f *fixture) waitApplied(store *registry.Store, offset uint64) []byte {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(f.t.Context(), 10*time.Second)
	defer cancel()
	assert.NilError(f.t, store.WaitApplied(ctx, offset))
	_, encoded, err := store.Snapshot()
	assert.NilError(f.t, err)
	return encoded
}

// putDataCentre returns a record that adds a data centre.
func putDataCentre(commandID, name string) *recordv1.Record {
	return &recordv1.Record{
		CommandId: commandID, AnyRevision: true,
		Body: &recordv1.Record_PutDataCentre{PutDataCentre: &recordv1.DataCentre{DataCentre: name}},
	}
}

// checkpointRecord returns a record that holds a checkpoint.
func checkpointRecord(commandID string, offset uint64, state []byte) *recordv1.Record {
	hash := sha256.Sum256(state)
	return &recordv1.Record{CommandId: commandID, Body: &recordv1.Record_Checkpoint{
		Checkpoint: &recordv1.Checkpoint{Offset: offset, State: state, Hash: hash[:]},
	}}
}

// Guards against a command that is lost or applied twice when the answers of
// appends are lost or appends take effect late, and against different states on
// two hosts afterwards.
func TestRecordUnderAppendFaults(t *testing.T) {
	f := newFixture(t)
	stores := []*registry.Store{f.startFollower(), f.startFollower()}
	f.setFaults(&platformv1.SetRequest{LoseAnswers: 5, LateAppends: 10, LateBy: durationpb.New(150 * time.Millisecond)})
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	writers, ctx := errgroup.WithContext(ctx)
	for w := range 4 {
		recorder := logstream.NewRecorder(f.log, stores[w%2], logstream.WithAppendRetryDelay(50*time.Millisecond))
		writers.Go(func() error {
			for n := range 8 {
				record := putDataCentre(fmt.Sprintf("w%d-%d", w, n), fmt.Sprintf("dc-%d-%d", w, n))
				record.AnyRevision = false // a second application would be a conflict
				verdict, err := recorder.Record(ctx, record)
				if err != nil {
					return err
				}
				if verdict.GetCode() != accepted {
					return flamingodoor.Errorf(flamingodoor.CodeConflict, "%s", verdict.GetReason())
				}
			}
			return nil
		})
	}
	assert.NilError(t, writers.Wait())
	time.Sleep(200 * time.Millisecond) // all late appends have taken effect
	last := f.append(putDataCentre("last", "last"))
	assert.DeepEqual(t, f.waitApplied(stores[0], last), f.waitApplied(stores[1], last))
	assert.Equal(t, len(stores[0].Current().DataCentres()), 33)
	assert.Equal(t, len(stores[0].History(0)), 33)
}

// Guards against a record that is reported as not run although it may be in
// the log, and against an append after the caller's deadline.
func TestRecordWithoutLog(t *testing.T) {
	f := newFixture(t)
	f.setFaults(&platformv1.SetRequest{Outage: true})
	recorder := logstream.NewRecorder(f.log, registry.NewStore())
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	_, err := recorder.Record(ctx, putDataCentre("a", "a"))
	assert.Equal(t, flamingodoor.CodeOf(err), flamingodoor.CodeLogUnavailable)
	assert.Equal(t, flamingodoor.RunStateOf(err), flamingodoor.RunStateMayHaveRun)
	_, err = recorder.Record(ctx, putDataCentre("b", "b"))
	assert.Equal(t, flamingodoor.RunStateOf(err), flamingodoor.RunStateNotRun)
}

// Guards against a host that cannot start after the log was trimmed, or that
// starts from a checkpoint with a wrong state.
func TestStartAfterTrim(t *testing.T) {
	f := newFixture(t)
	reader := f.startFollower()
	for n := range 4 {
		f.waitApplied(reader, f.append(putDataCentre(fmt.Sprintf("a%d", n), fmt.Sprintf("a%d", n))))
	}
	for n := range 2 { // two correct checkpoints, each followed by a change
		applied, state, err := reader.Snapshot()
		assert.NilError(t, err)
		f.append(checkpointRecord(fmt.Sprintf("right-%d", n), applied, state))
		f.waitApplied(reader, f.append(putDataCentre(fmt.Sprintf("b%d", n), fmt.Sprintf("b%d", n))))
	}
	forged := registry.New()
	data, err := proto.Marshal(&recordv1.Record{Version: 1, CommandId: "forged", AnyRevision: true, Body: putDataCentre("", "forged").GetBody()})
	assert.NilError(t, err)
	_, err = forged.Apply(flamingodoor.LogEntry{Offset: 8, Data: data})
	assert.NilError(t, err)
	wrong, err := forged.Encode()
	assert.NilError(t, err)
	f.append(checkpointRecord("wrong", 8, wrong))
	last := f.append(putDataCentre("last", "last"))
	f.setFaults(&platformv1.SetRequest{TrimStream: flamingodoor.ConfigStream, TrimBefore: 4})
	assert.DeepEqual(t, f.waitApplied(f.startFollower(), last), f.waitApplied(reader, last))
	verdict, _ := reader.Verdict("right-1")
	assert.Equal(t, verdict.GetCode(), accepted)
}

// Guards against a host that cannot start, or falls behind its peers, while the
// log is down, and against a failed read that renews the freshness lease.
func TestPeersWhileLogIsDown(t *testing.T) {
	f := newFixture(t)
	var reached atomic.Int64
	peer := f.startFollower(logstream.WithTailReached(func(time.Time) { reached.Add(1) }))
	f.waitApplied(peer, f.append(putDataCentre("a", "a")))
	f.setFaults(&platformv1.SetRequest{Outage: true})
	time.Sleep(50 * time.Millisecond)
	before := reached.Load()
	assert.Assert(t, before > 0)

	starting := f.startFollower(
		logstream.WithSnapshotSource(func(context.Context) ([]byte, error) {
			_, encoded, err := peer.Snapshot()
			return encoded, err
		}),
		logstream.WithPeerSource(func(_ context.Context, from uint64) ([]flamingodoor.LogEntry, error) {
			return peer.Records(from, 10), nil
		}),
	)
	f.waitApplied(starting, 1)
	data, err := proto.Marshal(&recordv1.Record{Version: 1, CommandId: "b", AnyRevision: true, Body: putDataCentre("", "b").GetBody()})
	assert.NilError(t, err)
	_, err = peer.Apply(flamingodoor.LogEntry{Offset: 2, Data: data})
	assert.NilError(t, err)
	assert.DeepEqual(t, f.waitApplied(starting, 2), f.waitApplied(peer, 2))
	assert.Equal(t, reached.Load(), before)
}

// Guards against a freshness lease that starts later than the read that renews
// it, and against a renewal by a log that has lost records which this host has
// applied.
func TestTailReached(t *testing.T) {
	f := newFixture(t)
	type call struct{ start, at time.Time }
	calls := make(chan call, 100)
	store := f.startFollower(logstream.WithTailReached(func(start time.Time) { calls <- call{start, time.Now()} }))
	<-calls
	waited := <-calls
	assert.Assert(t, waited.at.Sub(waited.start) >= 90*time.Millisecond, "the read did not wait at the tail")

	data, err := proto.Marshal(putDataCentre("a", "a"))
	assert.NilError(t, err)
	_, err = store.Apply(flamingodoor.LogEntry{Offset: 5, Data: data})
	assert.NilError(t, err)
	time.Sleep(250 * time.Millisecond)
	for len(calls) > 0 {
		<-calls
	}
	time.Sleep(250 * time.Millisecond)
	assert.Equal(t, len(calls), 0)
}

// Guards against a host of an older version that continues after a record of a
// newer version.
func TestFollowerStopsAtFutureRecord(t *testing.T) {
	f := newFixture(t)
	store := f.startFollower()
	data, err := proto.Marshal(&recordv1.Record{Version: 2, CommandId: "future"})
	assert.NilError(t, err)
	_, err = f.log.Append(t.Context(), flamingodoor.ConfigStream, data)
	assert.NilError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	_, err = logstream.NewRecorder(f.log, store).Record(ctx, putDataCentre("later", "later"))
	assert.Equal(t, flamingodoor.CodeOf(err), flamingodoor.CodeFutureRecord)
	assert.Equal(t, store.Current().Applied(), uint64(0))
}

// Guards against a checkpoint that is missing after 512 records or after half of
// the retention, and against one checkpoint from each host instead of a single
// one.
func TestCheckpointer(t *testing.T) {
	f := newFixture(t)
	stores := []*registry.Store{f.startFollower(), f.startFollower()}
	for i, store := range stores {
		checkpointer := logstream.NewCheckpointer(f.log, store, fmt.Sprintf("h%d", i),
			logstream.WithCheckInterval(20*time.Millisecond), logstream.WithRankDelay(400*time.Millisecond))
		go func() { _ = checkpointer.Run(t.Context()) }()
	}
	for i, name := range []string{"h0", "h1"} {
		host := &recordv1.EntryHost{HostId: name, PeerAddress: "127.0.0.1:1", DataCentre: "dc"}
		f.append(&recordv1.Record{CommandId: name, ExpectedRevision: uint64(i), Body: &recordv1.Record_AddEntryHost{AddEntryHost: host}})
	}
	for n := range 511 {
		f.append(putDataCentre(fmt.Sprintf("n%d", n), "dc"))
	}
	f.waitApplied(stores[0], 514)
	f.waitApplied(stores[1], 514)
	assert.Equal(t, stores[0].CheckpointStatus().Accepted.GetOffset(), uint64(514))
	time.Sleep(time.Second)
	assert.Equal(t, stores[0].Current().Applied(), uint64(514))

	aged := logstream.NewCheckpointer(f.log, stores[0], "h0", logstream.WithCheckInterval(20*time.Millisecond),
		logstream.WithRankDelay(time.Millisecond), logstream.WithRetention(func() time.Duration { return time.Second }))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = aged.Run(ctx) }()
	f.waitApplied(stores[0], 515)
	assert.Equal(t, stores[0].CheckpointStatus().Accepted.GetOffset(), uint64(515))
}

// Guards against a read timeout that is too short for a log that delays each call
// by 2 s: with the wait at the tail on top, no read would reach the tail.
func TestFollowASlowLog(t *testing.T) {
	f := newFixture(t)
	f.setFaults(&platformv1.SetRequest{Delay: durationpb.New(2 * time.Second)})
	reached := make(chan time.Time, 100)
	f.startFollower(logstream.WithTailReached(func(start time.Time) { reached <- start }))
	for range 2 {
		select {
		case <-reached:
		case <-time.After(10 * time.Second):
			t.Fatal("the tail was not reached")
		}
	}
}
