package objectapi

import (
	"errors"
	"strconv"
)

// EraHeader is the header in which the object API names its era in every response. The era rises by one each time the
// API is restored from an older copy of its objects: changes that it has acknowledged may then be lost, and their
// revisions are reused.
const EraHeader = "Store-Era"

// A version combines an era with a revision within it, so that versions of a later era are higher than all earlier ones.
// An API that names no era is in era 0, and its versions are its revisions.
const (
	// revisionBits are the lower bits of a version: 400 changes a second for 87 years.
	revisionBits = 40
	maxRevision  = 1<<revisionBits - 1
	maxEra       = 1<<(64-revisionBits-2) - 1
)

// ErrVersionRange means that an era or a revision does not fit into a version.
var ErrVersionRange = errors.New("era or revision out of range")

// MakeVersion returns the version of a revision in an era, or ErrVersionRange.
func MakeVersion(era, revision uint64) (uint64, error) {
	if era > maxEra || revision > maxRevision {
		return 0, ErrVersionRange
	}
	return era<<revisionBits | revision, nil
}

func EraOf(version uint64) uint64 { return version >> revisionBits }

// RevisionOf returns the revision of a version within its era.
func RevisionOf(version uint64) uint64 { return version & maxRevision }

// EraStart returns the version that precedes all changes in the era of a version.
func EraStart(version uint64) uint64 { return version &^ maxRevision }

// FormatEra returns the header value for an era above 0.
func FormatEra(era uint64) string { return strconv.FormatUint(era-1, 10) }

// ParseEra parses the header value. The value "0" is era 1, since era 0 is that of an API without the header.
func ParseEra(text string) (uint64, error) {
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, err
	}
	if n >= maxEra {
		return 0, ErrVersionRange
	}
	return n + 1, nil
}
