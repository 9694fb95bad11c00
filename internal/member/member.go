// Package member assigns roles to the entry hosts: watchers of endpoints,
// planners of fabric domains, owners of keys and voters. The assignment depends
// only on the configuration, so all hosts with the same configuration agree.
package member

import (
	"cmp"
	"encoding/binary"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"flamingodoor.example/flamingodoor"
)

const (
	// WatcherCount is the number of watchers of an endpoint. Two of three are
	// a majority, so permits survive the loss of one watcher.
	WatcherCount = 3
	// MaxVoters bounds the number of hosts that each change and each lease
	// renewal has to reach. A majority of seven survives the loss of three.
	MaxVoters = 7
)

// candidate is a host with its rendezvous score for a key.
type candidate struct {
	host  flamingodoor.EntryHost
	score uint64
	local bool // in the preferred data centre
}

// Watchers returns up to three hosts that watch the endpoint, with hosts of its
// data centre first. If a host joins or leaves, at most one watcher changes.
func Watchers(configuration flamingodoor.Configuration, endpoint flamingodoor.Endpoint) []flamingodoor.EntryHost {
	ranked := rankHosts(configuration.EntryHosts(), "endpoint/"+endpoint.ID, endpoint.DataCentre)
	return hostsOf(ranked[:min(len(ranked), WatcherCount)])
}

// PlannerRank returns the rank of the host among the hosts that can plan the
// fabric domain; rank 0 is the preferred planner. It returns false if the host
// is not a member.
func PlannerRank(configuration flamingodoor.Configuration, hostID, fabricDomain string) (rank int, ok bool) {
	ranked := rankHosts(configuration.EntryHosts(), "fabric_domain/"+fabricDomain, "")
	rank = slices.IndexFunc(ranked, func(c candidate) bool { return c.host.ID == hostID })
	return max(rank, 0), rank >= 0
}

// Owners returns all hosts by descending rendezvous score for the key. The first
// one that is live is the preferred owner.
func Owners(configuration flamingodoor.Configuration, key string) []flamingodoor.EntryHost {
	return hostsOf(rankHosts(configuration.EntryHosts(), "key/"+key, ""))
}

// Voters returns up to seven hosts that vote on changes and leases. It prefers
// the hosts that joined first, spread over the data centres.
func Voters(configuration flamingodoor.Configuration) []flamingodoor.EntryHost {
	return VotersOf(configuration.EntryHosts())
}

// VotersOf returns the voters of a member list. It cycles through the data
// centres, in the order in which their first hosts joined, and takes from each
// the next host in the order of joining.
func VotersOf(hosts []flamingodoor.EntryHost) []flamingodoor.EntryHost {
	sorted := slices.SortedFunc(slices.Values(hosts), func(a, b flamingodoor.EntryHost) int {
		if a.JoinOffset != b.JoinOffset {
			return cmp.Compare(a.JoinOffset, b.JoinOffset)
		}
		return strings.Compare(a.ID, b.ID)
	})
	var dataCentres []string
	byDataCentre := make(map[string][]flamingodoor.EntryHost)
	for _, host := range sorted {
		if len(byDataCentre[host.DataCentre]) == 0 {
			dataCentres = append(dataCentres, host.DataCentre)
		}
		byDataCentre[host.DataCentre] = append(byDataCentre[host.DataCentre], host)
	}
	count := min(MaxVoters, len(sorted))
	voters := make([]flamingodoor.EntryHost, 0, count)
	for round := 0; len(voters) < count; round++ {
		for _, dataCentre := range dataCentres {
			if round < len(byDataCentre[dataCentre]) && len(voters) < count {
				voters = append(voters, byDataCentre[dataCentre][round])
			}
		}
	}
	return voters
}

// VoterSets returns the voter sets whose majorities must each acknowledge a
// change. Usually this is one set. There are two if the latest change of the
// member list added a host that displaced a voter: a host that has not yet
// applied the join still renews its lease from the earlier set, and majorities
// of two sets of seven that differ in one voter may be disjoint. If the join
// only added a voter, one set suffices, because each of its majorities
// intersects every majority of the earlier set. After a removal one set suffices
// too, because a removed host grants no leases.
func VoterSets(configuration flamingodoor.Configuration) [][]flamingodoor.EntryHost {
	hosts := configuration.EntryHosts()
	voters := VotersOf(hosts)
	lastJoined := slices.IndexFunc(hosts, func(host flamingodoor.EntryHost) bool {
		return host.JoinOffset == configuration.EntryHostsRevision()
	})
	if lastJoined < 0 {
		return [][]flamingodoor.EntryHost{voters}
	}
	earlier := VotersOf(slices.Delete(slices.Clone(hosts), lastJoined, lastJoined+1))
	for _, voter := range earlier {
		if !slices.ContainsFunc(voters, func(host flamingodoor.EntryHost) bool { return host.ID == voter.ID }) {
			return [][]flamingodoor.EntryHost{voters, earlier}
		}
	}
	return [][]flamingodoor.EntryHost{voters}
}

// rankHosts orders the hosts by descending rendezvous score for the key, with
// hosts of the given data centre first.
func rankHosts(hosts []flamingodoor.EntryHost, key, dataCentre string) []candidate {
	var hashes [16]byte // of the key and the host ID
	binary.LittleEndian.PutUint64(hashes[:8], xxhash.Sum64String(key))
	ranked := make([]candidate, 0, len(hosts))
	for _, host := range hosts {
		binary.LittleEndian.PutUint64(hashes[8:], xxhash.Sum64String(host.ID))
		ranked = append(ranked, candidate{
			host:  host,
			score: xxhash.Sum64(hashes[:]),
			local: dataCentre != "" && host.DataCentre == dataCentre,
		})
	}
	slices.SortFunc(ranked, func(a, b candidate) int {
		switch {
		case a.local != b.local && a.local:
			return -1
		case a.local != b.local:
			return 1
		case a.score != b.score:
			return cmp.Compare(b.score, a.score)
		default:
			return strings.Compare(a.host.ID, b.host.ID)
		}
	})
	return ranked
}

func hostsOf(ranked []candidate) []flamingodoor.EntryHost {
	hosts := make([]flamingodoor.EntryHost, 0, len(ranked))
	for _, c := range ranked {
		hosts = append(hosts, c.host)
	}
	return hosts
}
