package plan

import (
	"strings"
	"time"
)

// Prefixes of the keys of needs.
const (
	orderPrefix = "order/"
	freePrefix  = "free/"
)

var changePrefixes = []string{"form/", "repair/"}

// need is something to be done, and the time since which it has stood without
// progress.
type need struct {
	domain string
	since  time.Time
	seen   bool // in this round
}

// needs remembers how long each need has stood.
type needs struct {
	now  time.Time
	open map[string]*need
}

func newNeeds() *needs {
	return &needs{open: map[string]*need{}}
}

func (n *needs) clear() {
	clear(n.open)
}

func (n *needs) begin(now time.Time) {
	n.now = now
	for _, need := range n.open {
		need.seen = false
	}
}

// since returns the time since which the need has stood.
func (n *needs) since(key, domain string) time.Time {
	entry := n.open[key]
	if entry == nil {
		entry = &need{since: n.now}
		n.open[key] = entry
	}
	entry.seen, entry.domain = true, domain
	return entry.since
}

// keep retains needs that this round did not examine.
func (n *needs) keep(prefixes ...string) {
	for key, need := range n.open {
		for _, prefix := range prefixes {
			if strings.HasPrefix(key, prefix) {
				need.seen = true
			}
		}
	}
}

// end drops the needs that were met. A met order is progress in its fabric
// domain, so the other orders of the domain wait anew: the planner of the
// lower rank is at work, paced by the weight store.
func (n *needs) end() {
	progress := map[string]bool{}
	for key, need := range n.open {
		if need.seen {
			continue
		}
		delete(n.open, key)
		if strings.HasPrefix(key, orderPrefix) {
			progress[need.domain] = true
		}
	}
	for key, need := range n.open {
		if strings.HasPrefix(key, orderPrefix) && progress[need.domain] {
			need.since = n.now
		}
	}
}
