package freshness

import (
	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/member"
)

// Accepted reports whether the voters that have acknowledged a change suffice
// for its acceptance: a majority of the voters that are not gone, in each voter
// set of the configuration. A gone host has stopped, so that it grants no lease
// to a host which the change has not reached.
func Accepted(configuration flamingodoor.Configuration, acknowledged, gone func(hostID string) bool) bool {
	for _, voters := range member.VoterSets(configuration) {
		count, present := 0, 0
		for _, voter := range voters {
			switch {
			case acknowledged(voter.ID):
				count++
				present++
			case !gone(voter.ID):
				present++
			}
		}
		if present > 0 && 2*count <= present {
			return false
		}
	}
	return true
}
