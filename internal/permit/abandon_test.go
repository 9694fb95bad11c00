package permit_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/permit"
)

// Guards against a claim whose cancellation was not confirmed and that renews
// its slot for as long as its host runs.
func TestAbandonedClaimExpires(t *testing.T) {
	// An idle report counts only if its probe began well after the expiry.
	const settle = 5 * time.Second
	synctest.Test(t, func(t *testing.T) {
		endpoint := flamingodoor.Endpoint{ID: "e", ColdAllowance: 1}
		table := permit.NewTable()
		table.Update(time.Now(), 1, []flamingodoor.Endpoint{endpoint})
		idle := func() {
			table.ObserveReport(flamingodoor.Evidence{EndpointID: "e", ProbedAt: time.Now()})
		}
		holder := permit.NewHolder(permit.Parts{
			HostID: "h", Table: table, MembersRevision: func() uint64 { return 1 },
			Watchers: func(flamingodoor.Endpoint) []flamingodoor.EntryHost { return []flamingodoor.EntryHost{{ID: "h"}} },
		})
		time.Sleep(permit.QuietPeriod + settle)
		idle()
		abandoned, err := holder.Acquire(t.Context(), endpoint, "1")
		assert.NilError(t, err)
		time.Sleep(2 * permit.Validity) // renewed
		idle()
		_, err = holder.Acquire(t.Context(), endpoint, "1")
		assert.Equal(t, flamingodoor.CodeOf(err), flamingodoor.CodePermitDenied)

		abandoned.Abandon()
		_, err = holder.Acquire(t.Context(), endpoint, "1")
		assert.Equal(t, flamingodoor.CodeOf(err), flamingodoor.CodePermitDenied)
		time.Sleep(permit.Validity + settle)
		idle()
		next, err := holder.Acquire(t.Context(), endpoint, "1")
		assert.NilError(t, err)
		next.Release(t.Context())
	})
}
