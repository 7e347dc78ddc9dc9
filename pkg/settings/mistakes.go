package settings

import (
	"fmt"
	"strings"
)

// Mistake is one wrong key of a settings file.
type Mistake struct {
	// Key is the dotted TOML key, for example "limits.workers"; empty when the file as a whole is at fault.
	Key string
	// Reason says what is wrong with the key.
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
	// Path is the file's path, or empty when the settings did not come from a file.
	Path string
	// Mistakes are in the order in which they were found.
	Mistakes []Mistake
}

// Error returns one line for each mistake.
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

// mistakes collects what the checks of one file find.
type mistakes struct {
	found []Mistake
	// skip holds the keys that could not be decoded; their values are not checked.
	skip map[string]bool
}

// undecoded records a key whose value could not be decoded.
func (m *mistakes) undecoded(key, reason string) {
	m.add(key, "%s", reason)
	if m.skip == nil {
		m.skip = make(map[string]bool)
	}
	m.skip[key] = true
}

// add records a mistake of a key.
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
