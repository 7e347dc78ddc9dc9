package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// daemon is one of the project's programs as a separate process, with settings rendered from its template.
type daemon struct {
	name     string
	program  string
	template string
	dir      string
	fields   map[string]any

	command *exec.Cmd
	done    chan struct{}
}

// ending is set before all processes are ended: none is started from then on.
var ending atomic.Bool

var errEnding = errors.New("the case ends")

// start renders the settings and starts the process.
func (d *daemon) start(bootstrap bool) error {
	if ending.Load() {
		return errEnding
	}
	d.fields["bootstrap"] = bootstrap
	text, err := os.ReadFile(d.template)
	if err != nil {
		return err
	}
	settings := filepath.Join(d.dir, d.name+".toml")
	if err := os.WriteFile(settings, []byte(render(string(text), d.fields)), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(d.dir, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	c := exec.Command(d.program)
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + d.dir, "AUBURNWOOD_SETTINGS=" + settings}
	c.Stdout, c.Stderr = out, out
	if err := c.Start(); err != nil {
		return err
	}
	d.command, d.done = c, make(chan struct{})
	go func(done chan struct{}) {
		_ = c.Wait()
		_ = out.Close()
		close(done)
	}(d.done)
	return nil
}

// signal sends a signal to the process.
func (d *daemon) signal(s syscall.Signal) {
	if d.command != nil {
		_ = d.command.Process.Signal(s)
	}
}

// ended waits for the end of the process.
func (d *daemon) ended(within time.Duration) bool {
	select {
	case <-d.done:
		return true
	case <-time.After(within):
		return false
	}
}

// kill ends the process at once.
func (d *daemon) kill() {
	if d.command == nil {
		return
	}
	d.signal(syscall.SIGKILL)
	d.ended(time.Second)
}

var (
	sectionPattern = regexp.MustCompile(`(?s)\{\{#([a-zA-Z.]+)\}\}(.*?)\{\{/[a-zA-Z.]+\}\}`)
	valuePattern   = regexp.MustCompile(`\{\{([a-zA-Z0-9.]+)(\|json)?\}\}`)
)

// render fills in a settings template: values, values as JSON, and sections over a list of texts.
func render(text string, fields map[string]any) string {
	text = sectionPattern.ReplaceAllStringFunc(text, func(section string) string {
		parts := sectionPattern.FindStringSubmatch(section)
		list, _ := lookup(fields, parts[1]).([]string)
		var out strings.Builder
		for i, entry := range list {
			comma := ","
			if i == len(list)-1 {
				comma = ""
			}
			out.WriteString(strings.NewReplacer("{{.}}", entry, "{{,}}", comma).Replace(parts[2]))
		}
		return out.String()
	})
	return valuePattern.ReplaceAllStringFunc(text, func(placeholder string) string {
		parts := valuePattern.FindStringSubmatch(placeholder)
		v := lookup(fields, parts[1])
		if parts[2] == "" {
			return fmt.Sprint(v)
		}
		b, _ := json.Marshal(v)
		return string(b)
	})
}

// lookup returns the value at a path of names and indexes.
func lookup(v any, path string) any {
	for part := range strings.SplitSeq(path, ".") {
		switch t := v.(type) {
		case map[string]any:
			v = t[part]
		case []int:
			i, err := strconv.Atoi(part)
			if err != nil || i >= len(t) {
				return nil
			}
			v = t[i]
		default:
			return nil
		}
	}
	return v
}
