package freshness_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/freshness"
)

// record is one log entry of the model: a change, a join or a removal.
type record struct {
	add    *flamingodoor.EntryHost
	remove string
}

type configuration struct {
	flamingodoor.Configuration
	applied, members uint64
	hosts            []flamingodoor.EntryHost
}

func (c configuration) Applied() uint64                        { return c.applied }
func (c configuration) EntryHostsRevision() uint64             { return c.members }
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

// process is one run of an entry host. Processes reach each other if they are
// on the same side of the network.
type process struct {
	id, site string
	side     int
	lease    *freshness.Lease
	applied  uint64
	running  bool
	joined   uint64
}

type acceptance struct {
	offset uint64
	at     time.Time
}

type model struct {
	now       time.Time
	logSides  map[int]bool // sides that reach the log
	log       []record
	processes []*process
	accepted  []acceptance
}

func (m *model) append(r record) uint64 {
	m.log = append(m.log, r)
	return uint64(len(m.log))
}

func (m *model) fold(applied uint64) configuration {
	c := configuration{applied: applied}
	for i, r := range m.log[:applied] {
		offset := uint64(i + 1)
		switch {
		case r.add != nil:
			host := *r.add
			host.JoinOffset = offset
			c.hosts, c.members = append(c.hosts, host), offset
		case r.remove != "":
			rest := make([]flamingodoor.EntryHost, 0, len(c.hosts))
			for _, host := range c.hosts {
				if host.ID != r.remove {
					rest = append(rest, host)
				}
			}
			c.hosts, c.members = rest, offset
		}
	}
	return c
}

func (m *model) start(p *process) {
	p.lease = freshness.New(p.id, freshness.WithApplied(func() uint64 { return p.applied }))
	p.applied, p.joined, p.running = 0, 0, true
}

func newModel(t *rapid.T) *model {
	m := &model{now: time.Now(), logSides: map[int]bool{0: true, 1: true}}
	members := rapid.SampledFrom([]int{3, 4, 5, 7, 8}).Draw(t, "members")
	for i := range members + rapid.IntRange(0, 2).Draw(t, "spares") {
		p := &process{id: fmt.Sprint("h", i), site: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "site")}
		m.processes = append(m.processes, p)
		m.start(p)
		if i < members {
			p.joined = m.append(record{add: &flamingodoor.EntryHost{ID: p.id, DataCentre: p.site}})
			p.lease.StartGranting(p.joined)
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

func (m *model) partition(t *rapid.T) {
	if rapid.Bool().Draw(t, "one") {
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

// read applies the log to its tail, if the process reaches the log.
func (m *model) read(p *process) bool {
	if m.logSides[p.side] {
		p.applied = uint64(len(m.log))
	}
	return m.logSides[p.side]
}

// pick draws a running process.
func (m *model) pick(t *rapid.T) *process {
	p := rapid.SampledFrom(m.processes).Draw(t, "process")
	if !p.running {
		t.Skip("stopped")
	}
	return p
}

// gone tells whether the process behind a member list entry has stopped.
func (m *model) gone(c configuration) func(id string) bool {
	return func(id string) bool {
		entry := c.host(id)
		for _, p := range m.processes {
			if entry != nil && p.id == id {
				return !p.running || p.joined != entry.JoinOffset
			}
		}
		return false
	}
}

// accept has the voters on the side of the process apply and acknowledge what
// the process has applied.
func (m *model) accept(p *process) bool {
	c := m.fold(p.applied)
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

func (m *model) write(t *rapid.T) {
	p := m.pick(t)
	if !m.read(p) {
		t.Skip("no log")
	}
	p.applied = m.append(record{})
	m.accept(p)
}

// join adds a process to the members. An entry of an earlier process with the
// same identifier is removed first.
func (m *model) join(t *rapid.T) {
	p := m.pick(t)
	if p.joined != 0 || !m.read(p) || !m.accept(p) {
		t.Skip("not now")
	}
	if m.fold(p.applied).host(p.id) != nil {
		p.applied = m.append(record{remove: p.id})
		return
	}
	p.joined = m.append(record{add: &flamingodoor.EntryHost{ID: p.id, DataCentre: p.site}})
	p.applied = p.joined
	p.lease.StartGranting(p.joined)
}

// remove removes a process that stopped, or the process itself as planned.
func (m *model) remove(t *rapid.T) {
	p := m.pick(t)
	other := rapid.SampledFrom(m.processes).Draw(t, "removed")
	leaves := p == other && p.joined != 0
	if !m.read(p) || !leaves && !m.gone(m.fold(p.applied))(other.id) || !m.accept(p) {
		t.Skip("not now")
	}
	if leaves {
		p.lease.StopGranting()
		p.joined = 0
	}
	p.applied = m.append(record{remove: other.id})
}

// exchange renews a lease from the voters on the same side. The answers arrive
// before or after other processes have gone on.
func (m *model) exchange(t *rapid.T) {
	p := m.pick(t)
	start, c := m.now, m.fold(p.applied)
	var granted []string
	for _, q := range m.processes {
		if q != p && q.running && q.side == p.side {
			if ok, _ := q.lease.Grant(c.applied); ok {
				granted = append(granted, q.id)
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

func (m *model) check(t *rapid.T) {
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

// Guards against a host that takes new work under an old configuration more
// than one lease after a change was accepted, whichever hosts are cut off from
// the log and from each other, stop, restart, join and leave.
func TestFreshHostsFollowAcceptedChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"advance":   m.advance,
			"partition": m.partition,
			"write":     m.write,
			"join":      m.join,
			"remove":    m.remove,
			"exchange":  m.exchange,
			"read": func(t *rapid.T) {
				if p := m.pick(t); m.read(p) {
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
			"": m.check,
		})
	})
}
