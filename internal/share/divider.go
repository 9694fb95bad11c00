// Package share divides whole numbers among the entry hosts, which then need
// not ask each other.
package share

import (
	"encoding/binary"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// Divider computes the part of one host. It is safe for concurrent use.
type Divider struct {
	hostID string

	mu    sync.Mutex
	hosts []string       // all entry hosts, this one included; empty until they are known
	ranks map[string]int // of this host among them, by key
}

// NewDivider returns the divider of a host that does not know the others yet.
func NewDivider(hostID string) *Divider {
	return &Divider{hostID: hostID, ranks: make(map[string]int)}
}

// SetHosts tells among which entry hosts numbers are divided.
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

// Known reports whether the hosts are known.
func (d *Divider) Known() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.hosts) > 0
}

// Part is this host's part of a number: none until the hosts are known. Of
// what is left over after an even division the first hosts in rendezvous order
// of the key get one each, so that the parts never exceed the whole.
func (d *Divider) Part(key string, whole int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.hosts) == 0 {
		return 0
	}
	part := whole / len(d.hosts)
	if d.rank(key) < whole%len(d.hosts) {
		part++
	}
	return part
}

func (d *Divider) rank(key string) int {
	if rank, ok := d.ranks[key]; ok {
		return rank
	}
	// Keys of instances that are gone would add up.
	if len(d.ranks) >= maxRanks {
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

// maxRanks bounds the memory of a divider; it is more than all instances at
// the target scale.
const maxRanks = 4096

func score(key, hostID string) uint64 {
	var pair [16]byte
	binary.LittleEndian.PutUint64(pair[:8], xxhash.Sum64String(key))
	binary.LittleEndian.PutUint64(pair[8:], xxhash.Sum64String(hostID))
	return xxhash.Sum64(pair[:])
}
