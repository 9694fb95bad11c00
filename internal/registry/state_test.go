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

func forced(commandID string, body *recordv1.Record) *recordv1.Record {
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

// journal is a log that the tests append to.
type journal struct {
	t       rapid.TB
	state   *registry.State
	entries []flamingodoor.LogEntry
}

func newJournal(t rapid.TB) *journal {
	t.Helper()
	j := &journal{t: t, state: registry.New()}
	for i, record := range []*recordv1.Record{dataCentre(false), model(2), club(64), plan(4)} {
		assert.Equal(t, j.append(forced(fmt.Sprintf("setup-%d", i), record)).GetCode(), accepted)
	}
	for n := range 8 {
		record := forced(fmt.Sprintf("endpoint-%d", n), endpoint(n, fmt.Sprintf("h%d", n), false))
		assert.Equal(t, j.append(record).GetCode(), accepted)
	}
	return j
}

func (j *journal) append(record *recordv1.Record) *recordv1.Verdict {
	j.t.Helper()
	data, err := proto.Marshal(record)
	assert.NilError(j.t, err)
	return j.appendBytes(data)
}

func (j *journal) appendBytes(data []byte) *recordv1.Verdict {
	j.t.Helper()
	entry := flamingodoor.LogEntry{Offset: uint64(len(j.entries) + 1), Data: data}
	j.entries = append(j.entries, entry)
	verdict, err := j.state.Apply(entry)
	assert.NilError(j.t, err)
	return verdict
}

func (j *journal) checkpoint(commandID string) *recordv1.Record {
	j.t.Helper()
	checkpoint, err := j.state.Checkpoint()
	assert.NilError(j.t, err)
	return &recordv1.Record{Version: 1, CommandId: commandID, Body: &recordv1.Record_Checkpoint{Checkpoint: checkpoint}}
}

func encode(t rapid.TB, state *registry.State) []byte {
	t.Helper()
	encoded, err := state.Encode()
	assert.NilError(t, err)
	return encoded
}

func drawRecord(t *rapid.T, j *journal) *recordv1.Record {
	member := func(name string) string { return fmt.Sprintf("e%d", rapid.IntRange(0, 7).Draw(t, name)) }
	group := rapid.SampledFrom([]string{"g1", "g2", "g3"}).Draw(t, "group")
	current, _ := j.state.Configuration().Group(group)
	makers := []func() *recordv1.Record{
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
	record := forced(fmt.Sprintf("c%d", rapid.IntRange(0, 60).Draw(t, "command")), rapid.SampledFrom(makers).Draw(t, "maker")())
	switch rapid.IntRange(0, 9).Draw(t, "variant") {
	case 0:
		record.AnyRevision, record.ExpectedRevision = false, rapid.Uint64Range(0, 40).Draw(t, "expected")
	case 1:
		second := forced("", rapid.SampledFrom(makers).Draw(t, "second")())
		return forced(record.GetCommandId(), &recordv1.Record{Body: &recordv1.Record_Batch{
			Batch: &recordv1.Batch{Records: []*recordv1.Record{record, second}},
		}})
	case 2:
		record.AnyRevision, record.ExpectedRevision = false, j.state.Configuration().EntryHostsRevision()
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

// Guards against hosts that diverge after any order of records, repeats,
// restarts and checkpoints, and against a host in two groups.
func TestSameRecordsGiveSameState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		j := newJournal(t)
		restored := registry.New()
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 7).Draw(t, "action") {
			case 0: // the answer was lost and the author appends again
				j.appendBytes(j.entries[rapid.IntRange(0, len(j.entries)-1).Draw(t, "again")].Data)
			case 1:
				j.append(j.checkpoint(fmt.Sprintf("checkpoint-%d", step)))
			case 2:
				fresh, err := registry.Decode(encode(t, j.state))
				assert.NilError(t, err)
				restored = fresh
			default:
				j.append(drawRecord(t, j))
			}
			checkInvariants(t, j.state)
		}
		replayed := registry.New()
		for i, entry := range j.entries {
			for _, state := range []*registry.State{replayed, restored} {
				_, err := state.Apply(entry)
				assert.NilError(t, err)
				_, err = state.Apply(j.entries[rapid.IntRange(0, i).Draw(t, "delivered again")])
				assert.NilError(t, err)
			}
		}
		assert.Assert(t, bytes.Equal(encode(t, replayed), encode(t, j.state)), "a replay differs")
		assert.Assert(t, bytes.Equal(encode(t, restored), encode(t, j.state)), "a restored state differs")
	})
}

// Guards against two operators who read the same revision both winning.
func TestRacingOperators(t *testing.T) {
	j := newJournal(t)
	revision := j.state.Objects("club", "c")[0].GetRevision()
	first, second := forced("first", club(70)), forced("second", club(80))
	for _, record := range []*recordv1.Record{first, second} {
		record.AnyRevision, record.ExpectedRevision = false, revision
	}
	assert.Equal(t, j.append(first).GetCode(), accepted)
	assert.Equal(t, j.append(second).GetCode(), conflicted)
	assert.Equal(t, j.append(first).GetCode(), accepted, "a repeat must return the first verdict")
	found, _ := j.state.Configuration().ClubByKey("key of c")
	assert.Equal(t, found.Accelerators, 70)
}

// Guards against rules that let a group form on unusable hosts or over budget,
// and against the removal of objects in use.
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
			j := newJournal(t)
			for i, record := range test.before {
				verdict := j.append(forced(fmt.Sprintf("before-%d", i), record))
				assert.Equal(t, verdict.GetCode(), accepted, verdict.GetReason())
			}
			verdict := j.append(forced("tested", test.record))
			assert.Equal(t, verdict.GetCode(), test.code, verdict.GetReason())
		})
	}
}

// Guards against a batch that is applied in part, and against two changes of
// the member list that were read at the same revision.
func TestBatchAndMembers(t *testing.T) {
	j := newJournal(t)
	before := encode(t, j.state)
	batch := &recordv1.Record{Body: &recordv1.Record_Batch{Batch: &recordv1.Batch{
		Records: []*recordv1.Record{forced("", dataCentre(true)), forced("", dissolve("absent"))},
	}}}
	assert.Equal(t, j.append(forced("batch", batch)).GetCode(), refused)
	found, _ := j.state.Configuration().DataCentre("dc")
	assert.Assert(t, !found.OutOfService)
	assert.Assert(t, len(before) < len(encode(t, j.state)), "the verdict is kept")

	member := func(commandID, id string) recordv1.VerdictCode {
		record := forced(commandID, addHost(id))
		record.AnyRevision = false
		return j.append(record).GetCode()
	}
	assert.Equal(t, member("m1", "x"), accepted)
	assert.Equal(t, member("m2", "y"), conflicted)
	assert.Equal(t, j.state.Configuration().EntryHosts()[0].JoinOffset, j.state.Configuration().EntryHostsRevision())
}

// Guards against a wrong checkpoint being accepted and against a late right
// one never being accepted.
func TestCheckpoint(t *testing.T) {
	j := newJournal(t)
	wrong := j.checkpoint("wrong")
	wrong.GetCheckpoint().State = encode(t, registry.New())
	hash := sha256.Sum256(wrong.GetCheckpoint().GetState())
	wrong.GetCheckpoint().Hash = hash[:]
	late := j.checkpoint("late")
	assert.Equal(t, j.append(wrong).GetCode(), refused)
	assert.Equal(t, j.append(late).GetCode(), refused)
	next := j.checkpoint("next")
	assert.Equal(t, j.append(forced("between", dataCentre(true))).GetCode(), accepted)
	assert.Equal(t, j.append(next).GetCode(), accepted)

	restored, err := registry.Decode(next.GetCheckpoint().GetState())
	assert.NilError(t, err)
	for _, entry := range j.entries {
		_, err = restored.Apply(entry)
		assert.NilError(t, err)
	}
	assert.DeepEqual(t, encode(t, restored), encode(t, j.state))
}

// Guards against an unreadable record that blocks the stream and against a
// record of a newer version that an older host passes over.
func TestUnreadableAndFutureRecords(t *testing.T) {
	j := newJournal(t)
	assert.Equal(t, j.appendBytes([]byte("\xff\xff garbled")).GetCode(), unreadable)
	assert.Equal(t, j.appendBytes(nil).GetCode(), unreadable)
	assert.Equal(t, j.append(&recordv1.Record{Version: 1, CommandId: "empty"}).GetCode(), unreadable)
	applied, before := j.state.Applied(), encode(t, j.state)
	assert.Equal(t, applied, uint64(len(j.entries)))

	for _, record := range []*recordv1.Record{
		{Version: 2, CommandId: "future"},
		forced("batch", &recordv1.Record{Body: &recordv1.Record_Batch{Batch: &recordv1.Batch{Records: []*recordv1.Record{{Version: 2}}}}}),
	} {
		data, err := proto.Marshal(record)
		assert.NilError(t, err)
		_, err = j.state.Apply(flamingodoor.LogEntry{Offset: applied + 1, Data: data})
		assert.Equal(t, flamingodoor.CodeOf(err), flamingodoor.CodeFutureRecord)
		assert.DeepEqual(t, encode(t, j.state), before)
	}
}

// Guards against an unbounded list of verdicts and against a window that
// differs after a restore.
func TestVerdictWindow(t *testing.T) {
	j := newJournal(t)
	for i := range 4100 {
		j.append(forced(fmt.Sprintf("n%d", i), dataCentre(i%2 == 0)))
	}
	_, kept := j.state.Verdict("n3")
	assert.Assert(t, !kept)
	_, kept = j.state.Verdict("n4")
	assert.Assert(t, kept)
	assert.Equal(t, j.state.History(1)[0].GetCommandId(), "n4099")
	restored, err := registry.Decode(encode(t, j.state))
	assert.NilError(t, err)
	assert.Equal(t, len(restored.History(0)), 4096)
}

// Guards against a record that stops every host with a panic.
func FuzzApply(f *testing.F) {
	for _, record := range []*recordv1.Record{
		forced("a", form("g", 0, "f0", "e0", "e1")), forced("b", model(2)), forced("c", plan(1)), forced("d", addHost("x")),
		forced("e", &recordv1.Record{Body: &recordv1.Record_Batch{Batch: &recordv1.Batch{Records: []*recordv1.Record{endpoint(1, "h", true)}}}}),
	} {
		data, err := proto.Marshal(record)
		assert.NilError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		j := newJournal(t)
		before := j.state.Applied()
		verdict, err := j.state.Apply(flamingodoor.LogEntry{Offset: before + 1, Data: data})
		if err != nil {
			assert.Equal(t, flamingodoor.CodeOf(err), flamingodoor.CodeFutureRecord)
			return
		}
		assert.Assert(t, verdict != nil)
		restored, err := registry.Decode(encode(t, j.state))
		assert.NilError(t, err)
		assert.Equal(t, restored.Applied(), before+1)
	})
}
