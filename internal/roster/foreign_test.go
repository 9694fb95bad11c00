package roster_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor"
)

var services = map[string]flamingodoor.ServiceSpec{"llm": {Name: "llm"}}

// copyOf returns an entry under another identifier with the membership of a member.
func copyOf(rank int, id string) flamingodoor.Instance {
	copied := member(rank)
	copied.ID = id
	return copied
}

// Guards against an entry of another writer, whose service is not configured, that takes
// the place of a member in its group.
func TestEntryOfAnUnknownServiceIsLeftOut(t *testing.T) {
	r := newFilledRoster()
	r.AddServices(services)
	foreign := copyOf(1, "a-copy")
	foreign.Service = "other"
	r.Upsert(foreign)
	view, current := group(t, r)
	assert.Equal(t, current.Members[1].ID, "i-1")
	assert.Assert(t, view.Entries["a-copy"] == nil)
	assert.Equal(t, len(view.ByService["other"]), 0)
	// The service is configured later.
	r.AddServices(map[string]flamingodoor.ServiceSpec{"other": {Name: "other"}})
	r.Publish(start.Add(time.Second))
	assert.Equal(t, len(r.View().ByService["other"]), 1)
	assert.Equal(t, len(r.View().ByService["llm"]), len(view.ByService["llm"]))
}

// Guards against a member of a group that changes from view to view where two listed
// entries name its rank.
func TestSameEntryHoldsARankInEachView(t *testing.T) {
	for _, id := range []string{"a-copy", "z-copy"} {
		r := newFilledRoster()
		r.Upsert(copyOf(1, id))
		for i := range 50 {
			r.Upsert(flamingodoor.Instance{ID: fmt.Sprint("free-", i), Service: "llm", StartedAt: start})
			_, current := group(t, r)
			assert.Equal(t, current.Members[1].ID, min(id, "i-1"))
			assert.Equal(t, current.Service, "llm")
		}
		r.Remove(id, start)
		_, current := group(t, r)
		assert.Equal(t, current.Members[1].ID, "i-1", "an entry that is not listed any more holds the rank")
	}
}
