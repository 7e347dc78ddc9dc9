package agent

import (
	"errors"
	"io"
	"sync"
	"syscall"
	"time"
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
	readErr, writeErr := transfer(st.target, st.caller)
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
	readErr, writeErr := transfer(st.caller, st.target)
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

// transfer copies from r to w until r ends; it says on which side an error was.
func transfer(w io.Writer, r io.Reader) (readErr, writeErr error) {
	b := buffers.Get().(*[]byte)
	defer buffers.Put(b)
	for {
		n, err := r.Read(*b)
		if n > 0 {
			if _, werr := w.Write((*b)[:n]); werr != nil {
				return nil, werr
			}
		}
		if errors.Is(err, io.EOF) {
			return nil, nil
		}
		if err != nil {
			return err, nil
		}
	}
}
