package exchange

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/go-kit/log/level"

	"flamingodoor.example/flamingodoor"
	exchangev1 "flamingodoor.example/flamingodoor/gen/flamingodoor/exchange/v1"
)

const (
	// copyTimeout lets a configuration of a megabyte pass the narrowest links.
	// Half of it is what a relay may take to read the store itself.
	copyTimeout = time.Second
	readTimeout = copyTimeout / 2
	// copyPoll separates two looks at what this host read.
	copyPoll = 20 * time.Millisecond
	// relayedBytes bounds the configuration that a relay copies to its hosts: it
	// compresses it for each. What is larger comes from the store.
	relayedBytes = 256 << 10
)

// copyConfiguration asks a peer for the newest records of the operators, up to
// the offset at least, and reports whether it has them.
func (e *Exchanger) copyConfiguration(ctx context.Context, from string, next int64) bool {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	e.mu.Lock()
	to, ok := e.peers[from]
	e.mu.Unlock()
	if !ok {
		return false
	}
	response, err := to.client.CopyConfiguration(ctx, connect.NewRequest(&exchangev1.CopyConfigurationRequest{Next: next}))
	if err != nil {
		_ = level.Warn(e.logger).Log("event", "configuration_copy_failed", "peer", from, "err", err)
		return false
	}
	batch, err := batchOf(response.Msg.GetRecords())
	if err != nil {
		_ = level.Warn(e.logger).Log("event", "configuration_copy_failed", "peer", from, "err", err)
		return false
	}
	e.feeds.Configuration.Restore(batch)
	return batch.Next >= next
}

// CopyConfiguration serves a host that the platform's store turns away, or one
// for which this one relays.
func (e *Exchanger) CopyConfiguration(ctx context.Context, request *connect.Request[exchangev1.CopyConfigurationRequest]) (*connect.Response[exchangev1.CopyConfigurationResponse], error) {
	next := request.Msg.GetNext()
	batch, known := e.awaitConfiguration(ctx, next)
	if !known {
		return nil, connect.NewError(connect.CodeUnavailable, errNoConfiguration)
	}
	if next > 0 && sizeOf(batch) > relayedBytes {
		return nil, connect.NewError(connect.CodeResourceExhausted, errLargeConfiguration)
	}
	records, err := messageOf(batch)
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	return connect.NewResponse(&exchangev1.CopyConfigurationResponse{Records: records}), nil
}

// awaitConfiguration waits a moment until this host has read up to the offset.
func (e *Exchanger) awaitConfiguration(ctx context.Context, next int64) (flamingodoor.RecordBatch, bool) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	ticker := time.NewTicker(copyPoll)
	defer ticker.Stop()
	for {
		batch, known := e.feeds.Configuration.Snapshot()
		if known && batch.Next >= next {
			return batch, true
		}
		select {
		case <-ctx.Done():
			return batch, false
		case <-ticker.C:
		}
	}
}

var errNoConfiguration = flamingodoor.Errorf(flamingodoor.CodeNotFresh, "this host has no configuration")

var errLargeConfiguration = flamingodoor.Errorf(flamingodoor.CodeTooLarge, "the configuration is too large to relay")
