package settings

import (
	"bytes"
	"errors"
	"os"
	"strings"

	"github.com/gravitational/trace"
	"github.com/pelletier/go-toml/v2"
)

// checker finds the mistakes of a settings struct.
type checker interface {
	check(m *mistakes)
}

// load reads a file and parses it.
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

// parse decodes TOML text over the defaults and checks the result.
func parse[T checker](text []byte, s T) (T, error) {
	var m mistakes
	d := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	if err := d.Decode(&s); err != nil && !m.decode(err) {
		var zero T
		return zero, m.err()
	}
	s.check(&m)
	return s, m.err()
}

// decode records the mistakes of the decoder. It reports whether the known keys were decoded all the same.
func (m *mistakes) decode(err error) bool {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		for _, e := range strict.Errors {
			row, _ := e.Position()
			m.add(strings.Join(e.Key(), "."), "is not a known key (line %d)", row)
		}
		return true
	}
	var de *toml.DecodeError
	if errors.As(err, &de) {
		row, column := de.Position()
		m.add(strings.Join(de.Key(), "."), "%s (line %d, column %d)", strings.TrimPrefix(de.Error(), "toml: "), row, column)
		return false
	}
	m.add("", "%v", err)
	return false
}
