package poison_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor"
	exchangev1 "flamingodoor.example/flamingodoor/gen/flamingodoor/exchange/v1"
	"flamingodoor.example/flamingodoor/internal/poison"
)

const (
	common flamingodoor.PromptPart = iota + 1 // in every prompt
	deadly
	rare
	rarer
)

// partFleet is a fleet of hosts that exchange their findings.
type partFleet struct {
	now     time.Time
	ledgers []*poison.PartLedger
	crashes int
}

func newPartFleet(hosts int) *partFleet {
	f := &partFleet{now: time.Unix(1_800_000_000, 0)}
	for range hosts {
		f.ledgers = append(f.ledgers, poison.NewPartLedger())
	}
	return f
}

func (f *partFleet) process() poison.Process {
	return poison.Process{InstanceID: fmt.Sprint("i-", f.crashes), StartedMS: 1}
}

// crash ends the next process, at which each host has the given request in flight.
func (f *partFleet) crash(requests ...[]flamingodoor.PromptPart) {
	f.crashes++
	for host, parts := range requests {
		f.ledgers[host].ReportCrash(f.process(), parts, f.now)
	}
	f.pass(200 * time.Millisecond)
}

// begun begins a response to a request of a host.
func (f *partFleet) begun(host int, parts ...flamingodoor.PromptPart) {
	f.ledgers[host].ReportBegun(parts, f.now)
	f.pass(200 * time.Millisecond)
}

// pass lets the time pass, after which all hosts exchange messages.
func (f *partFleet) pass(length time.Duration) {
	f.now = f.now.Add(length)
	for _, from := range f.ledgers {
		var message exchangev1.ShareRequest
		from.Describe(&message, f.now)
		for _, to := range f.ledgers {
			if to != from {
				to.Merge(&message, f.now)
			}
		}
	}
	for _, ledger := range f.ledgers {
		ledger.Settle(f.now)
	}
}

// blocked returns whether the hosts refuse requests with the parts, and fails if
// they differ.
func (f *partFleet) blocked(t *testing.T, parts ...flamingodoor.PromptPart) bool {
	t.Helper()
	first := f.ledgers[0].Blocked(parts, f.now)
	for _, ledger := range f.ledgers {
		assert.Equal(t, ledger.Blocked(parts, f.now), first)
	}
	return first
}

func prompt(parts ...flamingodoor.PromptPart) []flamingodoor.PromptPart { return parts }

// Guards against instances crashing one after the other because of one part of
// their requests' prompts, no two of which are alike (rules BUDGET and LOST on the
// day tainted of the Kivuko deployment, seed 1).
func TestPartThatCrashesInstancesIsFound(t *testing.T) {
	f := newPartFleet(3)
	for crash := range 3 {
		assert.Assert(t, !f.blocked(t, common, deadly), "after %d crashes", crash)
		own := flamingodoor.PromptPart(100 + crash)
		f.crash(prompt(common, deadly, own), prompt(common, own+10), prompt(common, own+20, own+30))
		f.begun(1, common)
	}
	assert.Assert(t, f.blocked(t, common, deadly))
	assert.Assert(t, f.blocked(t, deadly, rare))
	assert.Assert(t, !f.blocked(t, common, rare))
	assert.Assert(t, !f.blocked(t, common, 110))
	f.pass(59 * time.Minute)
	assert.Assert(t, f.blocked(t, deadly))
	f.pass(2 * time.Minute)
	assert.Assert(t, !f.blocked(t, deadly))
}

// Guards against refusing sound requests that share the first part of their
// prompts with those that crash instances, or that were in flight at crashes.
func TestSoundPartsAreServed(t *testing.T) {
	f := newPartFleet(2)
	for range 5 {
		f.crash(prompt(common, deadly), prompt(common, rare))
		f.begun(0, common)
		f.begun(1, rare)
	}
	for _, parts := range [][]flamingodoor.PromptPart{{common}, {common, rare}, {rare}, {}} {
		assert.Assert(t, !f.blocked(t, parts...), parts)
	}
	f.crash(prompt(rarer))
	f.crash(prompt(rarer))
	assert.Assert(t, !f.blocked(t, rarer))
	assert.Assert(t, f.ledgers[1].Suspected(prompt(rarer)))
	f.begun(1, rarer)
	assert.Assert(t, !f.ledgers[0].Suspected(prompt(rarer)))
}

// Guards against blocking a part that was only ever in flight together with the
// one that crashes instances, and against never deciding between the two.
func TestPartsThatOccurTogetherAreToldApart(t *testing.T) {
	f := newPartFleet(2)
	for range 3 {
		f.crash(prompt(deadly, rare))
	}
	f.pass(time.Second)
	assert.Assert(t, f.blocked(t, deadly, rare))
	assert.Assert(t, !f.blocked(t, deadly), "no crash shows that this part is at fault")
	assert.Assert(t, !f.blocked(t, rare))
	f.crash(prompt(deadly, rarer))
	f.pass(time.Second)
	assert.Assert(t, f.blocked(t, deadly))
	assert.Assert(t, !f.blocked(t, rare))
	// A host that starts now knows the decision.
	f.ledgers = append(f.ledgers, poison.NewPartLedger())
	f.pass(10 * time.Second)
	assert.Assert(t, f.blocked(t, deadly, common))
	assert.Assert(t, !f.blocked(t, rare))
}

// A response that begins with one of two blocked parts proves the other.
func TestBegunResponseNarrowsBlockedParts(t *testing.T) {
	f := newPartFleet(2)
	for range 3 {
		f.crash(prompt(deadly, rare))
	}
	f.pass(time.Second)
	cleared := f.ledgers[1].ReportBegun(prompt(rare), f.now)
	assert.Equal(t, len(cleared.Ended), 1)
	assert.DeepEqual(t, cleared.Remaining[0].Parts, prompt(deadly))
	f.pass(time.Second)
	assert.Assert(t, f.blocked(t, deadly))
	assert.Assert(t, !f.blocked(t, rare))
	cleared = f.ledgers[0].ReportBegun(prompt(deadly), f.now)
	assert.Equal(t, len(cleared.Remaining), 0)
	f.pass(time.Second)
	assert.Assert(t, !f.blocked(t, deadly))
}

// Guards against forgetting what the hosts found when one or all of them restart:
// a host learns it from its peers or from the store.
func TestRestartedHostsKnowBlockedParts(t *testing.T) {
	f := newPartFleet(3)
	for range 3 {
		f.crash(prompt(common, deadly))
		f.begun(1, common)
	}
	f.pass(time.Second)
	f.ledgers = append(f.ledgers[1:], poison.NewPartLedger())
	f.pass(time.Second)
	assert.Assert(t, f.blocked(t, deadly))

	fresh := newPartFleet(1)
	for range 3 {
		fresh.crashes++
		fresh.ledgers[0].ReportCrash(fresh.process(), prompt(deadly), fresh.now)
		fresh.now = fresh.now.Add(200 * time.Millisecond)
	}
	settled := fresh.ledgers[0].Settle(fresh.now.Add(time.Second))
	stored := settled.Blocked
	assert.Equal(t, len(stored), 1)
	restarted := poison.NewPartLedger()
	restarted.Restore(stored, fresh.now)
	assert.Assert(t, restarted.Blocked(prompt(deadly), fresh.now))
	stored[0].CrashedAt = fresh.now.Add(time.Hour)
	ahead := poison.NewPartLedger()
	ahead.Restore(stored, fresh.now)
	assert.Assert(t, !ahead.Blocked(prompt(deadly), fresh.now.Add(time.Hour)), "the clock of another host is ahead")
}

// Guards against a host that was cut off bringing back a part that has been
// cleared meanwhile.
func TestClearedPartIsNotBroughtBack(t *testing.T) {
	f := newPartFleet(2)
	for range 3 {
		f.crash(prompt(rare))
	}
	f.pass(time.Second)
	assert.Assert(t, f.blocked(t, rare))
	f.ledgers[0].ReportBegun(prompt(rare), f.now)
	f.now = f.now.Add(time.Minute) // without an exchange
	assert.Assert(t, f.ledgers[1].Blocked(prompt(rare), f.now))
	f.pass(200 * time.Millisecond)
	f.pass(200 * time.Millisecond)
	f.pass(200 * time.Millisecond)
	assert.Assert(t, !f.blocked(t, rare))
}

// Guards against stopping at the first of two parts that crash instances at the
// same time.
func TestTwoPartsAreFound(t *testing.T) {
	f := newPartFleet(2)
	for range 3 {
		f.crash(prompt(common, deadly), prompt(common, rare))
		f.begun(0, common)
		f.crash(prompt(common, rarer))
		f.begun(0, common)
	}
	// The first two parts crashed together each time; one more crash decides.
	f.crash(prompt(common, deadly))
	f.begun(0, common)
	f.begun(0, rare)
	assert.Assert(t, f.blocked(t, deadly))
	assert.Assert(t, f.blocked(t, rarer))
	assert.Assert(t, !f.blocked(t, rare))
	assert.Assert(t, !f.blocked(t, common))
}

// Guards against blocking a part because of instances that a host could not
// reach for a while.
func TestReachableProcessIsNoCrash(t *testing.T) {
	f := newPartFleet(1)
	ledger := f.ledgers[0]
	for range 3 {
		f.crash(prompt(rare))
	}
	f.pass(time.Second)
	assert.Assert(t, f.blocked(t, rare))
	assert.Assert(t, ledger.Known(f.process()))
	cleared := ledger.Refute(f.process(), f.now)
	assert.Equal(t, len(cleared.Ended), 1)
	assert.Assert(t, !ledger.Known(f.process()))
	assert.Assert(t, !f.blocked(t, rare))
	assert.Assert(t, !ledger.ReportCrash(f.process(), prompt(rare), f.now))
}

// Guards against memory and messages that grow with the crashes and with what
// other hosts send.
func TestPartsAreBounded(t *testing.T) {
	f := newPartFleet(1)
	ledger := f.ledgers[0]
	many := make([]flamingodoor.PromptPart, 0, 1000)
	for part := range 1000 {
		many = append(many, flamingodoor.PromptPart(part))
	}
	for crash := range 2000 {
		parts := prompt(flamingodoor.PromptPart(10_000 + crash/3))
		if crash%10 == 0 {
			parts = many
		}
		f.crashes++
		ledger.ReportCrash(f.process(), parts, f.now)
		if f.now = f.now.Add(time.Millisecond); crash < 1900 {
			f.now = f.now.Add(200 * time.Millisecond)
		}
		if crash%30 == 29 {
			ledger.Settle(f.now.Add(time.Second))
		}
	}
	var message exchangev1.ShareRequest
	ledger.Describe(&message, f.now)
	assert.Equal(t, len(message.GetPartCrashes()), 16)
	assert.Equal(t, len(message.GetBlockedParts()), 32)
	for _, crash := range message.GetPartCrashes() {
		assert.Assert(t, len(crash.GetSuspects()) <= 128)
	}
	huge := &exchangev1.ShareRequest{BlockedParts: []*exchangev1.BlockedParts{{Parts: make([]uint64, 100)}, {Parts: []uint64{5}, AgeMs: -1 << 62}}}
	poison.NewPartLedger().Merge(huge, f.now)
}

// Guards against ending requests in flight because many instances were lost for
// another reason: the responses to these requests clear their parts.
func TestBlameNeedsMostOfTheCrashes(t *testing.T) {
	f := newPartFleet(2)
	for range 3 {
		f.crash(prompt(deadly))
	}
	assert.Assert(t, f.ledgers[1].BlamedAlone(prompt(common, deadly), f.now))
	assert.Assert(t, !f.ledgers[1].BlamedAlone(prompt(common, rare), f.now))
	for range 3 {
		f.crash(prompt(rare))
	}
	assert.Assert(t, !f.ledgers[1].BlamedAlone(prompt(common, deadly), f.now))
	assert.Assert(t, f.blocked(t, deadly))
}

// Guards against refusing a sound part that many requests share: a machine or a
// data centre fails, many instances end at one moment, and the part is in flight
// at most of them. Nothing would clear it, since all requests with it are refused.
func TestOutageBlocksNoSharedPart(t *testing.T) {
	f := newPartFleet(2)
	for i := range 4 {
		f.crashes++
		f.ledgers[i%2].ReportCrash(f.process(), prompt(common, flamingodoor.PromptPart(100+i)), f.now)
	}
	f.pass(100 * time.Millisecond)
	assert.Assert(t, f.blocked(t, common, 999), "the part is not excluded yet")
	assert.Assert(t, !f.ledgers[0].BlamedAlone(prompt(common, 998), f.now), "requests in flight can clear it")
	assert.Assert(t, !f.ledgers[1].Suspected(prompt(common)))
	f.pass(1500 * time.Millisecond)
	assert.Assert(t, !f.blocked(t, common, 999))
	f.crash(prompt(common, 997))
	assert.Assert(t, f.blocked(t, common, 999), "another crash")
	f.begun(1, common)
	assert.Assert(t, !f.blocked(t, common, 999))
}

// Guards against processes whose crashes never count again because they were only
// unreachable before.
func TestReachableProcessCanCrashLater(t *testing.T) {
	f := newPartFleet(1)
	ledger := f.ledgers[0]
	processes := make([]poison.Process, 0, 3)
	for range 3 {
		f.crash(prompt(rare))
		processes = append(processes, f.process())
	}
	for _, process := range processes {
		ledger.Refute(process, f.now)
	}
	f.pass(time.Minute)
	for _, process := range processes {
		assert.Assert(t, ledger.ReportCrash(process, prompt(deadly), f.now))
		f.pass(time.Second)
	}
	assert.Assert(t, f.blocked(t, deadly))
}

// Guards against clearing a part at all hosts because one of them, which knows
// only some of its crashes, learns that one of these was none.
func TestRefutedCrashClearsNoOtherCrashes(t *testing.T) {
	f := newPartFleet(1)
	for range 5 {
		f.crash(prompt(deadly))
	}
	f.pass(5 * time.Second)
	f.ledgers = append(f.ledgers, poison.NewPartLedger())
	for range 3 {
		f.crash(prompt(deadly))
	}
	assert.Assert(t, f.blocked(t, deadly))
	for _, ledger := range f.ledgers {
		ledger.Refute(f.process(), f.now)
	}
	f.pass(200 * time.Millisecond)
	f.pass(200 * time.Millisecond)
	assert.Assert(t, f.ledgers[0].Blocked(prompt(deadly), f.now), "seven crashes remain")
}

// Guards against a part that stays blocked because hosts tell each other the number of
// its crashes from before some were refuted, and against one that is cleared because a
// host that blocked it itself knows only some of its crashes.
func TestRefutedCrashesAreCountedOnceAtEachHost(t *testing.T) {
	f := newPartFleet(3)
	processes := make([]poison.Process, 0, 6)
	for range 6 {
		f.crash(prompt(rare), prompt(rare))
		processes = append(processes, f.process())
	}
	f.pass(5 * time.Second)
	assert.Assert(t, f.blocked(t, rare))
	for i, process := range processes {
		for _, ledger := range f.ledgers {
			ledger.Refute(process, f.now)
			f.pass(100 * time.Millisecond) // the hosts hear of it one after the other
		}
		assert.Equal(t, f.blocked(t, rare), i < 3, "after %d of 6 crashes", i+1)
	}
}

// Guards against a message that a suspended host sends or receives late and that
// brings back a part which has been cleared.
func TestLateMessageDoesNotBringAClearedPartBack(t *testing.T) {
	f := newPartFleet(2)
	for range 3 {
		f.crash(prompt(rare))
	}
	f.pass(500 * time.Millisecond)
	assert.Assert(t, f.blocked(t, rare))
	var late exchangev1.ShareRequest
	f.ledgers[1].Describe(&late, f.now)
	f.begun(0, rare)
	assert.Assert(t, !f.blocked(t, rare))
	f.pass(1300 * time.Millisecond)
	f.ledgers[0].Merge(&late, f.now)
	f.pass(11 * time.Second)
	assert.Assert(t, !f.blocked(t, rare))
}

// Guards against leaving out the part that crashes instances among many suspects
// of one crash.
func TestDeadlyPartIsFoundAmongManySuspects(t *testing.T) {
	f := newPartFleet(1)
	next := flamingodoor.PromptPart(1000)
	for range 5 {
		f.crashes++
		for range 13 {
			parts := make([]flamingodoor.PromptPart, 0, 10)
			for range 10 {
				next++
				parts = append(parts, next)
			}
			f.ledgers[0].ReportCrash(f.process(), parts, f.now)
		}
		f.ledgers[0].ReportCrash(f.process(), prompt(common, deadly), f.now)
		f.pass(200 * time.Millisecond)
		f.begun(0, common)
	}
	assert.Assert(t, f.blocked(t, deadly))
}

// Guards against forgetting many parts that only ever occur together.
func TestManyPartsThatOccurTogetherReachNewHosts(t *testing.T) {
	f := newPartFleet(2)
	parts := prompt(10, 11, 12, 13, 14, 15, 16, 17, deadly)
	for range 5 {
		f.crash(parts)
	}
	f.pass(5 * time.Second)
	assert.Assert(t, f.blocked(t, parts...))
	f.ledgers = append(f.ledgers, poison.NewPartLedger())
	f.pass(5 * time.Second)
	assert.Assert(t, f.blocked(t, parts...))
}
