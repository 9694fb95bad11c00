package exchange_test

import (
	"bytes"
	"compress/gzip"
	"net/netip"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/go-kit/log"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor"
	exchangev1 "flamingodoor.example/flamingodoor/gen/flamingodoor/exchange/v1"
	"flamingodoor.example/flamingodoor/internal/exchange"
)

// follower receives batches in direct calls, without a network.
type follower struct {
	sut      *exchange.Exchanger
	applied  []flamingodoor.RecordBatch
	catchUps []int64
}

func (f *follower) NextOffset() int64 { return 1 }

func (f *follower) ChangesSince(int64) (flamingodoor.RecordBatch, bool) {
	return flamingodoor.RecordBatch{}, false
}

func (f *follower) AsOf() time.Time { return time.Now() }

func (f *follower) ApplyBatch(batch flamingodoor.RecordBatch, _, _ time.Time) {
	f.applied = append(f.applied, batch)
}

func (f *follower) ObservePosition(int64) {}

func (f *follower) CatchUpTo(next int64) { f.catchUps = append(f.catchUps, next) }

func newFollower() *follower {
	f := &follower{}
	peer := &host{}
	self := flamingodoor.EntryPeer{ID: "self", Address: netip.MustParseAddrPort("127.0.0.1:1"), DataCentre: "dc"}
	f.sut = exchange.New(self, directory{peer, nil}, exchange.Feeds{Registrations: f, Configuration: peer}, peer, peer, log.NewNopLogger())
	return f
}

func (f *follower) receive(tb testing.TB, batch *exchangev1.RecordBatch) {
	tb.Helper()
	_, err := f.sut.Share(tb.Context(), connect.NewRequest(&exchangev1.ShareRequest{
		HostId: "peer", Address: "127.0.0.1:2", Sequence: 1, Registrations: batch,
	}))
	assert.NilError(tb, err)
}

// A batch arrives as it was read, whether it was compressed or not.
func TestLargeBatchArrivesWhole(t *testing.T) {
	for _, size := range []int{10, 10_000} {
		record := bytes.Repeat([]byte("x"), size)
		applied := make(chan flamingodoor.RecordBatch, 100)
		startDeployment(t, loopback{}, 2, func(int) *registrations {
			return &registrations{batch: [][]byte{record, {1}}, onCatchUp: func(int64) {}, onApply: func(batch flamingodoor.RecordBatch) {
				select {
				case applied <- batch:
				default:
				}
			}}
		})
		select {
		case batch := <-applied:
			assert.DeepEqual(t, batch, flamingodoor.RecordBatch{From: 1, Next: 3, Records: [][]byte{record, {1}}})
		case <-time.After(5 * time.Second):
			t.Fatal("no batch was applied")
		}
	}
}

// A receiver that cannot decode a batch must read its records from the store.
func FuzzPackedBatch(f *testing.F) {
	f.Add([]byte("no gzip"))
	f.Add([]byte{0x1f, 0x8b, 8, 0, 0, 0, 0, 0, 0, 0xff, 1, 0, 0, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, packed []byte) {
		if len(packed) == 0 {
			return
		}
		receiver := newFollower()
		receiver.receive(t, &exchangev1.RecordBatch{From: 1, Next: 7, Packed: packed})
		assert.Equal(t, len(receiver.applied)+len(receiver.catchUps), 1)
	})
}

// Guards against a batch that is cut at the limit of the decompressed size: cut
// between two records, it would lose the later ones unnoticed.
func TestBatchThatUnpacksTooLargeIsReadFromTheStore(t *testing.T) {
	var packed bytes.Buffer
	writer := gzip.NewWriter(&packed)
	data, err := proto.Marshal(&exchangev1.RecordBatch{Records: [][]byte{make([]byte, 33<<20), {1}}})
	assert.NilError(t, err)
	// The limit falls between two records.
	first, err := proto.Marshal(&exchangev1.RecordBatch{Records: [][]byte{make([]byte, 32<<20-5)}})
	assert.NilError(t, err)
	assert.Equal(t, len(first)%(32<<20), 0)
	for _, content := range [][]byte{data, append(first, 0x1a, 1, 1)} {
		packed.Reset()
		writer.Reset(&packed)
		_, err = writer.Write(content)
		assert.NilError(t, err)
		assert.NilError(t, writer.Close())
		receiver := newFollower()
		receiver.receive(t, &exchangev1.RecordBatch{From: 1, Next: 7, Packed: packed.Bytes()})
		assert.Equal(t, len(receiver.applied), 0)
		assert.DeepEqual(t, receiver.catchUps, []int64{7})
	}
}
