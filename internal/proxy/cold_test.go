package proxy_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor"
)

// Guards against overloading a cold instance: its rate of 12 requests per second
// is divided among three hosts.
func TestColdInstanceGetsItsShare(t *testing.T) {
	s := newSetup(t)
	e := newEndpoint(t, signed("done"))
	cold := e.instance("i-1", "plain")
	cold.Slots, cold.ColdUntil = 100, time.Now().Add(time.Minute)
	s.register(cold)
	changed := *s.catalogue.Index().Catalogue
	changed.Version++
	changed.Services = map[string]flamingodoor.ServiceSpec{"plain": {Name: "plain", ColdRate: 12}}
	s.catalogue.Configure(&changed)
	s.proxy.SetHosts([]string{"host-1", "host-2", "host-3"}, 0)
	served := 0
	for range 10 {
		if s.send("/post/x").status == http.StatusOK {
			served++
		}
	}
	assert.Equal(t, served, 4)
}

// Guards against refusals while warm instances have free slots. When a data
// centre has returned to service, its cold instances have the lowest load;
// requests above their rate must go to the warm ones.
func TestWarmInstancesServeBesideAColdOne(t *testing.T) {
	s := newSetup(t)
	e := newEndpoint(t, signed("done"))
	cold, warm := e.instance("i-1", "plain"), e.instance("i-2", "plain")
	cold.Slots, cold.ColdUntil = 1000, time.Now().Add(time.Minute)
	s.register(cold, warm)
	changed := *s.catalogue.Index().Catalogue
	changed.Version++
	changed.Services = map[string]flamingodoor.ServiceSpec{"plain": {Name: "plain", ColdRate: 1}}
	s.catalogue.Configure(&changed)
	s.proxy.SetHosts([]string{"host-1"}, 0)
	for range 10 {
		assert.Equal(t, s.send("/post/x").status, http.StatusOK)
	}
}
