package registry_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor"
	recordv1 "flamingodoor.example/flamingodoor/gen/flamingodoor/record/v1"
	"flamingodoor.example/flamingodoor/internal/registry"
)

func newEntry(t *testing.T, offset uint64, record *recordv1.Record) flamingodoor.LogEntry {
	t.Helper()
	data, err := proto.Marshal(record)
	assert.NilError(t, err)
	return flamingodoor.LogEntry{Offset: offset, Data: data}
}

// Guards against a waiter that misses its verdict, a configuration that changes
// while it is read, and the installation of an older state.
func TestStore(t *testing.T) {
	store := registry.NewStore()
	before := store.Current()
	verdicts := make(chan *recordv1.Verdict, 1)
	go func() {
		verdict, _ := store.WaitVerdict(t.Context(), "out")
		verdicts <- verdict
	}()
	_, err := store.Apply(newEntry(t, 1, withAnyRevision("in", dataCentre(false))))
	assert.NilError(t, err)
	_, err = store.Apply(newEntry(t, 2, withAnyRevision("out", dataCentre(true))))
	assert.NilError(t, err)
	assert.Equal(t, (<-verdicts).GetCode(), accepted)
	assert.NilError(t, store.WaitApplied(t.Context(), 2))
	assert.Equal(t, len(before.DataCentres()), 0)
	assert.Equal(t, store.Current().DataCentres()[0].OutOfService, true)

	assert.Equal(t, flamingodoor.CodeOf(store.Install(registry.New())), flamingodoor.CodeConflict)
	applied, encoded, err := store.Snapshot()
	assert.NilError(t, err)
	assert.Equal(t, applied, uint64(2))
	other := registry.NewStore()
	restored, err := registry.Decode(encoded)
	assert.NilError(t, err)
	assert.NilError(t, other.Install(restored))
	assert.Equal(t, other.Current().Applied(), uint64(2))

	ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
	defer cancel()
	_, err = store.WaitVerdict(ctx, "absent")
	assert.Equal(t, flamingodoor.CodeOf(err), flamingodoor.CodeDeadlineExceeded)
}

// Guards against record lists with a gap, and against a host that applies further
// records after one of a newer version.
func TestStoreRecordsAndFutureVersion(t *testing.T) {
	store := registry.NewStore()
	for offset := uint64(1); offset <= 1030; offset++ {
		_, err := store.Apply(newEntry(t, offset, withAnyRevision(fmt.Sprintf("n%d", offset), dataCentre(false))))
		assert.NilError(t, err)
	}
	assert.Equal(t, len(store.Records(6, 10)), 0)
	assert.Equal(t, len(store.Records(7, 10)), 10)
	assert.Equal(t, store.Records(7, 10)[0].Offset, uint64(7))

	_, err := store.Apply(newEntry(t, 1031, &recordv1.Record{Version: 9, CommandId: "future"}))
	assert.Equal(t, flamingodoor.CodeOf(err), flamingodoor.CodeFutureRecord)
	_, err = store.Apply(newEntry(t, 1032, withAnyRevision("later", dataCentre(false))))
	assert.Equal(t, flamingodoor.CodeOf(err), flamingodoor.CodeFutureRecord)
	assert.Equal(t, flamingodoor.CodeOf(store.Err()), flamingodoor.CodeFutureRecord)
	assert.Equal(t, store.Current().Applied(), uint64(1030))
}
