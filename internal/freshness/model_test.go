package freshness_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/freshness"
)

// record is one log entry of the model: a join, a removal or, if both fields are
// empty, any other change.
type record struct {
	add    *flamingodoor.EntryHost
	remove string
}

// configuration is the configuration at an applied offset.
type configuration struct {
	flamingodoor.Configuration
	applied, membersRevision uint64
	hosts                    []flamingodoor.EntryHost
}

func (c configuration) Applied() uint64                        { return c.applied }
func (c configuration) EntryHostsRevision() uint64             { return c.membersRevision }
func (c configuration) EntryHosts() []flamingodoor.EntryHost   { return c.hosts }
func (c configuration) host(id string) *flamingodoor.EntryHost { return find(c.hosts, id) }

func find(hosts []flamingodoor.EntryHost, id string) *flamingodoor.EntryHost {
	for i := range hosts {
		if hosts[i].ID == id {
			return &hosts[i]
		}
	}
	return nil
}

// process models the process of one entry host; a restart resets its state.
// Processes can communicate if they are on the same side of a network partition.
type process struct {
	id, dataCentre string
	side           int
	lease          *freshness.Lease
	applied        uint64
	running        bool
	joinOffset     uint64 // 0 before the process joins and after it leaves as planned
}

// acceptance is an accepted change and the time of its acceptance.
type acceptance struct {
	offset uint64
	at     time.Time
}

// model simulates entry hosts, the log and a network that can be partitioned.
type model struct {
	now       time.Time
	logSides  map[int]bool // sides of the network that can reach the log
	log       []record
	processes []*process
	accepted  []acceptance
}

func (m *model) append(r record) uint64 {
	m.log = append(m.log, r)
	return uint64(len(m.log))
}

// configurationAt returns the configuration after the records up to an offset.
func (m *model) configurationAt(applied uint64) configuration {
	c := configuration{applied: applied}
	for i, entry := range m.log[:applied] {
		offset := uint64(i + 1)
		switch {
		case entry.add != nil:
			host := *entry.add
			host.JoinOffset = offset
			c.hosts, c.membersRevision = append(c.hosts, host), offset
		case entry.remove != "":
			remaining := make([]flamingodoor.EntryHost, 0, len(c.hosts))
			for _, host := range c.hosts {
				if host.ID != entry.remove {
					remaining = append(remaining, host)
				}
			}
			c.hosts, c.membersRevision = remaining, offset
		}
	}
	return c
}

// start starts a new process without state.
func (m *model) start(p *process) {
	p.lease = freshness.New(p.id, freshness.WithApplied(func() uint64 { return p.applied }))
	p.applied, p.joinOffset, p.running = 0, 0, true
}

func newModel(t *rapid.T) *model {
	m := &model{now: time.Now(), logSides: map[int]bool{0: true, 1: true}}
	members := rapid.SampledFrom([]int{3, 4, 5, 7, 8}).Draw(t, "members")
	for i := range members + rapid.IntRange(0, 2).Draw(t, "spares") {
		p := &process{id: fmt.Sprint("h", i), dataCentre: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "data centre")}
		m.processes = append(m.processes, p)
		m.start(p)
		if i < members {
			p.joinOffset = m.append(record{add: &flamingodoor.EntryHost{ID: p.id, DataCentre: p.dataCentre}})
			p.lease.StartGranting(p.joinOffset)
		}
	}
	tail := uint64(len(m.log))
	for _, p := range m.processes {
		p.applied = tail
		p.lease.Acknowledge(tail)
	}
	m.accepted = []acceptance{{offset: tail, at: m.now}}
	return m
}

func (m *model) advance(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 3500).Draw(t, "ms")) * time.Millisecond)
}

// partition moves one process to the other side, or redraws the whole partition.
func (m *model) partition(t *rapid.T) {
	if rapid.Bool().Draw(t, "one process") {
		rapid.SampledFrom(m.processes).Draw(t, "moved").side = rapid.IntRange(0, 1).Draw(t, "side")
		return
	}
	for _, p := range m.processes {
		p.side = rapid.IntRange(0, 1).Draw(t, "side")
	}
	for side := range 2 {
		m.logSides[side] = rapid.Bool().Draw(t, "log")
	}
}

// read makes the process apply the log to its tail. It returns false if the
// process cannot reach the log.
func (m *model) read(p *process) bool {
	if m.logSides[p.side] {
		p.applied = uint64(len(m.log))
	}
	return m.logSides[p.side]
}

// drawRunning draws a process and discards the step if that is not running.
func (m *model) drawRunning(t *rapid.T) *process {
	p := rapid.SampledFrom(m.processes).Draw(t, "process")
	if !p.running {
		t.Skip("stopped")
	}
	return p
}

// gone returns a function that reports whether the process that joined as an
// entry host of the configuration has stopped.
func (m *model) gone(c configuration) func(id string) bool {
	return func(id string) bool {
		entry := c.host(id)
		for _, p := range m.processes {
			if entry != nil && p.id == id {
				return !p.running || p.joinOffset != entry.JoinOffset
			}
		}
		return false
	}
}

// accept makes the processes on the same side apply and acknowledge what the
// process has applied. It returns whether that suffices for acceptance.
func (m *model) accept(p *process) bool {
	c := m.configurationAt(p.applied)
	acknowledged := make(map[string]bool)
	for _, voter := range m.processes {
		if voter.running && voter.side == p.side {
			voter.applied = max(voter.applied, p.applied)
			voter.lease.Acknowledge(p.applied)
			acknowledged[voter.id] = true
		}
	}
	accepted := freshness.Accepted(c, func(id string) bool { return acknowledged[id] }, m.gone(c))
	if accepted {
		m.accepted = append(m.accepted, acceptance{offset: p.applied, at: m.now})
	}
	return accepted
}

// write appends a change and tries to get it accepted.
func (m *model) write(t *rapid.T) {
	p := m.drawRunning(t)
	if !m.read(p) {
		t.Skip("the log is unreachable")
	}
	p.applied = m.append(record{})
	m.accept(p)
}

// join adds a process to the entry hosts. If they contain an earlier process with
// the same identifier, the step only removes that one.
func (m *model) join(t *rapid.T) {
	p := m.drawRunning(t)
	if p.joinOffset != 0 || !m.read(p) || !m.accept(p) {
		t.Skip("cannot join now")
	}
	if m.configurationAt(p.applied).host(p.id) != nil {
		p.applied = m.append(record{remove: p.id})
		return
	}
	p.joinOffset = m.append(record{add: &flamingodoor.EntryHost{ID: p.id, DataCentre: p.dataCentre}})
	p.applied = p.joinOffset
	p.lease.StartGranting(p.joinOffset)
}

// remove removes a process that has stopped, or the acting process itself, which
// stops granting first.
func (m *model) remove(t *rapid.T) {
	p := m.drawRunning(t)
	removed := rapid.SampledFrom(m.processes).Draw(t, "removed")
	planned := p == removed && p.joinOffset != 0
	if !m.read(p) || !planned && !m.gone(m.configurationAt(p.applied))(removed.id) || !m.accept(p) {
		t.Skip("cannot be removed now")
	}
	if planned {
		p.lease.StopGranting()
		p.joinOffset = 0
	}
	p.applied = m.append(record{remove: removed.id})
}

// renewFromVoters renews a lease by the voters on the same side. The answers may
// arrive after further time, a partition and a change.
func (m *model) renewFromVoters(t *rapid.T) {
	p := m.drawRunning(t)
	start, c := m.now, m.configurationAt(p.applied)
	var granted []string
	for _, voter := range m.processes {
		if voter != p && voter.running && voter.side == p.side {
			if ok, _ := voter.lease.Grant(c.applied); ok {
				granted = append(granted, voter.id)
			}
		}
	}
	if rapid.Bool().Draw(t, "late") {
		m.advance(t)
		m.partition(t)
		m.write(t)
	}
	if p.running {
		p.lease.RenewFromVoters(start, granted, c)
	}
}

// checkFreshness fails the test if a process is fresh more than LeaseDuration
// after the acceptance of a change that it has not applied.
func (m *model) checkFreshness(t *rapid.T) {
	for _, a := range m.accepted {
		if !m.now.After(a.at.Add(freshness.LeaseDuration)) {
			continue
		}
		for _, p := range m.processes {
			if p.running && p.applied < a.offset && p.lease.Fresh(m.now) {
				t.Fatalf("%s is fresh at offset %d, %v after the acceptance of offset %d",
					p.id, p.applied, m.now.Sub(a.at), a.offset)
			}
		}
	}
}

// Guards against a host that accepts new work under an old configuration more
// than one lease duration after a change was accepted, while hosts are
// partitioned from the log and from each other, stop, restart, join and leave.
func TestFreshHostsFollowAcceptedChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"advance":   m.advance,
			"partition": m.partition,
			"write":     m.write,
			"join":      m.join,
			"remove":    m.remove,
			"exchange":  m.renewFromVoters,
			"read": func(t *rapid.T) {
				if p := m.drawRunning(t); m.read(p) {
					p.lease.RenewFromLog(m.now)
				}
			},
			"stop or restart": func(t *rapid.T) {
				p := rapid.SampledFrom(m.processes).Draw(t, "process")
				if p.running {
					p.running = false
				} else {
					m.start(p)
				}
			},
			"": m.checkFreshness,
		})
	})
}
