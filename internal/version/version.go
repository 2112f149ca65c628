// Package version provides the version of the running binary.
package version

import "runtime/debug"

// String returns the module version, the VCS revision and the Go version of the build. The revision is omitted if the
// build did not record it.
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
