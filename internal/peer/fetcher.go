package peer

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"connectrpc.com/connect"

	"flamingodoor.example/flamingodoor"
	peerv1 "flamingodoor.example/flamingodoor/gen/flamingodoor/peer/v1"
)

const fetchTimeout = 5 * time.Second

// FetcherOption changes a Fetcher at its construction.
type FetcherOption func(*Fetcher)

// WithSeeds sets peer addresses that are asked while the configuration of this
// host names no other entry host, as at a start while the log is down.
func WithSeeds(addresses ...netip.AddrPort) FetcherOption {
	return func(f *Fetcher) {
		for _, address := range addresses {
			f.seeds = append(f.seeds, flamingodoor.EntryHost{PeerAddress: address})
		}
	}
}

// Snapshot is the encoded state of a peer.
type Snapshot struct {
	Applied uint64
	State   []byte
}

// Fetcher reads records and snapshots from the peers.
type Fetcher struct {
	hostID    string
	source    flamingodoor.ConfigurationSource
	directory flamingodoor.PeerDirectory
	seeds     []flamingodoor.EntryHost
}

// NewFetcher returns a fetcher of the host.
func NewFetcher(
	hostID string, source flamingodoor.ConfigurationSource,
	directory flamingodoor.PeerDirectory, options ...FetcherOption,
) *Fetcher {
	f := &Fetcher{hostID: hostID, source: source, directory: directory}
	for _, option := range options {
		option(f)
	}
	return f
}

// FetchRecords returns consecutive records from the offset on, from the peer
// that sends most. It returns none if no peer has newer ones. The error has
// CodeTrimmed if a peer has newer records but none keeps the one at the offset,
// so that a snapshot is needed, and CodeLogUnavailable if no peer answers.
func (f *Fetcher) FetchRecords(ctx context.Context, from uint64) ([]flamingodoor.LogEntry, error) {
	answers := gather(ctx, f, func(ctx context.Context, host flamingodoor.EntryHost) (*peerv1.FetchRecordsResponse, error) {
		response, err := f.directory.Peer(host).FetchRecords(ctx,
			connect.NewRequest(&peerv1.FetchRecordsRequest{From: from, MaxRecords: maxFetchRecords}))
		if err != nil {
			return nil, err
		}
		return response.Msg, nil
	})
	var best []flamingodoor.LogEntry
	answered, newest := false, uint64(0)
	for answer := range answers {
		if answer.err != nil {
			continue
		}
		answered, newest = true, max(newest, answer.value.GetApplied())
		if entries := consecutive(answer.value, from); len(entries) > len(best) {
			best = entries
		}
	}
	switch {
	case !answered:
		return nil, flamingodoor.Errorf(flamingodoor.CodeLogUnavailable, "no peer answered a request for records")
	case len(best) == 0 && newest >= from:
		return nil, flamingodoor.Errorf(flamingodoor.CodeTrimmed, "no peer keeps the record at offset %d", from)
	}
	return best, nil
}

// FetchSnapshot returns the newest state among the peers, once more than half
// of those that can be reached have sent theirs. The error has CodeNoMajority
// otherwise.
func (f *Fetcher) FetchSnapshot(ctx context.Context) (Snapshot, error) {
	answers := gather(ctx, f, func(ctx context.Context, host flamingodoor.EntryHost) (*peerv1.FetchSnapshotResponse, error) {
		response, err := f.directory.Peer(host).FetchSnapshot(ctx,
			connect.NewRequest(&peerv1.FetchSnapshotRequest{}))
		if err != nil {
			return nil, err
		}
		return response.Msg, nil
	})
	var newest Snapshot
	sent, reachable := 0, 0
	for answer := range answers {
		switch {
		case answer.err == nil:
			sent++
			reachable++
			if newest.State == nil || answer.value.GetApplied() > newest.Applied {
				newest = Snapshot{Applied: answer.value.GetApplied(), State: answer.value.GetState()}
			}
		case connect.CodeOf(answer.err) != connect.CodeUnavailable:
			// A peer that accepts the call but is too slow counts as reachable.
			reachable++
		}
	}
	if 2*sent <= reachable || sent == 0 {
		return Snapshot{}, flamingodoor.Errorf(flamingodoor.CodeNoMajority,
			"%d of %d reachable peers sent a snapshot", sent, reachable)
	}
	return newest, nil
}

// consecutive returns the entries that follow each other from the offset on.
func consecutive(response *peerv1.FetchRecordsResponse, from uint64) []flamingodoor.LogEntry {
	entries := make([]flamingodoor.LogEntry, 0, len(response.GetEntries()))
	for _, entry := range response.GetEntries() {
		if entry.GetOffset() != from+uint64(len(entries)) {
			break
		}
		entries = append(entries, flamingodoor.LogEntry{Offset: entry.GetOffset(), Data: entry.GetData()})
	}
	return entries
}

type fetched[T any] struct {
	value T
	err   error
}

// gather asks all peers in parallel and delivers their answers as they come.
func gather[T any](
	ctx context.Context, f *Fetcher, call func(context.Context, flamingodoor.EntryHost) (T, error),
) <-chan fetched[T] {
	peers := f.peers()
	answers := make(chan fetched[T], len(peers))
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	var group sync.WaitGroup
	for _, host := range peers {
		group.Go(func() {
			value, err := call(ctx, host)
			answers <- fetched[T]{value: value, err: err}
		})
	}
	go func() {
		group.Wait()
		cancel()
		close(answers)
	}()
	return answers
}

func (f *Fetcher) peers() []flamingodoor.EntryHost {
	var peers []flamingodoor.EntryHost
	for _, host := range f.source.Current().EntryHosts() {
		if host.ID != f.hostID {
			peers = append(peers, host)
		}
	}
	if len(peers) == 0 {
		return f.seeds
	}
	return peers
}
