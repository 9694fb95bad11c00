// Package member decides which entry hosts watch, plan, own and vote, from the
// member list of the configuration alone.
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
	// MaxVoters bounds the hosts that each change and each lease has to reach.
	// A majority survives the loss of three of seven.
	MaxVoters = 7
)

type scored struct {
	host  flamingodoor.EntryHost
	score uint64
	near  bool
}

// Watchers returns up to three hosts that watch the endpoint, hosts of its data
// centre first. A host that joins or leaves displaces at most one watcher.
func Watchers(configuration flamingodoor.Configuration, endpoint flamingodoor.Endpoint) []flamingodoor.EntryHost {
	ranked := rank(configuration.EntryHosts(), "endpoint/"+endpoint.ID, endpoint.DataCentre)
	return hostsOf(ranked[:min(len(ranked), WatcherCount)])
}

// PlannerRank returns the place of the host in the order in which hosts plan
// for the fabric domain, from 0. It reports false if the host is no member.
func PlannerRank(configuration flamingodoor.Configuration, hostID, fabricDomain string) (place int, ok bool) {
	ranked := rank(configuration.EntryHosts(), "fabric_domain/"+fabricDomain, "")
	place = slices.IndexFunc(ranked, func(s scored) bool { return s.host.ID == hostID })
	return max(place, 0), place >= 0
}

// Owners returns all hosts by descending score for the key. The first live one
// is the preferred owner.
func Owners(configuration flamingodoor.Configuration, key string) []flamingodoor.EntryHost {
	return hostsOf(rank(configuration.EntryHosts(), "key/"+key, ""))
}

// Voters returns up to seven of the longest-standing hosts, spread over data
// centres.
func Voters(configuration flamingodoor.Configuration) []flamingodoor.EntryHost {
	return VotersOf(configuration.EntryHosts())
}

// VotersOf returns the voters of a member list. It takes the hosts of each data
// centre in the order in which they joined, one data centre after the other;
// data centres follow the order of their first host.
func VotersOf(hosts []flamingodoor.EntryHost) []flamingodoor.EntryHost {
	sorted := slices.SortedFunc(slices.Values(hosts), func(a, b flamingodoor.EntryHost) int {
		if a.JoinOffset != b.JoinOffset {
			return cmp.Compare(a.JoinOffset, b.JoinOffset)
		}
		return strings.Compare(a.ID, b.ID)
	})
	var order []string
	sites := make(map[string][]flamingodoor.EntryHost)
	for _, host := range sorted {
		if len(sites[host.DataCentre]) == 0 {
			order = append(order, host.DataCentre)
		}
		sites[host.DataCentre] = append(sites[host.DataCentre], host)
	}
	want := min(MaxVoters, len(sorted))
	voters := make([]flamingodoor.EntryHost, 0, want)
	for round := 0; len(voters) < want; round++ {
		for _, site := range order {
			if round < len(sites[site]) && len(voters) < want {
				voters = append(voters, sites[site][round])
			}
		}
	}
	return voters
}

// VoterSets returns the voter sets whose majorities must each acknowledge a
// change. There are two while the latest change of the member list added a host
// that displaced a live voter: a host that has not yet applied the join still
// renews its lease from the earlier set, and the majorities of two sets of seven
// that differ in one voter need not meet. A majority of a set with one voter
// more meets every majority of the earlier set, so that one set is enough then.
// It also is after a removal, because a removed host grants nothing.
func VoterSets(configuration flamingodoor.Configuration) [][]flamingodoor.EntryHost {
	hosts := configuration.EntryHosts()
	voters := VotersOf(hosts)
	newest := slices.IndexFunc(hosts, func(host flamingodoor.EntryHost) bool {
		return host.JoinOffset == configuration.EntryHostsRevision()
	})
	if newest < 0 {
		return [][]flamingodoor.EntryHost{voters}
	}
	earlier := VotersOf(slices.Delete(slices.Clone(hosts), newest, newest+1))
	for _, voter := range earlier {
		if !slices.ContainsFunc(voters, func(host flamingodoor.EntryHost) bool { return host.ID == voter.ID }) {
			return [][]flamingodoor.EntryHost{voters, earlier}
		}
	}
	return [][]flamingodoor.EntryHost{voters}
}

// rank orders hosts by descending rendezvous score for the key, those of the
// given data centre first.
func rank(hosts []flamingodoor.EntryHost, key, dataCentre string) []scored {
	var pair [16]byte
	binary.LittleEndian.PutUint64(pair[:8], xxhash.Sum64String(key))
	ranked := make([]scored, 0, len(hosts))
	for _, host := range hosts {
		binary.LittleEndian.PutUint64(pair[8:], xxhash.Sum64String(host.ID))
		ranked = append(ranked, scored{
			host:  host,
			score: xxhash.Sum64(pair[:]),
			near:  dataCentre != "" && host.DataCentre == dataCentre,
		})
	}
	slices.SortFunc(ranked, func(a, b scored) int {
		switch {
		case a.near != b.near && a.near:
			return -1
		case a.near != b.near:
			return 1
		case a.score != b.score:
			return cmp.Compare(b.score, a.score)
		default:
			return strings.Compare(a.host.ID, b.host.ID)
		}
	})
	return ranked
}

func hostsOf(ranked []scored) []flamingodoor.EntryHost {
	hosts := make([]flamingodoor.EntryHost, 0, len(ranked))
	for _, s := range ranked {
		hosts = append(hosts, s.host)
	}
	return hosts
}
