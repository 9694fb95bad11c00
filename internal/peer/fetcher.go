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

// fetchTimeout bounds the calls to all peers, which run in parallel.
const fetchTimeout = 5 * time.Second

// FetcherOption changes a default of a Fetcher.
type FetcherOption func(*Fetcher)

// WithSeeds sets the peer addresses to use while the configuration of this host
// contains no other entry host, for example at a start while the log is down.
func WithSeeds(addresses ...netip.AddrPort) FetcherOption {
	return func(f *Fetcher) {
		for _, address := range addresses {
			f.seeds = append(f.seeds, flamingodoor.EntryHost{PeerAddress: address})
		}
	}
}

// Snapshot is the encoded state of a peer and the offset at which it was taken.
type Snapshot struct {
	Applied uint64
	State   []byte
}

// Fetcher reads records of the config stream and snapshots from the peers.
type Fetcher struct {
	hostID    string
	source    flamingodoor.ConfigurationSource
	directory flamingodoor.PeerDirectory
	seeds     []flamingodoor.EntryHost
}

// NewFetcher returns a Fetcher for the host with the given ID.
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

// FetchRecords returns consecutive records, starting at the offset from, of the
// peer that sends the most. It returns none if no peer has applied that offset.
// The error has CodeTrimmed if peers have applied the offset but none retains
// its record, so that the caller needs a snapshot, and CodeLogUnavailable if no
// peer answers.
func (f *Fetcher) FetchRecords(ctx context.Context, from uint64) ([]flamingodoor.LogEntry, error) {
	results := callPeers(ctx, f, func(ctx context.Context, host flamingodoor.EntryHost) (*peerv1.FetchRecordsResponse, error) {
		response, err := f.directory.Peer(host).FetchRecords(ctx,
			connect.NewRequest(&peerv1.FetchRecordsRequest{From: from, MaxRecords: maxFetchRecords}))
		if err != nil {
			return nil, err
		}
		return response.Msg, nil
	})
	var best []flamingodoor.LogEntry
	answered, newest := false, uint64(0)
	for result := range results {
		if result.err != nil {
			continue
		}
		answered, newest = true, max(newest, result.value.GetApplied())
		if entries := consecutive(result.value, from); len(entries) > len(best) {
			best = entries
		}
	}
	switch {
	case !answered:
		return nil, flamingodoor.Errorf(flamingodoor.CodeLogUnavailable, "no peer answered the request for records")
	case len(best) == 0 && newest >= from:
		return nil, flamingodoor.Errorf(flamingodoor.CodeTrimmed, "no peer retains the record at offset %d", from)
	}
	return best, nil
}

// FetchSnapshot returns the newest snapshot among the peers. The error has
// CodeNoMajority unless more than half of the reachable peers send one.
func (f *Fetcher) FetchSnapshot(ctx context.Context) (Snapshot, error) {
	results := callPeers(ctx, f, func(ctx context.Context, host flamingodoor.EntryHost) (*peerv1.FetchSnapshotResponse, error) {
		response, err := f.directory.Peer(host).FetchSnapshot(ctx,
			connect.NewRequest(&peerv1.FetchSnapshotRequest{}))
		if err != nil {
			return nil, err
		}
		return response.Msg, nil
	})
	var newest Snapshot
	sent, reachable := 0, 0
	for result := range results {
		switch {
		case result.err == nil:
			sent++
			reachable++
			if newest.State == nil || result.value.GetApplied() > newest.Applied {
				newest = Snapshot{Applied: result.value.GetApplied(), State: result.value.GetState()}
			}
		case connect.CodeOf(result.err) != connect.CodeUnavailable:
			// A peer that accepts the call but answers too late is reachable.
			reachable++
		}
	}
	if 2*sent <= reachable || sent == 0 {
		return Snapshot{}, flamingodoor.Errorf(flamingodoor.CodeNoMajority,
			"%d of %d reachable peers sent a snapshot, which is not a majority of them", sent, reachable)
	}
	return newest, nil
}

// consecutive returns the entries of the response up to the first gap. The
// first entry must be at the offset from.
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

// fetchResult is the result of a call to one peer.
type fetchResult[T any] struct {
	value T
	err   error
}

// callPeers calls all peers in parallel and delivers the results as they arrive.
func callPeers[T any](
	ctx context.Context, f *Fetcher, call func(context.Context, flamingodoor.EntryHost) (T, error),
) <-chan fetchResult[T] {
	peers := f.peers()
	results := make(chan fetchResult[T], len(peers))
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	var calls sync.WaitGroup
	for _, host := range peers {
		calls.Go(func() {
			value, err := call(ctx, host)
			results <- fetchResult[T]{value: value, err: err}
		})
	}
	go func() {
		calls.Wait()
		cancel()
		close(results)
	}()
	return results
}

// peers returns the other entry hosts, or the seeds if there are none.
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
