package agent

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

const targetDownTime = time.Second

// probe finds out whether the target takes connections.
type probe struct {
	address  string
	timeout  time.Duration
	mu       sync.Mutex
	began    time.Time
	refused  bool
	reportMu sync.Mutex
	reported time.Time
}

// dead reports whether the target refused a connection that was tried after since. Many callers share one try.
func (p *probe) dead(since time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.began.After(since) {
		return p.refused
	}
	p.began = time.Now()
	conn, err := net.DialTimeout("tcp", p.address, p.timeout)
	if err == nil {
		_ = conn.Close()
	}
	p.refused = errors.Is(err, syscall.ECONNREFUSED)
	return p.refused
}

// report limits reports of the target's death.
func (p *probe) report(now time.Time) bool {
	p.reportMu.Lock()
	defer p.reportMu.Unlock()
	if now.Sub(p.reported) < targetDownTime {
		return false
	}
	p.reported = now
	return true
}
