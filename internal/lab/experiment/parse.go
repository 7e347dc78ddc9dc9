package experiment

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	"os"
	"regexp"
	"slices"
	"strings"

	"github.com/gravitational/trace"
	"github.com/pelletier/go-toml/v2"
)

// MaxFileSize is the largest experiment file in bytes.
const MaxFileSize = 1 << 20

// optionName matches long option names and command names. It prevents a key such as "a=b" or a command such as "--help"
// from being read as another argument.
var optionName = regexp.MustCompile(`^[a-z][a-z0-9-]*$`)

// Load reads the file at path. The error contains the path and one line for each mistake.
func Load(path string) (File, error) {
	info, err := os.Stat(path)
	if err != nil {
		return File{}, trace.Wrap(err, "read experiment")
	}
	if info.Size() > MaxFileSize {
		return File{}, trace.BadParameter("%s: larger than %d bytes", path, MaxFileSize)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return File{}, trace.Wrap(err, "read experiment")
	}
	f, err := Parse(text)
	if err != nil {
		return File{}, trace.BadParameter("%s: %v", path, err)
	}
	return f, nil
}

// Parse decodes and validates an experiment. The error has one line for each mistake.
func Parse(text []byte) (File, error) {
	var f File
	err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(&f)
	if err != nil {
		return File{}, describe(err)
	}
	return f, f.validate()
}

// describe converts a decoding error to one that states the line and, where known, the key or the column.
func describe(err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		var lines []string
		for _, e := range strict.Errors {
			line, _ := e.Position()
			lines = append(lines, fmt.Sprintf("line %d: %s is not a known key", line, strings.Join(e.Key(), ".")))
		}
		return trace.BadParameter("%s", strings.Join(lines, "\n"))
	}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		line, column := decode.Position()
		return trace.BadParameter("line %d, column %d: %s", line, column, decode.Error())
	}
	return trace.BadParameter("%v", err)
}

func (f File) validate() error {
	var errs []error
	if len(f.Runs) == 0 {
		errs = append(errs, trace.BadParameter("there is no [[run]]"))
	}
	seen := make(map[string]bool)
	for i, r := range f.Runs {
		for _, reason := range r.mistakes() {
			errs = append(errs, trace.BadParameter("run %d: %s", i+1, reason))
		}
		if seen[r.Name] {
			errs = append(errs, trace.BadParameter("run %d: duplicate name %q", i+1, r.Name))
		}
		seen[r.Name] = true
	}
	return errors.Join(errs...)
}

func (r Run) mistakes() []string {
	var out []string
	if r.Name == "" {
		out = append(out, "name is missing")
	}
	if !optionName.MatchString(r.Command) {
		out = append(out, fmt.Sprintf("command %q is not a valid command name", r.Command))
	}
	for _, key := range slices.Sorted(maps.Keys(r.Options)) {
		if !optionName.MatchString(key) {
			out = append(out, fmt.Sprintf("options.%s: is not a valid option name", key))
			continue
		}
		if _, err := arguments(key, r.Options[key]); err != nil {
			out = append(out, fmt.Sprintf("options.%s: %v", key, err))
		}
	}
	return out
}
