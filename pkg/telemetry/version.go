package telemetry

import "runtime/debug"

// unknownVersion is the version of a build without build information.
const unknownVersion = "unknown"

// Version returns the module version of the build, followed by the commit if it was recorded in the build.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return unknownVersion
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return info.Main.Version + " " + s.Value
		}
	}
	return info.Main.Version
}
