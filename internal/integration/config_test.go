package integration_test

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"google.golang.org/protobuf/types/known/durationpb"
	"gotest.tools/v3/assert"

	operatorv1 "flamingodoor.example/flamingodoor/gen/flamingodoor/operator/v1"
	platformv1 "flamingodoor.example/flamingodoor/gen/flamingodoor/platform/v1"
	"flamingodoor.example/flamingodoor/internal/faultproxy"
	"flamingodoor.example/flamingodoor/internal/harness"
)

const (
	raceRounds       = 8
	operatorsPerRace = 6
	// retainedRecords is the number of latest records that an entry host keeps
	// for peers that are behind.
	retainedRecords = 1024
	// checkpointRecords is the number of records after which the next
	// checkpoint is due.
	checkpointRecords = 512
)

// Guards against configuration changes that are lost, undone or applied twice,
// and against hosts that are ready more than 9 s after a change was accepted
// without having applied it. The causes are operators that change one object at
// the same time, appends whose answer is lost or that take effect late, a slow
// log, and a host that records a change while its peers are cut off.
func TestConfigurationRaces(t *testing.T) {
	t.Parallel()
	random := newRandom(t, configSeed)
	ctx, testbed := startTestbed(t, harness.SmallTopology)
	entries := testbed.Deployment.Entries
	monitor := monitorRevisions(ctx, t, testbed)

	t.Run("racing operators", func(t *testing.T) {
		for round := range raceRounds {
			order := random.Perm(operatorsPerRace)
			pause := time.Duration(random.IntN(5)) * time.Millisecond
			runRace(ctx, t, testbed, monitor, "round "+strconv.Itoa(round), order, pause)
		}
	})
	t.Run("host without a majority", func(t *testing.T) { recordWithoutMajority(ctx, t, testbed, monitor) })
	for _, c := range []struct {
		name   string
		faults *platformv1.SetRequest
	}{
		{"answers lost after the append", &platformv1.SetRequest{LoseAnswers: 3}},
		{"append takes effect late", &platformv1.SetRequest{LateAppends: 1, LateBy: durationpb.New(4 * time.Second)}},
		{"log with a delay of 1 s", &platformv1.SetRequest{Delay: durationpb.New(time.Second)}},
		{"log with a delay of 2 s", &platformv1.SetRequest{Delay: durationpb.New(2 * time.Second)}},
	} {
		t.Run(c.name, func(t *testing.T) {
			operator := newOperatorClient(entries[random.IntN(len(entries))])
			assert.NilError(t, testbed.Deployment.SetFaults(ctx, c.faults))
			defer func() { assert.NilError(t, testbed.Deployment.SetFaults(ctx, &platformv1.SetRequest{})) }()
			// The first command accepts any revision, so only its identifier
			// prevents a repeated append of it from undoing the second command.
			club, _, err := operator.club(ctx)
			assert.NilError(t, err)
			firstResponse, err := operator.put(ctx, uuid.NewString(), renamed(club, c.name+" 1"), 0)
			assert.NilError(t, err)
			monitor.recordAccepted(firstResponse.GetRevision())
			secondName := c.name + " 2"
			revision := changeClubName(ctx, t, operator, monitor, secondName)
			waitInForce(ctx, t, revision, entries...)
			time.Sleep(5 * time.Second)
			for _, entry := range entries {
				waitReady(ctx, t, entry)
				checkClubName(ctx, t, entry, secondName, revision)
			}
		})
	}
}

// recordWithoutMajority makes a change at a host whose peers are cut off from it
// and from the log. The change must not be reported as accepted before the peers
// have it.
func recordWithoutMajority(ctx context.Context, t *testing.T, testbed *harness.Testbed, monitor *revisionMonitor) {
	t.Helper()
	entries := testbed.Deployment.Entries
	for _, entry := range entries[1:] {
		entry.PlatformProxy.SetRule(faultproxy.Refused)
		testbed.Deployment.SetIsolated(entry, true)
	}
	operator := newOperatorClient(entries[0])
	club, _, err := operator.club(ctx)
	assert.NilError(t, err)
	request := applyRequest(uuid.NewString(), renamed(club, "alone"), 0)
	response, err := operator.Apply(ctx, authorised(request))
	assert.NilError(t, err)
	assert.Equal(t, response.Msg.GetAcceptance(), operatorv1.Acceptance_ACCEPTANCE_RECORDED)
	for _, entry := range entries[1:] {
		entry.PlatformProxy.Heal()
		testbed.Deployment.SetIsolated(entry, false)
	}
	repeated, err := operator.put(ctx, request.GetCommandId(), renamed(club, "alone"), 0)
	assert.NilError(t, err)
	assert.Equal(t, repeated.GetRevision(), response.Msg.GetRevision())
	monitor.recordAccepted(repeated.GetRevision())
	waitInForce(ctx, t, repeated.GetRevision(), entries...)
}

// changeClubName renames the club through an entry host and records the
// acceptance. It returns the accepted revision.
func changeClubName(ctx context.Context, t *testing.T, operator operatorClient, monitor *revisionMonitor, name string) uint64 {
	t.Helper()
	club, revision, err := operator.club(ctx)
	assert.NilError(t, err)
	// The expected revision makes a second application of the command a conflict.
	response, err := operator.rename(ctx, club, name, revision)
	assert.NilError(t, err)
	monitor.recordAccepted(response.GetRevision())
	return response.GetRevision()
}

// checkClubName checks the club's display name and revision at an entry host.
func checkClubName(ctx context.Context, t *testing.T, entry *harness.Entry, name string, revision uint64) {
	t.Helper()
	club, current, err := newOperatorClient(entry).club(ctx)
	assert.NilError(t, err)
	assert.Equal(t, club.GetDisplayName(), name, entry.Name)
	assert.Equal(t, current, revision, entry.Name)
}

// runRace lets operators change one object from the same revision at the same
// time. Exactly one change must be accepted, and every host must apply it.
func runRace(ctx context.Context, t *testing.T, testbed *harness.Testbed, monitor *revisionMonitor, label string, order []int, pause time.Duration) {
	t.Helper()
	entries := testbed.Deployment.Entries
	club, revision, err := newOperatorClient(entries[0]).club(ctx)
	assert.NilError(t, err)
	type outcome struct {
		name     string
		response *operatorv1.ApplyResponse
		err      error
	}
	outcomes := make(chan outcome, operatorsPerRace)
	var operators sync.WaitGroup
	for _, number := range order {
		name := fmt.Sprintf("%s operator %d", label, number)
		operators.Go(func() {
			response, err := newOperatorClient(entries[number%len(entries)]).rename(ctx, club, name, revision)
			outcomes <- outcome{name, response, err}
		})
		time.Sleep(pause)
	}
	operators.Wait()
	close(outcomes)
	var winner outcome
	accepted := 0
	for result := range outcomes {
		if result.err == nil {
			winner = result
			accepted++
			continue
		}
		assert.Equal(t, connect.CodeOf(result.err), connect.CodeAborted, "%v", result.err)
	}
	assert.Equal(t, accepted, 1, label)
	monitor.recordAccepted(winner.response.GetRevision())
	waitInForce(ctx, t, winner.response.GetRevision(), entries...)
	for _, entry := range entries {
		checkClubName(ctx, t, entry, winner.name, winner.response.GetRevision())
	}
}

// Guards against a host that serves from an outdated configuration after it
// started or resumed: a replacement whose only known peer missed the latest
// change, a host that fell behind by more records than its peers keep, and a
// host that starts after the log dropped the records before a checkpoint.
func TestConfigurationRecovery(t *testing.T) {
	t.Parallel()
	ctx, testbed := startTestbed(t, harness.SmallTopology)
	deployment := testbed.Deployment
	first, second, stale := deployment.Entries[0], deployment.Entries[1], deployment.Entries[2]
	operator := newOperatorClient(first)
	monitor := monitorRevisions(ctx, t, testbed)
	setOutage := func(outage bool) {
		t.Helper()
		assert.NilError(t, deployment.SetFaults(ctx, &platformv1.SetRequest{Outage: outage}))
	}

	// The stale host does not get the change, and it is the only peer that the
	// replacement knows.
	stale.PlatformProxy.SetRule(faultproxy.Silent)
	for _, peer := range []*harness.Entry{first, second} {
		peer.PeerProxy.SetSourceRule(stale.SourceAddress, faultproxy.Silent)
	}
	time.Sleep(time.Second) // a read that is in progress still returns records
	revision := changeClubName(ctx, t, operator, monitor, "before the replacement")
	setOutage(true)
	replacement := startEntry(ctx, t, testbed, monitor, "entry-4", "--peer-seed="+stale.PeerProxy.Address().String())
	waitReady(ctx, t, replacement)
	checkClubName(ctx, t, replacement, "before the replacement", revision)
	staleRevision, err := stale.Revision(ctx)
	assert.NilError(t, err)
	assert.Assert(t, staleRevision.Applied < revision, "the stale host has applied the change")

	// Once its connections to the first two hosts work again, the stale host gets
	// the records from them while the log is down.
	stale.PlatformProxy.Heal()
	first.PeerProxy.Heal()
	second.PeerProxy.Heal()
	waitInForce(ctx, t, revision, stale)
	setOutage(false)

	stale.Suspend()
	revision = makeChanges(ctx, t, operator, monitor, retainedRecords+checkpointRecords)
	setOutage(true)
	stale.Resume()
	waitInForce(ctx, t, revision, stale, first, second, replacement)
	setOutage(false)

	trimBefore := waitForCheckpoint(ctx, t, deployment)
	assert.NilError(t, deployment.SetFaults(ctx, &platformv1.SetRequest{TrimStream: "config", TrimBefore: trimBefore}))
	late := startEntry(ctx, t, testbed, monitor, "entry-5")
	waitReady(ctx, t, late)

	// The first two hosts leave. The new host must keep the configuration.
	second.Kill()
	assert.NilError(t, deployment.AnnounceGone(ctx, second.Name))
	first.Terminate()
	revision = changeClubName(ctx, t, newOperatorClient(late), monitor, "at the end")
	waitInForce(ctx, t, revision, stale, replacement, late)
	for _, entry := range []*harness.Entry{stale, replacement, late} {
		waitReady(ctx, t, entry)
		checkClubName(ctx, t, entry, "at the end", revision)
	}
}

// startEntry starts an entry host and adds it to the monitor.
func startEntry(ctx context.Context, t *testing.T, testbed *harness.Testbed, monitor *revisionMonitor, name string, arguments ...string) *harness.Entry {
	t.Helper()
	entry, err := testbed.Deployment.StartEntry(ctx, name, "dc-a", arguments...)
	assert.NilError(t, err)
	monitor.add(ctx, entry)
	return entry
}

// makeChanges makes changes of the club at one entry host, 8 at a time, that
// accept any revision. It returns the latest revision.
func makeChanges(ctx context.Context, t *testing.T, operator operatorClient, monitor *revisionMonitor, count int) uint64 {
	t.Helper()
	const workerCount = 8
	club, _, err := operator.club(ctx)
	assert.NilError(t, err)
	var workers sync.WaitGroup
	var mutex sync.Mutex
	var latest uint64
	for worker := range workerCount {
		workers.Go(func() {
			for index := range count / workerCount {
				name := fmt.Sprintf("change %d of operator %d", index, worker)
				response, err := operator.put(ctx, uuid.NewString(), renamed(club, name), 0)
				if err != nil {
					t.Errorf("%s: %v", name, err)
					return
				}
				mutex.Lock()
				latest = max(latest, response.GetRevision())
				mutex.Unlock()
			}
		})
	}
	workers.Wait()
	monitor.recordAccepted(latest)
	return latest
}

// waitForCheckpoint waits until the log holds a checkpoint that covers more than
// retainedRecords records. It returns the first offset after the checkpoint's
// state.
func waitForCheckpoint(ctx context.Context, t *testing.T, deployment *harness.Deployment) uint64 {
	t.Helper()
	covered := uint64(0)
	waitWithin(ctx, t, 30*time.Second, "a checkpoint", func() bool {
		records, err := deployment.ConfigRecords(ctx)
		assert.NilError(t, err)
		for _, record := range records {
			covered = max(covered, record.GetCheckpoint().GetOffset())
		}
		return covered > retainedRecords
	})
	return covered + 1
}
