package exchange_test

import (
	"testing"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	exchangev1 "flamingodoor.example/flamingodoor/gen/flamingodoor/exchange/v1"
)

// Guards against a large deployment without a leader while its usual candidates are
// stranded: they do not stand, and the next ones must replace them.
func TestStrandedCandidatesAreReplaced(t *testing.T) {
	f := newFleet(t, fleetHosts)
	f.sequence++
	for i, peer := range f.peers[:wideLinks] {
		for j, receiver := range f.hosts {
			if i == j {
				continue
			}
			_, err := receiver.Share(t.Context(), connect.NewRequest(&exchangev1.ShareRequest{
				HostId: peer.ID, Address: peer.Address.String(), DataCentre: peer.DataCentre, LinkMbps: int32(peer.LinkMbps), Sequence: f.sequence, Stranded: true,
			}))
			assert.NilError(t, err)
		}
	}
	sound := 0
	for i, each := range f.hosts[wideLinks:] {
		if each.StandsForElection(false) {
			sound++
			_ = i
		}
	}
	assert.Equal(t, sound, 3*fleetDataCentres)
}
