package integration_test

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"

	operatorv1 "flamingodoor.example/flamingodoor/gen/flamingodoor/operator/v1"
	"flamingodoor.example/flamingodoor/gen/flamingodoor/operator/v1/operatorv1connect"
	recordv1 "flamingodoor.example/flamingodoor/gen/flamingodoor/record/v1"
	"flamingodoor.example/flamingodoor/internal/harness"
)

const (
	// inForceBound is the bound of I10.
	configSeed     = 20261204
	inForceBound   = 9 * time.Second
	repeatPause    = 100 * time.Millisecond
	sampleInterval = 20 * time.Millisecond
)

// operatorAt is an operator's connection to one entry host.
type operatorAt struct {
	operatorv1connect.CommandServiceClient
	operatorv1connect.QueryServiceClient
}

func operatorOf(entry *harness.Entry) operatorAt {
	base := "http://" + entry.OperatorAddress.String()
	return operatorAt{
		operatorv1connect.NewCommandServiceClient(http.DefaultClient, base),
		operatorv1connect.NewQueryServiceClient(http.DefaultClient, base),
	}
}

func authorised[M any](message *M) *connect.Request[M] {
	request := connect.NewRequest(message)
	request.Header().Set("Authorization", "Bearer "+harness.OperatorToken)
	return request
}

// club reads the club whose display name the tests change.
func (o operatorAt) club(ctx context.Context) (club *recordv1.Club, revision uint64, err error) {
	response, err := o.Get(ctx, authorised(&operatorv1.GetRequest{Kind: "club", Name: harness.OtherClubID}))
	if err != nil || len(response.Msg.GetObjects()) != 1 {
		return nil, 0, err
	}
	object := response.Msg.GetObjects()[0]
	return object.GetClub(), object.GetRevision(), nil
}

// rename changes the display name. Revision 0 accepts any revision.
func (o operatorAt) rename(ctx context.Context, club *recordv1.Club, name string, revision uint64) (*operatorv1.ApplyResponse, error) {
	return o.put(ctx, uuid.NewString(), renamed(club, name), revision)
}

// put repeats the command under its identifier until it is accepted, as
// flamingodoorctl does.
func (o operatorAt) put(ctx context.Context, commandID string, club *recordv1.Club, revision uint64) (*operatorv1.ApplyResponse, error) {
	request := applyRequest(commandID, club, revision)
	for {
		response, err := o.Apply(ctx, authorised(request))
		if err != nil {
			return nil, err
		}
		if response.Msg.GetAcceptance() == operatorv1.Acceptance_ACCEPTANCE_ACCEPTED {
			return response.Msg, nil
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(repeatPause):
		}
	}
}

func applyRequest(commandID string, club *recordv1.Club, revision uint64) *operatorv1.ApplyRequest {
	return &operatorv1.ApplyRequest{
		CommandId: commandID, Author: "test",
		Changes: []*operatorv1.Change{{Record: &recordv1.Record{
			ExpectedRevision: revision, AnyRevision: revision == 0,
			Body: &recordv1.Record_PutClub{PutClub: club},
		}}},
	}
}

func renamed(club *recordv1.Club, name string) *recordv1.Club {
	return &recordv1.Club{
		ClubId: club.GetClubId(), DisplayName: name, KeyHashes: club.GetKeyHashes(), Accelerators: club.GetAccelerators(),
		Weight: club.GetWeight(), Models: club.GetModels(), Services: club.GetServices(), MaxPriority: club.GetMaxPriority(),
	}
}

// revisions samples what each process has applied for as long as a test runs.
// No process may go back, and from 9 s after an acceptance on no host may be
// ready without it. A host that started after an acceptance may never be.
type revisions struct {
	t     *testing.T
	stop  context.CancelFunc
	group sync.WaitGroup

	mutex    sync.Mutex
	accepted []acceptance
	samples  int
}

type acceptance struct {
	revision uint64
	at       time.Time
}

func watchRevisions(ctx context.Context, t *testing.T, scene *harness.Testbed) *revisions {
	t.Helper()
	ctx, stop := context.WithCancel(ctx)
	watched := &revisions{t: t, stop: stop}
	for _, entry := range scene.Deployment.Entries {
		watched.add(ctx, entry)
	}
	t.Cleanup(func() {
		stop()
		watched.group.Wait()
		t.Logf("%d samples, %d accepted changes", watched.samples, len(watched.accepted))
	})
	return watched
}

// accept notes a revision that an operator was told is accepted.
func (r *revisions) accept(revision uint64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.accepted = append(r.accepted, acceptance{revision, time.Now()})
}

// needed returns the least revision of a host that is ready at a time.
func (r *revisions) needed(started, now time.Time) uint64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	least := uint64(0)
	for _, accepted := range r.accepted {
		if accepted.at.Before(started) || now.Sub(accepted.at) >= inForceBound {
			least = max(least, accepted.revision)
		}
	}
	return least
}

// add samples one more entry host, which has just started.
func (r *revisions) add(ctx context.Context, entry *harness.Entry) {
	started := time.Now()
	r.group.Go(func() {
		var latest harness.Revision
		for ctx.Err() == nil {
			latest = r.sample(ctx, entry, started, latest)
			select {
			case <-ctx.Done():
			case <-entry.Exited():
				return
			case <-time.After(sampleInterval):
			}
		}
	})
}

// sample asks for readiness first: the revision can only have grown since.
func (r *revisions) sample(ctx context.Context, entry *harness.Entry, started time.Time, latest harness.Revision) harness.Revision {
	asked := time.Now()
	ready := entry.Ready(ctx)
	current, err := entry.Revision(ctx)
	if err != nil {
		return latest
	}
	r.mutex.Lock()
	r.samples++
	r.mutex.Unlock()
	if current.Applied < latest.Applied || current.Revision < latest.Revision {
		r.t.Errorf("%s went back from %+v to %+v", entry.Name, latest, current)
	}
	if needed := r.needed(started, asked); ready && current.Applied < needed {
		r.t.Errorf("%s is ready at offset %d, older than the accepted %d", entry.Name, current.Applied, needed)
	}
	return current
}

// waitInForce waits until the hosts have applied a revision. They must within
// the bound from the acceptance on.
func waitInForce(ctx context.Context, t *testing.T, revision uint64, entries ...*harness.Entry) {
	t.Helper()
	for _, entry := range entries {
		waitWithin(ctx, t, inForceBound, entry.Name+" to apply the change", func() bool {
			current, err := entry.Revision(ctx)
			return err == nil && current.Applied >= revision
		})
	}
}

func waitReady(ctx context.Context, t *testing.T, entry *harness.Entry) {
	t.Helper()
	waitWithin(ctx, t, 2*inForceBound, entry.Name+" to be ready", func() bool { return entry.Ready(ctx) })
}
