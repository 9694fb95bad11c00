package member_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/member"
)

// members is a configuration with a member list only.
type members struct {
	flamingodoor.Configuration
	hosts    []flamingodoor.EntryHost
	revision uint64
}

func (m members) EntryHosts() []flamingodoor.EntryHost { return m.hosts }
func (m members) EntryHostsRevision() uint64           { return m.revision }

// hostList draws a member list of up to 20 hosts.
func hostList(t *rapid.T) []flamingodoor.EntryHost {
	count := rapid.IntRange(1, 20).Draw(t, "hosts")
	hosts := make([]flamingodoor.EntryHost, count)
	for i := range hosts {
		hosts[i] = flamingodoor.EntryHost{
			ID:         fmt.Sprintf("host-%02d", i),
			DataCentre: rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "data centre"),
			JoinOffset: uint64(i + 1),
		}
	}
	return hosts
}

// identifiers returns the set of the hosts' IDs.
func identifiers(hosts []flamingodoor.EntryHost) map[string]bool {
	set := make(map[string]bool)
	for _, host := range hosts {
		set[host.ID] = true
	}
	return set
}

// Guards against a removal of one host that replaces other watchers of an
// endpoint, and against a watcher in another data centre although a host of the
// endpoint's data centre is not a watcher.
func TestWatchersAreStable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := hostList(t)
		endpoint := flamingodoor.Endpoint{ID: rapid.String().Draw(t, "endpoint"), DataCentre: "a"}
		before := member.Watchers(members{hosts: hosts}, endpoint)
		assert.Equal(t, len(before), min(3, len(hosts)))

		left := rapid.IntRange(0, len(hosts)-1).Draw(t, "left")
		rest := append(append([]flamingodoor.EntryHost{}, hosts[:left]...), hosts[left+1:]...)
		after := identifiers(member.Watchers(members{hosts: rest}, endpoint))
		local := 0
		for _, host := range hosts {
			if host.DataCentre == "a" {
				local++
			}
		}
		for i, host := range before {
			assert.Equal(t, host.DataCentre == "a", i < local)
			if host.ID != hosts[left].ID {
				assert.Assert(t, after[host.ID])
			}
		}
	})
}

// Guards against a membership change that replaces more than one voter.
// Majorities before and after the change could then be disjoint.
func TestOneMemberChangesAtMostOneVoter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := hostList(t)
		before := identifiers(member.Voters(members{hosts: hosts}))
		assert.Equal(t, len(before), min(7, len(hosts)))
		changed := rapid.IntRange(0, len(hosts)-1).Draw(t, "changed")
		rest := append(append([]flamingodoor.EntryHost{}, hosts[:changed]...), hosts[changed+1:]...)
		replaced := 0
		for id := range identifiers(member.Voters(members{hosts: rest})) {
			if !before[id] {
				replaced++
			}
		}
		assert.Assert(t, replaced <= 1)
	})
}

// Guards against accepting changes without a majority of the earlier voters
// after a join that displaced a voter.
func TestVoterSetsAfterJoin(t *testing.T) {
	hosts := make([]flamingodoor.EntryHost, 0, 8)
	for i := range 7 {
		hosts = append(hosts, flamingodoor.EntryHost{ID: fmt.Sprint(i), DataCentre: "a", JoinOffset: uint64(i + 1)})
	}
	hosts = append(hosts, flamingodoor.EntryHost{ID: "new", DataCentre: "b", JoinOffset: 9})
	sets := member.VoterSets(members{hosts: hosts, revision: 9})
	assert.Equal(t, len(sets), 2)
	assert.Assert(t, identifiers(sets[0])["new"])
	assert.Assert(t, identifiers(sets[1])["6"])
	assert.Equal(t, len(member.VoterSets(members{hosts: hosts, revision: 10})), 1)
}

// Guards against a second voter set after a join that displaced no voter. One
// unresponsive host of three could then block a drain, because the host that
// joined last would count in one of the two sets only.
func TestOneVoterSetAfterJoinWithoutDisplacement(t *testing.T) {
	hosts := []flamingodoor.EntryHost{
		{ID: "1", DataCentre: "a", JoinOffset: 4}, {ID: "2", DataCentre: "b", JoinOffset: 2}, {ID: "3", DataCentre: "c", JoinOffset: 3},
	}
	assert.Equal(t, len(member.VoterSets(members{hosts: hosts, revision: 4})), 1)
}

// Guards against two hosts with the same planner rank.
func TestPlannerRanksAreDistinct(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := hostList(t)
		seen := make(map[int]bool)
		for _, host := range hosts {
			rank, ok := member.PlannerRank(members{hosts: hosts}, host.ID, "domain")
			assert.Assert(t, ok && !seen[rank] && rank < len(hosts))
			seen[rank] = true
		}
		_, ok := member.PlannerRank(members{hosts: hosts}, "stranger", "domain")
		assert.Assert(t, !ok)
		assert.Equal(t, len(member.Owners(members{hosts: hosts}, "intent-03")), len(hosts))
	})
}
