package exchange_test

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	exchangev1 "flamingodoor.example/flamingodoor/gen/flamingodoor/exchange/v1"
)

// paceOf returns the mean speed of a group by all senders, and their witnesses.
func (h *host) paceOf(head string) (percent, witnesses int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, paces := range h.pacesByPeer {
		for _, pace := range paces {
			if pace.GetInstanceId() == head {
				percent += int(pace.GetSpeedPercent()) * int(pace.GetWitnesses())
				witnesses += int(pace.GetWitnesses())
			}
		}
	}
	return percent / max(1, witnesses), witnesses
}

func (h *host) measure(paces ...*exchangev1.GroupPace) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.paces = paces
}

// relayAndOthers returns the indices of a relay and of hosts without that duty.
func (d *largeDeployment) relayAndOthers() (relay int, others []int) {
	for i, host := range d.hosts[1:] {
		if host.IsRelay() {
			relay = 1 + i
		} else {
			others = append(others, 1+i)
		}
	}
	return relay, others
}

// Guards against a host that takes its own measurement, which comes back in a summary,
// for that of another witness: one slow link would drain a sound group.
func TestOwnSpeedComesBackFromNoOtherHost(t *testing.T) {
	d := newLargeDeployment(t)
	relay, others := d.relayAndOthers()
	for _, measuring := range [][]int{{others[7]}, {others[7], others[20]}, {relay, others[3]}} {
		for _, host := range d.hosts {
			host.measure()
		}
		for i, index := range measuring {
			d.hosts[index].measure(&exchangev1.GroupPace{InstanceId: "head", SpeedPercent: uint32(20 + 40*i), Witnesses: 1})
		}
		d.runRounds(settleRounds)
		for i, host := range d.hosts {
			want := len(measuring)
			for _, index := range measuring {
				if index == i {
					want--
				}
			}
			_, witnesses := host.paceOf("head")
			assert.Equal(t, witnesses, want, "host %d, measured by %v", i, measuring)
		}
		percent, _ := d.hosts[others[1]].paceOf("head")
		assert.Equal(t, percent, 20*len(measuring), "the mean of the witnesses")
	}
}

// Guards against messages that grow with the number of slow groups, and against old
// measurements that displace new ones.
func TestSummariesHoldTheNewestSpeedsOnly(t *testing.T) {
	const slow, kept = 40, 24
	d := newLargeDeployment(t)
	_, others := d.relayAndOthers()
	paces := make([]*exchangev1.GroupPace, 0, slow)
	for i := range slow {
		paces = append(paces, &exchangev1.GroupPace{InstanceId: fmt.Sprintf("instance-%04d", i), SpeedPercent: 50, AgeMs: int64(1000 - 10*i), Witnesses: 1})
	}
	d.hosts[others[5]].measure(paces...)
	d.runRounds(settleRounds)
	receiver := d.hosts[others[6]]
	for i := range slow {
		_, witnesses := receiver.paceOf(fmt.Sprintf("instance-%04d", i))
		assert.Equal(t, witnesses == 1, i >= slow-kept, "group %d", i)
	}
	size := 0
	receiver.mu.Lock()
	defer receiver.mu.Unlock()
	for _, received := range receiver.pacesByPeer {
		size += proto.Size(&exchangev1.Summary{Paces: received})
	}
	assert.Assert(t, size <= 700, "%d bytes", size)
}

// Guards against a speed that counts on long after its measurement, because relays pass
// it on as if it were new.
func TestSpeedExpiresThreeSecondsAfterItsMeasurement(t *testing.T) {
	d := newLargeDeployment(t)
	_, others := d.relayAndOthers()
	measuring, receiver := d.hosts[others[5]], d.hosts[others[40]]
	measured := d.now
	lastSeen := time.Time{}
	for range 30 {
		measuring.measure(&exchangev1.GroupPace{InstanceId: "head", SpeedPercent: 50, AgeMs: d.now.Add(roundInterval).Sub(measured).Milliseconds(), Witnesses: 1})
		d.runRounds(1)
		if _, witnesses := receiver.paceOf("head"); witnesses > 0 {
			lastSeen = d.now
		}
	}
	age := lastSeen.Sub(measured)
	assert.Assert(t, age > 2*time.Second && age < 3*time.Second, "last seen after %v", age)
}
