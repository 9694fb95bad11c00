package plan

import (
	"strings"
	"time"
)

// Prefixes of the keys of orders.
const (
	orderPrefix = "order/" // to join a group
	freePrefix  = "free/"  // to leave a group
)

// changePrefixes are the prefixes of the keys of group changes, which package
// placement assigns.
var changePrefixes = []string{"form/", "repair/"}

// pendingTask is a group change or an order that has not taken effect yet.
type pendingTask struct {
	domain   string
	since    time.Time // start of the time pending without progress
	examined bool      // in the current round
}

// taskTracker holds since when each task has been pending.
type taskTracker struct {
	now  time.Time               // start of the current round
	open map[string]*pendingTask // by key
}

func newTaskTracker() *taskTracker {
	return &taskTracker{open: map[string]*pendingTask{}}
}

func (t *taskTracker) clear() {
	clear(t.open)
}

func (t *taskTracker) startRound(now time.Time) {
	t.now = now
	for _, task := range t.open {
		task.examined = false
	}
}

// pendingSince marks the task as examined in this round and returns since when it
// has been pending.
func (t *taskTracker) pendingSince(key, domain string) time.Time {
	task := t.open[key]
	if task == nil {
		task = &pendingTask{since: t.now}
		t.open[key] = task
	}
	task.examined, task.domain = true, domain
	return task.since
}

// retain keeps the tasks with the given key prefixes pending although this round
// does not examine them.
func (t *taskTracker) retain(prefixes ...string) {
	for key, task := range t.open {
		for _, prefix := range prefixes {
			if strings.HasPrefix(key, prefix) {
				task.examined = true
			}
		}
	}
}

// finishRound drops the tasks that this round did not examine, because they
// have taken effect. An order that took effect shows that a planner of a lower
// rank is working through the orders of the fabric domain, as fast as the
// weight store allows. The rank delay of the domain's other orders therefore
// starts again.
func (t *taskTracker) finishRound() {
	advancing := map[string]bool{} // fabric domains in which an order took effect
	for key, task := range t.open {
		if task.examined {
			continue
		}
		delete(t.open, key)
		if strings.HasPrefix(key, orderPrefix) {
			advancing[task.domain] = true
		}
	}
	for key, task := range t.open {
		if strings.HasPrefix(key, orderPrefix) && advancing[task.domain] {
			task.since = t.now
		}
	}
}
