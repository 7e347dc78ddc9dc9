package configuration

import "strconv"

// numbered marks versions that are operators' numbers. They are above all versions of stored objects, so that
// processes that do not know numbers follow those that do.
const numbered = 1 << 62

// VersionOf returns the version of a stored configuration. Where the object API may be restored from an older copy
// and assign versions again, the operator's number, which is the label, orders configurations. Elsewhere, and when
// the label is not a number, the object's version does.
func VersionOf(label string, object uint64, mayBeRestored bool) uint64 {
	if !mayBeRestored {
		return object
	}
	number, err := strconv.ParseUint(label, 10, 62)
	if err != nil {
		return object
	}
	return numbered | number
}

// IsNumbered reports whether a version is an operator's number.
func IsNumbered(version uint64) bool { return version&numbered != 0 }

// DisplayVersion returns a version as shown in logs, status and records: the operator's number, or the stored
// object's version.
func DisplayVersion(version uint64) uint64 { return version &^ numbered }
