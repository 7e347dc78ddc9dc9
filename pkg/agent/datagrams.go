package agent

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/auburnwood/auburnwood/pkg/refusal"
	"github.com/auburnwood/auburnwood/pkg/resource"
)

// datagrams is one UDP flow: the caller's socket in the stack and a socket to the target.
type datagrams struct {
	a      *Agent
	s      *service
	f      *openFlow
	caller net.Conn
	mu     sync.Mutex
	target net.Conn
	isCut  bool
	// died is set once the failure of the target was recorded.
	died bool
	// last is the time of the last datagram in either direction, in Unix nanoseconds.
	last atomic.Int64
	// answered is set once the target has sent a datagram.
	answered atomic.Bool
}

// serve relays datagrams in both directions until the flow has been idle for the service's UDP idle time.
func (u *datagrams) serve() {
	defer u.cut()
	target, err := u.a.dialTarget("udp")
	if err != nil {
		u.record(refusal.ReasonTargetRefused, err)
		return
	}
	u.mu.Lock()
	u.target = target
	cut := u.isCut
	u.mu.Unlock()
	if cut {
		_ = target.Close()
		return
	}
	u.last.Store(u.a.deps.Now().UnixNano())
	idle := u.s.Spec.UDPIdle.Or(resource.DefaultUDPIdle)
	var both sync.WaitGroup
	both.Go(func() { u.copy(target, u.caller, u.opened) })
	both.Go(func() { u.copy(u.caller, target, func() {}) })
	u.waitIdle(idle)
	// End the flow at the arbiter before closing the sockets, so that a datagram received meanwhile starts a new flow.
	u.a.end(u.f)
	u.cut()
	both.Wait()
}

// waitIdle blocks until the flow is idle or cut, or the agent is killed.
func (u *datagrams) waitIdle(idle time.Duration) {
	for {
		left := idle - u.a.deps.Now().Sub(time.Unix(0, u.last.Load()))
		if left <= 0 {
			return
		}
		select {
		case <-u.a.ctx.Done():
			return
		case <-time.After(min(left, time.Second)):
		}
		u.mu.Lock()
		cut := u.isCut
		u.mu.Unlock()
		if cut {
			return
		}
	}
}

// opened reports to the arbiter that the flow is in use.
func (u *datagrams) opened() {
	u.a.sendAll(u.a.arbiter.Opened(u.a.deps.Now(), u.f.hash))
}

// copy relays datagrams in one direction until the flow is cut or maxReadFailures is exceeded. It calls onSecond when
// the second datagram is read.
func (u *datagrams) copy(to, from net.Conn, onSecond func()) {
	b := make([]byte, u.a.cfg.MTU)
	count := 0
	failures := 0
	for {
		n, err := from.Read(b)
		if err != nil {
			u.endIfRefused(err)
			if failures++; u.wasCut() || failures > maxReadFailures {
				return
			}
			continue
		}
		failures = 0
		if count++; count == 2 {
			onSecond()
		}
		u.last.Store(u.a.deps.Now().UnixNano())
		if from == u.target {
			u.answered.Store(true)
		}
		if _, err := to.Write(b[:n]); err != nil {
			u.endIfRefused(err)
		}
	}
}

// endIfRefused ends the flow when the target's host reports that the port is closed (ICMP port unreachable). The
// caller's next datagram starts a new flow. Other errors are ignored.
func (u *datagrams) endIfRefused(err error) {
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return
	}
	u.mu.Lock()
	again := u.isCut || u.died
	u.died = true
	u.mu.Unlock()
	if again {
		return
	}
	u.a.metrics.targetDied.Inc(1)
	reason := refusal.ReasonTargetRefused
	if u.answered.Load() {
		reason = refusal.ReasonTargetDied
	}
	u.record(reason, err)
	u.a.end(u.f)
	u.cut()
	// A target that still accepts TCP connections is up; only its UDP port is closed.
	if !u.a.draining.Load() && u.a.probe.isDown(time.Now()) {
		u.a.targetDown(err)
	}
}

// maxReadFailures bounds consecutive read errors of a socket before the flow is given up.
const maxReadFailures = 100

func (u *datagrams) wasCut() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.isCut
}

// cut closes both sockets.
func (u *datagrams) cut() {
	u.mu.Lock()
	again := u.isCut
	u.isCut = true
	target := u.target
	u.mu.Unlock()
	if again {
		return
	}
	_ = u.caller.Close()
	if target != nil {
		_ = target.Close()
	}
}

func (u *datagrams) record(reason refusal.Reason, err error) {
	u.a.record(u.s, u.f.key, u.f.hash, reason, err.Error(), u.a.deps.Now())
}
