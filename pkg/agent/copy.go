package agent

import (
	"errors"
	"io"
	"sync"
	"syscall"
	"time"

	"github.com/auburnwood/auburnwood/pkg/netstack"
)

// copyBuffer bounds the bytes of a flow that are neither in the caller's nor in the target's connection, one way.
const copyBuffer = 32 << 10

var buffers = sync.Pool{New: func() any { b := make([]byte, copyBuffer); return &b }}

// copyBoth carries bytes both ways until both ends have closed, or one of them is gone. An end that closes its sending
// side only still receives.
func (st *stream) copyBoth() {
	var up sync.WaitGroup
	up.Go(st.copyUp)
	st.copyDown()
	up.Wait()
}

// copyUp carries the caller's bytes to the target.
func (st *stream) copyUp() {
	readErr, writeErr := transfer(st.target, callerSource{st.caller})
	switch {
	case writeErr != nil:
		st.targetGone(writeErr)
	case readErr != nil:
		st.cut()
	default:
		_ = st.target.CloseWrite()
	}
}

// copyDown carries the target's bytes to the caller. A killed process closes its connections like one that has finished,
// so that the target is probed after each close.
func (st *stream) copyDown() {
	raw, err := st.target.SyscallConn()
	if err != nil {
		st.cut()
		return
	}
	readErr, writeErr := transfer(st.caller, targetSource{raw})
	switch {
	case writeErr != nil:
		st.cut()
	case readErr != nil:
		st.targetGone(readErr)
	case !st.a.draining.Load() && st.a.probe.dead(time.Now()):
		st.a.targetDown(errTargetClosed)
		st.targetDied(errTargetClosed.Error())
	default:
		st.mu.Lock()
		st.targetDone = true
		st.mu.Unlock()
		_ = st.caller.CloseWrite()
	}
}

var errTargetClosed = errors.New("the target closed the connection and takes no new one")

// targetGone handles an error of the target's connection. A target that closed both ways before answers later bytes with
// a reset; that is passed on but is no death.
func (st *stream) targetGone(err error) {
	st.mu.Lock()
	done := st.targetDone
	st.mu.Unlock()
	if done && (errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)) {
		st.cut()
		return
	}
	st.targetDied(err.Error())
}

// source is one end of a flow to read from. An idle source holds no buffer.
type source interface {
	// read returns a buffer with at least one byte, which the caller gives back, or an error.
	read() (*[]byte, int, error)
}

type callerSource struct{ conn *netstack.Conn }

func (c callerSource) read() (*[]byte, int, error) {
	c.conn.WaitReadable()
	b := buffers.Get().(*[]byte)
	n, err := c.conn.Read(*b)
	return b, n, err
}

type targetSource struct{ conn syscall.RawConn }

func (t targetSource) read() (b *[]byte, n int, err error) {
	waitErr := t.conn.Read(func(fd uintptr) bool {
		b = buffers.Get().(*[]byte)
		n, err = syscall.Read(int(fd), *b)
		for errors.Is(err, syscall.EINTR) {
			n, err = syscall.Read(int(fd), *b)
		}
		if errors.Is(err, syscall.EAGAIN) {
			buffers.Put(b)
			b = nil
			return false
		}
		return true
	})
	switch {
	case waitErr != nil:
		return b, 0, waitErr
	case err != nil:
		return b, 0, err
	case n == 0:
		return b, 0, io.EOF
	}
	return b, n, nil
}

// transfer copies from r to w until r ends; it says on which side an error was.
func transfer(w io.Writer, r source) (readErr, writeErr error) {
	for {
		b, n, err := r.read()
		if n > 0 {
			_, writeErr = w.Write((*b)[:n])
		}
		if b != nil {
			buffers.Put(b)
		}
		switch {
		case writeErr != nil:
			return nil, writeErr
		case errors.Is(err, io.EOF):
			return nil, nil
		case err != nil:
			return err, nil
		}
	}
}
