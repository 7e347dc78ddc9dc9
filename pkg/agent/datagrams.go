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
	// died is set when the target's death was recorded.
	died bool
	last atomic.Int64
	// answered is set once the target has sent a datagram.
	answered atomic.Bool
}

// serve carries datagrams both ways until none has passed for the service's idle time.
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
	u.watch(idle)
	// The arbiter is told first: a datagram that comes now starts a new flow.
	u.a.end(u.f)
	u.cut()
	both.Wait()
}

// watch returns when the flow is idle or cut.
func (u *datagrams) watch(idle time.Duration) {
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

// opened tells the arbiter that the flow is in use.
func (u *datagrams) opened() {
	u.a.sendAll(u.a.arbiter.Opened(u.a.deps.Now(), u.f.hash))
}

// copy carries datagrams until a socket is closed; it calls second when the second one has come.
func (u *datagrams) copy(to, from net.Conn, second func()) {
	b := make([]byte, u.a.cfg.MTU)
	count := 0
	failures := 0
	for {
		n, err := from.Read(b)
		if err != nil {
			u.refusedBy(err)
			if failures++; u.over() || failures > maxReadFailures {
				return
			}
			continue
		}
		failures = 0
		if count++; count == 2 {
			second()
		}
		u.last.Store(u.a.deps.Now().UnixNano())
		if from == u.target {
			u.answered.Store(true)
		}
		if _, err := to.Write(b[:n]); err != nil {
			u.refusedBy(err)
		}
	}
}

// refusedBy ends the flow when the target's host says that nobody takes its datagrams. It does so for UDP as for TCP; a
// caller's next datagram starts a new flow. Other errors pass.
func (u *datagrams) refusedBy(err error) {
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
	// A target that still takes TCP connections only lacks the UDP port.
	if !u.a.draining.Load() && u.a.probe.dead(time.Now()) {
		u.a.targetDown(err)
	}
}

const maxReadFailures = 100

func (u *datagrams) over() bool {
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
