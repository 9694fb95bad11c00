package harness

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"flamingodoor.example/flamingodoor"
	platformv1 "flamingodoor.example/flamingodoor/gen/flamingodoor/platform/v1"
	"flamingodoor.example/flamingodoor/gen/flamingodoor/platform/v1/platformv1connect"
	recordv1 "flamingodoor.example/flamingodoor/gen/flamingodoor/record/v1"
	"flamingodoor.example/flamingodoor/internal/faultproxy"
)

// SetFaults replaces the injected faults of the platform stand-in.
func (d *Deployment) SetFaults(ctx context.Context, faults *platformv1.SetRequest) error {
	client := platformv1connect.NewFaultServiceClient(http.DefaultClient, "http://"+d.platformAddress.String())
	if _, err := client.Set(ctx, connect.NewRequest(faults)); err != nil {
		return internalError(err)
	}
	return nil
}

// AnnounceGone removes an entry host from the platform's host list, as the
// platform does for a host that was killed.
func (d *Deployment) AnnounceGone(ctx context.Context, hostID string) error {
	client := platformv1connect.NewHostListServiceClient(http.DefaultClient, "http://"+d.platformAddress.String())
	request := connect.NewRequest(&platformv1.AnnounceRequest{HostId: hostID, Leaving: true, Gone: true})
	if _, err := client.Announce(ctx, request); err != nil {
		return internalError(err)
	}
	return nil
}

// SetIsolated silences or restores the connections between an entry host and all
// its peers, in both directions.
func (d *Deployment) SetIsolated(entry *Entry, isolated bool) {
	rule := faultproxy.Rule{}
	if isolated {
		rule = faultproxy.Silent
	}
	entry.PeerProxy.SetRule(rule)
	for _, peer := range d.Entries {
		if peer != entry {
			peer.PeerProxy.SetSourceRule(entry.SourceAddress, rule)
		}
	}
}

// Revision is the state of an entry host's configuration.
type Revision struct {
	Applied  uint64 `json:"applied"` // offset of the last applied record
	Revision uint64 `json:"revision"`
}

// Revision returns the entry host's answer to /debug/revision.
func (e *Entry) Revision(ctx context.Context) (Revision, error) {
	var revision Revision
	response, err := e.getMetrics(ctx, "/debug/revision")
	if err != nil {
		return revision, err
	}
	defer func() { _ = response.Body.Close() }()
	if err := json.NewDecoder(response.Body).Decode(&revision); err != nil {
		return revision, internalError(err)
	}
	return revision, nil
}

// getMetrics sends a GET request to the listener for metrics, health and
// readiness.
func (e *Entry) getMetrics(ctx context.Context, path string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.MetricsAddress.String()+path, nil)
	if err != nil {
		return nil, internalError(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, internalError(err)
	}
	return response, nil
}

// ConfigRecords returns the retained records of the configuration stream, by
// offset.
func (d *Deployment) ConfigRecords(ctx context.Context) (map[uint64]*recordv1.Record, error) {
	client := platformv1connect.NewLogServiceClient(http.DefaultClient, "http://"+d.platformAddress.String())
	records := make(map[uint64]*recordv1.Record)
	for from := uint64(1); ; {
		page, err := client.Read(ctx, connect.NewRequest(&platformv1.ReadRequest{Stream: flamingodoor.ConfigStream, From: from}))
		if err != nil {
			return nil, internalError(err)
		}
		if len(page.Msg.GetEntries()) == 0 {
			return records, nil
		}
		for _, entry := range page.Msg.GetEntries() {
			record := &recordv1.Record{}
			if err := proto.Unmarshal(entry.GetData(), record); err != nil {
				return nil, internalError(err)
			}
			records[entry.GetOffset()] = record
			from = entry.GetOffset() + 1
		}
	}
}

// NextSourceAddress returns the local address from which the next entry host to
// be started will connect to its peers.
func (d *Deployment) NextSourceAddress() netip.Addr {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return netip.AddrFrom4([4]byte{127, 0, 1, d.entriesStarted + 1})
}
