package exchange_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// setConfiguration sets how far a host has read the operators' records, and the version of
// the newest configuration among them.
func (h *host) setConfiguration(next, version int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.next, h.version = next, version
}

// Guards against keys that were revoked (CONFIG): a host that starts after the platform's
// store came back from an older copy took its own read for the newest configuration,
// while its peers knew a newer one.
func TestConfigurationThatOnlyPeersKnowIsCopied(t *testing.T) {
	hosts := startHosts(t, 3)
	lacking := hosts[2]
	eventually(t, "the peers were not asked", lacking.ConfigurationConfirmed)
	for _, h := range hosts[:2] {
		h.setConfiguration(5, 8)
	}
	lacking.setConfiguration(5, 7)
	eventually(t, "the host takes its configuration for the newest", func() bool { return !lacking.ConfigurationConfirmed() })
	lacking.mu.Lock()
	lacking.copyVersion = 8
	lacking.mu.Unlock()
	eventually(t, "the newer configuration was not copied", func() bool { return lacking.Version() == 8 })
	assert.Assert(t, lacking.ConfigurationConfirmed())
}

// Guards against requests that are refused while a host is about to read a change that
// others have read: that is no sign of a store that lacks it.
func TestChangeThatIsNotReadYetRefusesNothing(t *testing.T) {
	hosts := startHosts(t, 3)
	for _, h := range hosts {
		h.setConfiguration(5, 7)
	}
	eventually(t, "the hosts are not confirmed", func() bool {
		return hosts[0].ConfigurationConfirmed() && hosts[1].ConfigurationConfirmed() && hosts[2].ConfigurationConfirmed()
	})
	hosts[2].mu.Lock()
	hosts[2].copiesOnly = true
	hosts[2].mu.Unlock()
	hosts[0].setConfiguration(6, 8)
	for begun := time.Now(); time.Since(begun) < time.Second; time.Sleep(5 * time.Millisecond) {
		assert.Assert(t, hosts[2].ConfigurationConfirmed())
	}
}
