package planner_test

import (
	"bytes"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"
)

// lastFleetLine returns the counts in the last line event=fleet of a log.
func lastFleetLine(t *testing.T, lines string) map[string]int {
	t.Helper()
	counts := make(map[string]int)
	for line := range strings.Lines(lines) {
		if !strings.Contains(line, "event=fleet ") {
			continue
		}
		for _, field := range strings.Fields(line) {
			name, value, _ := strings.Cut(field, "=")
			if count, err := strconv.Atoi(value); err == nil {
				counts[name] = count
			}
		}
	}
	assert.Assert(t, len(counts) > 0, "no line event=fleet")
	return counts
}

// lockedBuffer is written by the planner and its background tasks.
type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (l *lockedBuffer) Write(data []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buffer.Write(data)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buffer.String()
}

// Guards against listed instances that serve nothing for no reason in the log, and
// against instances that are counted twice or not at all.
func TestFleetLineShowsWhatEachListedInstanceIsDoing(t *testing.T) {
	h := newHarness(t)
	h.demand = map[string]float64{large: 4, small: 0}
	h.add("d0", 10, large)
	h.add("", 3, large)
	var lines lockedBuffer
	parts := h.parts()
	parts.Logger = log.NewLogfmtLogger(&lines)
	p := h.lead(parts)
	check := func(want map[string]int) {
		t.Helper()
		counts := lastFleetLine(t, lines.String())
		for name, count := range want {
			assert.Equal(t, counts[name], count, "%s in %v", name, counts)
		}
		sum := 0
		for _, name := range []string{"free", "serving", "forming", "closing", "broken", "leaving", "lost", "evacuated", "unplaced"} {
			sum += counts[name]
		}
		assert.Equal(t, sum, counts["listed"], "%v", counts)
	}
	h.run(10*time.Second, p)
	check(map[string]int{"listed": 13, "serving": 8, "free": 2, "unplaced": 3, "lost": 0})
	h.loseInstance(h.openHead())
	for range 10 {
		h.run(time.Second, p)
		check(nil)
	}
	h.catalogue.Evacuate([]string{"dc-a"})
	h.run(2*time.Second, p)
	check(map[string]int{"serving": 0, "free": 0, "evacuated": 12, "lost": 1})
}
