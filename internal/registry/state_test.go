package registry_test

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"flamingodoor.example/flamingodoor"
	recordv1 "flamingodoor.example/flamingodoor/gen/flamingodoor/record/v1"
	"flamingodoor.example/flamingodoor/internal/registry"
)

const (
	accepted   = recordv1.VerdictCode_VERDICT_CODE_ACCEPTED
	conflicted = recordv1.VerdictCode_VERDICT_CODE_CONFLICT
	refused    = recordv1.VerdictCode_VERDICT_CODE_INVALID
	unreadable = recordv1.VerdictCode_VERDICT_CODE_UNREADABLE
)

// withAnyRevision completes the record so that it applies at any revision.
func withAnyRevision(commandID string, body *recordv1.Record) *recordv1.Record {
	body.Version, body.CommandId, body.Author, body.AnyRevision = 1, commandID, "test", true
	return body
}

func club(share uint32) *recordv1.Record {
	return &recordv1.Record{Body: &recordv1.Record_PutClub{PutClub: &recordv1.Club{
		ClubId: "c", Accelerators: share, KeyHashes: []string{registry.HashKey("key of c")},
		Models: []*recordv1.ModelGrant{{ModelId: "m", Versions: []string{"v1"}}},
	}}}
}

func model(hosts uint32) *recordv1.Record {
	return &recordv1.Record{Body: &recordv1.Record_PutModel{PutModel: &recordv1.Model{
		ModelId: "m", Versions: []string{"v1"}, HostsPerGroup: hosts, AcceleratorsPerHost: 8,
	}}}
}

func endpoint(n int, host string, leaving bool) *recordv1.Record {
	return &recordv1.Record{Body: &recordv1.Record_PutEndpoint{PutEndpoint: &recordv1.Endpoint{
		EndpointId: fmt.Sprintf("e%d", n), HostId: host, DataCentre: "dc", FabricDomain: fmt.Sprintf("f%d", n/4),
		Address: fmt.Sprintf("127.0.0.1:%d", 1000+n), Kind: recordv1.EndpointKind_ENDPOINT_KIND_ENGINE,
		Accelerators: 8, Leaving: leaving,
	}}}
}

func dataCentre(out bool) *recordv1.Record {
	return &recordv1.Record{Body: &recordv1.Record_PutDataCentre{PutDataCentre: &recordv1.DataCentre{DataCentre: "dc", Out: out}}}
}

func plan(groups uint32) *recordv1.Record {
	return &recordv1.Record{Body: &recordv1.Record_PutGroupPlan{PutGroupPlan: &recordv1.GroupPlan{
		PlanId: "p", ModelId: "m", Version: "v1", ClubId: "c", Groups: groups,
	}}}
}

func form(id string, replaces uint64, domain string, members ...string) *recordv1.Record {
	return &recordv1.Record{Body: &recordv1.Record_FormGroup{FormGroup: &recordv1.Group{
		GroupId: id, PlanId: "p", ModelId: "m", Version: "v1", FabricDomain: domain, EndpointIds: members, Replaces: replaces,
	}}}
}

func dissolve(id string) *recordv1.Record {
	return &recordv1.Record{Body: &recordv1.Record_DissolveGroup{DissolveGroup: &recordv1.DissolveGroup{GroupId: id}}}
}

func addHost(id string) *recordv1.Record {
	return &recordv1.Record{Body: &recordv1.Record_AddEntryHost{AddEntryHost: &recordv1.EntryHost{
		HostId: id, PeerAddress: "127.0.0.1:7000", DataCentre: "dc",
	}}}
}

// testLog is a config stream with the state that results from its records.
type testLog struct {
	t       rapid.TB
	state   *registry.State
	entries []flamingodoor.LogEntry
}

// newTestLog returns a log with a data centre, a model of 2 hosts per group, a club
// with 64 accelerators, a plan of 4 groups and 8 engines in 2 fabric domains.
func newTestLog(t rapid.TB) *testLog {
	t.Helper()
	log := &testLog{t: t, state: registry.New()}
	for i, record := range []*recordv1.Record{dataCentre(false), model(2), club(64), plan(4)} {
		assert.Equal(t, log.append(withAnyRevision(fmt.Sprintf("setup-%d", i), record)).GetCode(), accepted)
	}
	for n := range 8 {
		record := withAnyRevision(fmt.Sprintf("endpoint-%d", n), endpoint(n, fmt.Sprintf("h%d", n), false))
		assert.Equal(t, log.append(record).GetCode(), accepted)
	}
	return log
}

func (log *testLog) append(record *recordv1.Record) *recordv1.Verdict {
	log.t.Helper()
	data, err := proto.Marshal(record)
	assert.NilError(log.t, err)
	return log.appendBytes(data)
}

func (log *testLog) appendBytes(data []byte) *recordv1.Verdict {
	log.t.Helper()
	entry := flamingodoor.LogEntry{Offset: uint64(len(log.entries) + 1), Data: data}
	log.entries = append(log.entries, entry)
	verdict, err := log.state.Apply(entry)
	assert.NilError(log.t, err)
	return verdict
}

func (log *testLog) checkpoint(commandID string) *recordv1.Record {
	log.t.Helper()
	checkpoint, err := log.state.Checkpoint()
	assert.NilError(log.t, err)
	return &recordv1.Record{Version: 1, CommandId: commandID, Body: &recordv1.Record_Checkpoint{Checkpoint: checkpoint}}
}

func encode(t rapid.TB, state *registry.State) []byte {
	t.Helper()
	encoded, err := state.Encode()
	assert.NilError(t, err)
	return encoded
}

// drawRecord returns a random change, possibly with an expected revision or in
// a batch of two.
func drawRecord(t *rapid.T, log *testLog) *recordv1.Record {
	member := func(name string) string { return fmt.Sprintf("e%d", rapid.IntRange(0, 7).Draw(t, name)) }
	group := rapid.SampledFrom([]string{"g1", "g2", "g3"}).Draw(t, "group")
	current, _ := log.state.Configuration().Group(group)
	generators := []func() *recordv1.Record{
		func() *recordv1.Record { return form(group, current.FencingNumber, "f0", member("a"), member("b")) },
		func() *recordv1.Record { return form(group, current.FencingNumber, "f1", member("a"), member("b")) },
		func() *recordv1.Record { return dissolve(group) },
		func() *recordv1.Record {
			n := rapid.IntRange(0, 7).Draw(t, "endpoint")
			return endpoint(n, fmt.Sprintf("h%d", rapid.IntRange(0, 7).Draw(t, "host")), rapid.Bool().Draw(t, "leaving"))
		},
		func() *recordv1.Record {
			return &recordv1.Record{Body: &recordv1.Record_DeleteEndpoint{DeleteEndpoint: member("deleted")}}
		},
		func() *recordv1.Record { return dataCentre(rapid.Bool().Draw(t, "out")) },
		func() *recordv1.Record { return plan(rapid.Uint32Range(0, 5).Draw(t, "groups")) },
		func() *recordv1.Record { return club(rapid.Uint32Range(0, 80).Draw(t, "share")) },
		func() *recordv1.Record { return model(rapid.Uint32Range(1, 3).Draw(t, "hosts")) },
		func() *recordv1.Record { return addHost(rapid.SampledFrom([]string{"x", "y"}).Draw(t, "entry host")) },
	}
	record := withAnyRevision(fmt.Sprintf("c%d", rapid.IntRange(0, 60).Draw(t, "command")), rapid.SampledFrom(generators).Draw(t, "generator")())
	switch rapid.IntRange(0, 9).Draw(t, "variant") {
	case 0:
		record.AnyRevision, record.ExpectedRevision = false, rapid.Uint64Range(0, 40).Draw(t, "expected")
	case 1:
		second := withAnyRevision("", rapid.SampledFrom(generators).Draw(t, "second")())
		return withAnyRevision(record.GetCommandId(), &recordv1.Record{Body: &recordv1.Record_Batch{
			Batch: &recordv1.Batch{Records: []*recordv1.Record{record, second}},
		}})
	case 2:
		record.AnyRevision, record.ExpectedRevision = false, log.state.Configuration().EntryHostsRevision()
	}
	return record
}

func checkInvariants(t *rapid.T, state *registry.State) {
	configuration := state.Configuration()
	hosts := map[string]string{}
	for _, group := range configuration.Groups() {
		for _, id := range group.EndpointIDs {
			member, ok := configuration.Endpoint(id)
			assert.Assert(t, ok, "member %s of %s is gone", id, group.ID)
			assert.Equal(t, hosts[member.HostID], "", "host %s is in two groups", member.HostID)
			assert.Equal(t, member.FabricDomain, group.FabricDomain)
			hosts[member.HostID] = group.ID
		}
	}
}

// Guards against hosts whose states diverge after any sequence of records,
// repeated deliveries, restores and checkpoints, and against a host in two groups.
func TestSameRecordsGiveSameState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log := newTestLog(t)
		restored := registry.New()
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 7).Draw(t, "action") {
			case 0: // the author appends a record again after its response was lost
				log.appendBytes(log.entries[rapid.IntRange(0, len(log.entries)-1).Draw(t, "again")].Data)
			case 1:
				log.append(log.checkpoint(fmt.Sprintf("checkpoint-%d", step)))
			case 2:
				fresh, err := registry.Decode(encode(t, log.state))
				assert.NilError(t, err)
				restored = fresh
			default:
				log.append(drawRecord(t, log))
			}
			checkInvariants(t, log.state)
		}
		replayed := registry.New()
		for i, entry := range log.entries {
			for _, state := range []*registry.State{replayed, restored} {
				_, err := state.Apply(entry)
				assert.NilError(t, err)
				_, err = state.Apply(log.entries[rapid.IntRange(0, i).Draw(t, "delivered again")])
				assert.NilError(t, err)
			}
		}
		assert.Assert(t, bytes.Equal(encode(t, replayed), encode(t, log.state)), "a replay differs")
		assert.Assert(t, bytes.Equal(encode(t, restored), encode(t, log.state)), "a restored state differs")
	})
}

// Guards against the acceptance of two changes by operators who both read the same
// revision.
func TestRacingOperators(t *testing.T) {
	log := newTestLog(t)
	revision := log.state.Objects("club", "c")[0].GetRevision()
	first, second := withAnyRevision("first", club(70)), withAnyRevision("second", club(80))
	for _, record := range []*recordv1.Record{first, second} {
		record.AnyRevision, record.ExpectedRevision = false, revision
	}
	assert.Equal(t, log.append(first).GetCode(), accepted)
	assert.Equal(t, log.append(second).GetCode(), conflicted)
	assert.Equal(t, log.append(first).GetCode(), accepted, "a repeat must return the first verdict")
	found, _ := log.state.Configuration().ClubByKey("key of c")
	assert.Equal(t, found.Accelerators, 70)
}

// Guards against a group that forms on unusable hosts, plans that exceed the
// club's share, and the removal or invalidation of objects in use.
func TestRules(t *testing.T) {
	cases := []struct {
		name   string
		before []*recordv1.Record
		record *recordv1.Record
		code   recordv1.VerdictCode
	}{
		{"two domains", nil, form("g", 0, "f0", "e0", "e4"), refused},
		{"same endpoint twice", nil, form("g", 0, "f0", "e0", "e0"), refused},
		{"same host twice", []*recordv1.Record{endpoint(1, "h0", false)}, form("g", 0, "f0", "e0", "e1"), refused},
		{"leaving", []*recordv1.Record{endpoint(1, "h1", true)}, form("g", 0, "f0", "e0", "e1"), refused},
		{"data centre out", []*recordv1.Record{dataCentre(true)}, form("g", 0, "f0", "e0", "e1"), refused},
		{"member of another group", []*recordv1.Record{form("x", 0, "f0", "e0", "e1")}, form("g", 0, "f0", "e1", "e2"), refused},
		{"host of another group", []*recordv1.Record{form("x", 0, "f0", "e0", "e1"), endpoint(2, "h0", false)}, form("g", 0, "f0", "e2", "e3"), refused},
		{"replace with own member", []*recordv1.Record{form("x", 0, "f0", "e0", "e1")}, form("x", 13, "f0", "e1", "e2"), accepted},
		{"replace of an old group", []*recordv1.Record{form("x", 0, "f0", "e0", "e1")}, form("x", 12, "f0", "e1", "e2"), conflicted},
		{"more groups than planned", []*recordv1.Record{plan(0)}, form("g", 0, "f0", "e0", "e1"), refused},
		{"plan over the share", nil, plan(5), refused},
		{"share under the plan", nil, club(63), refused},
		{"model over the share", nil, model(3), refused},
		{"moved member", []*recordv1.Record{form("x", 0, "f0", "e0", "e1")}, endpoint(1, "h7", false), refused},
		{"endpoint in a group", []*recordv1.Record{form("x", 0, "f0", "e0", "e1")}, &recordv1.Record{Body: &recordv1.Record_DeleteEndpoint{DeleteEndpoint: "e1"}}, refused},
		{"club with plan", nil, &recordv1.Record{Body: &recordv1.Record_DeleteClub{DeleteClub: "c"}}, refused},
		{"model with plan", nil, &recordv1.Record{Body: &recordv1.Record_DeleteModel{DeleteModel: "m"}}, refused},
		{"absent group", nil, dissolve("g"), refused},
		{"bad name", nil, addHost("Host/1"), refused},
		{"forced member change", nil, addHost("x"), refused},
		{"key of another club", nil, &recordv1.Record{Body: &recordv1.Record_PutClub{PutClub: &recordv1.Club{ClubId: "d", KeyHashes: []string{registry.HashKey("key of c")}}}}, refused},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			log := newTestLog(t)
			for i, record := range test.before {
				verdict := log.append(withAnyRevision(fmt.Sprintf("before-%d", i), record))
				assert.Equal(t, verdict.GetCode(), accepted, verdict.GetReason())
			}
			verdict := log.append(withAnyRevision("tested", test.record))
			assert.Equal(t, verdict.GetCode(), test.code, verdict.GetReason())
		})
	}
}

// Guards against a batch that is applied in part, and against the acceptance of
// two changes of the entry hosts that expect the same revision.
func TestBatchAndMembers(t *testing.T) {
	log := newTestLog(t)
	before := encode(t, log.state)
	batch := &recordv1.Record{Body: &recordv1.Record_Batch{Batch: &recordv1.Batch{
		Records: []*recordv1.Record{withAnyRevision("", dataCentre(true)), withAnyRevision("", dissolve("absent"))},
	}}}
	assert.Equal(t, log.append(withAnyRevision("batch", batch)).GetCode(), refused)
	found, _ := log.state.Configuration().DataCentre("dc")
	assert.Assert(t, !found.OutOfService)
	assert.Assert(t, len(before) < len(encode(t, log.state)), "the verdict is kept")

	addAtRevisionZero := func(commandID, id string) recordv1.VerdictCode {
		record := withAnyRevision(commandID, addHost(id))
		record.AnyRevision = false
		return log.append(record).GetCode()
	}
	assert.Equal(t, addAtRevisionZero("m1", "x"), accepted)
	assert.Equal(t, addAtRevisionZero("m2", "y"), conflicted)
	assert.Equal(t, log.state.Configuration().EntryHosts()[0].JoinOffset, log.state.Configuration().EntryHostsRevision())
}

// Guards against the acceptance of a checkpoint with the wrong state, and against
// correct checkpoints that are always refused because a record comes between the
// checkpoint's offset and its record.
func TestCheckpoint(t *testing.T) {
	log := newTestLog(t)
	wrong := log.checkpoint("wrong")
	wrong.GetCheckpoint().State = encode(t, registry.New())
	hash := sha256.Sum256(wrong.GetCheckpoint().GetState())
	wrong.GetCheckpoint().Hash = hash[:]
	late := log.checkpoint("late")
	assert.Equal(t, log.append(wrong).GetCode(), refused)
	assert.Equal(t, log.append(late).GetCode(), refused)
	next := log.checkpoint("next")
	assert.Equal(t, log.append(withAnyRevision("between", dataCentre(true))).GetCode(), accepted)
	assert.Equal(t, log.append(next).GetCode(), accepted)

	restored, err := registry.Decode(next.GetCheckpoint().GetState())
	assert.NilError(t, err)
	for _, entry := range log.entries {
		_, err = restored.Apply(entry)
		assert.NilError(t, err)
	}
	assert.DeepEqual(t, encode(t, restored), encode(t, log.state))
}

// Guards against an unreadable record that blocks the stream, and against a record
// of a newer version that an older host skips.
func TestUnreadableAndFutureRecords(t *testing.T) {
	log := newTestLog(t)
	assert.Equal(t, log.appendBytes([]byte("\xff\xff garbled")).GetCode(), unreadable)
	assert.Equal(t, log.appendBytes(nil).GetCode(), unreadable)
	assert.Equal(t, log.append(&recordv1.Record{Version: 1, CommandId: "empty"}).GetCode(), unreadable)
	applied, before := log.state.Applied(), encode(t, log.state)
	assert.Equal(t, applied, uint64(len(log.entries)))

	for _, record := range []*recordv1.Record{
		{Version: 2, CommandId: "future"},
		withAnyRevision("batch", &recordv1.Record{Body: &recordv1.Record_Batch{Batch: &recordv1.Batch{Records: []*recordv1.Record{{Version: 2}}}}}),
	} {
		data, err := proto.Marshal(record)
		assert.NilError(t, err)
		_, err = log.state.Apply(flamingodoor.LogEntry{Offset: applied + 1, Data: data})
		assert.Equal(t, flamingodoor.CodeOf(err), flamingodoor.CodeFutureRecord)
		assert.DeepEqual(t, encode(t, log.state), before)
	}
}

// Guards against an unbounded list of verdicts, and against a restore that
// changes which verdicts are retained.
func TestVerdictWindow(t *testing.T) {
	log := newTestLog(t)
	for i := range 4100 {
		log.append(withAnyRevision(fmt.Sprintf("n%d", i), dataCentre(i%2 == 0)))
	}
	_, kept := log.state.Verdict("n3")
	assert.Assert(t, !kept)
	_, kept = log.state.Verdict("n4")
	assert.Assert(t, kept)
	assert.Equal(t, log.state.History(1)[0].GetCommandId(), "n4099")
	restored, err := registry.Decode(encode(t, log.state))
	assert.NilError(t, err)
	assert.Equal(t, len(restored.History(0)), 4096)
}

// Guards against a record that makes every host panic.
func FuzzApply(f *testing.F) {
	for _, record := range []*recordv1.Record{
		withAnyRevision("a", form("g", 0, "f0", "e0", "e1")), withAnyRevision("b", model(2)), withAnyRevision("c", plan(1)), withAnyRevision("d", addHost("x")),
		withAnyRevision("e", &recordv1.Record{Body: &recordv1.Record_Batch{Batch: &recordv1.Batch{Records: []*recordv1.Record{endpoint(1, "h", true)}}}}),
	} {
		data, err := proto.Marshal(record)
		assert.NilError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		log := newTestLog(t)
		before := log.state.Applied()
		verdict, err := log.state.Apply(flamingodoor.LogEntry{Offset: before + 1, Data: data})
		if err != nil {
			assert.Equal(t, flamingodoor.CodeOf(err), flamingodoor.CodeFutureRecord)
			return
		}
		assert.Assert(t, verdict != nil)
		restored, err := registry.Decode(encode(t, log.state))
		assert.NilError(t, err)
		assert.Equal(t, restored.Applied(), before+1)
	})
}
