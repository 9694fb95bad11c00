package exchange_test

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protodesc"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/descriptorpb"
	"google.golang.org/protobuf/types/dynamicpb"
	"google.golang.org/protobuf/types/known/durationpb"
	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor"
	exchangev1 "flamingodoor.example/flamingodoor/gen/flamingodoor/exchange/v1"
	peerv1 "flamingodoor.example/flamingodoor/gen/flamingodoor/peer/v1"
	"flamingodoor.example/flamingodoor/internal/exchange"
)

// recordedLanding is the commit whose messages, and their schema, are in testdata.
const recordedLanding = "a8bcb62"

// exchanged is a message between two hosts with its response.
type exchanged struct {
	Path     string `json:"path"`
	Request  []byte `json:"request"`
	Response []byte `json:"response"`
}

// tap records the messages of a network or, if it has recorded ones, delivers those in
// their place.
type tap struct {
	*memory

	recorded []exchanged

	mu   sync.Mutex
	made []exchanged
}

func (t *tap) options() []exchange.Option {
	return []exchange.Option{exchange.WithTransport(t), exchange.WithUptime(time.Now)}
}

// next returns what is delivered in place of the next message to a path.
func (t *tap) next(path string) *exchanged {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, each := range t.made {
		if each.Path == path {
			n++
		}
	}
	for i, each := range t.recorded {
		if each.Path == path {
			if n == 0 {
				return &t.recorded[i]
			}
			n--
		}
	}
	return nil
}

// RoundTrip delivers a message, or the recorded one.
func (t *tap) RoundTrip(request *http.Request) (*http.Response, error) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return nil, err
	}
	made, delivered, recorded := exchanged{Path: request.URL.Path, Request: body}, body, t.next(request.URL.Path)
	if recorded != nil {
		delivered = recorded.Request
	}
	request = request.Clone(request.Context())
	request.Body, request.ContentLength = io.NopCloser(bytes.NewReader(delivered)), int64(len(delivered))
	response, err := t.memory.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	if made.Response, err = io.ReadAll(response.Body); err != nil {
		return nil, err
	}
	answer := made.Response
	if recorded != nil {
		answer = recorded.Response
	}
	response.Body, response.ContentLength = io.NopCloser(bytes.NewReader(answer)), int64(len(answer))
	response.Header.Del("Content-Length")
	t.mu.Lock()
	defer t.mu.Unlock()
	t.made = append(t.made, made)
	return response, nil
}

// talker is a host that notes what it understands of the messages to it.
type talker struct {
	*host

	state   *exchangev1.ShareRequest // added to its messages
	begun   time.Time
	notes   *[]string
	applied []*exchangev1.ShareRequest
}

func (t *talker) note(format string, values ...any) {
	*t.notes = append(*t.notes, fmt.Sprintf(format, values...))
}

// notePeer notes the peer to which the host would forward a request.
func (t *talker) notePeer(when string) {
	peer, ok := t.NextPeer(nil, time.Now())
	t.note("%s: peer %q %t, leaving %t", when, peer.ID, ok, peer.Leaving)
}

// since returns a time in milliseconds since the begin.
func (t *talker) since(at time.Time) int64 { return at.Sub(t.begun).Milliseconds() }

func (t *talker) Describe(request *exchangev1.ShareRequest, _ time.Time) {
	proto.Merge(request, t.state)
}

func (t *talker) Apply(request *exchangev1.ShareRequest, _ time.Time) {
	t.applied = append(t.applied, proto.CloneOf(request))
}

func (t *talker) Probe(ctx context.Context, instance flamingodoor.Instance) (answers, sound bool) {
	deadline, limited := ctx.Deadline()
	t.note("probe %s %s %d %s %t %d", instance.ID, instance.Address, instance.StartedAt.UnixMilli(), instance.FabricDomain, limited, t.since(deadline))
	return t.host.Probe(ctx, instance)
}

// fullState has every field of a host's state that its exchanger does not set itself.
func fullState() *exchangev1.ShareRequest {
	uses := []*exchangev1.InstanceUse{{InstanceId: "i-1", Requests: 3}}
	demands := []*exchangev1.ModelDemand{{Service: "llm", ModelId: "wide", EngineSeconds: 1.25}}
	return &exchangev1.ShareRequest{
		Uses: uses, Demands: demands, Stranded: true, RequestsReceived: true,
		Losses: []*exchangev1.Loss{
			{InstanceId: "i-1", BornMs: 1_764_000_000_123, AgeMs: 40, Leaving: true}, {Group: "g-1", Epoch: 7, AgeMs: 41, Retiring: true}, {InstanceId: "i-2", Found: true},
		},
		Strikes:      []*peerv1.Strike{{Fingerprint: []byte{1, 2}, Incarnations: []string{"x"}, Age: durationpb.New(1500 * time.Millisecond)}},
		PartCrashes:  []*exchangev1.PartCrash{{InstanceId: "i-3", BornMs: 1_764_000_000_124, AgeMs: 42, Suspects: []uint64{1, 0xfedcba9876543210}}},
		PartsBegun:   []*exchangev1.PartBegun{{Part: 5, AgeMs: 43}},
		BlockedParts: []*exchangev1.BlockedParts{{Parts: []uint64{6, 7}, AgeMs: 44, Crashes: 2}},
		RateLimits:   []*exchangev1.RateLimit{{InstanceId: "i-4", BornMs: 1_764_000_000_125, PerSecond: 2.5, AgeMs: 45}},
		Summary:      &exchangev1.Summary{All: true, Uses: uses, Demands: demands, Hosts: []uint32{8, 9}, StrandedHosts: []uint32{9}},
		RelayDuty:    &exchangev1.RelayDuty{Part: 1, Parts: 2, RelayIds: []string{"host-8", "host-9"}},
	}
}

// tooLarge is the size of registrations that the receiver is to read from the store.
const tooLarge = 8 << 20

// leaderHash stands for host-0 in summaries.
const leaderHash = 1877263308

// converse makes a leader and another host exchange each kind of message, and returns
// what they understood.
func converse(t *testing.T, network *tap) (notes []string, applied *exchangev1.ShareRequest) {
	t.Helper()
	begun := time.Now()
	addresses := make([]netip.AddrPort, 2)
	serve := make([]func(http.Handler), 2)
	all := make([]flamingodoor.EntryPeer, 2)
	talkers := make([]*talker, 2)
	for i := range talkers {
		addresses[i], serve[i] = network.listen(t)
		all[i] = flamingodoor.EntryPeer{ID: fmt.Sprintf("host-%d", i), Address: addresses[i], DataCentre: fmt.Sprintf("dc-%d", i), LinkMbps: 150 + i}
	}
	for i := range talkers {
		each := &talker{host: &host{leads: i == 0}, begun: begun, notes: &notes, state: &exchangev1.ShareRequest{}}
		each.registrations = registrations{
			onApply: func(batch flamingodoor.RecordBatch) {
				each.note("registrations %d to %d: %.20s", batch.From, batch.Next, batch.Records)
			},
			onValidity: func(asOf, _ time.Time) { each.note("as of %d", each.since(asOf)) },
			onCatchUp:  func(next int64) { each.note("catch up to %d", next) },
		}
		talkers[i] = each
	}
	leader, other := talkers[0], talkers[1]
	leader.version, leader.next, other.state = 12, 34, fullState()
	leader.registrations.batch, leader.registrations.asOf = [][]byte{[]byte("one"), []byte("two")}, begun.Add(1730*time.Millisecond)
	leader.confirmed = begun.Add(1740 * time.Millisecond)
	leader.setPaths(paths{sound: true, dial: flamingodoor.DialResultUnanswered})
	for i, each := range talkers {
		each.Exchanger = exchange.New(all[i], directory{each.host, all},
			exchange.Feeds{Registrations: &each.registrations, Configuration: each.host}, each, each, log.NewNopLogger(), network.options()...)
		serve[i](each.Handler())
		go each.RunDirectory(t.Context())
	}
	synctest.Wait()
	time.Sleep(1500 * time.Millisecond)
	other.next = 5
	other.Round(t.Context())
	leader.state.Summary = &exchangev1.Summary{
		All: true, Uses: []*exchangev1.InstanceUse{{InstanceId: "i-5", Requests: 6}}, Hosts: []uint32{leaderHash}, StrandedHosts: []uint32{leaderHash},
	}
	leader.Round(t.Context())
	for _, message := range other.applied {
		other.note("from %q at %q: %d requests", message.GetHostId(), message.GetAddress(), totalRequests(message.GetUses()))
	}
	other.notePeer("relay is stranded")
	time.Sleep(300 * time.Millisecond)
	leader.Round(t.Context())
	synctest.Wait()
	next, confirmed := other.position()
	other.note("configuration %d confirmed at %d, copied to %d: %s", next, other.since(confirmed), other.copied.Next, other.copied.Records)
	other.notePeer("relay is not")
	for _, batch := range [][]byte{bytes.Repeat([]byte("packed "), 500), make([]byte, tooLarge)} {
		leader.registrations.batch = [][]byte{batch}
		leader.Round(t.Context())
	}

	instance := flamingodoor.Instance{ID: "i-9", Address: netip.MustParseAddrPort("10.1.2.3:80"), StartedAt: time.UnixMilli(1_764_000_000_126), FabricDomain: "f-1"}
	reached, known := other.ReachedElsewhere(t.Context(), instance)
	other.note("reached %t known %t", reached, known)
	other.note("none connects %t", other.NoneConnects(t.Context(), instance))
	leader.setPaths(paths{answers: true, sound: true, dial: flamingodoor.DialResultAnswered})
	other.note("none connects %t", other.NoneConnects(t.Context(), instance))
	applied = leader.applied[0]
	other.state = &exchangev1.ShareRequest{}
	other.copyVersion = leader.version
	other.Leave()
	other.Round(t.Context())
	synctest.Wait()
	leader.notePeer("the other leaves")
	other.note("version %d", other.Version())
	return notes, applied
}

func totalRequests(uses []*exchangev1.InstanceUse) (total int32) {
	for _, use := range uses {
		total += use.GetRequests()
	}
	return total
}

// understood is what hosts of the landing understand of the conversation.
const understood = `from "host-0" at "127.0.1.1:80": 0 requests
from "summary of host-0" at "": 6 requests
relay is stranded: peer "" false, leaving false
as of 1730
registrations 1 to 3: [one two]
configuration 34 confirmed at 1439, copied to 34: [configuration]
relay is not: peer "host-0" true, leaving false
as of 1730
registrations 1 to 2: [packed packed packed]
catch up to 2
probe i-9 10.1.2.3:80 1764000000126 f-1 true 2300
reached false known true
probe i-9 10.1.2.3:80 1764000000126 f-1 true 2050
none connects true
probe i-9 10.1.2.3:80 1764000000126 f-1 true 2050
none connects false
the other leaves: peer "host-1" true, leaving true
version 12`

// withoutNewest is what is understood differently without the fields in newestFields: the
// asker's bound is that of the probe, and peers state nothing of their paths or versions.
var withoutNewest = strings.NewReplacer("true 2050", "true 2150", "known true", "known false", "none connects true", "none connects false", "version 12", "version 0")

// newestFields are the fields that the hosts before the landing do not set.
var newestFields = map[protoreflect.Name][]protoreflect.Name{
	"ShareRequest":  {"part_crashes", "parts_begun", "blocked_parts", "rate_limits", "stranded", "requests_received"},
	"ShareResponse": {"configuration_version", "configuration_next"},
	"ReachRequest":  {"timeout_ms", "dial"},
	"ReachResponse": {"sound", "dial"},
}

// recording holds the messages of the landing and their schema.
type recording struct {
	exchanged []exchanged
	service   protoreflect.ServiceDescriptor
}

func readRecording(t *testing.T) recording {
	t.Helper()
	var read recording
	data, err := os.ReadFile(filepath.Join("testdata", recordedLanding, "messages.json"))
	assert.NilError(t, err)
	assert.NilError(t, json.Unmarshal(data, &read.exchanged))
	schema, err := os.ReadFile(filepath.Join("testdata", recordedLanding, "schema.binpb"))
	assert.NilError(t, err)
	var set descriptorpb.FileDescriptorSet
	assert.NilError(t, proto.Unmarshal(schema, &set))
	files, err := protodesc.NewFiles(&set)
	assert.NilError(t, err)
	found, err := files.FindDescriptorByName("flamingodoor.exchange.v1.ExchangeService")
	assert.NilError(t, err)
	read.service = found.(protoreflect.ServiceDescriptor) //nolint:forcetypeassert // a service by its name
	return read
}

// decode decodes a message by the schema of the landing, which ignores other fields.
func (r recording) decode(t *testing.T, path string, data []byte, response bool) *dynamicpb.Message {
	t.Helper()
	method := r.service.Methods().ByName(protoreflect.Name(path[strings.LastIndex(path, "/")+1:]))
	descriptor := method.Input()
	if response {
		descriptor = method.Output()
	}
	message := dynamicpb.NewMessage(descriptor)
	assert.NilError(t, proto.UnmarshalOptions{DiscardUnknown: true}.Unmarshal(data, message))
	return message
}

// unpackBatches decompresses the records in a message: their bytes depend on the
// compressor.
func unpackBatches(t *testing.T, message *dynamicpb.Message) *dynamicpb.Message {
	t.Helper()
	for _, name := range []protoreflect.Name{"registrations", "records"} {
		if field := message.Descriptor().Fields().ByName(name); field != nil && message.Has(field) {
			unpack(t, message.Mutable(field).Message())
		}
	}
	return message
}

func unpack(t *testing.T, batch protoreflect.Message) {
	t.Helper()
	packed := batch.Descriptor().Fields().ByName("packed")
	if !batch.Has(packed) {
		return
	}
	reader, err := gzip.NewReader(bytes.NewReader(batch.Get(packed).Bytes()))
	assert.NilError(t, err)
	data, err := io.ReadAll(reader)
	assert.NilError(t, err)
	batch.Clear(packed)
	assert.NilError(t, proto.UnmarshalOptions{Merge: true, DiscardUnknown: true}.Unmarshal(data, batch.Interface()))
}

// change returns the recorded messages, each changed by a function.
func (r recording) change(t *testing.T, change func(message *dynamicpb.Message)) []exchanged {
	t.Helper()
	changed := make([]exchanged, 0, len(r.exchanged))
	for _, each := range r.exchanged {
		for data, response := range map[*[]byte]bool{&each.Request: false, &each.Response: true} {
			message := r.decode(t, each.Path, *data, response)
			change(message)
			var err error
			*data, err = proto.Marshal(message)
			assert.NilError(t, err)
		}
		changed = append(changed, each)
	}
	return changed
}

// Guards against messages of the newest landing that this build takes for something
// else, and against one that fails for a field which it does not know or does not get.
func TestMessagesOfTheLandingAreUnderstood(t *testing.T) {
	recorded := readRecording(t)
	full := fullState()
	proto.Merge(full, &exchangev1.ShareRequest{HostId: "host-1", StartedMs: 946684800000, Sequence: 1, Address: "127.0.1.2:80", DataCentre: "dc-1", LinkMbps: 151})
	older := proto.CloneOf(full)
	clearNewest(older)
	for name, test := range map[string]struct {
		messages   []exchanged
		understood string
		applied    *exchangev1.ShareRequest
	}{
		"as recorded": {recorded.exchanged, understood, full},
		"with a field of a newer host": {recorded.change(t, func(message *dynamicpb.Message) {
			message.SetUnknown(protowire.AppendVarint(protowire.AppendTag(nil, 1999, protowire.VarintType), 1))
		}), understood, full},
		"of an older host": {recorded.change(t, func(message *dynamicpb.Message) { clearNewest(message) }), withoutNewest.Replace(understood), older},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				notes, applied := converse(t, &tap{memory: newMemory(), recorded: test.messages})
				assert.Equal(t, strings.Join(notes, "\n"), test.understood)
				applied.ProtoReflect().SetUnknown(nil)
				assert.Assert(t, proto.Equal(applied, test.applied), "understood %v, recorded %v", applied, test.applied)
			})
		})
	}
}

func clearNewest(message proto.Message) {
	reflected := message.ProtoReflect()
	for _, name := range newestFields[reflected.Descriptor().Name()] {
		reflected.Clear(reflected.Descriptor().Fields().ByName(name))
	}
}

// Guards against messages that the newest landing cannot read: by its schema, each field
// has the value that its own hosts sent in the same place.
func TestMessagesAreWrittenAsByTheLanding(t *testing.T) {
	recorded := readRecording(t)
	synctest.Test(t, func(t *testing.T) {
		network := &tap{memory: newMemory()}
		_, _ = converse(t, network)
		assert.Equal(t, len(network.made), len(recorded.exchanged))
		// A copy of the configuration is made beside the message that leads to it.
		byPath := func(a, b exchanged) int { return strings.Compare(a.Path, b.Path) }
		slices.SortStableFunc(network.made, byPath)
		slices.SortStableFunc(recorded.exchanged, byPath)
		for i, want := range recorded.exchanged {
			got := network.made[i]
			assert.Equal(t, got.Path, want.Path)
			for _, pair := range []struct {
				got, want []byte
				response  bool
			}{{got.Request, want.Request, false}, {got.Response, want.Response, true}} {
				sent := unpackBatches(t, recorded.decode(t, want.Path, pair.got, pair.response))
				landed := unpackBatches(t, recorded.decode(t, want.Path, pair.want, pair.response))
				assert.Assert(t, proto.Equal(sent, landed), "message %d: sent %v, recorded %v", i, sent, landed)
			}
		}
	})
}
