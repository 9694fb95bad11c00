package permit_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/permit"
)

// Guards against a permit that is renewed as long as its host runs because the
// cancellation of its request was never confirmed.
func TestAbandonedClaimExpires(t *testing.T) {
	// A report of the idle endpoint counts only if its probe began after the
	// expiry.
	const margin = 5 * time.Second
	synctest.Test(t, func(t *testing.T) {
		endpoint := flamingodoor.Endpoint{ID: "e", ColdAllowance: 1}
		table := permit.NewTable()
		table.Update(time.Now(), 1, []flamingodoor.Endpoint{endpoint})
		reportIdle := func() {
			table.ObserveReport(flamingodoor.Evidence{EndpointID: "e", ProbedAt: time.Now()})
		}
		holder := permit.NewHolder(permit.Parts{
			HostID: "h", Table: table, EntryHostsRevision: func() uint64 { return 1 },
			Watchers: func(flamingodoor.Endpoint) []flamingodoor.EntryHost { return []flamingodoor.EntryHost{{ID: "h"}} },
		})
		time.Sleep(permit.QuietPeriod + margin)
		reportIdle()
		abandoned, err := holder.Acquire(t.Context(), endpoint, "1")
		assert.NilError(t, err)
		time.Sleep(2 * permit.Validity) // renewed
		reportIdle()
		_, err = holder.Acquire(t.Context(), endpoint, "1")
		assert.Equal(t, flamingodoor.CodeOf(err), flamingodoor.CodePermitDenied)

		abandoned.Abandon()
		_, err = holder.Acquire(t.Context(), endpoint, "1")
		assert.Equal(t, flamingodoor.CodeOf(err), flamingodoor.CodePermitDenied)
		time.Sleep(permit.Validity + margin)
		reportIdle()
		next, err := holder.Acquire(t.Context(), endpoint, "1")
		assert.NilError(t, err)
		next.Release(t.Context())
	})
}

// Guards against denials of free slots: the end of the calls to the watchers
// was taken for the end of the time, although their grants had arrived.
func TestGrantsOfEndedCallsCount(t *testing.T) {
	const claims = 5000
	table := permit.NewTable(permit.WithQuietPeriod(0))
	endpoints := make([]flamingodoor.Endpoint, claims)
	for i := range endpoints {
		endpoints[i] = flamingodoor.Endpoint{ID: fmt.Sprint(i), ColdAllowance: 1}
	}
	table.Update(time.Now(), 1, endpoints)
	holder := permit.NewHolder(permit.Parts{
		HostID: "h", Table: table, EntryHostsRevision: func() uint64 { return 1 },
		Watchers: func(flamingodoor.Endpoint) []flamingodoor.EntryHost { return []flamingodoor.EntryHost{{ID: "h"}} },
	}, permit.WithCallTimeout(time.Minute))
	var acquisitions errgroup.Group
	for _, endpoint := range endpoints {
		table.ObserveReport(flamingodoor.Evidence{EndpointID: endpoint.ID, ProbedAt: time.Now()})
		acquisitions.Go(func() error {
			acquired, err := holder.Acquire(t.Context(), endpoint, "1")
			if err == nil {
				acquired.Release(t.Context())
			}
			return err
		})
	}
	assert.NilError(t, acquisitions.Wait())
}
