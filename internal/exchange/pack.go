package exchange

import (
	"bytes"
	"compress/gzip"
	"io"
	"sync"

	"google.golang.org/protobuf/proto"

	"flamingodoor.example/flamingodoor"
	exchangev1 "flamingodoor.example/flamingodoor/gen/flamingodoor/exchange/v1"
)

const (
	// packBytes is the size from which records are compressed: they are text
	// and shrink to about a quarter.
	packBytes = 2 << 10
	// maxUnpackedBytes bounds what a peer's records may grow to: the largest
	// configuration and its list of changes.
	maxUnpackedBytes = 32 << 20
)

// packers are shared by all connections, because each holds up to a megabyte.
var packers = sync.Pool{New: func() any { //nolint:gochecknoglobals // a pool of buffers
	writer, _ := gzip.NewWriterLevel(io.Discard, gzip.BestSpeed) // the level is valid
	return writer
}}

// messageOf encodes a batch.
func messageOf(batch flamingodoor.RecordBatch) (*exchangev1.RecordBatch, error) {
	message := &exchangev1.RecordBatch{From: batch.From, Next: batch.Next, Records: batch.Records}
	if sizeOf(batch) < packBytes {
		return message, nil
	}
	data, err := proto.Marshal(&exchangev1.RecordBatch{Records: batch.Records})
	if err != nil {
		return nil, protocolError(err)
	}
	writer := packers.Get().(*gzip.Writer) //nolint:forcetypeassert // the pool holds nothing else
	defer packers.Put(writer)
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

// batchOf decodes a batch.
func batchOf(message *exchangev1.RecordBatch) (flamingodoor.RecordBatch, error) {
	batch := flamingodoor.RecordBatch{From: message.GetFrom(), Next: message.GetNext(), Records: message.GetRecords()}
	if len(message.GetPacked()) == 0 {
		return batch, nil
	}
	reader, err := gzip.NewReader(bytes.NewReader(message.GetPacked()))
	if err != nil {
		return batch, protocolError(err)
	}
	data, err := io.ReadAll(io.LimitReader(reader, maxUnpackedBytes))
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

func sizeOf(batch flamingodoor.RecordBatch) int {
	size := 0
	for _, record := range batch.Records {
		size += len(record)
	}
	return size
}

func protocolError(err error) error {
	return flamingodoor.NewError(flamingodoor.CodeProtocol, flamingodoor.RunStateNotRun, err)
}
