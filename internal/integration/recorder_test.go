package integration_test

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	"google.golang.org/protobuf/types/known/durationpb"
	"gotest.tools/v3/assert"

	platformv1 "flamingodoor.example/flamingodoor/gen/flamingodoor/platform/v1"
	recordv1 "flamingodoor.example/flamingodoor/gen/flamingodoor/record/v1"
	"flamingodoor.example/flamingodoor/internal/faultproxy"
	"flamingodoor.example/flamingodoor/internal/harness"
)

const (
	paymentsPath = "/v1/services/ledger/payments"
	callTimeout  = 4 * time.Second // the time limit that callers send with a request
	// replyTimeout is how long a caller waits for a host that does not answer.
	replyTimeout = callTimeout + 4*time.Second
)

// onceTopology is a testbed for calls of the ledger, with a single engine.
var onceTopology = harness.Topology{Entries: 3, FabricDomains: 1, EnginesPerDomain: 1, HostsPerGroup: 1, Groups: 1}

// replyRecorder records the replies that callers got and checks them against the
// runs that the endpoints counted.
type replyRecorder struct {
	ctx     context.Context
	testbed *harness.Testbed

	mutex   sync.Mutex
	replies []recordedReply
}

type recordedReply struct {
	key   string // in lower case, empty for requests without a key
	reply harness.Reply
	lost  bool // the caller got no complete reply
}

// startReplyRecorder starts a testbed and returns a recorder of its replies.
func startReplyRecorder(t *testing.T, topology harness.Topology) *replyRecorder {
	t.Helper()
	ctx, testbed := startTestbed(t, topology)
	return &replyRecorder{ctx: ctx, testbed: testbed}
}

// paymentBody returns the body of the payment with a key. Each key has its own.
func paymentBody(key string) string {
	return `{"payment":"` + strings.ToLower(key) + `"}`
}

// post sends a payment through an entry host and returns the reply.
func (r *replyRecorder) post(entry int, key string) harness.Reply {
	return r.sendAndRecord(key, func(ctx context.Context, caller *harness.Caller) (harness.Reply, error) {
		return caller.Post(ctx, paymentsPath, key, paymentBody(key))
	}, entry)
}

// sendAndRecord sends a request through an entry host and records the reply.
func (r *replyRecorder) sendAndRecord(key string, send func(context.Context, *harness.Caller) (harness.Reply, error), entry int) harness.Reply {
	ctx, cancel := context.WithTimeout(r.ctx, replyTimeout)
	defer cancel()
	caller := r.testbed.NewCaller(entry)
	caller.Timeout = callTimeout
	reply, err := send(ctx, caller)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.replies = append(r.replies, recordedReply{key: strings.ToLower(key), reply: reply, lost: err != nil})
	return reply
}

// startPost sends a payment in the background.
func (r *replyRecorder) startPost(entry int, key string) <-chan harness.Reply {
	replies := make(chan harness.Reply, 1)
	go func() { replies <- r.post(entry, key) }()
	return replies
}

// runCount returns how often the ledger ran the key.
func (r *replyRecorder) runCount(t *testing.T, key string) int {
	t.Helper()
	statistics, err := r.testbed.Ledger.Statistics(r.ctx)
	assert.NilError(t, err)
	return statistics.RunsByKey[key]
}

func (r *replyRecorder) waitFor(t *testing.T, description string, condition func() bool) {
	t.Helper()
	assert.NilError(t, harness.WaitFor(r.ctx, description, condition))
}

// setFaults replaces the faults of the platform stand-in.
func (r *replyRecorder) setFaults(t *testing.T, request *platformv1.SetRequest) {
	t.Helper()
	assert.NilError(t, r.testbed.Deployment.SetFaults(r.ctx, request))
}

// checkReplies checks all replies so far against the runs that the ledger and the
// engines counted, and that no key ran twice. It returns the number of replies by
// run state, with "lost" for lost ones. No request may be in progress.
func (r *replyRecorder) checkReplies(t *testing.T) map[string]int {
	t.Helper()
	byRequest := map[string]int{}
	byKey := map[string]int{}
	for _, endpoint := range r.testbed.Deployment.Endpoints {
		statistics, err := endpoint.Statistics(r.ctx)
		assert.NilError(t, err)
		for id, runs := range statistics.RunsByRequest {
			byRequest[id] += runs
		}
		for key, runs := range statistics.RunsByKey {
			byKey[strings.ToLower(key)] += runs
		}
	}
	for key, runs := range byKey {
		assert.Check(t, runs <= 1, "key %s ran %d times", key, runs)
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	states := map[string]int{}
	for _, recorded := range r.replies {
		if recorded.lost {
			states["lost"]++
			continue
		}
		reply := recorded.reply
		states[reply.RunState]++
		assert.Check(t, reply.RequestID != "")
		switch reply.RunState {
		case "not_run":
			assert.Check(t, byRequest[reply.RequestID] == 0, "request %s was answered %s as not run, but ran; key %s", reply.RequestID, reply.Code, recorded.key)
		case "ran":
			if recorded.key == "" {
				break
			}
			assert.Check(t, byKey[recorded.key] == 1, "key %s was answered as run %d times", recorded.key, byKey[recorded.key])
			hash := sha256.Sum256([]byte(paymentBody(recorded.key)))
			assert.Check(t, reply.Status != http.StatusOK || strings.Contains(reply.Body, hex.EncodeToString(hash[:])), "answer of another call: %s", reply.Body)
		default:
			assert.Check(t, reply.RunState == "may_have_run", "run state %q, status %d", reply.RunState, reply.Status)
		}
	}
	t.Logf("answers by run state: %v", states)
	return states
}

// keyHash returns the hash under which the log records intents of a payment of
// the testbed's club.
func keyHash(key string) []byte {
	id := uuid.MustParse(key)
	hash := sha256.New()
	for _, part := range [][]byte{[]byte(harness.ClubID), []byte(harness.ServiceName), id[:]} {
		_, _ = hash.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part))))
		_, _ = hash.Write(part)
	}
	return hash.Sum(nil)
}

// intentStream returns the name of the log stream that holds the key's intents.
func intentStream(key string) string {
	return fmt.Sprintf("intent-%02d", keyHash(key)[0]%16)
}

// newKeyInStream returns a new key whose intents are in the same stream.
func newKeyInStream(key string) string {
	for {
		if other := harness.NewKey(); intentStream(other) == intentStream(key) {
			return other
		}
	}
}

// intentEntries returns the log entries of the key, or none if the log cannot be
// read.
func (r *replyRecorder) intentEntries(key string) []*recordv1.IntentEntry {
	entries, err := r.testbed.Deployment.Intents(r.ctx, intentStream(key))
	if err != nil {
		return nil
	}
	return slices.DeleteFunc(entries, func(e *recordv1.IntentEntry) bool { return string(e.GetKeyHash()) != string(keyHash(key)) })
}

// waitForWriter waits for an intent of the key and returns the index of the entry
// host that wrote the first one.
func (r *replyRecorder) waitForWriter(t *testing.T, key string) int {
	t.Helper()
	host := ""
	r.waitFor(t, "an intent of "+key, func() bool {
		for _, entry := range r.intentEntries(key) {
			if intent := entry.GetIntent(); intent != nil {
				host = intent.GetHostId()
				return true
			}
		}
		return false
	})
	return slices.IndexFunc(r.testbed.Deployment.Entries, func(e *harness.Entry) bool { return e.Name == host })
}

// waitForOwner sends payments of one intent stream through all hosts until the
// same host writes all their intents. All hosts then agree on the owner of the
// stream, and the owner follows the stream. It returns the owner's index and a new
// key of the stream.
func (r *replyRecorder) waitForOwner(t *testing.T) (owner int, key string) {
	t.Helper()
	first := harness.NewKey()
	r.waitFor(t, "agreement on an owner", func() bool {
		keys := make([]string, 0, len(r.testbed.Deployment.Entries))
		var pending sync.WaitGroup
		var failed atomic.Bool
		for _, entry := range r.otherEntries(-1) {
			key := newKeyInStream(first)
			keys = append(keys, key)
			pending.Go(func() {
				if r.post(entry, key).Status != http.StatusOK {
					failed.Store(true)
				}
			})
		}
		pending.Wait()
		if failed.Load() {
			return false
		}
		owner = r.waitForWriter(t, keys[0])
		return !slices.ContainsFunc(keys, func(key string) bool { return r.waitForWriter(t, key) != owner })
	})
	return owner, newKeyInStream(first)
}

// otherEntries returns the indexes of the live entry hosts except excluded, or of
// all for -1.
func (r *replyRecorder) otherEntries(excluded int) []int {
	var indexes []int
	for index, entry := range r.testbed.Deployment.Entries {
		select {
		case <-entry.Exited():
		default:
			if index != excluded {
				indexes = append(indexes, index)
			}
		}
	}
	return indexes
}

func seconds(count int) *durationpb.Duration {
	return durationpb.New(time.Duration(count) * time.Second)
}

// cutPeers applies a rule to every connection between a host and its peers, in
// both directions.
func (r *replyRecorder) cutPeers(host int, rule faultproxy.Rule) {
	entries := r.testbed.Deployment.Entries
	entries[host].PeerProxy.SetRule(rule)
	for _, peer := range r.otherEntries(host) {
		entries[peer].PeerProxy.SetSourceRule(entries[host].SourceAddress, rule)
	}
}

// healPeers removes the rules between all entry hosts.
func (r *replyRecorder) healPeers() {
	for _, entry := range r.testbed.Deployment.Entries {
		entry.PeerProxy.Heal()
	}
}
