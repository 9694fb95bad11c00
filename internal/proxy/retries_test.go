package proxy_test

import (
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against retries beyond the limit of all hosts (BUDGET): each host that did not
// know the others yet used the whole burst that they share. Hosts that start while the
// list of hosts cannot be read do not know them for as long.
func TestHostsThatDoNotKnowTheOthersDoNotUseTheirRetries(t *testing.T) {
	const hosts, requests = 6, 40
	failing := func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set(headers.Signature, "sig")
		writer.WriteHeader(http.StatusInternalServerError)
	}
	for name, known := range map[string]bool{"not known": false, "known": true} {
		t.Run(name, func(t *testing.T) {
			first, second := newEndpoint(t, failing), newEndpoint(t, failing)
			ids := make([]string, 0, hosts)
			for i := range hosts {
				ids = append(ids, fmt.Sprint("host-", i))
			}
			for _, id := range ids {
				s := newStartingHost(t, id)
				if known {
					s.proxy.SetHosts(ids, 0)
				}
				s.register(first.instance("i-1", "plain"), second.instance("i-2", "plain"))
				for range requests {
					s.send("/read/x")
				}
			}
			retries := first.runs.Load() + second.runs.Load() - hosts*requests
			allowed := 0.2*hosts*requests + 100 // the limits of newStartingHost
			assert.Assert(t, float64(retries) <= allowed, "%d retries, %.0f are allowed", retries, allowed)
			assert.Assert(t, retries > 0)
		})
	}
}
