package agent

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

const targetDownInterval = time.Second

// probe checks whether the target accepts connections, and limits the rate of reports that it doesn't.
type probe struct {
	address  string
	timeout  time.Duration
	mu       sync.Mutex
	began    time.Time
	refused  bool
	reportMu sync.Mutex
	reported time.Time
}

// isDown reports whether the target refused a connection attempted after since. Concurrent callers share one attempt.
func (p *probe) isDown(since time.Time) bool {
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

// shouldReport reports whether a failure of the target may be reported now: at most one per targetDownInterval.
func (p *probe) shouldReport(now time.Time) bool {
	p.reportMu.Lock()
	defer p.reportMu.Unlock()
	if now.Sub(p.reported) < targetDownInterval {
		return false
	}
	p.reported = now
	return true
}
