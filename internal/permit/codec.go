package permit

import (
	"math"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	peerv1 "flamingodoor.example/flamingodoor/gen/flamingodoor/peer/v1"
)

// ServeGrant decides on a peer's request that arrived at now.
func (t *Table) ServeGrant(now time.Time, request *peerv1.GrantPermitRequest) *peerv1.GrantPermitResponse {
	decision := t.Grant(now, Request{
		EndpointID:         request.GetEndpointId(),
		Incarnation:        request.GetIncarnation(),
		Slot:               int(request.GetSlot()),
		Holder:             request.GetHolder(),
		EntryHostsRevision: request.GetMembersRevision(),
	})
	return &peerv1.GrantPermitResponse{
		Granted:  decision.Granted,
		ValidFor: durationpb.New(decision.ValidFor),
		Reason:   decision.Reason,
	}
}

// ServeRelease releases the slot that a peer returns.
func (t *Table) ServeRelease(request *peerv1.ReleasePermitRequest) {
	t.Release(request.GetEndpointId(), int(request.GetSlot()), request.GetHolder())
}

func encodeRequest(request Request) *peerv1.GrantPermitRequest {
	return &peerv1.GrantPermitRequest{
		EndpointId:      request.EndpointID,
		Incarnation:     request.Incarnation,
		Slot:            encodeSlot(request.Slot),
		Holder:          request.Holder,
		MembersRevision: request.EntryHostsRevision,
	}
}

// encodeSlot maps a slot number outside uint32 to MaxUint32, which is above
// every allowance.
func encodeSlot(slot int) uint32 {
	if slot < 0 || slot > math.MaxUint32 {
		return math.MaxUint32
	}
	return uint32(slot)
}
