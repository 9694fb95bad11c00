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
	callTimeout  = 4 * time.Second
	// lostAfter is when a caller gives up on a host that does not answer.
	lostAfter = callTimeout + 4*time.Second
)

// onceShape is a scene for calls of the ledger with one small group.
var onceShape = harness.Topology{Entries: 3, FabricDomains: 1, EnginesPerDomain: 1, HostsPerGroup: 1, Groups: 1}

// witness remembers what callers were told, to compare it with what the
// endpoints recorded.
type witness struct {
	ctx   context.Context
	scene *harness.Testbed

	mutex sync.Mutex
	told  []told
}

type told struct {
	key   string // empty for requests without a key
	reply harness.Reply
	lost  bool
}

// startWitness starts a scene whose answers it will check.
func startWitness(t *testing.T, shape harness.Topology) *witness {
	t.Helper()
	ctx, scene := startScene(t, shape)
	return &witness{ctx: ctx, scene: scene}
}

func paymentOf(key string) string {
	return `{"payment":"` + strings.ToLower(key) + `"}`
}

// post sends a posting; every key has a body of its own.
func (w *witness) post(entry int, key string) harness.Reply {
	return w.note(key, func(ctx context.Context, caller *harness.Caller) (harness.Reply, error) {
		return caller.Post(ctx, paymentsPath, key, paymentOf(key))
	}, entry)
}

func (w *witness) note(key string, send func(context.Context, *harness.Caller) (harness.Reply, error), entry int) harness.Reply {
	ctx, cancel := context.WithTimeout(w.ctx, lostAfter)
	defer cancel()
	caller := w.scene.NewCaller(entry)
	caller.Timeout = callTimeout
	reply, err := send(ctx, caller)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.told = append(w.told, told{key: strings.ToLower(key), reply: reply, lost: err != nil})
	return reply
}

// startPost sends a posting in the background.
func (w *witness) startPost(entry int, key string) <-chan harness.Reply {
	replies := make(chan harness.Reply, 1)
	go func() { replies <- w.post(entry, key) }()
	return replies
}

// runs returns how often the ledger ran the key.
func (w *witness) runs(t *testing.T, key string) int {
	t.Helper()
	statistics, err := w.scene.Ledger.Statistics(w.ctx)
	assert.NilError(t, err)
	return statistics.RunsByKey[key]
}

func (w *witness) waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	assert.NilError(t, harness.WaitFor(w.ctx, what, condition))
}

func (w *witness) fault(t *testing.T, request *platformv1.SetRequest) {
	t.Helper()
	assert.NilError(t, w.scene.Deployment.SetFaults(w.ctx, request))
}

// check compares all answers so far with the runs that the ledger and the
// engines recorded, and returns how many answers had each run state. Call it
// when no call is in progress.
func (w *witness) check(t *testing.T) map[string]int {
	t.Helper()
	byRequest := map[string]int{}
	byKey := map[string]int{}
	for _, endpoint := range w.scene.Deployment.Endpoints {
		statistics, err := endpoint.Statistics(w.ctx)
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
	w.mutex.Lock()
	defer w.mutex.Unlock()
	states := map[string]int{}
	for _, told := range w.told {
		if told.lost {
			states["lost"]++
			continue
		}
		reply := told.reply
		states[reply.RunState]++
		assert.Check(t, reply.RequestID != "")
		switch reply.RunState {
		case "not_run":
			assert.Check(t, byRequest[reply.RequestID] == 0, "request %s was answered %s as not run, but ran; key %s", reply.RequestID, reply.Code, told.key)
		case "ran":
			if told.key == "" {
				break
			}
			assert.Check(t, byKey[told.key] == 1, "key %s was answered as run %d times", told.key, byKey[told.key])
			hash := sha256.Sum256([]byte(paymentOf(told.key)))
			assert.Check(t, reply.Status != http.StatusOK || strings.Contains(reply.Body, hex.EncodeToString(hash[:])), "answer of another call: %s", reply.Body)
		default:
			assert.Check(t, reply.RunState == "may_have_run", "run state %q, status %d", reply.RunState, reply.Status)
		}
	}
	t.Logf("answers by run state: %v", states)
	return states
}

// keyHash is the hash under which intents of the club's postings are recorded.
func keyHash(key string) []byte {
	id := uuid.MustParse(key)
	hash := sha256.New()
	for _, part := range [][]byte{[]byte(harness.ClubID), []byte(harness.ServiceName), id[:]} {
		_, _ = hash.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part))))
		_, _ = hash.Write(part)
	}
	return hash.Sum(nil)
}

func streamOf(key string) string {
	return fmt.Sprintf("intent-%02d", keyHash(key)[0]%16)
}

// keyLike returns a new key of the same stream.
func keyLike(key string) string {
	for {
		if other := harness.NewKey(); streamOf(other) == streamOf(key) {
			return other
		}
	}
}

// entriesOf returns what the log holds of the key.
func (w *witness) entriesOf(key string) []*recordv1.IntentEntry {
	entries, err := w.scene.Deployment.Intents(w.ctx, streamOf(key))
	if err != nil {
		return nil
	}
	return slices.DeleteFunc(entries, func(e *recordv1.IntentEntry) bool { return string(e.GetKeyHash()) != string(keyHash(key)) })
}

// writer waits for the first intent of the key and returns its host's index.
func (w *witness) writer(t *testing.T, key string) int {
	t.Helper()
	host := ""
	w.waitFor(t, "an intent of "+key, func() bool {
		for _, entry := range w.entriesOf(key) {
			if intent := entry.GetIntent(); intent != nil {
				host = intent.GetHostId()
				return true
			}
		}
		return false
	})
	return slices.IndexFunc(w.scene.Deployment.Entries, func(e *harness.Entry) bool { return e.Name == host })
}

// followed runs postings of one stream through all hosts until all hosts agree
// on its owner, which then follows the stream. It returns the owner with a new
// key of the stream.
func (w *witness) followed(t *testing.T) (owner int, key string) {
	t.Helper()
	first := harness.NewKey()
	w.waitFor(t, "agreement on an owner", func() bool {
		keys := make([]string, 0, len(w.scene.Deployment.Entries))
		var pending sync.WaitGroup
		var failed atomic.Bool
		for _, entry := range w.others(-1) {
			key := keyLike(first)
			keys = append(keys, key)
			pending.Go(func() {
				if w.post(entry, key).Status != http.StatusOK {
					failed.Store(true)
				}
			})
		}
		pending.Wait()
		if failed.Load() {
			return false
		}
		owner = w.writer(t, keys[0])
		return !slices.ContainsFunc(keys, func(key string) bool { return w.writer(t, key) != owner })
	})
	return owner, keyLike(first)
}

// others returns the live entry hosts but one.
func (w *witness) others(excluded int) []int {
	var others []int
	for index, entry := range w.scene.Deployment.Entries {
		select {
		case <-entry.Exited():
		default:
			if index != excluded {
				others = append(others, index)
			}
		}
	}
	return others
}

func seconds(count int) *durationpb.Duration {
	return durationpb.New(time.Duration(count) * time.Second)
}

// cutOff silences or refuses every connection between a host and its peers.
func (w *witness) cutOff(host int, rule faultproxy.Rule) {
	entries := w.scene.Deployment.Entries
	entries[host].PeerProxy.SetRule(rule)
	for _, other := range w.others(host) {
		entries[other].PeerProxy.SetSourceRule(entries[host].SourceAddress, rule)
	}
}

func (w *witness) healPeers() {
	for _, entry := range w.scene.Deployment.Entries {
		entry.PeerProxy.Heal()
	}
}
