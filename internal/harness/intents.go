package harness

import (
	"context"
	"net/http"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	platformv1 "flamingodoor.example/flamingodoor/gen/flamingodoor/platform/v1"
	"flamingodoor.example/flamingodoor/gen/flamingodoor/platform/v1/platformv1connect"
	recordv1 "flamingodoor.example/flamingodoor/gen/flamingodoor/record/v1"
)

const intentPageRecords = 1000

// Intents returns the entries of the first page of an intent stream. It reads
// them from the platform stand-in directly, not through a proxy.
func (d *Deployment) Intents(ctx context.Context, stream string) ([]*recordv1.IntentEntry, error) {
	client := platformv1connect.NewLogServiceClient(http.DefaultClient, "http://"+d.platformAddress.String())
	page, err := client.Read(ctx, connect.NewRequest(&platformv1.ReadRequest{Stream: stream, From: 1, MaxRecords: intentPageRecords}))
	if err != nil {
		return nil, internalError(err)
	}
	var entries []*recordv1.IntentEntry
	for _, entry := range page.Msg.GetEntries() {
		record := &recordv1.IntentRecord{}
		if err := proto.Unmarshal(entry.GetData(), record); err != nil {
			return nil, internalError(err)
		}
		entries = append(entries, record.GetEntries()...)
	}
	return entries, nil
}
