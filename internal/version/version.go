// Package version tells which build of the program runs.
package version

import "runtime/debug"

// String returns the version of the module and the revision that the program was built from, as far as the build
// recorded them.
func String() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	text := info.Main.Version
	if text == "" {
		text = "(devel)"
	}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			text += " " + setting.Value
		}
	}
	return text + " " + info.GoVersion
}
