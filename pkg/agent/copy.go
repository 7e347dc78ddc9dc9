package agent

import (
	"errors"
	"io"
	"sync"
	"syscall"
	"time"

	"github.com/auburnwood/auburnwood/pkg/netstack"
)

// copyBuffer is the size of a copy buffer. It bounds the bytes in transit between the two connections of a flow, per
// direction.
const copyBuffer = 32 << 10

var buffers = sync.Pool{New: func() any { b := make([]byte, copyBuffer); return &b }}

// copyBoth copies bytes in both directions until both ends have closed or one has failed. An end that closes only its
// sending side still receives.
func (st *stream) copyBoth() {
	var up sync.WaitGroup
	up.Go(st.copyUp)
	st.copyDown()
	up.Wait()
}

// copyUp copies the caller's bytes to the target.
func (st *stream) copyUp() {
	readErr, writeErr := transfer(st.target, callerSource{st.caller})
	switch {
	case writeErr != nil:
		st.handleTargetError(writeErr)
	case readErr != nil:
		st.cut()
	default:
		_ = st.target.CloseWrite()
	}
}

// copyDown copies the target's bytes to the caller. The kernel closes the connections of a killed process like those of
// one that has finished, so the target is probed after each close.
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
		st.handleTargetError(readErr)
	case !st.a.draining.Load() && st.a.probe.isDown(time.Now()):
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

// handleTargetError resets the flow after an error on the target's connection. A target that has already closed its
// connection in both directions answers later bytes with a reset, which is not recorded as a failure of the target.
func (st *stream) handleTargetError(err error) {
	st.mu.Lock()
	done := st.targetDone
	st.mu.Unlock()
	if done && (errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)) {
		st.cut()
		return
	}
	st.targetDied(err.Error())
}

// source is the reading side of one end of a flow. It holds no buffer while it waits for bytes.
type source interface {
	// read returns a pooled buffer with at least one byte, or an error. A non-nil buffer must be returned to the pool
	// in either case.
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

// transfer copies from r to w until EOF. It returns a read or a write error, depending on the side that failed.
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
