package objectapi

import (
	"errors"
	"unicode"
	"unicode/utf8"
)

// MaxNameSize is the maximum size of a kind and of a name in bytes.
const MaxNameSize = 253

var errName = errors.New("kind and name must be 1 to 253 bytes of printable UTF-8 and not \".\" or \"..\"")

// CheckKey returns nil when kind and name can identify an object.
func CheckKey(kind Kind, name string) error {
	if !validName(string(kind)) || !validName(name) {
		return errName
	}
	return nil
}

// CheckKind returns nil when kind can be listed and watched.
func CheckKind(kind Kind) error {
	if !validName(string(kind)) {
		return errName
	}
	return nil
}

// validName rejects "." and "..", which HTTP clients and servers resolve as path segments.
func validName(s string) bool {
	if s == "" || s == "." || s == ".." || len(s) > MaxNameSize || !utf8.ValidString(s) {
		return false
	}
	for _, r := range s {
		if !unicode.IsPrint(r) {
			return false
		}
	}
	return true
}
