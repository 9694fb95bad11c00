package health

import (
	"cmp"
	"math"
	"slices"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"flamingodoor.example/flamingodoor"
	peerv1 "flamingodoor.example/flamingodoor/gen/flamingodoor/peer/v1"
)

// Digest returns the valid evidence from the probes of the watcher self, sorted
// by endpoint. It contains the ages of the probes instead of their times.
func (t *Table) Digest(now time.Time, self string) []*peerv1.Evidence {
	t.mu.RLock()
	defer t.mu.RUnlock()
	digest := make([]*peerv1.Evidence, 0)
	for _, e := range t.endpoints {
		evidence, ok := e.byWatcher[self]
		if ok && now.Before(evidence.Deadline) {
			digest = append(digest, encode(evidence, now))
		}
	}
	slices.SortFunc(digest, func(a, b *peerv1.Evidence) int {
		return cmp.Compare(a.GetEndpointId(), b.GetEndpointId())
	})
	return digest
}

// Merge records a peer's digest that was requested at start. The ages are
// subtracted from start, so a probe can appear older than it is but never
// younger.
func (t *Table) Merge(start time.Time, evidence []*peerv1.Evidence) {
	for _, e := range evidence {
		if e.GetAge().AsDuration() >= Validity {
			continue
		}
		t.Record(decode(e, start))
	}
}

func encode(e flamingodoor.Evidence, now time.Time) *peerv1.Evidence {
	return &peerv1.Evidence{
		EndpointId:    e.EndpointID,
		Watcher:       e.Watcher,
		Age:           durationpb.New(max(now.Sub(e.ProbedAt), 0)),
		Incarnation:   e.Report.Incarnation,
		State:         encodeState(e.Report.State),
		InFlight:      encodeCount(e.Report.InFlight),
		GroupId:       e.Report.GroupID,
		FencingNumber: e.Report.FencingNumber,
		MemberIndex:   encodeCount(e.Report.MemberIndex),
		Adapters:      e.Report.Adapters,
		ModelId:       e.Report.ModelID,
		Version:       e.Report.Version,
	}
}

func decode(e *peerv1.Evidence, start time.Time) flamingodoor.Evidence {
	probedAt := start.Add(-max(e.GetAge().AsDuration(), 0))
	return flamingodoor.Evidence{
		EndpointID: e.GetEndpointId(),
		Watcher:    e.GetWatcher(),
		ProbedAt:   probedAt,
		Deadline:   probedAt.Add(Validity),
		Report: flamingodoor.Report{
			Incarnation:   e.GetIncarnation(),
			State:         decodeState(e.GetState()),
			InFlight:      int(e.GetInFlight()),
			GroupID:       e.GetGroupId(),
			FencingNumber: e.GetFencingNumber(),
			MemberIndex:   int(e.GetMemberIndex()),
			Adapters:      e.GetAdapters(),
			ModelID:       e.GetModelId(),
			Version:       e.GetVersion(),
		},
	}
}

// encodeCount converts a count to uint32. A count out of range, including a
// negative one, becomes the maximum.
func encodeCount(n int) uint32 {
	if n < 0 || n > math.MaxUint32 {
		return math.MaxUint32
	}
	return uint32(n)
}

func encodeState(state flamingodoor.EndpointState) peerv1.EndpointState {
	switch state {
	case flamingodoor.EndpointStateLoading:
		return peerv1.EndpointState_ENDPOINT_STATE_LOADING
	case flamingodoor.EndpointStateCold:
		return peerv1.EndpointState_ENDPOINT_STATE_COLD
	case flamingodoor.EndpointStateWarm:
		return peerv1.EndpointState_ENDPOINT_STATE_WARM
	case flamingodoor.EndpointStateLeaving:
		return peerv1.EndpointState_ENDPOINT_STATE_LEAVING
	default:
		return peerv1.EndpointState_ENDPOINT_STATE_UNSPECIFIED
	}
}

func decodeState(state peerv1.EndpointState) flamingodoor.EndpointState {
	switch state {
	case peerv1.EndpointState_ENDPOINT_STATE_LOADING:
		return flamingodoor.EndpointStateLoading
	case peerv1.EndpointState_ENDPOINT_STATE_COLD:
		return flamingodoor.EndpointStateCold
	case peerv1.EndpointState_ENDPOINT_STATE_WARM:
		return flamingodoor.EndpointStateWarm
	case peerv1.EndpointState_ENDPOINT_STATE_LEAVING:
		return flamingodoor.EndpointStateLeaving
	default:
		return flamingodoor.EndpointStateUnknown
	}
}
