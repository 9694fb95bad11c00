// Package version names the release that a program was built from.
package version

import "runtime/debug"

// release is set by the linker for tagged builds.
var release = "dev"

// Release returns the release, with the commit where the build recorded it.
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
