package exchange

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/go-kit/log/level"

	"flamingodoor.example/flamingodoor"
	exchangev1 "flamingodoor.example/flamingodoor/gen/flamingodoor/exchange/v1"
)

// copyTimeout lets a configuration of a megabyte pass the narrowest links.
const copyTimeout = time.Second

// copyConfiguration asks a peer for what the platform's store does not give
// this host: its keys would count as unknown before long.
func (e *Exchanger) copyConfiguration(ctx context.Context, from string) {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	e.mu.Lock()
	to, ok := e.peers[from]
	e.mu.Unlock()
	if !ok {
		return
	}
	response, err := to.client.CopyConfiguration(ctx, connect.NewRequest(&exchangev1.CopyConfigurationRequest{}))
	if err != nil {
		_ = level.Warn(e.logger).Log("event", "configuration_copy_failed", "peer", from, "err", err)
		return
	}
	batch, err := batchOf(response.Msg.GetRecords())
	if err != nil {
		_ = level.Warn(e.logger).Log("event", "configuration_copy_failed", "peer", from, "err", err)
		return
	}
	e.feeds.Configuration.Restore(batch)
}

// CopyConfiguration serves a host that the platform's store turns away.
func (e *Exchanger) CopyConfiguration(context.Context, *connect.Request[exchangev1.CopyConfigurationRequest]) (*connect.Response[exchangev1.CopyConfigurationResponse], error) {
	batch, known := e.feeds.Configuration.Copy()
	if !known {
		return nil, connect.NewError(connect.CodeUnavailable, errNoConfiguration)
	}
	records, err := messageOf(batch)
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	return connect.NewResponse(&exchangev1.CopyConfigurationResponse{Records: records}), nil
}

var errNoConfiguration = flamingodoor.Errorf(flamingodoor.CodeNotFresh, "this host has no configuration")
