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

// SetFaults replaces the faults of the platform stand-in.
func (d *Deployment) SetFaults(ctx context.Context, faults *platformv1.SetRequest) error {
	client := platformv1connect.NewFaultServiceClient(http.DefaultClient, "http://"+d.platform.String())
	if _, err := client.Set(ctx, connect.NewRequest(faults)); err != nil {
		return internalError(err)
	}
	return nil
}

// AnnounceGone tells the platform's host list that an entry host is gone, as the
// platform does for a host that was killed.
func (d *Deployment) AnnounceGone(ctx context.Context, hostID string) error {
	client := platformv1connect.NewHostListServiceClient(http.DefaultClient, "http://"+d.platform.String())
	request := connect.NewRequest(&platformv1.AnnounceRequest{HostId: hostID, Leaving: true, Gone: true})
	if _, err := client.Announce(ctx, request); err != nil {
		return internalError(err)
	}
	return nil
}

// SetIsolated silences the connections between an entry host and all others, in
// both directions, or restores them.
func (d *Deployment) SetIsolated(entry *Entry, cut bool) {
	rule := faultproxy.Rule{}
	if cut {
		rule = faultproxy.Silent
	}
	entry.PeerProxy.SetRule(rule)
	for _, other := range d.Entries {
		if other != entry {
			other.PeerProxy.SetSourceRule(entry.SourceAddress, rule)
		}
	}
}

// Revision is what an entry host has applied of the configuration.
type Revision struct {
	Applied  uint64 `json:"applied"`
	Revision uint64 `json:"revision"`
}

// Revision asks the entry host for its revision.
func (e *Entry) Revision(ctx context.Context) (Revision, error) {
	var revision Revision
	response, err := e.metrics(ctx, "/debug/revision")
	if err != nil {
		return revision, err
	}
	defer func() { _ = response.Body.Close() }()
	if err := json.NewDecoder(response.Body).Decode(&revision); err != nil {
		return revision, internalError(err)
	}
	return revision, nil
}

func (e *Entry) metrics(ctx context.Context, path string) (*http.Response, error) {
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

// ConfigRecords reads all kept records of the config stream with their offsets.
func (d *Deployment) ConfigRecords(ctx context.Context) (map[uint64]*recordv1.Record, error) {
	client := platformv1connect.NewLogServiceClient(http.DefaultClient, "http://"+d.platform.String())
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

// NextSourceAddress is the address from which the entry host that is started next
// connects to its peers.
func (d *Deployment) NextSourceAddress() netip.Addr {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return netip.AddrFrom4([4]byte{127, 0, 1, d.nextEntry + 1})
}
