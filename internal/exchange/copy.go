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
	// copyTimeout bounds a copy of the configuration between hosts. It is enough
	// for a megabyte on the narrowest links. A relay may spend half of it,
	// readTimeout, on reading the store.
	copyTimeout = time.Second
	readTimeout = copyTimeout / 2
	// copyPollInterval is how often a relay checks whether it has read up to
	// the requested offset.
	copyPollInterval = 20 * time.Millisecond
	// maxRelayedBytes bounds the configuration that a relay sends to its hosts,
	// because the relay compresses it anew for each of them. The hosts read a
	// larger configuration from the store.
	maxRelayedBytes = 256 << 10
)

// fetchConfiguration copies the newest configuration records from a peer and
// reports whether they include all records before the offset.
func (e *Exchanger) fetchConfiguration(ctx context.Context, peerID string, next int64) bool {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	e.mu.Lock()
	to, ok := e.peers[peerID]
	e.mu.Unlock()
	if !ok {
		return false
	}
	response, err := to.client.CopyConfiguration(ctx, connect.NewRequest(&exchangev1.CopyConfigurationRequest{Next: next}))
	if err != nil {
		_ = level.Warn(e.logger).Log("event", "configuration_copy_failed", "peer", peerID, "err", err)
		return false
	}
	batch, err := decodeBatch(response.Msg.GetRecords())
	if err != nil {
		_ = level.Warn(e.logger).Log("event", "configuration_copy_failed", "peer", peerID, "err", err)
		return false
	}
	e.feeds.Configuration.Restore(batch)
	return batch.Next >= next
}

// CopyConfiguration returns this host's configuration to a host that the
// platform's store refuses, or to a host for which this one is the relay.
func (e *Exchanger) CopyConfiguration(ctx context.Context, request *connect.Request[exchangev1.CopyConfigurationRequest]) (*connect.Response[exchangev1.CopyConfigurationResponse], error) {
	next := request.Msg.GetNext()
	batch, known := e.awaitConfiguration(ctx, next)
	if !known {
		return nil, connect.NewError(connect.CodeUnavailable, errNoConfiguration)
	}
	if next > 0 && batchSize(batch) > maxRelayedBytes {
		return nil, connect.NewError(connect.CodeResourceExhausted, errConfigurationTooLarge)
	}
	records, err := encodeBatch(batch)
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	return connect.NewResponse(&exchangev1.CopyConfigurationResponse{Records: records}), nil
}

// awaitConfiguration waits up to readTimeout until this host has read all
// records before the offset, and reports whether it has.
func (e *Exchanger) awaitConfiguration(ctx context.Context, next int64) (flamingodoor.RecordBatch, bool) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	ticker := time.NewTicker(copyPollInterval)
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

var errNoConfiguration = flamingodoor.Errorf(flamingodoor.CodeNotFresh, "this host has not read the configuration up to the requested offset")

var errConfigurationTooLarge = flamingodoor.Errorf(flamingodoor.CodeTooLarge, "the configuration is too large to relay")
