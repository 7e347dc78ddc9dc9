package objectapi

import (
	"errors"
	"net/http"
	"strconv"
)

// EraSource is a Store that knows its era.
type EraSource interface {
	// Era returns the era of the next answer; 0 when there are no eras.
	Era() uint64
}

// CurrentEra returns the era of a store, or 0 when it is no EraSource.
func CurrentEra(s Store) uint64 {
	if e, ok := s.(EraSource); ok {
		return e.Era()
	}
	return 0
}

// SetEraHeader writes the header with a store's era into an answer, if it has one.
func SetEraHeader(h http.Header, s Store) {
	if era := CurrentEra(s); era > 0 {
		h.Set(EraHeader, FormatEra(era))
	}
}

// CurrentVersion returns a store's version of a revision that a caller has named. Callers name no era, so that it is taken for one of the current
// era. It returns ErrInvalid when no version can hold the revision.
func CurrentVersion(s Store, revision uint64) (uint64, error) {
	v, err := MakeVersion(CurrentEra(s), revision)
	if err != nil {
		return 0, errors.Join(ErrInvalid, err)
	}
	return v, nil
}

// ParseCurrentVersion is CurrentVersion of a revision's text.
func ParseCurrentVersion(s Store, text string) (uint64, error) {
	revision, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, errors.Join(ErrInvalid, err)
	}
	return CurrentVersion(s, revision)
}
