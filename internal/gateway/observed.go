package gateway

import (
	"context"
	"errors"
	"net/netip"
	"net/url"
	"time"

	"flamingodoor.example/flamingodoor"
)

// observedInstances are the instances as the planner calls them. The calls show this
// host's paths, so that a leader without callers notices that it is stranded.
type observedInstances struct {
	InstanceClient

	gateway *Gateway
}

// Report requests the report of the instance at an address.
func (o *observedInstances) Report(ctx context.Context, address netip.AddrPort) (flamingodoor.InstanceReport, error) {
	report, err := o.InstanceClient.Report(ctx, address)
	if err == nil {
		o.gateway.paths.Heard(report.Instance, time.Now())
		return report, nil
	}
	for _, entry := range o.gateway.roster.View().Entries {
		if entry.Listed && entry.Address == address {
			o.observe(ctx, entry.Instance, err)
			break
		}
	}
	return report, err
}

// Order sends an order to an instance.
func (o *observedInstances) Order(ctx context.Context, instance flamingodoor.Instance, order flamingodoor.InstanceOrder) (flamingodoor.OrderResult, error) {
	result, err := o.InstanceClient.Order(ctx, instance, order)
	o.observe(ctx, instance, err)
	return result, err
}

func (o *observedInstances) observe(ctx context.Context, instance flamingodoor.Instance, err error) {
	var failure *url.Error
	switch {
	case err == nil:
		o.gateway.paths.Heard(instance, time.Now())
	case errors.As(err, &failure) && !errors.Is(ctx.Err(), context.Canceled):
		o.gateway.paths.Failed(instance, time.Now())
	}
}
