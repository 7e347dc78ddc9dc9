package objectapi

import (
	"errors"
	"net/http"
	"strconv"
)

// EraSource is implemented by a Store that has eras.
type EraSource interface {
	// Era returns the era of the next response; 0 when there are no eras.
	Era() uint64
}

// CurrentEra returns the era of a store, or 0 when it is not an EraSource.
func CurrentEra(s Store) uint64 {
	if e, ok := s.(EraSource); ok {
		return e.Era()
	}
	return 0
}

// SetEraHeader sets the era header of a response if the store has an era.
func SetEraHeader(h http.Header, s Store) {
	if era := CurrentEra(s); era > 0 {
		h.Set(EraHeader, FormatEra(era))
	}
}

// CurrentVersion returns the version of a revision that a caller has sent. Callers send no era, so the current era of the
// store is assumed. It returns ErrInvalid when the revision is out of range.
func CurrentVersion(s Store, revision uint64) (uint64, error) {
	v, err := MakeVersion(CurrentEra(s), revision)
	if err != nil {
		return 0, errors.Join(ErrInvalid, err)
	}
	return v, nil
}

// ParseCurrentVersion is CurrentVersion for a revision in decimal. It returns ErrInvalid when text is not a number.
func ParseCurrentVersion(s Store, text string) (uint64, error) {
	revision, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, errors.Join(ErrInvalid, err)
	}
	return CurrentVersion(s, revision)
}
