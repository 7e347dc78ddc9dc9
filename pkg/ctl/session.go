package ctl

import (
	"encoding/json"
	"fmt"
	"net/url"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/gravitational/trace"

	"github.com/auburnwood/auburnwood/pkg/objectapi"
)

// session is one run of a command.
type session struct {
	app   App
	flags globalFlags
}

// outputJSON is the value of --output for JSON.
const outputJSON = "json"

// stdinName is the file argument that means standard input.
const stdinName = "-"

// store returns a client of the object API at --server.
func (s *session) store() (objectapi.Store, error) {
	if s.flags.Server == "" {
		return nil, &usageError{reason: "--server URL or AUBURNWOOD_SERVER is required"}
	}
	u, err := url.Parse(s.flags.Server)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return nil, &usageError{reason: fmt.Sprintf("server %q is not a URL such as http://127.0.0.1:8080", s.flags.Server)}
	}
	return s.app.Open(s.flags.Protocol, s.flags.Server, s.flags.Timeout), nil
}

// json reports whether the output is JSON.
func (s *session) json() bool {
	return s.flags.Output == outputJSON
}

// writeJSON writes v as indented JSON.
func (s *session) writeJSON(v any) error {
	e := json.NewEncoder(s.app.Stdout)
	e.SetIndent("", "  ")
	return trace.Wrap(e.Encode(v), "writing the output")
}

// writeTable writes rows in columns.
func (s *session) writeTable(head []string, rows [][]string) error {
	w := tabwriter.NewWriter(s.app.Stdout, 0, 0, 2, ' ', 0)
	for _, r := range append([][]string{head}, rows...) {
		fmt.Fprintln(w, strings.TrimRight(strings.Join(r, "\t"), "\t"))
	}
	return trace.Wrap(w.Flush(), "writing the output")
}

// documents reads the services of the named files, and of standard input for "-". Duplicate names become mistakes.
func (s *session) documents(names []string) ([]Document, error) {
	if len(names) == 0 {
		return nil, &usageError{reason: "name at least one file, or - for standard input"}
	}
	var all []Document
	for _, name := range names {
		list, err := s.read(name)
		if err != nil {
			return nil, &usageError{reason: trace.UserMessage(err)}
		}
		if len(list) == 0 {
			list = []Document{unreadable(name, "holds no document")}
		}
		all = append(all, list...)
	}
	markDuplicates(all)
	return all, nil
}

// read reads the services of one file or of standard input.
func (s *session) read(name string) ([]Document, error) {
	if name == stdinName {
		return ReadDocuments(s.app.Stdin, "standard input")
	}
	f, err := os.Open(name)
	if err != nil {
		return nil, trace.Wrap(err, "opening %s", name)
	}
	defer f.Close()
	return ReadDocuments(f, name)
}
