package configuration

import "strconv"

// numbered marks versions that are operators' numbers. They are above all versions of stored objects, so that processes that know no numbers
// follow those that do.
const numbered = 1 << 62

// VersionOf returns the version of a stored configuration. Where the object API may come back older and give versions out again, the operator's
// number orders configurations; it is their label. Elsewhere, and when the label is no number, the object's version does.
func VersionOf(label string, object uint64, mayComeBackOlder bool) uint64 {
	if !mayComeBackOlder {
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

// DisplayVersion returns the form of a version for logs, status and records: the operator's number, or the stored object's version.
func DisplayVersion(version uint64) uint64 { return version &^ numbered }
