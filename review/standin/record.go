package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file that says what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
	broke int
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, began: time.Now()}, nil
}

func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// broken notes that the rule was broken.
func (r *record) broken(format string, args ...any) {
	r.mu.Lock()
	r.broke++
	r.mu.Unlock()
	r.note("BROKEN: "+format, args...)
}

func (r *record) breaks() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.broke
}
