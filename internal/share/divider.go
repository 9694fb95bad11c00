// Package share divides integer limits among the entry hosts without any
// communication between them: each host computes its own part.
package share

import (
	"encoding/binary"
	"math"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// Divider computes this host's part of a limit. It is safe for concurrent use.
type Divider struct {
	hostID string

	mu    sync.Mutex
	hosts []string       // those among which limits are divided, this one included; empty until they are known
	idle  bool           // this host uses no part
	ranks map[string]int // cached rank of this host among the hosts, by key
}

// NewDivider returns a divider for the host. Every part is 0 until SetHosts is
// called.
func NewDivider(hostID string) *Divider {
	return &Divider{hostID: hostID, ranks: make(map[string]int)}
}

// SetHosts sets the entry hosts among which limits are divided. This host is
// added if it is missing.
func (d *Divider) SetHosts(hosts []string) {
	hosts = slices.Clone(hosts)
	if !slices.Contains(hosts, d.hostID) {
		hosts = append(hosts, d.hostID)
	}
	slices.Sort(hosts)
	d.mu.Lock()
	defer d.mu.Unlock()
	if slices.Equal(hosts, d.hosts) {
		return
	}
	d.hosts = hosts
	clear(d.ranks)
}

// SetIdle sets whether this host uses no part of the limits: every part is 0 while it
// does not.
func (d *Divider) SetIdle(idle bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.idle = idle
}

// Known reports whether SetHosts was called.
func (d *Divider) Known() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.hosts) > 0
}

// Share returns this host's part of the total, or 0 until the hosts are known. The
// remainder of an even division goes, one each, to the first hosts in the
// rendezvous order of the key, so the parts of all hosts add up to the total.
func (d *Divider) Share(key string, total int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.hosts) == 0 || d.idle {
		return 0
	}
	part := total / len(d.hosts)
	if d.rank(key) < total%len(d.hosts) {
		part++
	}
	return part
}

// RateShare returns this host's part of a rate in requests per second, or 0 until
// the hosts are known. A rate that is lower than the number of hosts is divided
// among the first hosts in the rendezvous order of the key, so that each of them
// may send about one request a second; the others get none. The parts of all hosts
// add up to the rate.
func (d *Divider) RateShare(key string, perSecond float64) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	sharing := min(float64(len(d.hosts)), math.Ceil(perSecond))
	if sharing < 1 || d.idle || float64(d.rank(key)) >= sharing {
		return 0
	}
	return perSecond / sharing
}

// rank returns the position of this host in the rendezvous order of the key.
func (d *Divider) rank(key string) int {
	if rank, ok := d.ranks[key]; ok {
		return rank
	}
	// Without this, keys of instances that no longer exist would accumulate.
	if len(d.ranks) >= maxCachedRanks {
		clear(d.ranks)
	}
	own, rank := score(key, d.hostID), 0
	for _, host := range d.hosts {
		if score(key, host) > own {
			rank++
		}
	}
	d.ranks[key] = rank
	return rank
}

// maxCachedRanks limits the memory of a divider; it exceeds the number of
// instances at the target scale.
const maxCachedRanks = 4096

// score returns the rendezvous score of a host for a key; the highest is first.
func score(key, hostID string) uint64 {
	var pair [16]byte
	binary.LittleEndian.PutUint64(pair[:8], xxhash.Sum64String(key))
	binary.LittleEndian.PutUint64(pair[8:], xxhash.Sum64String(hostID))
	return xxhash.Sum64(pair[:])
}
