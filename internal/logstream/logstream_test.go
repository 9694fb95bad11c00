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

func (f *fixture) set(request *platformv1.SetRequest) {
	f.t.Helper()
	_, err := f.faults.Set(f.t.Context(), connect.NewRequest(request))
	assert.NilError(f.t, err)
}

// follow runs a follower until the test ends.
func (f *fixture) follow(options ...logstream.Option) *registry.Store {
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

func (f *fixture) append(record *recordv1.Record) uint64 {
	f.t.Helper()
	record.Version = 1
	data, err := proto.Marshal(record)
	assert.NilError(f.t, err)
	offset, err := f.log.Append(f.t.Context(), flamingodoor.ConfigStream, data)
	assert.NilError(f.t, err)
	return offset
}

func (f *fixture) wait(store *registry.Store, offset uint64) []byte {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(f.t.Context(), 10*time.Second)
	defer cancel()
	assert.NilError(f.t, store.WaitApplied(ctx, offset))
	_, encoded, err := store.Snapshot()
	assert.NilError(f.t, err)
	return encoded
}

func site(commandID, name string) *recordv1.Record {
	return &recordv1.Record{
		CommandId: commandID, AnyRevision: true,
		Body: &recordv1.Record_PutDataCentre{PutDataCentre: &recordv1.DataCentre{DataCentre: name}},
	}
}

func checkpointOf(commandID string, offset uint64, state []byte) *recordv1.Record {
	hash := sha256.Sum256(state)
	return &recordv1.Record{CommandId: commandID, Body: &recordv1.Record_Checkpoint{
		Checkpoint: &recordv1.Checkpoint{Offset: offset, State: state, Hash: hash[:]},
	}}
}

// Guards against a command that is lost or counted twice when answers are lost
// and appends come late, and against hosts that differ afterwards.
func TestRecordUnderAppendFaults(t *testing.T) {
	f := newFixture(t)
	stores := []*registry.Store{f.follow(), f.follow()}
	f.set(&platformv1.SetRequest{LoseAnswers: 5, LateAppends: 10, LateBy: durationpb.New(150 * time.Millisecond)})
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	writers, ctx := errgroup.WithContext(ctx)
	for w := range 4 {
		recorder := logstream.NewRecorder(f.log, stores[w%2], logstream.WithAppendRetryDelay(50*time.Millisecond))
		writers.Go(func() error {
			for n := range 8 {
				record := site(fmt.Sprintf("w%d-%d", w, n), fmt.Sprintf("dc-%d-%d", w, n))
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
	time.Sleep(200 * time.Millisecond) // the last late appends
	last := f.append(site("last", "last"))
	assert.DeepEqual(t, f.wait(stores[0], last), f.wait(stores[1], last))
	assert.Equal(t, len(stores[0].Current().DataCentres()), 33)
	assert.Equal(t, len(stores[0].History(0)), 33)
}

// Guards against a record that is reported as not run although it may be in
// the log, and against an append after the caller's deadline.
func TestRecordWithoutLog(t *testing.T) {
	f := newFixture(t)
	f.set(&platformv1.SetRequest{Outage: true})
	recorder := logstream.NewRecorder(f.log, registry.NewStore())
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	_, err := recorder.Record(ctx, site("a", "a"))
	assert.Equal(t, flamingodoor.CodeOf(err), flamingodoor.CodeLogUnavailable)
	assert.Equal(t, flamingodoor.RunStateOf(err), flamingodoor.RunStateMayHaveRun)
	_, err = recorder.Record(ctx, site("b", "b"))
	assert.Equal(t, flamingodoor.RunStateOf(err), flamingodoor.RunStateNotRun)
}

// Guards against a host that cannot start after the log was trimmed, or that
// starts from a wrong checkpoint.
func TestStartAfterTrim(t *testing.T) {
	f := newFixture(t)
	reader := f.follow()
	for n := range 4 {
		f.wait(reader, f.append(site(fmt.Sprintf("a%d", n), fmt.Sprintf("a%d", n))))
	}
	for n := range 2 { // two right checkpoints with changes between them
		applied, state, err := reader.Snapshot()
		assert.NilError(t, err)
		f.append(checkpointOf(fmt.Sprintf("right-%d", n), applied, state))
		f.wait(reader, f.append(site(fmt.Sprintf("b%d", n), fmt.Sprintf("b%d", n))))
	}
	forged := registry.New()
	data, err := proto.Marshal(&recordv1.Record{Version: 1, CommandId: "forged", AnyRevision: true, Body: site("", "forged").GetBody()})
	assert.NilError(t, err)
	_, err = forged.Apply(flamingodoor.LogEntry{Offset: 8, Data: data})
	assert.NilError(t, err)
	wrong, err := forged.Encode()
	assert.NilError(t, err)
	f.append(checkpointOf("wrong", 8, wrong))
	last := f.append(site("last", "last"))
	f.set(&platformv1.SetRequest{TrimStream: flamingodoor.ConfigStream, TrimBefore: 4})
	assert.DeepEqual(t, f.wait(f.follow(), last), f.wait(reader, last))
	verdict, _ := reader.Verdict("right-1")
	assert.Equal(t, verdict.GetCode(), accepted)
}

// Guards against a host that cannot start or keep up while the log is down,
// and against a freshness lease renewed by a read that failed.
func TestPeersWhileLogIsDown(t *testing.T) {
	f := newFixture(t)
	var reached atomic.Int64
	peer := f.follow(logstream.WithTailReached(func(time.Time) { reached.Add(1) }))
	f.wait(peer, f.append(site("a", "a")))
	f.set(&platformv1.SetRequest{Outage: true})
	time.Sleep(50 * time.Millisecond)
	before := reached.Load()
	assert.Assert(t, before > 0)

	starting := f.follow(
		logstream.WithSnapshotSource(func(context.Context) ([]byte, error) {
			_, encoded, err := peer.Snapshot()
			return encoded, err
		}),
		logstream.WithPeerSource(func(_ context.Context, from uint64) ([]flamingodoor.LogEntry, error) {
			return peer.Records(from, 10), nil
		}),
	)
	f.wait(starting, 1)
	data, err := proto.Marshal(&recordv1.Record{Version: 1, CommandId: "b", AnyRevision: true, Body: site("", "b").GetBody()})
	assert.NilError(t, err)
	_, err = peer.Apply(flamingodoor.LogEntry{Offset: 2, Data: data})
	assert.NilError(t, err)
	assert.DeepEqual(t, f.wait(starting, 2), f.wait(peer, 2))
	assert.Equal(t, reached.Load(), before)
}

// Guards against a lease that starts later than the read that renews it, and
// against a host that renews it from a log that lost records it has applied.
func TestTailReached(t *testing.T) {
	f := newFixture(t)
	type call struct{ start, at time.Time }
	calls := make(chan call, 100)
	store := f.follow(logstream.WithTailReached(func(start time.Time) { calls <- call{start, time.Now()} }))
	<-calls
	waited := <-calls
	assert.Assert(t, waited.at.Sub(waited.start) >= 90*time.Millisecond, "the read waited at the tail")

	data, err := proto.Marshal(site("a", "a"))
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

// Guards against an older host that goes on after a record of a newer version.
func TestFollowerStopsAtFutureRecord(t *testing.T) {
	f := newFixture(t)
	store := f.follow()
	data, err := proto.Marshal(&recordv1.Record{Version: 2, CommandId: "future"})
	assert.NilError(t, err)
	_, err = f.log.Append(t.Context(), flamingodoor.ConfigStream, data)
	assert.NilError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	_, err = logstream.NewRecorder(f.log, store).Record(ctx, site("later", "later"))
	assert.Equal(t, flamingodoor.CodeOf(err), flamingodoor.CodeFutureRecord)
	assert.Equal(t, store.Current().Applied(), uint64(0))
}

// Guards against a stream without checkpoints, by count and by age, and
// against one checkpoint from each host.
func TestCheckpointer(t *testing.T) {
	f := newFixture(t)
	stores := []*registry.Store{f.follow(), f.follow()}
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
		f.append(site(fmt.Sprintf("n%d", n), "dc"))
	}
	f.wait(stores[0], 514)
	f.wait(stores[1], 514)
	assert.Equal(t, stores[0].CheckpointStatus().Accepted.GetOffset(), uint64(514))
	time.Sleep(time.Second)
	assert.Equal(t, stores[0].Current().Applied(), uint64(514))

	aged := logstream.NewCheckpointer(f.log, stores[0], "h0", logstream.WithCheckInterval(20*time.Millisecond),
		logstream.WithRankDelay(time.Millisecond), logstream.WithRetention(func() time.Duration { return time.Second }))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = aged.Run(ctx) }()
	f.wait(stores[0], 515)
	assert.Equal(t, stores[0].CheckpointStatus().Accepted.GetOffset(), uint64(515))
}

// Guards against a log that answers each call after 2 s and therefore never
// counts as read to its tail, because the wait at the tail comes on top.
func TestFollowASlowLog(t *testing.T) {
	f := newFixture(t)
	f.set(&platformv1.SetRequest{Delay: durationpb.New(2 * time.Second)})
	reached := make(chan time.Time, 100)
	f.follow(logstream.WithTailReached(func(start time.Time) { reached <- start }))
	for range 2 {
		select {
		case <-reached:
		case <-time.After(10 * time.Second):
			t.Fatal("the tail was not reached")
		}
	}
}
