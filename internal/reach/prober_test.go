package reach_test

import (
	"context"
	"fmt"
	"net/netip"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/reach"
)

// witnessTimeout is how long a witness has to answer.
const witnessTimeout = 160 * time.Millisecond

// behaviour is what a host sees of an instance.
type behaviour int

const (
	answers behaviour = iota
	silent
	refuses
	answersAsAnother // instance, which has taken the address
)

// fleet is three hosts and the instances of a deployment. The first host asks the
// other two as witnesses.
type fleet struct {
	instances []flamingodoor.Instance
	seen      func(host, instance int) behaviour
	paths     []*reach.Paths
	probers   []*reach.Prober
}

func newFleet(seen func(host, instance int) behaviour) *fleet {
	f := &fleet{instances: deployment(), seen: seen}
	for i := range f.instances {
		f.instances[i].Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(i)}), 1)
	}
	for host := range 3 {
		paths := reach.New(reach.WithInstances(func() []flamingodoor.Instance { return f.instances }))
		f.paths = append(f.paths, paths)
		f.probers = append(f.probers, reach.NewProber(paths, f.report(host), f.confirm, "dc-0", log.NewNopLogger()))
	}
	return f
}

func (f *fleet) report(host int) reach.Report {
	return func(ctx context.Context, instance flamingodoor.Instance) (flamingodoor.InstanceReport, error) {
		switch f.seen(host, int(instance.Address.Addr().As4()[3])) {
		case answers:
			return flamingodoor.InstanceReport{}, nil
		case answersAsAnother:
			return flamingodoor.InstanceReport{Instance: flamingodoor.Instance{ID: "another"}}, nil
		case refuses:
			return flamingodoor.InstanceReport{}, syscall.ECONNREFUSED
		default:
			<-ctx.Done()
			return flamingodoor.InstanceReport{}, ctx.Err()
		}
	}
}

// confirm asks the witnesses as the exchange does.
func (f *fleet) confirm(ctx context.Context, instance flamingodoor.Instance) bool {
	ctx, cancel := context.WithTimeout(ctx, witnessTimeout)
	defer cancel()
	testimonies := make(chan reach.Testimony, 2)
	for _, witness := range f.probers[1:] {
		go func() { testimonies <- witness.Testify(ctx, instance) }()
	}
	first, second := <-testimonies, <-testimonies
	return !first.Answers && !second.Answers && (first.Sound || second.Sound)
}

// Guards against a host alone that finds instances lost because its own paths have
// failed, and against one that finds nothing lost because nothing else is there.
func TestHostAloneChecksItsOwnPaths(t *testing.T) {
	for name, test := range map[string]struct {
		seen      behaviour // of all instances but the one in question
		instances int
		sound     bool
	}{
		"others answer":   {answers, 14, true},
		"others silent":   {silent, 14, false},
		"others refuse":   {refuses, 14, false},
		"no others":       {silent, 1, true},
		"no other domain": {silent, 4, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(func(int, int) behaviour { return test.seen })
				f.instances = f.instances[:test.instances]
				assert.Equal(t, f.probers[0].Sound(t.Context(), f.instances[0]), test.sound)
			})
		})
	}
}

// Guards against a storm of probes when 120 of 200 hosts lose their paths: each had its
// witnesses probe all members of its groups, so that the sound hosts were late.
func TestHostsThatLoseTheirPathsAskNoWitnesses(t *testing.T) {
	const hosts, cut, instances, members = 200, 120, 1100, 32 // of two groups
	all := make([]flamingodoor.Instance, instances)
	for i := range all {
		all[i] = flamingodoor.Instance{ID: fmt.Sprint("i-", i), FabricDomain: fmt.Sprint("d-", i/73)}
	}
	var questions atomic.Int32
	report := func(ctx context.Context, _ flamingodoor.Instance) (flamingodoor.InstanceReport, error) {
		<-ctx.Done()
		return flamingodoor.InstanceReport{}, ctx.Err()
	}
	confirm := func(context.Context, flamingodoor.Instance) bool { return questions.Add(1) == 0 }
	for host := range cut {
		synctest.Test(t, func(t *testing.T) {
			paths := reach.New(reach.WithInstances(func() []flamingodoor.Instance { return all }),
				reach.WithProbe(func(ctx context.Context, _ flamingodoor.Instance) bool { <-ctx.Done(); return false }))
			prober := reach.NewProber(paths, report, confirm, "dc-0", log.NewNopLogger())
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			paths.Failed(all[host], time.Now())
			paths.Failed(all[host+hosts], time.Now())
			for member := range members {
				go prober.Examine(ctx, all[host+member%2*hosts+member/2])
			}
			paths.Run(ctx)
		})
	}
	assert.Equal(t, questions.Load(), int32(0))
}

// Guards against a host whose path to an instance has failed and that takes the
// instance for lost or crashed for all hosts, and against real failures that are found
// later than a host alone would.
func TestLossNeedsASoundWitness(t *testing.T) {
	const member = 0
	atAll := func(what behaviour) func(host, instance int) behaviour {
		return func(_, instance int) behaviour {
			if instance == member {
				return what
			}
			return answers
		}
	}
	cutHosts := func(hosts int, what behaviour) func(host, instance int) behaviour {
		return func(host, _ int) behaviour {
			if host < hosts {
				return what
			}
			return answers
		}
	}
	for name, test := range map[string]struct {
		seen   func(host, instance int) behaviour
		lost   bool
		ended  bool
		within time.Duration
	}{
		"crashed process": {atAll(refuses), true, true, time.Millisecond},
		"replaced process": {func(_, instance int) behaviour {
			if instance == member {
				return answersAsAnother
			}
			return answers
		}, true, true, time.Millisecond},
		"dead machine": {atAll(silent), true, false, 320 * time.Millisecond},
		"crashed rack": {func(_, instance int) behaviour {
			if instance < 4 {
				return refuses
			}
			return answers
		}, true, true, time.Millisecond},
		"silent cut of one host":    {cutHosts(1, silent), false, false, 320 * time.Millisecond},
		"refusing cut of one host":  {cutHosts(1, refuses), false, false, time.Millisecond},
		"refusing cut of two hosts": {cutHosts(2, refuses), false, false, time.Millisecond},
		"silent cut of all hosts":   {cutHosts(3, silent), false, false, 320 * time.Millisecond},
		"refusing cut of all hosts": {cutHosts(3, refuses), false, false, time.Millisecond},
		"path to one instance has failed": {func(host, instance int) behaviour {
			if host == 0 && instance == member {
				return refuses
			}
			return answers
		}, false, false, time.Millisecond},
		"answering": {atAll(answers), false, false, time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(test.seen)
				begun := time.Now()
				finding := f.probers[0].Examine(t.Context(), f.instances[member])
				assert.Assert(t, time.Since(begun) <= test.within, "took %s", time.Since(begun))
				assert.Equal(t, finding.Lost, test.lost)
				assert.Equal(t, finding.Answers, test.seen(0, member) == answers)
				ended, reached := f.probers[0].HasEnded(t.Context(), f.instances[member])
				assert.Equal(t, ended, test.ended)
				assert.Equal(t, reached, finding.Answers)
			})
		})
	}
}

// Guards against witnesses that confirm the loss of a sound instance, because they lie
// in the same partition: their new connections are refused, and streams on old ones go
// on (issue 30).
func TestBytesOnOldConnectionsMakeNoSoundWitness(t *testing.T) {
	for name, fails := range map[string]behaviour{"refused": refuses, "silent": silent} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(func(int, int) behaviour { return fails })
				var ended atomic.Bool
				done := make(chan struct{})
				go func() {
					defer close(done)
					for !ended.Load() {
						for _, paths := range f.paths {
							paths.Heard(f.instances[len(f.instances)-1], time.Now())
						}
						time.Sleep(10 * time.Millisecond)
					}
				}()
				finding := f.probers[0].Examine(t.Context(), f.instances[0])
				ended.Store(true)
				<-done
				assert.Assert(t, !finding.Lost)
			})
		})
	}
}
