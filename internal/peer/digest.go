package peer

import (
	"crypto/rand"
	"encoding/binary"
	"maps"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	peerv1 "flamingodoor.example/flamingodoor/gen/flamingodoor/peer/v1"
)

// digestPublisher encodes this host's digest as a delta: entries that changed
// since the version that the caller holds are sent in full, the others as
// references. Sending all entries in full would exceed 16 KB/s at 6 hosts and
// 48 endpoints.
type digestPublisher struct {
	// epoch is random for each process, so that callers detect a restart. It is
	// never 0, which callers send while they hold no digest.
	epoch uint64

	mu            sync.Mutex
	version       uint64                    // increased by each change of an entry's content
	lastReference uint32                    // references are never reused
	entries       map[string]publishedEntry // by endpoint ID
}

// publishedEntry is the latest content of an entry and the digest version that
// introduced it.
type publishedEntry struct {
	content *peerv1.Evidence
	version uint64
}

func newDigestPublisher() *digestPublisher {
	var epoch [8]byte
	_, _ = rand.Read(epoch[:]) // always succeeds
	return &digestPublisher{
		epoch:   max(1, binary.LittleEndian.Uint64(epoch[:])),
		entries: make(map[string]publishedEntry),
	}
}

// encode adds the digest to the response, relative to the version that the
// request names. The response names the epoch only if that of the request
// differs; all entries are then sent in full.
func (p *digestPublisher) encode(
	request *peerv1.ExchangeRequest, response *peerv1.ExchangeResponse, digest []*peerv1.Evidence,
) {
	p.mu.Lock()
	defer p.mu.Unlock()
	heldVersion := request.GetDigestVersion()
	if request.GetDigestEpoch() != p.epoch {
		response.DigestEpoch = p.epoch
		heldVersion = 0
	}
	p.update(digest)
	inFlightLength := 0 // of UnchangedInFlight without its trailing zeros
	for _, evidence := range digest {
		if p.entries[evidence.GetEndpointId()].version > heldVersion {
			response.Evidence = append(response.Evidence, evidence)
			continue
		}
		response.Unchanged = append(response.Unchanged, evidence.GetReference())
		response.UnchangedAgesMs = append(response.UnchangedAgesMs, ageMilliseconds(evidence))
		response.UnchangedInFlight = append(response.UnchangedInFlight, evidence.GetInFlight())
		if evidence.GetInFlight() > 0 {
			inFlightLength = len(response.GetUnchangedInFlight())
		}
	}
	response.UnchangedInFlight = response.GetUnchangedInFlight()[:inFlightLength]
	response.DigestVersion = p.version
}

// update assigns the references of the digest's entries and increases the
// version for each entry that changed. An entry that was absent from the
// previous digest gets a new reference, because callers drop the entries that a
// response does not name.
func (p *digestPublisher) update(digest []*peerv1.Evidence) {
	current := make(map[string]publishedEntry, len(digest))
	for _, evidence := range digest {
		published, ok := p.entries[evidence.GetEndpointId()]
		switch {
		case !ok:
			p.lastReference++
			evidence.Reference = p.lastReference
		default:
			evidence.Reference = published.content.GetReference()
		}
		if !ok || !sameContent(published.content, evidence) {
			p.version++
			published = publishedEntry{content: evidence, version: p.version}
		}
		current[evidence.GetEndpointId()] = published
	}
	p.entries = current
}

// digestCache holds the full entries of one peer's digest.
type digestCache struct {
	epoch   uint64
	version uint64
	entries map[uint32]*peerv1.Evidence // by reference
}

// expand appends the full entries for the references in a response. If the
// response refers to an entry that the cache does not hold, the cache is
// cleared, so that the next request fetches all entries in full.
func (c *digestCache) expand(response *peerv1.ExchangeResponse) {
	if epoch := response.GetDigestEpoch(); epoch != 0 && epoch != c.epoch {
		*c = digestCache{epoch: epoch}
	}
	entries := make(map[uint32]*peerv1.Evidence, len(response.GetEvidence())+len(response.GetUnchanged()))
	for _, evidence := range response.GetEvidence() {
		entries[evidence.GetReference()] = evidence
	}
	complete := len(response.GetUnchanged()) == len(response.GetUnchangedAgesMs())
	for i, reference := range response.GetUnchanged() {
		content, ok := c.entries[reference]
		if !ok || !complete {
			complete = false
			continue
		}
		entries[reference] = content
		inFlight := uint32(0)
		if i < len(response.GetUnchangedInFlight()) {
			inFlight = response.GetUnchangedInFlight()[i]
		}
		age := time.Duration(response.GetUnchangedAgesMs()[i]) * time.Millisecond
		response.Evidence = append(response.Evidence, withLoad(content, age, inFlight))
	}
	c.entries, c.version = entries, response.GetDigestVersion()
	if !complete {
		*c = digestCache{}
	}
}

// digestCaches holds the digest caches of all peers.
type digestCaches struct {
	mu     sync.Mutex
	byHost map[string]*digestCache // by host ID
}

// heldVersion returns the epoch and version of the peer's digest that this host
// holds, or zeros if it holds none.
func (c *digestCaches) heldVersion(hostID string) (epoch, version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if cache, ok := c.byHost[hostID]; ok {
		return cache.epoch, cache.version
	}
	return 0, 0
}

// expand expands a response of the peer with its cache.
func (c *digestCaches) expand(hostID string, response *peerv1.ExchangeResponse) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cache, ok := c.byHost[hostID]
	if !ok {
		cache = &digestCache{}
		c.byHost[hostID] = cache
	}
	cache.expand(response)
}

// retain drops the caches of hosts that are not members.
func (c *digestCaches) retain(members map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	maps.DeleteFunc(c.byHost, func(id string, _ *digestCache) bool { return !members[id] })
}

// ageMilliseconds returns the age of the evidence, rounded up so that evidence
// never appears younger than it is.
func ageMilliseconds(evidence *peerv1.Evidence) uint32 {
	age := evidence.GetAge().AsDuration()
	return uint32((age + time.Millisecond - 1) / time.Millisecond) //nolint:gosec // Evidence in a digest is younger than 3 s.
}

// sameContent compares all fields except the age, the number of requests in
// flight and the reference.
func sameContent(a, b *peerv1.Evidence) bool {
	return a.GetEndpointId() == b.GetEndpointId() &&
		a.GetWatcher() == b.GetWatcher() &&
		a.GetIncarnation() == b.GetIncarnation() &&
		a.GetState() == b.GetState() &&
		a.GetGroupId() == b.GetGroupId() &&
		a.GetFencingNumber() == b.GetFencingNumber() &&
		a.GetMemberIndex() == b.GetMemberIndex() &&
		a.GetModelId() == b.GetModelId() &&
		a.GetVersion() == b.GetVersion() &&
		slices.Equal(a.GetAdapters(), b.GetAdapters())
}

// withLoad returns a copy of the evidence with another age and number of
// requests in flight.
func withLoad(content *peerv1.Evidence, age time.Duration, inFlight uint32) *peerv1.Evidence {
	return &peerv1.Evidence{
		EndpointId:    content.GetEndpointId(),
		Watcher:       content.GetWatcher(),
		Age:           durationpb.New(age),
		Incarnation:   content.GetIncarnation(),
		State:         content.GetState(),
		InFlight:      inFlight,
		GroupId:       content.GetGroupId(),
		FencingNumber: content.GetFencingNumber(),
		MemberIndex:   content.GetMemberIndex(),
		Adapters:      content.GetAdapters(),
		ModelId:       content.GetModelId(),
		Version:       content.GetVersion(),
		Reference:     content.GetReference(),
	}
}
