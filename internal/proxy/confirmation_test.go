package proxy_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/proxy"
)

// Guards against the lookup of a request in an older configuration than the one whose
// confirmation lets it pass: a request that waited for the check of the confirmation ran
// with a revoked key, and one with a new key or route was denied for good.
func TestRequestsAreLookedUpInTheConfirmedConfiguration(t *testing.T) {
	const oldAge = 10 * time.Second // beyond all bounds
	for _, during := range []string{"check of the peers", "check of the time"} {
		t.Run("configuration read during the "+during, func(t *testing.T) {
			var s *setup
			age := time.Duration(0)
			update := func(check string) {
				if check != during || age == 0 {
					return
				}
				configuration := *s.catalogue.Index().Catalogue
				configuration.Version++
				configuration.Workspaces = []flamingodoor.Workspace{{Name: "billing", Keys: []string{"added"}}}
				configuration.Routes = append(configuration.Routes[:len(configuration.Routes):len(configuration.Routes)],
					route("/added/", flamingodoor.RouteKindNonIdempotent, "plain", 1))
				s.catalogue.Configure(&configuration)
				s.catalogue.Confirm(time.Now().Add(age))
			}
			for _, request := range []struct {
				path, key string
				refused   []int // by a configuration that lacks the changes
			}{
				{"/post/x", key, []int{http.StatusOK}},
				{"/post/x", "added", []int{http.StatusUnauthorized}},
				{"/added/x", "added", []int{http.StatusNotFound, http.StatusUnauthorized}},
			} {
				age = 0
				s = newSetup(t, proxy.WithConfigurationCheck(func() bool {
					update("check of the peers")
					return true
				}), proxy.WithUptime(func() time.Time {
					update("check of the time")
					return time.Now().Add(age)
				}))
				s.register(newEndpoint(t, signed("hello")).instance("i-1", "plain"))
				age = oldAge
				got := s.send(request.path, func(r *http.Request) { r.Header.Set("Authorization", "Bearer "+request.key) })
				for _, status := range request.refused {
					assert.Check(t, got.status != status, "%s with key %s: %d", request.path, request.key, got.status)
				}
			}
		})
	}
}
