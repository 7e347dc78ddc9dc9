package soak

import (
	"bufio"
	"encoding/json"
	"os"
	"strings"
)

// refusalLine is the log entry of a refused flow.
type refusalLine struct {
	Op     string `json:"op"`
	Caller string `json:"caller"`
	Run    string `json:"run"`
	Record string `json:"record"`
}

// checkRefusals checks that no request ran of the flows that balancers logged as refused with run "no".
func (w *world) checkRefusals() error {
	worked := make(map[string]string)
	w.mu.Lock()
	for request, id := range w.requests {
		caller, _, _ := strings.Cut(request, "#")
		worked[caller] = id
	}
	w.mu.Unlock()
	for _, b := range w.balancers {
		lines, err := readRefusals(b.log)
		if err != nil {
			return err
		}
		for _, l := range lines {
			if id, ran := worked[l.Caller]; ran && l.Run == "no" {
				w.counts.violation("%s logged in %s that no request of %s ran, but %s ran one", b.name, l.Record, l.Caller, id)
			}
		}
	}
	return nil
}

// readRefusals reads the refusals from a log. It skips lines that are truncated because the process ended.
func readRefusals(path string) ([]refusalLine, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close() //nolint:errcheck // It was only read.
	var out []refusalLine
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		var l refusalLine
		if json.Unmarshal(lines.Bytes(), &l) == nil && l.Op == "refuse" {
			out = append(out, l)
		}
	}
	return out, lines.Err()
}
