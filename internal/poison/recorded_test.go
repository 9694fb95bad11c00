package poison_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor"
	exchangev1 "flamingodoor.example/flamingodoor/gen/flamingodoor/exchange/v1"
	"flamingodoor.example/flamingodoor/internal/poison"
)

// recordedLanding is the commit whose message is in testdata.
const recordedLanding = "a8bcb62"

// recordedAt is when the landing's host described what it had found.
var recordedAt = time.UnixMilli(1_764_000_000_000)

// describe returns what a host with both ledgers tells its peers.
func describe(parts *poison.PartLedger, strikes *poison.Ledger, now time.Time) *exchangev1.ShareRequest {
	message := &exchangev1.ShareRequest{Strikes: strikes.Digest(now)}
	parts.Describe(message, now)
	for _, crash := range message.GetPartCrashes() {
		slices.Sort(crash.GetSuspects())
	}
	return message
}

// recordedFindings returns the message that was recorded, made by this build.
func recordedFindings(t *testing.T) *exchangev1.ShareRequest {
	t.Helper()
	ago := func(ms int) time.Time { return recordedAt.Add(-time.Duration(ms) * time.Millisecond) }
	parts := poison.NewPartLedger()
	strikes := poison.New(poison.WithClock(func() time.Time { return ago(1750) }))
	parts.ReportCrash(poison.Process{InstanceID: "i-1", StartedMS: 1_763_999_000_123}, []flamingodoor.PromptPart{1, 2, 0xfedcba9876543210}, ago(1500))
	parts.ReportBegun([]flamingodoor.PromptPart{2}, ago(1250))
	parts.Restore([]flamingodoor.BlockedParts{{Parts: []flamingodoor.PromptPart{5, 6}, CrashedAt: ago(61_234), Crashes: 4}}, ago(1000))
	strikes.ReportCrash(t.Context(), flamingodoor.Fingerprint{1, 2, 3}, "x")
	return describe(parts, strikes, recordedAt)
}

// Guards against times and counts of crashes that a host of another build takes for
// others: in the message, and in what is passed on of it half a second later.
func TestFindingsOfTheLanding(t *testing.T) {
	data, err := os.ReadFile(filepath.Join("testdata", recordedLanding, "findings.json"))
	assert.NilError(t, err)
	recorded := &exchangev1.ShareRequest{}
	assert.NilError(t, protojson.Unmarshal(data, recorded))
	assertFields(t, recordedFindings(t), recorded)

	const delay = 500 * time.Millisecond
	parts, strikes := poison.NewPartLedger(), poison.New()
	assert.Assert(t, parts.Merge(recorded, recordedAt))
	strikes.Merge(recorded.GetStrikes(), recordedAt)
	for _, each := range recorded.GetPartCrashes() {
		each.AgeMs += delay.Milliseconds()
	}
	for _, each := range recorded.GetPartsBegun() {
		each.AgeMs += delay.Milliseconds()
	}
	for _, each := range recorded.GetBlockedParts() {
		each.AgeMs += delay.Milliseconds()
	}
	passedOn := describe(parts, strikes, recordedAt.Add(delay))
	assert.Equal(t, passedOn.GetStrikes()[0].GetAge().AsDuration(), recorded.GetStrikes()[0].GetAge().AsDuration()+delay)
	passedOn.Strikes, recorded.Strikes = nil, nil
	assertFields(t, passedOn, recorded)
}

// assertFields checks that a message has each field of another with its value. Others may
// be added.
func assertFields(t *testing.T, got, want *exchangev1.ShareRequest) {
	t.Helper()
	var values [2]any
	for i, message := range []*exchangev1.ShareRequest{got, want} {
		data, err := protojson.Marshal(message)
		assert.NilError(t, err)
		assert.NilError(t, json.Unmarshal(data, &values[i]))
	}
	assert.Assert(t, hasFields(values[0], values[1]), "got %v, want %v", values[0], values[1])
}

func hasFields(got, want any) bool {
	switch want := want.(type) {
	case map[string]any:
		fields, _ := got.(map[string]any)
		for name, value := range want {
			if !hasFields(fields[name], value) {
				return false
			}
		}
		return true
	case []any:
		list, _ := got.([]any)
		return slices.EqualFunc(list, want, hasFields)
	default:
		return got == want
	}
}
