package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, with the seconds since its start, and counts broken rules.
type record struct {
	began time.Time

	mu     sync.Mutex
	file   *os.File
	broken []string
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{began: time.Now(), file: f}, nil
}

func (r *record) note(format string, a ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, a...))
}

// breaks records that a rule was broken.
func (r *record) breaks(format string, a ...any) {
	text := fmt.Sprintf(format, a...)
	r.note("BROKEN %s", text)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, text)
}

// result notes and returns the number of broken rules.
func (r *record) result() int {
	r.mu.Lock()
	n := len(r.broken)
	r.mu.Unlock()
	r.note("result: rule broken %d times", n)
	return n
}
