package proxy_test

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor/internal/proxy"
)

// Guards against a key that was revoked while the host was suspended and is used
// again after it: the monotonic clock stands still meanwhile, so that the
// configuration looked as recent as before.
func TestSuspendedHostRefusesKeysUntilTheConfigurationIsConfirmed(t *testing.T) {
	var suspended atomic.Int64
	begun := time.Now()
	uptime := func() time.Time { return begun.Round(0).Add(time.Since(begun) + time.Duration(suspended.Load())) }
	s := newSetup(t, proxy.WithUptime(uptime))
	e := newEndpoint(t, signed("hello"))
	s.register(e.instance("i-1", "plain"))
	s.catalogue.Confirm(uptime())
	assert.Equal(t, s.send("/post/x").status, http.StatusOK)
	suspended.Store(int64(5 * time.Second))
	assert.Equal(t, s.send("/post/x").status, http.StatusServiceUnavailable)
	assert.Equal(t, e.runs.Load(), int64(1))
	s.catalogue.Confirm(uptime())
	assert.Equal(t, s.send("/post/x").status, http.StatusOK)
}
