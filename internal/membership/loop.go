package membership

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/google/uuid"
	"google.golang.org/protobuf/types/known/timestamppb"

	"flamingodoor.example/flamingodoor"
	recordv1 "flamingodoor.example/flamingodoor/gen/flamingodoor/record/v1"
	"flamingodoor.example/flamingodoor/internal/freshness"
	"flamingodoor.example/flamingodoor/internal/member"
)

const (
	checkInterval = 1 * time.Second
	// recordTimeout bounds one change of the member list, from the wait for the
	// acknowledgement of the previous change to the verdict.
	recordTimeout = 5 * time.Second
	// rankDelay staggers the hosts that could remove the same gone host, so
	// that as a rule only one of them appends a record.
	rankDelay = 2 * time.Second
	// maxRank is the largest number of owners for which a host waits. It bounds
	// the delay to 10 s, even when many members are gone at the same time.
	maxRank = 5
)

// Recorder appends a record to the config stream and returns the verdict of the
// state machine on it.
type Recorder interface {
	Record(ctx context.Context, record *recordv1.Record) (*recordv1.Verdict, error)
}

// Accepter waits until a majority of the voters has acknowledged an offset.
type Accepter interface {
	Accept(ctx context.Context, offset uint64) error
}

// Option configures a Loop.
type Option func(*Loop)

// WithLogger sets the logger for changes of the member list.
func WithLogger(logger log.Logger) Option {
	return func(l *Loop) { l.logger = logger }
}

// WithRestrictionsSynced sets the function that reports whether this process
// holds the provisional restrictions that were accepted before it started. The
// loop joins, and the lease grants, only once it returns true.
func WithRestrictionsSynced(restrictionsSynced func() bool) Option {
	return func(l *Loop) { l.restrictionsSynced = restrictionsSynced }
}

// Loop keeps the member list of the entry hosts: it adds this host, removes it
// on a planned stop and removes hosts that are gone.
type Loop struct {
	self     flamingodoor.EntryHost
	source   flamingodoor.ConfigurationSource
	recorder Recorder
	accepter Accepter
	presence *Presence
	lease    *freshness.Lease
	logger   log.Logger
	joined   atomic.Uint64 // offset at which this process joined, or 0
	leaving  atomic.Bool
	changing sync.Mutex // held during one change, so that a join cannot follow the removal in Leave

	restrictionsSynced func() bool
}

// New returns the membership loop of the host self. The lease starts to grant
// once this process has joined.
func New(
	self flamingodoor.EntryHost, source flamingodoor.ConfigurationSource, recorder Recorder,
	accepter Accepter, presence *Presence, lease *freshness.Lease, options ...Option,
) *Loop {
	l := &Loop{
		self:     self,
		source:   source,
		recorder: recorder,
		accepter: accepter,
		presence: presence,
		lease:    lease,
		logger:   log.NewNopLogger(),

		restrictionsSynced: func() bool { return true },
	}
	for _, option := range options {
		option(l)
	}
	return l
}

// Run calls Step each second until the context ends, with a backoff after
// errors.
func (l *Loop) Run(ctx context.Context) {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = checkInterval / 4
	wait.MaxInterval = 4 * checkInterval
	for ctx.Err() == nil {
		pause := checkInterval
		if err := l.Step(ctx, time.Now()); err != nil {
			pause = wait.NextBackOff()
			_ = level.Info(l.logger).Log("event", "member_change_failed",
				"code", flamingodoor.CodeOf(err), "err", err)
		} else {
			wait.Reset()
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// Joined reports whether this process has joined the member list.
func (l *Loop) Joined() bool {
	return l.joined.Load() != 0
}

// Step makes at most one change of the member list. Joining comes before the
// removal of gone hosts.
func (l *Loop) Step(ctx context.Context, now time.Time) error {
	l.changing.Lock()
	defer l.changing.Unlock()
	if l.leaving.Load() {
		return nil
	}
	configuration := l.source.Current()
	if entry, member := findHost(configuration, l.self.ID); !member || entry.JoinOffset != l.joined.Load() {
		return l.join(ctx, configuration, member)
	}
	for _, host := range configuration.EntryHosts() {
		if host.ID != l.self.ID && l.mayRemove(configuration, host, now) {
			return l.remove(ctx, configuration, host.ID)
		}
	}
	return nil
}

// Leave removes this host from the member list. It retries until the removal is
// in the log or the context ends, and then returns the error of the last
// attempt. Granting stops first, because the remaining voters acknowledge
// changes without this host from then on.
func (l *Loop) Leave(ctx context.Context) error {
	l.leaving.Store(true)
	l.changing.Lock()
	defer l.changing.Unlock()
	l.lease.StopGranting()
	for {
		configuration := l.source.Current()
		if _, member := findHost(configuration, l.self.ID); !member {
			return nil
		}
		err := l.remove(ctx, configuration, l.self.ID)
		if err == nil {
			l.joined.Store(0)
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(checkInterval / 4):
		}
	}
}

// join adds this host to the member list. A stale entry, of an earlier process
// with the same identifier, is removed first: the new process does not know
// what the earlier one acknowledged, so it must count as another voter.
func (l *Loop) join(ctx context.Context, configuration flamingodoor.Configuration, stale bool) error {
	l.lease.StopGranting()
	if !l.restrictionsSynced() {
		return flamingodoor.Errorf(flamingodoor.CodeNoMajority, "cannot join the member list: no majority of the voters has answered this host yet")
	}
	if stale {
		return l.remove(ctx, configuration, l.self.ID)
	}
	verdict, err := l.change(ctx, configuration, &recordv1.Record{
		Body: &recordv1.Record_AddEntryHost{AddEntryHost: &recordv1.EntryHost{
			HostId:      l.self.ID,
			PeerAddress: l.self.PeerAddress.String(),
			DataCentre:  l.self.DataCentre,
			Region:      l.self.Region,
		}},
	})
	if err != nil {
		return err
	}
	l.joined.Store(verdict.GetOffset())
	l.lease.StartGranting(verdict.GetOffset())
	_ = level.Info(l.logger).Log("event", "joined", "offset", verdict.GetOffset())
	return nil
}

func (l *Loop) remove(ctx context.Context, configuration flamingodoor.Configuration, hostID string) error {
	verdict, err := l.change(ctx, configuration, &recordv1.Record{
		Body: &recordv1.Record_RemoveEntryHost{RemoveEntryHost: hostID},
	})
	if err != nil {
		return err
	}
	_ = level.Info(l.logger).Log("event", "entry_host_removed", "removed", hostID, "offset", verdict.GetOffset())
	return nil
}

// change records one change of the member list. The previous change has to be
// acknowledged first, so that the majorities before and after each change
// intersect.
func (l *Loop) change(
	ctx context.Context, configuration flamingodoor.Configuration, record *recordv1.Record,
) (*recordv1.Verdict, error) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	if revision := configuration.EntryHostsRevision(); revision > 0 {
		if err := l.accepter.Accept(ctx, revision); err != nil {
			return nil, err
		}
	}
	record.Version = 1
	record.CommandId = uuid.NewString()
	record.Author = l.self.ID
	record.AuthorTime = timestamppb.Now()
	record.ExpectedRevision = configuration.EntryHostsRevision()
	verdict, err := l.recorder.Record(ctx, record)
	if err != nil {
		return nil, err
	}
	if verdict.GetCode() == recordv1.VerdictCode_VERDICT_CODE_ACCEPTED {
		return verdict, nil
	}
	code := flamingodoor.CodeInvalidConfiguration
	if verdict.GetCode() == recordv1.VerdictCode_VERDICT_CODE_CONFLICT {
		code = flamingodoor.CodeConflict
	}
	return nil, flamingodoor.Errorf(code, "change of the member list was rejected: %s", verdict.GetReason())
}

// mayRemove reports whether the host has been gone long enough for this host to
// remove it. Each owner of the removal waits rankDelay for every owner before it
// that is not gone, up to maxRank.
func (l *Loop) mayRemove(
	configuration flamingodoor.Configuration, host flamingodoor.EntryHost, now time.Time,
) bool {
	gone := l.presence.goneFor(host.ID, now)
	if gone < 0 {
		return false
	}
	rank := 0
	for _, owner := range member.Owners(configuration, "remove/"+host.ID) {
		if owner.ID == l.self.ID {
			break
		}
		if !l.presence.Gone(owner.ID, now) {
			rank++
		}
	}
	return gone >= time.Duration(min(rank, maxRank))*rankDelay
}

func findHost(configuration flamingodoor.Configuration, hostID string) (flamingodoor.EntryHost, bool) {
	for _, host := range configuration.EntryHosts() {
		if host.ID == hostID {
			return host, true
		}
	}
	return flamingodoor.EntryHost{}, false
}
