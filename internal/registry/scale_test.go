package registry_test

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor"
	recordv1 "flamingodoor.example/flamingodoor/gen/flamingodoor/record/v1"
	"flamingodoor.example/flamingodoor/internal/registry"
)

// newScaledState returns a state with the given numbers of entry hosts and engines.
func newScaledState(b *testing.B, hosts, engines int) *registry.State {
	b.Helper()
	state := registry.New()
	put := func(record *recordv1.Record) {
		applyRecord(b, state, record)
	}
	put(&recordv1.Record{Body: &recordv1.Record_PutDataCentre{PutDataCentre: &recordv1.DataCentre{DataCentre: "dc", Region: "r"}}})
	for index := range hosts {
		put(&recordv1.Record{
			ExpectedRevision: state.Configuration().EntryHostsRevision(),
			Body: &recordv1.Record_AddEntryHost{AddEntryHost: &recordv1.EntryHost{
				HostId: fmt.Sprintf("entry-%d", index), PeerAddress: "10.0.0.1:8081", DataCentre: "dc", Region: "r",
			}},
		})
	}
	for index := range engines {
		put(engineRecord(index, 0))
	}
	return state
}

// engineRecord returns a record that stores an engine. The warm capacity depends
// on whether the expected revision is odd, so that successive records differ.
func engineRecord(index int, revision uint64) *recordv1.Record {
	return &recordv1.Record{
		ExpectedRevision: revision,
		Body: &recordv1.Record_PutEndpoint{PutEndpoint: &recordv1.Endpoint{
			EndpointId: fmt.Sprintf("engine-%d", index), HostId: fmt.Sprintf("host-%d", index), DataCentre: "dc",
			FabricDomain: fmt.Sprintf("domain-%d", index/32), Address: fmt.Sprintf("10.1.%d.%d:9000", index/250, index%250),
			Kind: recordv1.EndpointKind_ENDPOINT_KIND_ENGINE, Accelerators: 1, ColdAllowance: 2, WarmCapacity: uint32(32 + revision%2),
		}},
	}
}

func applyRecord(b *testing.B, state *registry.State, record *recordv1.Record) uint64 {
	b.Helper()
	offset := state.Applied() + 1
	record.Version, record.Author = registry.RecordVersion, "bench"
	record.CommandId = fmt.Sprintf("command-%d", offset)
	data, err := proto.Marshal(record)
	assert.NilError(b, err)
	verdict, err := state.Apply(flamingodoor.LogEntry{Offset: offset, Data: data})
	assert.NilError(b, err)
	assert.Equal(b, verdict.GetCode(), recordv1.VerdictCode_VERDICT_CODE_ACCEPTED, verdict.GetReason())
	return offset
}

// scales are the numbers of entry hosts and engines in the benchmarks.
var scales = []struct{ hosts, engines int }{{7, 58}, {98, 375}, {390, 1500}}

// BenchmarkApplyAtScale changes one endpoint and reads the configuration.
func BenchmarkApplyAtScale(b *testing.B) {
	for _, scale := range scales {
		b.Run(fmt.Sprintf("%dx%d", scale.hosts, scale.engines), func(b *testing.B) {
			state := newScaledState(b, scale.hosts, scale.engines)
			revision := state.Configuration().Applied() - uint64(scale.engines) + 1
			for b.Loop() {
				revision = applyRecord(b, state, engineRecord(0, revision))
				_ = state.Configuration().Endpoints()
			}
		})
	}
}

// BenchmarkRestoreAtScale encodes and decodes a state, as a restore from a
// checkpoint does.
func BenchmarkRestoreAtScale(b *testing.B) {
	for _, scale := range scales {
		b.Run(fmt.Sprintf("%dx%d", scale.hosts, scale.engines), func(b *testing.B) {
			state := newScaledState(b, scale.hosts, scale.engines)
			size := 0
			for b.Loop() {
				encoded, err := state.Encode()
				assert.NilError(b, err)
				_, err = registry.Decode(encoded)
				assert.NilError(b, err)
				size = len(encoded)
			}
			b.ReportMetric(float64(size), "state_bytes")
		})
	}
}
