package member_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/member"
)

// fleet is a configuration with entry hosts and endpoints.
type fleet struct {
	members
	applied   uint64
	endpoints []flamingodoor.Endpoint
}

func (f fleet) Applied() uint64                    { return f.applied }
func (f fleet) Endpoints() []flamingodoor.Endpoint { return f.endpoints }

// Guards against returning a cached watch set after the configuration changed,
// and against endpoints with fewer than three watchers.
func TestWatchSetFollowsTheConfiguration(t *testing.T) {
	var current fleet
	for i := range 20 {
		current.endpoints = append(current.endpoints, flamingodoor.Endpoint{ID: fmt.Sprintf("engine-%02d", i)})
	}
	sets := make(map[string]*member.WatchSet)
	for range 6 {
		id := fmt.Sprintf("host-%02d", len(current.hosts))
		current.hosts = append(current.hosts, flamingodoor.EntryHost{ID: id})
		current.applied++
		sets[id] = member.NewWatchSet(id)
		for range 2 {
			total := 0
			for hostID, set := range sets {
				for _, endpoint := range set.Endpoints(current) {
					assert.Assert(t, identifiers(member.Watchers(current, endpoint))[hostID])
					total++
				}
			}
			assert.Equal(t, total, len(current.endpoints)*min(member.WatcherCount, len(current.hosts)))
		}
	}
}

// BenchmarkWatchSetAtScale measures computing the watch set after each record.
func BenchmarkWatchSetAtScale(b *testing.B) {
	for _, scale := range []struct{ hosts, engines int }{{7, 58}, {98, 375}, {390, 1500}} {
		b.Run(fmt.Sprintf("%dx%d", scale.hosts, scale.engines), func(b *testing.B) {
			var current fleet
			for i := range scale.engines {
				current.endpoints = append(current.endpoints, flamingodoor.Endpoint{ID: fmt.Sprintf("engine-%d", i)})
			}
			for i := range scale.hosts {
				current.hosts = append(current.hosts, flamingodoor.EntryHost{ID: fmt.Sprintf("host-%d", i)})
			}
			set := member.NewWatchSet("host-0")
			for b.Loop() {
				current.applied++
				_ = set.Endpoints(current)
			}
		})
	}
}
