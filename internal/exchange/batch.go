package exchange

import (
	"bytes"
	"compress/gzip"
	"io"
	"sync"

	"google.golang.org/protobuf/proto"

	"flamingodoor.example/flamingodoor"
	exchangev1 "flamingodoor.example/flamingodoor/gen/flamingodoor/exchange/v1"
	"flamingodoor.example/flamingodoor/internal/intake"
)

const (
	// compressThreshold is the size from which records are compressed: they are
	// text and shrink to about a quarter.
	compressThreshold = 2 << 10
	// maxUnpackedBytes bounds the decompressed size of a peer's records. The
	// largest configuration with its list of changes fits.
	maxUnpackedBytes = 32 << 20
)

// gzipWriters are shared by all connections, because each writer holds up to a
// megabyte.
var gzipWriters = sync.Pool{New: func() any { //nolint:gochecknoglobals // a pool of buffers
	writer, _ := gzip.NewWriterLevel(io.Discard, gzip.BestSpeed) // the level is valid
	return writer
}}

// encodeBatch encodes a batch and compresses its records from compressThreshold
// on.
func encodeBatch(batch flamingodoor.RecordBatch) (*exchangev1.RecordBatch, error) {
	message := &exchangev1.RecordBatch{From: batch.From, Next: batch.Next, Records: batch.Records}
	if batchSize(batch) < compressThreshold {
		return message, nil
	}
	data, err := proto.Marshal(&exchangev1.RecordBatch{Records: batch.Records})
	if err != nil {
		return nil, protocolError(err)
	}
	writer := gzipWriters.Get().(*gzip.Writer) //nolint:forcetypeassert // the pool holds nothing else
	defer gzipWriters.Put(writer)
	var packed bytes.Buffer
	writer.Reset(&packed)
	if _, err := writer.Write(data); err != nil {
		return nil, protocolError(err)
	}
	if err := writer.Close(); err != nil {
		return nil, protocolError(err)
	}
	message.Records, message.Packed = nil, packed.Bytes()
	return message, nil
}

// decodeBatch decodes a batch whose records may be compressed.
func decodeBatch(message *exchangev1.RecordBatch) (flamingodoor.RecordBatch, error) {
	batch := flamingodoor.RecordBatch{From: message.GetFrom(), Next: message.GetNext(), Records: message.GetRecords()}
	if len(message.GetPacked()) == 0 {
		return batch, nil
	}
	reader, err := gzip.NewReader(bytes.NewReader(message.GetPacked()))
	if err != nil {
		return batch, protocolError(err)
	}
	data, err := intake.ReadAll(reader, maxUnpackedBytes)
	if err != nil {
		return batch, protocolError(err)
	}
	var records exchangev1.RecordBatch
	if err := proto.Unmarshal(data, &records); err != nil {
		return batch, protocolError(err)
	}
	batch.Records = records.GetRecords()
	return batch, nil
}

func batchSize(batch flamingodoor.RecordBatch) int {
	size := 0
	for _, record := range batch.Records {
		size += len(record)
	}
	return size
}

func protocolError(err error) error {
	return flamingodoor.NewError(flamingodoor.CodeProtocol, flamingodoor.RunStateNotRun, err)
}
