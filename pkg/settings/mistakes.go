package settings

import (
	"fmt"
	"strings"
)

// Mistake is one mistake in a settings file.
type Mistake struct {
	// Key is the dotted TOML key, for example "limits.workers"; empty when the mistake concerns the whole file.
	Key string
	// Reason states what is wrong with the key.
	Reason string
}

// String returns the mistake as "key: reason".
func (m Mistake) String() string {
	if m.Key == "" {
		return m.Reason
	}
	return m.Key + ": " + m.Reason
}

// Error holds every mistake found in one settings file.
type Error struct {
	// Path is the file's path; empty when the settings were not read from a file.
	Path string
	// Mistakes has the mistakes in the order of detection.
	Mistakes []Mistake
}

// Error returns a header line and one line for each mistake.
func (e *Error) Error() string {
	name := e.Path
	if name == "" {
		name = "settings"
	}
	lines := make([]string, 0, len(e.Mistakes)+1)
	lines = append(lines, fmt.Sprintf("%s: %d mistake(s)", name, len(e.Mistakes)))
	for _, m := range e.Mistakes {
		lines = append(lines, "  "+m.String())
	}
	return strings.Join(lines, "\n")
}

// mistakes collects the mistakes of one file.
type mistakes struct {
	found []Mistake
	// skip has the keys that could not be decoded, so that later checks of their values are ignored.
	skip map[string]bool
}

// undecoded records that the value of a key could not be decoded.
func (m *mistakes) undecoded(key, reason string) {
	m.add(key, "%s", reason)
	if m.skip == nil {
		m.skip = make(map[string]bool)
	}
	m.skip[key] = true
}

// add records a mistake unless the key could not be decoded.
func (m *mistakes) add(key, format string, args ...any) {
	if m.skip[key] {
		return
	}
	m.found = append(m.found, Mistake{Key: key, Reason: fmt.Sprintf(format, args...)})
}

// err returns an Error with the mistakes, or nil when there are none.
func (m *mistakes) err() error {
	if len(m.found) == 0 {
		return nil
	}
	return &Error{Mistakes: m.found}
}
