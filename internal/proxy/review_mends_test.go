package proxy_test

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor"
)

// Guards against a forwarded stream that breaks off with its instance although the only
// peer has another one.
func TestOnlyPeerResumesAStreamAtAnotherInstance(t *testing.T) {
	f := newFleet(t, 1)
	broken, sound := newEndpoint(t, events(6, 3)), newEndpoint(t, events(6, 0))
	f.peers[0].register(broken.instance("i-1", "llm"), sound.instance("i-2", "llm"))
	for range 6 {
		assert.Equal(t, f.send("/stream/x").body, allEvents(6))
	}
}

// Guards against refusals while a change of the configuration is on its way to the
// peers, although they can serve the request as the new configuration says.
func TestPeerWithAnOlderConfigurationServesWhatItKnows(t *testing.T) {
	f := newFleet(t, 1)
	f.peers[0].register(newEndpoint(t, signed("done")).instance("i-1", "plain"))
	f.configure(func(*flamingodoor.Catalogue) {})
	assert.Equal(t, f.send("/read/x").status, http.StatusOK)
}
