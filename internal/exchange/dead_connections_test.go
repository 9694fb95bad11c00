package exchange_test

import (
	"context"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor/internal/faultproxy"
)

// proxied connects hosts by TCP through fault proxies.
type proxied struct {
	loopback
	proxies []*faultproxy.Proxy
}

func (p *proxied) listen(t *testing.T) (netip.AddrPort, func(http.Handler)) {
	t.Helper()
	target, serve := p.loopback.listen(t)
	proxy, err := faultproxy.New(context.WithoutCancel(t.Context()), netip.MustParseAddr("127.0.0.1"), target)
	assert.NilError(t, err)
	t.Cleanup(proxy.Close)
	p.proxies = append(p.proxies, proxy)
	return proxy.Address(), serve
}

// Guards against hosts that do not hear each other for longer than a summary counts,
// because open connections between them transfer nothing more.
func TestMessagesContinueOverDeadConnections(t *testing.T) {
	t.Parallel()
	const summaryTimeout = time.Second
	network := &proxied{}
	hosts := startDeployment(t, network, 2, func(int) *registrations { return &registrations{onCatchUp: func(int64) {}} })
	for range 3 {
		before := hosts[1].messageCount()
		eventually(t, "no message arrives", func() bool { return hosts[1].messageCount() > before })
		for _, proxy := range network.proxies {
			proxy.SilenceOpen()
		}
		silenced, before := time.Now(), hosts[1].messageCount()
		eventually(t, "no message arrives", func() bool { return hosts[1].messageCount() > before })
		assert.Assert(t, time.Since(silenced) < summaryTimeout, "no message for %s", time.Since(silenced))
		t.Logf("next message after %s", time.Since(silenced))
	}
}
