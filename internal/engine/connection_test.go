package engine_test

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor/internal/engine"
)

// BenchmarkReport compares a short request on a connection of its own with the
// same request on a kept-alive connection.
func BenchmarkReport(b *testing.B) {
	endpoint := serve(b, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(`{"state":"warm"}`)) })
	b.Run("own connection", func(b *testing.B) {
		client := engine.NewClient()
		for b.Loop() {
			_, err := client.Report(b.Context(), endpoint)
			assert.NilError(b, err)
		}
	})
	b.Run("kept connection", func(b *testing.B) {
		client := &http.Client{Transport: &http.Transport{}}
		defer client.CloseIdleConnections()
		for b.Loop() {
			request, err := http.NewRequestWithContext(b.Context(), http.MethodGet, "http://"+endpoint.Address.String()+"/v1/report", nil)
			assert.NilError(b, err)
			response, err := client.Do(request)
			assert.NilError(b, err)
			var buffer [64]byte
			for err == nil {
				_, err = response.Body.Read(buffer[:])
			}
			assert.NilError(b, response.Body.Close())
		}
	})
}
