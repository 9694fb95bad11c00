package catalogue_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/catalogue"
)

func version(number int64, routes ...flamingodoor.Route) *flamingodoor.Catalogue {
	return &flamingodoor.Catalogue{
		Version: number, Routes: routes,
		Workspaces: []flamingodoor.Workspace{{Name: "billing", Keys: []string{"k1", "k2"}}},
	}
}

// Guards against routing a request by a shorter prefix than the longest match,
// or by a prefix of another host. The host is compared without its case and
// port.
func TestLongestPrefixOfTheHostWins(t *testing.T) {
	index := catalogue.NewIndex(version(1,
		flamingodoor.Route{Name: "short", Host: "a.example", Prefix: "/x/"},
		flamingodoor.Route{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		flamingodoor.Route{Name: "other", Host: "b.example", Prefix: "/x/y/z/"},
	))
	for path, want := range map[string]string{
		"/x/y/z": "long", "/x/y/": "long", "/x/q": "short", "/x/": "short", "/x": "", "/": "", "": "", "/xy/": "",
	} {
		route, ok := index.Route("A.example:80", path)
		if want == "" {
			assert.Assert(t, !ok, path)
			continue
		}
		assert.Assert(t, ok, path)
		assert.Equal(t, route.Name, want, path)
	}
}

// Guards against finding the wrong workspace for an API key, and against
// accepting an empty key.
func TestWorkspaceOfAKey(t *testing.T) {
	index := catalogue.NewIndex(version(1))
	workspace, ok := index.Workspace("k2")
	assert.Assert(t, ok)
	assert.Equal(t, workspace.Name, "billing")
	_, ok = index.Workspace("")
	assert.Assert(t, !ok)
}

// Guards against a configuration being replaced by an older one that arrives
// late.
func TestOlderConfigurationIsIgnored(t *testing.T) {
	updates := 0
	cache := catalogue.New(func(*flamingodoor.Catalogue) { updates++ })
	cache.Configure(version(7))
	cache.Configure(version(3))
	cache.Configure(version(7))
	assert.Equal(t, cache.Index().Version, int64(7))
	assert.Equal(t, updates, 1)
}

// Guards against a confirmation that arrives late and makes the configuration
// appear older than it is.
func TestConfirmationOnlyGrows(t *testing.T) {
	cache := catalogue.New(func(*flamingodoor.Catalogue) {})
	now := time.Unix(1_800_000_000, 0)
	cache.Confirm(now)
	cache.Confirm(now.Add(-time.Second))
	assert.Assert(t, cache.Confirmed().Equal(now))
}

// Guards against a data centre that stays evacuated after operators have
// removed it from the list.
func TestEvacuationsAreReplaced(t *testing.T) {
	cache := catalogue.New(func(*flamingodoor.Catalogue) {})
	cache.Evacuate([]string{"a"})
	assert.Assert(t, cache.Evacuated("a") && !cache.Evacuated("b"))
	cache.Evacuate(nil)
	assert.Assert(t, !cache.Evacuated("a"))
}
