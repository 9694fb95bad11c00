// Package version provides the release that a program was built from.
package version

import "runtime/debug"

// release is set by the linker in builds of a tagged release.
var release = "dev"

// Release returns the release, followed by "+" and the commit if the build
// recorded it.
func Release() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return release
	}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			return release + "+" + setting.Value
		}
	}
	return release
}
