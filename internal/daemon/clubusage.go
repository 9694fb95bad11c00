package daemon

import (
	"sync"
	"time"

	peerv1 "flamingodoor.example/flamingodoor/gen/flamingodoor/peer/v1"
)

// usageValidity is the time for which a peer's report of its requests in flight
// is used.
const usageValidity = 3 * time.Second

// clubUsage sums the requests in flight that the peers reported for each club.
// It implements flamingodoor.ClubUsage.
type clubUsage struct {
	mutex  sync.Mutex
	byHost map[string]hostUsage
}

type hostUsage struct {
	inFlight map[string]int // by club
	deadline time.Time      // the report is ignored after this time
}

func newClubUsage() *clubUsage {
	return &clubUsage{byHost: make(map[string]hostUsage)}
}

// record replaces the earlier report of a peer. The validity counts from start,
// the time at which the report was requested.
func (u *clubUsage) record(hostID string, start time.Time, reports []*peerv1.ClubUse) {
	inFlight := make(map[string]int, len(reports))
	for _, report := range reports {
		inFlight[report.GetClubId()] = int(report.GetInFlight())
	}
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.byHost[hostID] = hostUsage{inFlight: inFlight, deadline: start.Add(usageValidity)}
}

// PeerInFlight returns the number of requests of a club in flight at the peers.
func (u *clubUsage) PeerInFlight(clubID string, now time.Time) int {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	total := 0
	for hostID, usage := range u.byHost {
		if now.After(usage.deadline) {
			delete(u.byHost, hostID)
			continue
		}
		total += usage.inFlight[clubID]
	}
	return total
}
