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
	raceRounds    = 8
	raceOperators = 6
	// keptRecords is how many records an entry host keeps for its peers.
	keptRecords = 1024
	// checkpointRecords is how many records a checkpoint covers at most.
	checkpointRecords = 512
)

// Guards I10 against racing operators that undo each other, against appends
// whose answer is lost or that take effect late, and against a slow log.
func TestConfigurationRaces(t *testing.T) {
	t.Parallel()
	random := newRandom(t, configSeed)
	ctx, scene := startScene(t, harness.SmallTopology)
	entries := scene.Deployment.Entries
	watched := watchRevisions(ctx, t, scene)

	t.Run("racing operators", func(t *testing.T) {
		for round := range raceRounds {
			order := random.Perm(raceOperators)
			pause := time.Duration(random.IntN(5)) * time.Millisecond
			race(ctx, t, scene, watched, "round "+strconv.Itoa(round), order, pause)
		}
	})
	t.Run("host without a majority", func(t *testing.T) { recordAlone(ctx, t, scene, watched) })
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
			operator := operatorOf(entries[random.IntN(len(entries))])
			assert.NilError(t, scene.Deployment.SetFaults(ctx, c.faults))
			defer func() { assert.NilError(t, scene.Deployment.SetFaults(ctx, &platformv1.SetRequest{})) }()
			// The first command fits any revision, so that only its identifier
			// keeps a second copy of it from undoing the second command.
			club, _, err := operator.club(ctx)
			assert.NilError(t, err)
			first, err := operator.put(ctx, uuid.NewString(), renamed(club, c.name+" 1"), 0)
			assert.NilError(t, err)
			watched.accept(first.GetRevision())
			second := c.name + " 2"
			revision := change(ctx, t, operator, watched, second)
			waitInForce(ctx, t, revision, entries...)
			time.Sleep(5 * time.Second)
			for _, entry := range entries {
				waitReady(ctx, t, entry)
				checkName(ctx, t, entry, second, revision)
			}
		})
	}
}

// recordAlone makes a change at a host whose peers are cut off from it and from
// the log. It may not be called accepted before they have it.
func recordAlone(ctx context.Context, t *testing.T, scene *harness.Testbed, watched *revisions) {
	t.Helper()
	entries := scene.Deployment.Entries
	for _, entry := range entries[1:] {
		entry.PlatformProxy.SetRule(faultproxy.Refused)
		scene.Deployment.SetIsolated(entry, true)
	}
	operator := operatorOf(entries[0])
	club, _, err := operator.club(ctx)
	assert.NilError(t, err)
	request := applyRequest(uuid.NewString(), renamed(club, "alone"), 0)
	response, err := operator.Apply(ctx, authorised(request))
	assert.NilError(t, err)
	assert.Equal(t, response.Msg.GetAcceptance(), operatorv1.Acceptance_ACCEPTANCE_RECORDED)
	for _, entry := range entries[1:] {
		entry.PlatformProxy.Heal()
		scene.Deployment.SetIsolated(entry, false)
	}
	repeated, err := operator.put(ctx, request.GetCommandId(), renamed(club, "alone"), 0)
	assert.NilError(t, err)
	assert.Equal(t, repeated.GetRevision(), response.Msg.GetRevision())
	watched.accept(repeated.GetRevision())
	waitInForce(ctx, t, repeated.GetRevision(), entries...)
}

// change renames the club through an operator and notes the acceptance.
func change(ctx context.Context, t *testing.T, operator operatorAt, watched *revisions, name string) uint64 {
	t.Helper()
	club, revision, err := operator.club(ctx)
	assert.NilError(t, err)
	// The revision that the operator read makes a second verdict a conflict.
	response, err := operator.rename(ctx, club, name, revision)
	assert.NilError(t, err)
	watched.accept(response.GetRevision())
	return response.GetRevision()
}

func checkName(ctx context.Context, t *testing.T, entry *harness.Entry, name string, revision uint64) {
	t.Helper()
	club, current, err := operatorOf(entry).club(ctx)
	assert.NilError(t, err)
	assert.Equal(t, club.GetDisplayName(), name, entry.Name)
	assert.Equal(t, current, revision, entry.Name)
}

// race lets operators change one object at one revision at the same time.
func race(ctx context.Context, t *testing.T, scene *harness.Testbed, watched *revisions, label string, order []int, pause time.Duration) {
	t.Helper()
	entries := scene.Deployment.Entries
	club, revision, err := operatorOf(entries[0]).club(ctx)
	assert.NilError(t, err)
	type outcome struct {
		name     string
		response *operatorv1.ApplyResponse
		err      error
	}
	outcomes := make(chan outcome, raceOperators)
	var group sync.WaitGroup
	for _, number := range order {
		name := fmt.Sprintf("%s operator %d", label, number)
		group.Go(func() {
			response, err := operatorOf(entries[number%len(entries)]).rename(ctx, club, name, revision)
			outcomes <- outcome{name, response, err}
		})
		time.Sleep(pause)
	}
	group.Wait()
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
	watched.accept(winner.response.GetRevision())
	waitInForce(ctx, t, winner.response.GetRevision(), entries...)
	for _, entry := range entries {
		checkName(ctx, t, entry, winner.name, winner.response.GetRevision())
	}
}

// Guards I10 against a host that starts from an old state: a replacement that
// first meets a peer which missed the latest change, a host that fell behind
// by more records than its peers keep, and one that starts after the log
// dropped the records before a checkpoint.
func TestConfigurationRecovery(t *testing.T) {
	t.Parallel()
	ctx, scene := startScene(t, harness.SmallTopology)
	deployment := scene.Deployment
	first, second, stale := deployment.Entries[0], deployment.Entries[1], deployment.Entries[2]
	operator := operatorOf(first)
	watched := watchRevisions(ctx, t, scene)
	outage := func(on bool) {
		t.Helper()
		assert.NilError(t, deployment.SetFaults(ctx, &platformv1.SetRequest{Outage: on}))
	}

	// The stale host keeps the state from before the change, and it is the only
	// peer that the replacement knows.
	stale.PlatformProxy.SetRule(faultproxy.Silent)
	for _, other := range []*harness.Entry{first, second} {
		other.PeerProxy.SetSourceRule(stale.SourceAddress, faultproxy.Silent)
	}
	time.Sleep(time.Second) // A read that is under way still brings records.
	revision := change(ctx, t, operator, watched, "before the replacement")
	outage(true)
	replacement := startEntry(ctx, t, scene, watched, "entry-4", "--peer-seed="+stale.PeerProxy.Address().String())
	waitReady(ctx, t, replacement)
	checkName(ctx, t, replacement, "before the replacement", revision)
	behind, err := stale.Revision(ctx)
	assert.NilError(t, err)
	assert.Assert(t, behind.Applied < revision, "the stale host was not stale")

	// With the neighbours' connections restored the stale host gets the records
	// from them while the log is down.
	stale.PlatformProxy.Heal()
	first.PeerProxy.Heal()
	second.PeerProxy.Heal()
	waitInForce(ctx, t, revision, stale)
	outage(false)

	stale.Suspend()
	revision = changeMany(ctx, t, operator, watched, keptRecords+checkpointRecords)
	outage(true)
	stale.Resume()
	waitInForce(ctx, t, revision, stale, first, second, replacement)
	outage(false)

	trimmed := waitCheckpoint(ctx, t, deployment)
	assert.NilError(t, deployment.SetFaults(ctx, &platformv1.SetRequest{TrimStream: "config", TrimBefore: trimmed}))
	late := startEntry(ctx, t, scene, watched, "entry-5")
	waitReady(ctx, t, late)

	// The neighbours of the new host are replaced; what it holds stays.
	second.Kill()
	assert.NilError(t, deployment.AnnounceGone(ctx, second.Name))
	first.Terminate()
	revision = change(ctx, t, operatorOf(late), watched, "at the end")
	waitInForce(ctx, t, revision, stale, replacement, late)
	for _, entry := range []*harness.Entry{stale, replacement, late} {
		waitReady(ctx, t, entry)
		checkName(ctx, t, entry, "at the end", revision)
	}
}

func startEntry(ctx context.Context, t *testing.T, scene *harness.Testbed, watched *revisions, name string, arguments ...string) *harness.Entry {
	t.Helper()
	entry, err := scene.Deployment.StartEntry(ctx, name, "dc-a", arguments...)
	assert.NilError(t, err)
	watched.add(ctx, entry)
	return entry
}

// changeMany makes changes from several operators that accept any revision.
func changeMany(ctx context.Context, t *testing.T, operator operatorAt, watched *revisions, count int) uint64 {
	t.Helper()
	const workers = 8
	club, _, err := operator.club(ctx)
	assert.NilError(t, err)
	var group sync.WaitGroup
	var mutex sync.Mutex
	var newest uint64
	for worker := range workers {
		group.Go(func() {
			for index := range count / workers {
				name := fmt.Sprintf("change %d of operator %d", index, worker)
				response, err := operator.put(ctx, uuid.NewString(), renamed(club, name), 0)
				if err != nil {
					t.Errorf("%s: %v", name, err)
					return
				}
				mutex.Lock()
				newest = max(newest, response.GetRevision())
				mutex.Unlock()
			}
		})
	}
	group.Wait()
	watched.accept(newest)
	return newest
}

// waitCheckpoint waits for a checkpoint of the changes and returns the first
// offset after the state that it holds.
func waitCheckpoint(ctx context.Context, t *testing.T, deployment *harness.Deployment) uint64 {
	t.Helper()
	covered := uint64(0)
	waitWithin(ctx, t, 30*time.Second, "a checkpoint", func() bool {
		records, err := deployment.ConfigRecords(ctx)
		assert.NilError(t, err)
		for _, record := range records {
			covered = max(covered, record.GetCheckpoint().GetOffset())
		}
		return covered > keptRecords
	})
	return covered + 1
}
