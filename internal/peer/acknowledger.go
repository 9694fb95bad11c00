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

// acknowledgeTimeout bounds one call to one host. A change is in force 3 s
// after acceptance, which leaves a margin below the 9 s of a change.
const acknowledgeTimeout = 2 * time.Second

// AcknowledgeStore is the replica of the configuration that acceptance needs.
type AcknowledgeStore interface {
	flamingodoor.ConfigurationSource
	// WaitApplied returns once the offset is applied.
	WaitApplied(ctx context.Context, offset uint64) error
}

// AcknowledgerOption changes an Acknowledger at its construction.
type AcknowledgerOption func(*Acknowledger)

// WithAcknowledgeGoneCheck sets the function that tells which members have stopped, as the
// platform's host list shows. Without it every member counts as present.
func WithAcknowledgeGoneCheck(gone func(hostID string, now time.Time) bool) AcknowledgerOption {
	return func(a *Acknowledger) { a.gone = gone }
}

// Acknowledger has changes and restrictions confirmed by the voters.
type Acknowledger struct {
	hostID    string
	store     AcknowledgeStore
	lease     *freshness.Lease
	directory flamingodoor.PeerDirectory
	gone      func(string, time.Time) bool
}

// NewAcknowledger returns an acknowledger of the host.
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

// Accept returns nil once a majority of the voters that are not gone has
// acknowledged the offset, this host first if it is a voter. The error has
// CodeNoMajority if too few answer within 2 s.
func (a *Acknowledger) Accept(ctx context.Context, offset uint64) error {
	ctx, cancel := context.WithTimeout(ctx, acknowledgeTimeout)
	defer cancel()
	if err := a.store.WaitApplied(ctx, offset); err != nil {
		return flamingodoor.NewError(flamingodoor.CodeNoMajority, flamingodoor.RunStateNotRun, err)
	}
	a.lease.Acknowledge(offset)
	configuration := a.store.Current()
	answers := a.ask(ctx, votersOf(configuration), func(ctx context.Context, host flamingodoor.EntryHost) error {
		_, err := a.directory.Peer(host).Acknowledge(ctx,
			connect.NewRequest(&peerv1.AcknowledgeRequest{Offset: offset}))
		return err
	})
	confirmed := make(map[string]bool)
	for answer := range answers {
		if answer.err == nil {
			confirmed[answer.hostID] = true
		}
		if a.majority(configuration, confirmed) {
			return nil
		}
	}
	return flamingodoor.Errorf(flamingodoor.CodeNoMajority,
		"offset %d: %d voters acknowledged, which is no majority", offset, len(confirmed))
}

// Restrict pushes a provisional restriction to all members, this host first.
// It returns the members that have not confirmed it within 2 s and are not
// gone. The error has CodeNoMajority if a majority of the voters is missing.
func (a *Acknowledger) Restrict(
	ctx context.Context, restriction flamingodoor.Restriction,
) (unconfirmed []string, err error) {
	ctx, cancel := context.WithTimeout(ctx, acknowledgeTimeout)
	defer cancel()
	a.lease.AddRestriction(restriction)
	configuration := a.store.Current()
	hosts := configuration.EntryHosts()
	answers := a.ask(ctx, hosts, func(ctx context.Context, host flamingodoor.EntryHost) error {
		_, err := a.directory.Peer(host).Restrict(ctx,
			connect.NewRequest(&peerv1.RestrictRequest{Restriction: restrictionMessage(restriction)}))
		return err
	})
	confirmed := make(map[string]bool)
	for answer := range answers {
		if answer.err == nil {
			confirmed[answer.hostID] = true
		}
	}
	now := time.Now()
	for _, host := range hosts {
		if !confirmed[host.ID] && !a.gone(host.ID, now) {
			unconfirmed = append(unconfirmed, host.ID)
		}
	}
	if !a.majority(configuration, confirmed) {
		return unconfirmed, flamingodoor.Errorf(flamingodoor.CodeNoMajority,
			"%d of %d members confirmed the restriction, without a majority of the voters",
			len(confirmed), len(hosts))
	}
	return unconfirmed, nil
}

func (a *Acknowledger) majority(configuration flamingodoor.Configuration, confirmed map[string]bool) bool {
	now := time.Now()
	return freshness.Accepted(configuration,
		func(hostID string) bool { return confirmed[hostID] },
		func(hostID string) bool { return a.gone(hostID, now) })
}

type answer struct {
	hostID string
	err    error
}

// ask calls all hosts in parallel and delivers their answers as they come; this
// host answers at once. Calls that are still open when the caller has a
// majority go on, because more acknowledgements do no harm.
func (a *Acknowledger) ask(
	ctx context.Context, hosts []flamingodoor.EntryHost,
	call func(context.Context, flamingodoor.EntryHost) error,
) <-chan answer {
	answers := make(chan answer, len(hosts)+1)
	answers <- answer{hostID: a.hostID}
	var group sync.WaitGroup
	for _, host := range hosts {
		if host.ID == a.hostID {
			continue
		}
		group.Go(func() {
			ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), acknowledgeTimeout)
			defer cancel()
			answers <- answer{hostID: host.ID, err: call(ctx, host)}
		})
	}
	go func() {
		group.Wait()
		close(answers)
	}()
	return answers
}

// votersOf returns the hosts of all voter sets, each once.
func votersOf(configuration flamingodoor.Configuration) []flamingodoor.EntryHost {
	var voters []flamingodoor.EntryHost
	known := make(map[string]bool)
	for _, set := range member.VoterSets(configuration) {
		for _, voter := range set {
			if !known[voter.ID] {
				known[voter.ID] = true
				voters = append(voters, voter)
			}
		}
	}
	return voters
}
