package daemon

import (
	"sync"
	"time"

	peerv1 "flamingodoor.example/flamingodoor/gen/flamingodoor/peer/v1"
)

// useValidity is how long a peer's report of its work in flight counts.
const useValidity = 3 * time.Second

// clubUses sums the work in flight that the peers reported for each club.
type clubUses struct {
	mutex  sync.Mutex
	byHost map[string]hostUse
}

type hostUse struct {
	inFlight map[string]int
	deadline time.Time
}

func newClubUses() *clubUses {
	return &clubUses{byHost: make(map[string]hostUse)}
}

// record replaces what a peer reported before.
func (u *clubUses) record(hostID string, start time.Time, uses []*peerv1.ClubUse) {
	inFlight := make(map[string]int, len(uses))
	for _, use := range uses {
		inFlight[use.GetClubId()] = int(use.GetInFlight())
	}
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.byHost[hostID] = hostUse{inFlight: inFlight, deadline: start.Add(useValidity)}
}

// PeerInFlight returns the requests of a club in flight at the peers.
func (u *clubUses) PeerInFlight(clubID string, now time.Time) int {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	total := 0
	for hostID, use := range u.byHost {
		if now.After(use.deadline) {
			delete(u.byHost, hostID)
			continue
		}
		total += use.inFlight[clubID]
	}
	return total
}
