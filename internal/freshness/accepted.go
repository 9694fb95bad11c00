package freshness

import (
	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/member"
)

// Accepted reports whether enough voters have acknowledged a change for it to be
// accepted: in each voter set of the configuration, a majority of the voters
// that are not gone. A gone host has stopped and therefore cannot grant a lease
// to a host that has not applied the change. A set whose voters are all gone
// needs no acknowledgement.
func Accepted(configuration flamingodoor.Configuration, acknowledged, gone func(hostID string) bool) bool {
	for _, voters := range member.VoterSets(configuration) {
		acknowledgedCount, present := 0, 0
		for _, voter := range voters {
			switch {
			case acknowledged(voter.ID):
				acknowledgedCount++
				present++
			case !gone(voter.ID):
				present++
			}
		}
		if present > 0 && 2*acknowledgedCount <= present {
			return false
		}
	}
	return true
}
