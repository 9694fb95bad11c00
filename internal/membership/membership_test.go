package membership_test

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor"
	recordv1 "flamingodoor.example/flamingodoor/gen/flamingodoor/record/v1"
	"flamingodoor.example/flamingodoor/internal/freshness"
	"flamingodoor.example/flamingodoor/internal/membership"
)

// memberLog is a log of membership changes and the configuration that results
// from them.
type memberLog struct {
	flamingodoor.Configuration
	hosts    []flamingodoor.EntryHost
	offset   uint64
	accepted []uint64
	before   func() // runs before each record
}

func (m *memberLog) Current() flamingodoor.Configuration  { return m }
func (m *memberLog) EntryHosts() []flamingodoor.EntryHost { return m.hosts }
func (m *memberLog) EntryHostsRevision() uint64           { return m.offset }
func (m *memberLog) Accept(_ context.Context, offset uint64) error {
	m.accepted = append(m.accepted, offset)
	return nil
}

func (m *memberLog) Record(_ context.Context, r *recordv1.Record) (*recordv1.Verdict, error) {
	if m.before != nil {
		m.before()
	}
	if r.GetExpectedRevision() != m.offset {
		return &recordv1.Verdict{Code: recordv1.VerdictCode_VERDICT_CODE_CONFLICT}, nil
	}
	m.offset++
	var rest []flamingodoor.EntryHost
	for _, host := range m.hosts {
		if host.ID != r.GetRemoveEntryHost() {
			rest = append(rest, host)
		}
	}
	if added := r.GetAddEntryHost(); added != nil {
		rest = append(rest, flamingodoor.EntryHost{ID: added.GetHostId(), JoinOffset: m.offset})
	}
	m.hosts = rest
	return &recordv1.Verdict{Offset: m.offset, Code: recordv1.VerdictCode_VERDICT_CODE_ACCEPTED}, nil
}

func (m *memberLog) Hosts(context.Context) ([]flamingodoor.PlatformHost, error) { return nil, nil }

func newLoop(m *memberLog, presence *membership.Presence, options ...membership.Option) (*membership.Loop, *freshness.Lease) {
	self := flamingodoor.EntryHost{ID: "self", PeerAddress: netip.MustParseAddrPort("127.0.0.1:9")}
	lease := freshness.New(self.ID)
	return membership.New(self, m, m, m, presence, lease, options...), lease
}

// Guards against a new voter that grants leases without knowing the provisional
// restrictions that the other voters hold.
func TestJoinWaitsForTheRestrictions(t *testing.T) {
	m := &memberLog{}
	synced := false
	loop, lease := newLoop(m, membership.NewPresence(m, m), membership.WithRestrictionsSynced(func() bool { return synced }))
	assert.Equal(t, flamingodoor.CodeOf(loop.Step(t.Context(), time.Now())), flamingodoor.CodeNoMajority)
	granted, _ := lease.Grant(100)
	assert.Assert(t, !granted && len(m.hosts) == 0)
	synced = true
	assert.NilError(t, loop.Step(t.Context(), time.Now()))
	granted, _ = lease.Grant(100)
	assert.Assert(t, granted)
}

// Guards against a restarted process that votes under the entry of its
// predecessor, and against a change that is recorded before the previous change
// was acknowledged.
func TestRestartedHostJoinsAnew(t *testing.T) {
	m := &memberLog{hosts: []flamingodoor.EntryHost{{ID: "self", JoinOffset: 3}}, offset: 3}
	loop, lease := newLoop(m, membership.NewPresence(m, m))
	assert.NilError(t, loop.Step(t.Context(), time.Now()))
	assert.Equal(t, len(m.hosts), 0)
	granted, _ := lease.Grant(100)
	assert.Assert(t, !granted)

	assert.NilError(t, loop.Step(t.Context(), time.Now()))
	assert.Equal(t, m.hosts[0].JoinOffset, uint64(5))
	assert.Assert(t, loop.Joined())
	granted, floor := lease.Grant(5)
	assert.Assert(t, granted && floor == 5)
	assert.DeepEqual(t, m.accepted, []uint64{3, 4})

	assert.NilError(t, loop.Step(t.Context(), time.Now()))
	assert.Equal(t, m.offset, uint64(5))
}

// Guards against a leaving voter that still grants when its removal is
// appended, and against a stop that fails on a conflict.
func TestLeaveStopsGrantingFirst(t *testing.T) {
	m := &memberLog{}
	loop, lease := newLoop(m, membership.NewPresence(m, m))
	assert.NilError(t, loop.Step(t.Context(), time.Now()))
	attempts := 0
	m.before = func() {
		granted, _ := lease.Grant(100)
		assert.Assert(t, !granted)
		if attempts++; attempts == 1 {
			m.offset++ // another host's change is appended first
		}
	}
	assert.NilError(t, loop.Leave(t.Context()))
	assert.Equal(t, len(m.hosts), 0)
	assert.Equal(t, attempts, 2)
	assert.NilError(t, loop.Step(t.Context(), time.Now()))
	assert.Equal(t, len(m.hosts), 0)
}

// Guards against the removal of a host that the list showed less than 10 s ago,
// that has joined again, or that was missing in too few reads.
func TestGoneHostIsRemoved(t *testing.T) {
	m := &memberLog{}
	presence := membership.NewPresence(m, m)
	loop, _ := newLoop(m, presence)
	start := time.Now()
	assert.NilError(t, loop.Step(t.Context(), start))
	m.hosts = append(m.hosts, flamingodoor.EntryHost{ID: "other", JoinOffset: 1})
	listed := []flamingodoor.PlatformHost{{ID: "self"}, {ID: "other", Leaving: true}}

	presence.Observe(listed, start)
	presence.Observe(listed[:1], start)
	presence.Observe(listed[:1], start.Add(time.Minute))
	assert.Assert(t, !presence.Gone("other", start.Add(time.Minute)))
	presence.Observe(listed, start)
	for i := range 10 {
		presence.Observe(listed[:1], start.Add(time.Duration(i)*time.Second))
		assert.Assert(t, !presence.Gone("other", start.Add(time.Hour)))
	}
	presence.Observe(listed[:1], start.Add(10*time.Second))
	assert.Assert(t, presence.Gone("other", start.Add(10*time.Second)))

	m.hosts[1].JoinOffset = 9
	assert.Assert(t, !presence.Gone("other", start.Add(10*time.Second)))
	m.hosts[1].JoinOffset = 1
	assert.NilError(t, loop.Step(t.Context(), start.Add(15*time.Second)))
	assert.Equal(t, len(m.hosts), 1)
}
