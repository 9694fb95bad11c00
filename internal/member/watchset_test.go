package member_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/member"
)

type fleet struct {
	members
	applied   uint64
	endpoints []flamingodoor.Endpoint
}

func (f fleet) Applied() uint64                    { return f.applied }
func (f fleet) Endpoints() []flamingodoor.Endpoint { return f.endpoints }

// Guards against a watch set that outlives the configuration it comes from,
// and against endpoints without three watchers.
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
