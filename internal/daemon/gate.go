package daemon

import (
	"time"

	"flamingodoor.example/flamingodoor/internal/freshness"
	"flamingodoor.example/flamingodoor/internal/peer"
)

// servingGate refuses callers until the host has learned the strikes that its
// peers hold: a lease from the log alone can come first.
type servingGate struct {
	*freshness.Lease
	exchanger *peer.Exchanger
}

// Fresh reports whether the host may take new work.
func (g servingGate) Fresh(now time.Time) bool {
	return g.exchanger.Introduced() && g.Lease.Fresh(now)
}
