// Package cold divides the requests that a cold instance bears among the entry
// hosts, which do not ask each other for each request.
package cold

import (
	"encoding/binary"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"flamingodoor.example/flamingodoor"
)

// window is the time over which requests to a cold instance are counted.
const window = time.Second

// Limiter bounds the requests of this host to each cold instance. It is safe
// for concurrent use.
type Limiter struct {
	hostID string

	mu    sync.Mutex
	hosts []string               // all entry hosts, this one included
	ranks map[string]int         // of this host among them, by instance
	sends map[string][]time.Time // within the window, by instance
}

// NewLimiter returns the limiter of a host that does not know the others yet
// and sends nothing to cold instances until it does.
func NewLimiter(hostID string) *Limiter {
	return &Limiter{
		hostID: hostID, ranks: make(map[string]int), sends: make(map[string][]time.Time),
	}
}

// SetHosts tells among which entry hosts the requests are divided.
func (l *Limiter) SetHosts(hosts []string) {
	hosts = slices.Clone(hosts)
	if !slices.Contains(hosts, l.hostID) {
		hosts = append(hosts, l.hostID)
	}
	slices.Sort(hosts)
	l.mu.Lock()
	defer l.mu.Unlock()
	if slices.Equal(hosts, l.hosts) {
		return
	}
	l.hosts = hosts
	clear(l.ranks)
}

// HasRoom reports whether the instance may get a request of this host. `rate`
// is what it bears a second while it is cold; 0 has no limit.
func (l *Limiter) HasRoom(instance flamingodoor.Instance, rate float64, now time.Time) bool {
	if rate <= 0 || !now.Before(instance.ColdUntil) {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.recent(instance.ID, now)) < l.share(instance.ID, rate)
}

// Take counts a request to the instance and reports whether there was room.
func (l *Limiter) Take(instance flamingodoor.Instance, rate float64, now time.Time) bool {
	if rate <= 0 || !now.Before(instance.ColdUntil) {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	recent := l.recent(instance.ID, now)
	if len(recent) >= l.share(instance.ID, rate) {
		return false
	}
	l.sends[instance.ID] = append(recent, now)
	return true
}

// recent drops the requests that left the window.
func (l *Limiter) recent(instanceID string, now time.Time) []time.Time {
	recent := slices.DeleteFunc(l.sends[instanceID], func(sent time.Time) bool { return now.Sub(sent) >= window })
	if len(recent) == 0 {
		delete(l.sends, instanceID)
		return nil
	}
	l.sends[instanceID] = recent
	return recent
}

// share is this host's part of the requests a second. Of what is left over
// after an even division the first hosts in rendezvous order get one each, so
// that more hosts than requests keep the limit too.
func (l *Limiter) share(instanceID string, rate float64) int {
	if len(l.hosts) == 0 {
		return 0
	}
	whole := max(1, int(rate))
	share := whole / len(l.hosts)
	if l.rank(instanceID) < whole%len(l.hosts) {
		share++
	}
	return share
}

func (l *Limiter) rank(instanceID string) int {
	if rank, ok := l.ranks[instanceID]; ok {
		return rank
	}
	own, rank := score(instanceID, l.hostID), 0
	for _, host := range l.hosts {
		if score(instanceID, host) > own {
			rank++
		}
	}
	l.ranks[instanceID] = rank
	return rank
}

func score(instanceID, hostID string) uint64 {
	var pair [16]byte
	binary.LittleEndian.PutUint64(pair[:8], xxhash.Sum64String(instanceID))
	binary.LittleEndian.PutUint64(pair[8:], xxhash.Sum64String(hostID))
	return xxhash.Sum64(pair[:])
}
