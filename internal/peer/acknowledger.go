package peer

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"

	"flamingodoor.example/flamingodoor"
	peerv1 "flamingodoor.example/flamingodoor/gen/flamingodoor/peer/v1"
	"flamingodoor.example/flamingodoor/internal/freshness"
	"flamingodoor.example/flamingodoor/internal/member"
)

// acknowledgeTimeout bounds Accept and Restrict as well as each of their calls
// to a host. A change must be in force everywhere within 9 s and takes effect
// 3 s after its acceptance, so 2 s for the acknowledgements leave a margin.
const acknowledgeTimeout = 2 * time.Second

// AcknowledgeStore is this host's replica of the configuration, as far as the
// Acknowledger uses it.
type AcknowledgeStore interface {
	flamingodoor.ConfigurationSource
	// WaitApplied waits until this host has applied the offset.
	WaitApplied(ctx context.Context, offset uint64) error
}

// AcknowledgerOption changes a default of an Acknowledger.
type AcknowledgerOption func(*Acknowledger)

// WithAcknowledgeGoneCheck sets the function that reports whether a member is
// gone: the platform's host list no longer shows it, so its process has
// stopped. The default reports every member as present.
func WithAcknowledgeGoneCheck(gone func(hostID string, now time.Time) bool) AcknowledgerOption {
	return func(a *Acknowledger) { a.gone = gone }
}

// Acknowledger collects the voters' acknowledgements of configuration changes
// and provisional restrictions.
type Acknowledger struct {
	hostID    string
	store     AcknowledgeStore
	lease     *freshness.Lease
	directory flamingodoor.PeerDirectory
	gone      func(string, time.Time) bool
}

// NewAcknowledger returns an Acknowledger for the host with the given ID.
func NewAcknowledger(
	hostID string, store AcknowledgeStore, lease *freshness.Lease,
	directory flamingodoor.PeerDirectory, options ...AcknowledgerOption,
) *Acknowledger {
	a := &Acknowledger{
		hostID:    hostID,
		store:     store,
		lease:     lease,
		directory: directory,
		gone:      func(string, time.Time) bool { return false },
	}
	for _, option := range options {
		option(a)
	}
	return a
}

// Accept waits until a majority of the voters that are not gone has
// acknowledged the offset. This host applies and acknowledges it first. The
// error has CodeNoMajority if too few voters acknowledge within 2 s.
func (a *Acknowledger) Accept(ctx context.Context, offset uint64) error {
	ctx, cancel := context.WithTimeout(ctx, acknowledgeTimeout)
	defer cancel()
	if err := a.store.WaitApplied(ctx, offset); err != nil {
		return flamingodoor.NewError(flamingodoor.CodeNoMajority, flamingodoor.RunStateNotRun, err)
	}
	a.lease.Acknowledge(offset)
	configuration := a.store.Current()
	results := a.broadcast(ctx, allVoters(configuration), func(ctx context.Context, host flamingodoor.EntryHost) error {
		_, err := a.directory.Peer(host).Acknowledge(ctx,
			connect.NewRequest(&peerv1.AcknowledgeRequest{Offset: offset}))
		return err
	})
	confirmed := make(map[string]bool)
	for result := range results {
		if result.err == nil {
			confirmed[result.hostID] = true
		}
		if a.hasMajority(configuration, confirmed) {
			return nil
		}
	}
	return flamingodoor.Errorf(flamingodoor.CodeNoMajority,
		"offset %d was acknowledged by %d hosts, which is not a majority of the voters", offset, len(confirmed))
}

// Restrict sends a provisional restriction to all members and applies it at
// this host first. It returns the members that are not gone and have not
// confirmed it within 2 s. The error has CodeNoMajority if the members that
// confirmed it do not include a majority of the voters.
func (a *Acknowledger) Restrict(
	ctx context.Context, restriction flamingodoor.Restriction,
) (unconfirmed []string, err error) {
	ctx, cancel := context.WithTimeout(ctx, acknowledgeTimeout)
	defer cancel()
	a.lease.AddRestriction(restriction)
	configuration := a.store.Current()
	hosts := configuration.EntryHosts()
	results := a.broadcast(ctx, hosts, func(ctx context.Context, host flamingodoor.EntryHost) error {
		_, err := a.directory.Peer(host).Restrict(ctx,
			connect.NewRequest(&peerv1.RestrictRequest{Restriction: restrictionMessage(restriction)}))
		return err
	})
	confirmed := make(map[string]bool)
	for result := range results {
		if result.err == nil {
			confirmed[result.hostID] = true
		}
	}
	now := time.Now()
	for _, host := range hosts {
		if !confirmed[host.ID] && !a.gone(host.ID, now) {
			unconfirmed = append(unconfirmed, host.ID)
		}
	}
	if !a.hasMajority(configuration, confirmed) {
		return unconfirmed, flamingodoor.Errorf(flamingodoor.CodeNoMajority,
			"restriction was confirmed by %d of %d members, but not by a majority of the voters",
			len(confirmed), len(hosts))
	}
	return unconfirmed, nil
}

// hasMajority reports whether, in each voter set, the hosts that confirmed are a
// majority of the voters that are not gone.
func (a *Acknowledger) hasMajority(configuration flamingodoor.Configuration, confirmed map[string]bool) bool {
	now := time.Now()
	return freshness.Accepted(configuration,
		func(hostID string) bool { return confirmed[hostID] },
		func(hostID string) bool { return a.gone(hostID, now) })
}

// callResult is the result of a call to one host.
type callResult struct {
	hostID string
	err    error
}

// broadcast calls all hosts in parallel and delivers the results as they
// arrive. This host counts as confirmed without a call. Calls that are in
// progress when the caller has a majority continue, because additional
// acknowledgements do no harm.
func (a *Acknowledger) broadcast(
	ctx context.Context, hosts []flamingodoor.EntryHost,
	call func(context.Context, flamingodoor.EntryHost) error,
) <-chan callResult {
	results := make(chan callResult, len(hosts)+1)
	results <- callResult{hostID: a.hostID}
	var calls sync.WaitGroup
	for _, host := range hosts {
		if host.ID == a.hostID {
			continue
		}
		calls.Go(func() {
			ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), acknowledgeTimeout)
			defer cancel()
			results <- callResult{hostID: host.ID, err: call(ctx, host)}
		})
	}
	go func() {
		calls.Wait()
		close(results)
	}()
	return results
}

// allVoters returns the hosts of all voter sets without duplicates.
func allVoters(configuration flamingodoor.Configuration) []flamingodoor.EntryHost {
	var voters []flamingodoor.EntryHost
	seen := make(map[string]bool)
	for _, set := range member.VoterSets(configuration) {
		for _, voter := range set {
			if !seen[voter.ID] {
				seen[voter.ID] = true
				voters = append(voters, voter)
			}
		}
	}
	return voters
}
