package manifest_test

import (
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	recordv1 "flamingodoor.example/flamingodoor/gen/flamingodoor/record/v1"
	"flamingodoor.example/flamingodoor/internal/manifest"
	"flamingodoor.example/flamingodoor/internal/registry"

	"flamingodoor.example/flamingodoor"
)

const declared = `
data_centres:
  - data_centre: a
    region: north
models:
  - {model_id: m, versions: [v1], hosts_per_group: 2, accelerators_per_host: 1}
clubs:
  - club_id: kivuko
    keys: [secret]
    accelerators: 4
    weight: 1
    models: [{model_id: m}]
group_plans:
  - {plan_id: p, model_id: m, version: v1, club_id: kivuko, groups: 2}
endpoints:
  - {endpoint_id: e, host_id: h, data_centre: a, fabric_domain: f, address: "10.0.0.1:80", kind: engine, accelerators: 1}
`

// apply records all changes as one batch and returns their number and the verdict.
func apply(t *testing.T, store *registry.Store, text string, prune bool) (changes int, verdict *recordv1.Verdict) {
	t.Helper()
	m, err := manifest.Parse([]byte(text))
	assert.NilError(t, err)
	batch := &recordv1.Batch{}
	for _, change := range m.Changes(store.Objects("", ""), prune) {
		batch.Records = append(batch.Records, change.GetRecord())
	}
	offset := store.Current().Applied() + 1
	data, err := proto.Marshal(&recordv1.Record{
		Version: 1, CommandId: string(rune('a' + offset)), Body: &recordv1.Record_Batch{Batch: batch},
	})
	assert.NilError(t, err)
	verdict, err = store.Apply(flamingodoor.LogEntry{Offset: offset, Data: data})
	assert.NilError(t, err)
	return len(batch.GetRecords()), verdict
}

// Guards against a batch in an order that the state machine refuses, changes for
// unchanged objects, and a file that returns a drained data centre to service.
func TestChangesAreAccepted(t *testing.T) {
	store := registry.NewStore()
	changes, verdict := apply(t, store, declared, false)
	assert.Equal(t, verdict.GetCode(), recordv1.VerdictCode_VERDICT_CODE_ACCEPTED, verdict.GetReason())
	assert.Equal(t, changes, 5)
	club, ok := store.Current().ClubByKey("secret")
	assert.Assert(t, ok && club.ID == "kivuko")

	changes, _ = apply(t, store, declared, true)
	assert.Equal(t, changes, 0)
	_, verdict = apply(t, store, "data_centres: [{data_centre: a, region: north, out: true, reason: flood}]", false)
	assert.Equal(t, verdict.GetCode(), recordv1.VerdictCode_VERDICT_CODE_ACCEPTED)
	changes, _ = apply(t, store, declared, true)
	assert.Equal(t, changes, 0)

	changes, verdict = apply(t, store, "{}", true)
	assert.Equal(t, verdict.GetCode(), recordv1.VerdictCode_VERDICT_CODE_ACCEPTED, verdict.GetReason())
	assert.Equal(t, changes, 4)
	assert.Equal(t, len(store.Objects("", "")), 1)
}

// Guards against misspelt fields that are ignored, and against errors that do not
// locate or name the fault.
func TestParseIsStrict(t *testing.T) {
	for text, want := range map[string]string{
		"clubs:\n  - club_id: a\n    wieght: 1\n":           "[3:5]",
		"clubs:\n  - club_id: a\n    weight: -1\n":          "[3:13]",
		"clubs:\n  - club_id: a\n    club_id: b\n":          "[3:5]",
		"endpoints:\n  - endpoint_id: e\n    kind: motor\n": "motor",
		"clubs: [{club_id: a}, {club_id: a}]":               "club a is declared twice",
		"models: [{versions: [v]}]":                         "a model has no name",
		"clubs: []\n---\nclubs: []\n":                       "more than one document",
	} {
		_, err := manifest.Parse([]byte(text))
		assert.ErrorContains(t, err, want)
	}
	_, err := manifest.Parse(nil)
	assert.NilError(t, err)
}
