package harness

import (
	"context"
	"net/http"

	"connectrpc.com/connect"

	platformv1 "flamingodoor.example/flamingodoor/gen/flamingodoor/platform/v1"
	"flamingodoor.example/flamingodoor/gen/flamingodoor/platform/v1/platformv1connect"
)

// Fault replaces the faults of the platform stand-in.
func (d *Deployment) Fault(ctx context.Context, request *platformv1.SetRequest) error {
	client := platformv1connect.NewFaultServiceClient(http.DefaultClient, "http://"+d.platform.String())
	if _, err := client.Set(ctx, connect.NewRequest(request)); err != nil {
		return internalError(err)
	}
	return nil
}
