package gateway

import (
	"context"
	"time"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/poison"
)

// strikeTracker records a request that was in flight when a connection to an instance
// broke, if the process there has ended: a partition resets connections as well.
type strikeTracker struct {
	*poison.Ledger

	gateway *Gateway
}

var _ flamingodoor.CrashTracker = (*strikeTracker)(nil)

// ReportCrash records the request after it is known that the instance has crashed. It
// waits for this for at most crashWait.
func (t *strikeTracker) ReportCrash(ctx context.Context, fingerprint flamingodoor.Fingerprint, instanceID string) {
	entry, ok := t.gateway.roster.View().Entries[instanceID]
	if !ok {
		t.Ledger.ReportCrash(ctx, fingerprint, instanceID)
		return
	}
	ctx = context.WithoutCancel(ctx)
	recorded := make(chan struct{})
	go func() {
		defer close(recorded)
		if t.gateway.parts.hasEnded(ctx, entry.Instance) {
			t.Ledger.ReportCrash(ctx, fingerprint, instanceID)
		}
	}()
	timer := time.NewTimer(crashWait)
	defer timer.Stop()
	select {
	case <-recorded:
	case <-timer.C:
	}
}
