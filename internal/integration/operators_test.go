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
	configSeed = 20261204
	// inForceBound is the time within which every host that is ready has applied
	// an accepted change.
	inForceBound   = 9 * time.Second
	repeatPause    = 100 * time.Millisecond
	sampleInterval = 20 * time.Millisecond
)

// operatorClient is an operator's client of one entry host.
type operatorClient struct {
	operatorv1connect.CommandServiceClient
	operatorv1connect.QueryServiceClient
}

func newOperatorClient(entry *harness.Entry) operatorClient {
	base := "http://" + entry.OperatorAddress.String()
	return operatorClient{
		operatorv1connect.NewCommandServiceClient(http.DefaultClient, base),
		operatorv1connect.NewQueryServiceClient(http.DefaultClient, base),
	}
}

func authorised[M any](message *M) *connect.Request[M] {
	request := connect.NewRequest(message)
	request.Header().Set("Authorization", "Bearer "+harness.OperatorToken)
	return request
}

// club returns the club whose display name the tests change, with its revision.
func (o operatorClient) club(ctx context.Context) (club *recordv1.Club, revision uint64, err error) {
	response, err := o.Get(ctx, authorised(&operatorv1.GetRequest{Kind: "club", Name: harness.OtherClubID}))
	if err != nil || len(response.Msg.GetObjects()) != 1 {
		return nil, 0, err
	}
	object := response.Msg.GetObjects()[0]
	return object.GetClub(), object.GetRevision(), nil
}

// rename changes the club's display name if the club has the revision. Revision 0
// stands for any.
func (o operatorClient) rename(ctx context.Context, club *recordv1.Club, name string, revision uint64) (*operatorv1.ApplyResponse, error) {
	return o.put(ctx, uuid.NewString(), renamed(club, name), revision)
}

// put writes the club. It repeats the command under its identifier until it is
// accepted, as flamingodoorctl does.
func (o operatorClient) put(ctx context.Context, commandID string, club *recordv1.Club, revision uint64) (*operatorv1.ApplyResponse, error) {
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

// renamed returns a copy of the club with another display name.
func renamed(club *recordv1.Club, name string) *recordv1.Club {
	return &recordv1.Club{
		ClubId: club.GetClubId(), DisplayName: name, KeyHashes: club.GetKeyHashes(), Accelerators: club.GetAccelerators(),
		Weight: club.GetWeight(), Models: club.GetModels(), Services: club.GetServices(), MaxPriority: club.GetMaxPriority(),
	}
}

// revisionMonitor samples the readiness and the applied revision of each entry
// host while a test runs. It fails the test if a host goes back to an older
// revision, or is ready without a change that was accepted at least 9 s before.
// A host that started after the acceptance must never be ready without it.
type revisionMonitor struct {
	t        *testing.T
	stop     context.CancelFunc
	samplers sync.WaitGroup

	mutex    sync.Mutex
	accepted []acceptance
	samples  int
}

type acceptance struct {
	revision uint64
	at       time.Time
}

// monitorRevisions monitors the entry hosts of the testbed until the test ends.
func monitorRevisions(ctx context.Context, t *testing.T, testbed *harness.Testbed) *revisionMonitor {
	t.Helper()
	ctx, stop := context.WithCancel(ctx)
	monitor := &revisionMonitor{t: t, stop: stop}
	for _, entry := range testbed.Deployment.Entries {
		monitor.add(ctx, entry)
	}
	t.Cleanup(func() {
		stop()
		monitor.samplers.Wait()
		t.Logf("%d samples, %d accepted changes", monitor.samples, len(monitor.accepted))
	})
	return monitor
}

// recordAccepted records a revision that an entry host reported as accepted.
func (m *revisionMonitor) recordAccepted(revision uint64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.accepted = append(m.accepted, acceptance{revision, time.Now()})
}

// minRevision returns the lowest revision that a host may have applied if it
// started at started and is ready at now.
func (m *revisionMonitor) minRevision(started, now time.Time) uint64 {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	required := uint64(0)
	for _, accepted := range m.accepted {
		if accepted.at.Before(started) || now.Sub(accepted.at) >= inForceBound {
			required = max(required, accepted.revision)
		}
	}
	return required
}

// add starts to sample an entry host, which has just started.
func (m *revisionMonitor) add(ctx context.Context, entry *harness.Entry) {
	started := time.Now()
	m.samplers.Go(func() {
		var latest harness.Revision
		for ctx.Err() == nil {
			latest = m.sample(ctx, entry, started, latest)
			select {
			case <-ctx.Done():
			case <-entry.Exited():
				return
			case <-time.After(sampleInterval):
			}
		}
	})
}

// sample checks one entry host and returns its revision. It reads the
// readiness first. The revision can only grow in between, so no host is reported
// by mistake.
func (m *revisionMonitor) sample(ctx context.Context, entry *harness.Entry, started time.Time, latest harness.Revision) harness.Revision {
	askedAt := time.Now()
	ready := entry.Ready(ctx)
	current, err := entry.Revision(ctx)
	if err != nil {
		return latest
	}
	m.mutex.Lock()
	m.samples++
	m.mutex.Unlock()
	if current.Applied < latest.Applied || current.Revision < latest.Revision {
		m.t.Errorf("%s went back from %+v to %+v", entry.Name, latest, current)
	}
	if required := m.minRevision(started, askedAt); ready && current.Applied < required {
		m.t.Errorf("%s is ready at offset %d, before the accepted change at %d", entry.Name, current.Applied, required)
	}
	return current
}

// waitInForce waits until the hosts have applied a revision, each for at most
// inForceBound.
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
