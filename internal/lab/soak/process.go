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

// process is a daemon that can be started repeatedly.
type process struct {
	name    string
	program string
	// settings and log are file paths.
	settings string
	log      string
	counts   *counts

	mu sync.Mutex
	// command is the running process, nil if there is none; ending is set once SIGTERM or SIGKILL was sent.
	command    *exec.Cmd
	done       chan struct{}
	ending     bool
	paused     bool
	startCount int
}

func newProcess(o Options, name, program string, c *counts) *process {
	return &process{
		name: name, program: filepath.Join(o.Programs, program), counts: c,
		settings: filepath.Join(o.Dir, name+".toml"), log: filepath.Join(o.Dir, name+".log"),
	}
}

// start starts the daemon unless it is running; it appends to the log.
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
	p.startCount++
	go p.wait(c, out, p.done)
	return nil
}

// wait waits for the process to exit; an exit without a signal to do so is a violation.
func (p *process) wait(c *exec.Cmd, out *os.File, done chan struct{}) {
	err := c.Wait()
	_ = out.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.ending {
		p.counts.violation("%s exited unexpectedly: %v", p.name, err)
	}
	p.command = nil
	close(done)
}

// signal sends a signal to the running process; it reports whether that succeeded.
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

// starts returns the number of starts so far.
func (p *process) starts() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.startCount
}

// running reports whether the process runs and is neither paused nor ending.
func (p *process) running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.command != nil && !p.paused && !p.ending
}

// ended waits for the process to exit; it reports false on a timeout.
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

// stop sends SIGTERM and waits for the process to exit; one that takes longer is killed, which is a violation.
func (p *process) stop(within time.Duration) {
	if !p.signal(syscall.SIGTERM) {
		return
	}
	if !p.ended(within) {
		p.counts.violation("%s was still running %s after SIGTERM", p.name, within)
		p.kill()
	}
}

func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	p.ended(time.Second)
}
