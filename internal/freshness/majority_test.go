package freshness_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/freshness"
	"flamingodoor.example/flamingodoor/internal/member"
)

// Guards against a host that has not applied the latest join or removal and gets
// a lease although it lacks an accepted change: the voters of its older
// configuration that neither acknowledged the change nor stopped must not be a
// majority.
func TestAcceptanceMeetsEveryEarlierMajority(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := make([]flamingodoor.EntryHost, 0, 10)
		for i := range rapid.OneOf(rapid.IntRange(2, 7), rapid.IntRange(8, 10)).Draw(t, "hosts") {
			dataCentre := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "data centre")
			hosts = append(hosts, flamingodoor.EntryHost{ID: fmt.Sprint(i), DataCentre: dataCentre, JoinOffset: uint64(i + 1)})
		}
		last := len(hosts) - 1
		gone := rapid.OneOf(rapid.Just(uint16(0)), rapid.Uint16Range(0, 1<<len(hosts)-1)).Draw(t, "gone")
		// The latest change is either the join or the removal of the last host.
		joined := rapid.Bool().Draw(t, "joined")
		older, newer := configuration{hosts: hosts[:last]}, configuration{hosts: hosts, membersRevision: hosts[last].JoinOffset}
		if !joined {
			older, newer = configuration{hosts: hosts}, configuration{hosts: hosts[:last], membersRevision: uint64(last + 2)}
			gone |= 1 << last // the host stops granting before its removal
		}
		in := func(set uint16) func(string) bool {
			return func(id string) bool {
				var index int
				_, err := fmt.Sscan(id, &index)
				return err == nil && set>>index&1 == 1
			}
		}
		for acknowledged := range uint16(1 << len(hosts)) {
			if acknowledged&gone != 0 || !freshness.Accepted(newer, in(acknowledged), in(gone)) {
				continue
			}
			granting, voters := 0, member.Voters(older)
			for _, voter := range voters {
				if !in(acknowledged | gone)(voter.ID) {
					granting++
				}
			}
			assert.Assert(t, 2*granting <= len(voters), "acknowledged %b, gone %b", acknowledged, gone)
		}
	})
}
