package reach_test

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor/internal/reach"
)

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

var _ reach.Testimony

// Guards against a host that does not notice that it is stranded, and a witness that
// counts as sound, after its clock was set back.
func TestClockThatIsSetBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(func(int, int) behaviour { return silent })
		paths := f.paths[0]
		paths.Heard(f.instances[0], time.Now().Add(2*time.Second)) // before the clock was set back
		assert.Assert(t, !f.probers[0].Sound(t.Context(), f.instances[5]))
	})
}
