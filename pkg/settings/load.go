package settings

import (
	"errors"
	"os"
	"strings"

	"github.com/gravitational/trace"
	"github.com/pelletier/go-toml/v2"
)

// MaxFileSize is the maximum size of a settings file in bytes.
const MaxFileSize = 1 << 20

// checker is a settings struct that can record its mistakes.
type checker interface {
	check(m *mistakes)
}

// load reads and parses a file; an *Error gets the file's path.
func load[T checker](path string, parse func([]byte) (T, error)) (T, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		var zero T
		return zero, trace.Wrap(trace.ConvertSystemError(err), "reading settings file %s", path)
	}
	s, err := parse(text)
	var e *Error
	if errors.As(err, &e) {
		e.Path = path
	}
	return s, err
}

// parse decodes TOML text over the defaults in s and checks the result.
func parse[T checker](text []byte, s T) (T, error) {
	var m mistakes
	if len(text) > MaxFileSize {
		m.add("", "the file has %d bytes, more than %d", len(text), MaxFileSize)
		return s, m.err()
	}
	var tree map[string]any
	if err := toml.Unmarshal(text, &tree); err != nil {
		m.syntax(err)
		return s, m.err()
	}
	decodeTree(&m, nil, tree, &s)
	s.check(&m)
	return s, m.err()
}

// syntax records a TOML syntax error with its position.
func (m *mistakes) syntax(err error) {
	reason := strings.TrimPrefix(err.Error(), "toml: ")
	var e *toml.DecodeError
	if !errors.As(err, &e) {
		m.add("", "not TOML: %s", reason)
		return
	}
	row, column := e.Position()
	m.add(strings.Join(e.Key(), "."), "not TOML: %s (line %d, column %d)", reason, row, column)
}
