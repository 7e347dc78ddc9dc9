package soak

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/gravitational/trace"
)

// process is one daemon, which may be started many times.
type process struct {
	name    string
	program string
	// settings and log are the paths of its files.
	settings string
	log      string
	counts   *counts

	mu sync.Mutex
	// command is the running process, nil when there is none; ending is set once it was told to end.
	command *exec.Cmd
	done    chan struct{}
	ending  bool
	paused  bool
	// started is the number of starts.
	started int
}

func newProcess(o Options, name, program string, c *counts) *process {
	return &process{
		name: name, program: filepath.Join(o.Programs, program), counts: c,
		settings: filepath.Join(o.Dir, name+".toml"), log: filepath.Join(o.Dir, name+".log"),
	}
}

// start starts the daemon; its log goes on.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil {
		return nil
	}
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	c := exec.Command(p.program, "--settings", p.settings)
	c.Stdout, c.Stderr = out, out
	if err := c.Start(); err != nil {
		_ = out.Close()
		return trace.Wrap(err, "starting %s", p.name)
	}
	p.command, p.done, p.ending, p.paused = c, make(chan struct{}), false, false
	p.started++
	go p.wait(c, out, p.done)
	return nil
}

// wait takes the end of the process; one that nobody asked for breaks a promise.
func (p *process) wait(c *exec.Cmd, out *os.File, done chan struct{}) {
	err := c.Wait()
	_ = out.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.ending {
		p.counts.violation("%s ended by itself: %v", p.name, err)
	}
	p.command = nil
	close(done)
}

// signal sends a signal to the running process; it reports whether there is one.
func (p *process) signal(s syscall.Signal) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return false
	}
	switch s {
	case syscall.SIGTERM, syscall.SIGKILL:
		p.ending = true
	case syscall.SIGSTOP:
		p.paused = true
	case syscall.SIGCONT:
		p.paused = false
	}
	return p.command.Process.Signal(s) == nil
}

// lives is the number of starts.
func (p *process) lives() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.started
}

// running reports whether the process runs and is not paused.
func (p *process) running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.command != nil && !p.paused && !p.ending
}

// ended waits until the process has ended; it reports false when that takes too long.
func (p *process) ended(within time.Duration) bool {
	p.mu.Lock()
	done, alive := p.done, p.command != nil
	p.mu.Unlock()
	if !alive {
		return true
	}
	select {
	case <-done:
		return true
	case <-time.After(within):
		return false
	}
}

// stop asks the process to end and waits for it; one that takes longer than its grace time breaks a promise.
func (p *process) stop(within time.Duration) {
	if !p.signal(syscall.SIGTERM) {
		return
	}
	if !p.ended(within) {
		p.counts.violation("%s was still there %s after it was told to end", p.name, within)
		p.kill()
	}
}

func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	p.ended(time.Second)
}
