package integration_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"flamingodoor.example/flamingodoor"
	recordv1 "flamingodoor.example/flamingodoor/gen/flamingodoor/record/v1"
	"flamingodoor.example/flamingodoor/internal/harness"
	"flamingodoor.example/flamingodoor/internal/platform"
)

// Guards against bad input of callers, operators or the log that ends the
// process, changes the configuration, runs a payment or is refused without an
// error code.
func TestBadInputGetsTypedErrors(t *testing.T) {
	t.Parallel()
	ctx, testbed := startTestbed(t, harness.SmallTopology)

	t.Run("callers", func(t *testing.T) {
		const chat = "/v1/chat/completions"
		for name, test := range map[string]struct {
			key, path, body, idempotencyKey, code string
			status                                int
		}{
			"malformed":   {harness.ClubKey, chat, `{"model": m}`, "", "invalid_request", 400},
			"model":       {harness.ClubKey, chat, `{"model":"none","messages":[{"role":"user","content":"x"}]}`, "", "unknown_model", 404},
			"key":         {"wrong", chat, `{}`, "", "unauthenticated", 401},
			"oversized":   {harness.ClubKey, chat, `{"model":"` + strings.Repeat("x", 2<<20) + `"}`, "", "too_large", 413},
			"service":     {harness.ClubKey, "/v1/services/none/x", `{}`, harness.NewKey(), "not_allowed", 403},
			"other club":  {harness.OtherClubKey, "/v1/services/ledger/payments", `{}`, harness.NewKey(), "not_allowed", 403},
			"no key":      {harness.ClubKey, "/v1/services/ledger/payments", `{}`, "", "key_required", 400},
			"key version": {harness.ClubKey, "/v1/services/ledger/payments", `{}`, "4f2d5b1a-0000-4000-8000-000000000000", "key_invalid", 400},
		} {
			caller := testbed.NewCaller(0)
			caller.Key = test.key
			reply, err := caller.Post(ctx, test.path, test.idempotencyKey, test.body)
			assert.NilError(t, err, name)
			assert.Check(t, cmp.Equal(reply.Code, test.code), name)
			assert.Check(t, cmp.Equal(reply.Status, test.status), name)
			assert.Check(t, cmp.Equal(reply.RunState, "not_run"), name)
		}
		runs, err := testbed.Ledger.Runs(ctx)
		assert.NilError(t, err)
		assert.Equal(t, runs, 0)
	})

	t.Run("operators", func(t *testing.T) {
		before := appliedOffset(ctx, t, testbed)
		for name, test := range map[string]struct{ file, want string }{
			"unknown field": {"clubs:\n  - club_id: c\n    colour: red\n", "[3:5]"},
			"broken rule":   {"group_plans:\n  - {plan_id: p, model_id: none, version: v, club_id: kivuko, groups: 1}\n", "the model does not exist"},
		} {
			path := filepath.Join(t.TempDir(), "bad.yaml")
			assert.NilError(t, os.WriteFile(path, []byte(test.file), 0o600))
			_, err := testbed.Deployment.RunControl(ctx, "apply", "-f", path)
			assert.Check(t, cmp.ErrorContains(err, test.want), name)
		}
		objects, err := testbed.Deployment.RunControl(ctx, "get", "clubs")
		assert.NilError(t, err)
		assert.Assert(t, !strings.Contains(objects, "colour"))
		assert.Assert(t, appliedOffset(ctx, t, testbed) >= before)
	})

	t.Run("log", func(t *testing.T) {
		log := platform.NewLog(testbed.Deployment.PlatformAddress())
		offset, err := log.Append(ctx, flamingodoor.ConfigStream, []byte("garbled"))
		assert.NilError(t, err)
		assert.NilError(t, harness.WaitFor(ctx, "the unreadable record to be skipped", func() bool {
			return appliedOffset(ctx, t, testbed) >= offset
		}))
		answer, err := testbed.NewCaller(0).Stream(ctx, "still serving", 4, nil)
		assert.NilError(t, err)
		assert.Assert(t, answer.Complete, answer.Code)

		// A host stops taking requests at a record of an unknown version, because
		// it must not skip a change that it cannot read.
		future, err := proto.Marshal(&recordv1.Record{Version: 99, CommandId: "future"})
		assert.NilError(t, err)
		_, err = log.Append(ctx, flamingodoor.ConfigStream, future)
		assert.NilError(t, err)
		assert.NilError(t, harness.WaitFor(ctx, "the host to become unready", func() bool {
			return !testbed.Deployment.Entries[0].Ready(ctx)
		}))
		// The host serves until its freshness lease ends, at most 3 s later.
		var reply harness.Reply
		assert.NilError(t, harness.WaitFor(ctx, "new requests to be refused", func() bool {
			reply, err = testbed.NewCaller(0).Post(ctx, "/v1/chat/completions", "", `{"model":"m70","messages":[{"role":"user","content":"x"}]}`)
			return err == nil && reply.Code == "not_fresh"
		}))
		assert.Equal(t, reply.RunState, "not_run")
	})
}

// appliedOffset returns the offset of the first entry host's latest applied
// record.
func appliedOffset(ctx context.Context, t *testing.T, testbed *harness.Testbed) uint64 {
	t.Helper()
	status, err := testbed.Deployment.Entries[0].Status(ctx)
	assert.NilError(t, err)
	return status.GetApplied()
}

// Guards against TLS settings that are accepted but not used. Callers must be
// able to verify the host, and a peer without a certificate must be refused.
func TestEncryptedConnections(t *testing.T) {
	t.Parallel()
	certificate, key := writeCertificate(t)
	topology := harness.SmallTopology
	topology.EntryArguments = []string{
		"--caller-cert=" + certificate, "--caller-key=" + key,
		"--peer-cert=" + certificate, "--peer-key=" + key, "--peer-ca=" + certificate,
	}
	ctx, testbed := startTestbed(t, topology)
	pemData, err := os.ReadFile(certificate)
	assert.NilError(t, err)
	authorities := x509.NewCertPool()
	assert.Assert(t, authorities.AppendCertsFromPEM(pemData))
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: authorities, MinVersion: tls.VersionTLS13}}}

	url := "https://" + testbed.Deployment.Entries[0].CallerAddress.String() + "/v1/chat/completions"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url,
		strings.NewReader(`{"model":"m70","messages":[{"role":"user","content":"x"}],"max_tokens":4}`))
	assert.NilError(t, err)
	request.Header.Set("Authorization", "Bearer "+harness.ClubKey)
	response, err := client.Do(request)
	assert.NilError(t, err)
	_ = response.Body.Close()
	assert.Equal(t, response.StatusCode, http.StatusOK)

	peer := "https://" + testbed.Deployment.Entries[0].PeerProxy.Address().String()
	probe, err := http.NewRequestWithContext(ctx, http.MethodPost, peer, nil)
	assert.NilError(t, err)
	response, err = client.Do(probe)
	if err == nil {
		_ = response.Body.Close()
	}
	assert.ErrorContains(t, err, "certificate")
}

// writeCertificate writes a self-signed certificate for the loopback addresses.
func writeCertificate(t *testing.T) (certificate, key string) {
	t.Helper()
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "flamingodoor test"},
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(time.Hour),
		IPAddresses:           []net.IP{net.IPv4(127, 0, 0, 1)},
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage:           []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &private.PublicKey, private)
	assert.NilError(t, err)
	keyDER, err := x509.MarshalECPrivateKey(private)
	assert.NilError(t, err)
	directory := t.TempDir()
	certificate, key = filepath.Join(directory, "cert.pem"), filepath.Join(directory, "key.pem")
	assert.NilError(t, os.WriteFile(certificate, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o600))
	assert.NilError(t, os.WriteFile(key, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER}), 0o600))
	return certificate, key
}
