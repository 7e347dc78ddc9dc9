package flows

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"net"
	"time"

	"github.com/gravitational/trace"

	"github.com/auburnwood/auburnwood/internal/standin/target"
	"github.com/auburnwood/auburnwood/pkg/wait"
)

const (
	// answerTimeout is the time after which a datagram without an echo is retransmitted.
	answerTimeout = 300 * time.Millisecond
	datagramSize  = 200
	numberSize    = 8
	maxDatagram   = 2048
)

var errMoved = errors.New("flow moved to another target")

// datagrams sends a numbered datagram at each interval and waits for its echo, until the flow's duration is over.
func (c *client) datagrams(ctx context.Context) error {
	conn, err := c.caller.Dial(ctx, "udp", c.plan.local, c.plan.remote)
	if err != nil {
		return trace.Wrap(err)
	}
	defer conn.Close()
	content := target.Content(c.plan.service, c.plan.name)
	out := make([]byte, datagramSize)
	end := c.out.started.Add(c.plan.hold)
	for n := uint64(0); ; n++ {
		binary.BigEndian.PutUint64(out, n)
		_, _ = content.Read(out[numberSize:])
		if err := c.sendUntilEchoed(ctx, conn, out); err != nil {
			return trace.Wrap(err, "datagram %d", n)
		}
		c.progress(len(out), 0)
		if time.Now().After(end) {
			return nil
		}
		if err := wait.For(ctx, c.plan.every); err != nil {
			return trace.Wrap(err)
		}
		c.last = time.Now()
	}
}

// sendUntilEchoed retransmits a datagram until its echo is received.
func (c *client) sendUntilEchoed(ctx context.Context, conn net.Conn, out []byte) error {
	in := make([]byte, maxDatagram)
	for ctx.Err() == nil {
		if _, err := conn.Write(out); err != nil {
			return trace.Wrap(err, "send")
		}
		_ = conn.SetReadDeadline(time.Now().Add(answerTimeout))
		answered, err := c.awaitEcho(conn, in, out)
		if err != nil || answered {
			return trace.Wrap(err)
		}
	}
	return trace.Wrap(ctx.Err())
}

// awaitEcho reads until the echo of out is received; it returns false on a read timeout.
func (c *client) awaitEcho(conn net.Conn, in, out []byte) (bool, error) {
	for {
		n, err := conn.Read(in)
		if isTimeout(err) {
			return false, nil
		}
		if err != nil {
			return false, trace.Wrap(err, "receive")
		}
		label, echoed, ok := target.CutLabel(in[:n])
		if !ok || len(echoed) != len(out) {
			return false, errMixed
		}
		if label.Service != c.plan.service {
			return false, errCrossed
		}
		if binary.BigEndian.Uint64(echoed) < binary.BigEndian.Uint64(out) {
			// Echo of an earlier datagram that was retransmitted.
			continue
		}
		if !bytes.Equal(echoed, out) {
			return false, errMixed
		}
		return true, c.recordTarget(label.Target)
	}
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// recordTarget records the target that answered; it returns errMoved if another one answered before.
func (c *client) recordTarget(id string) error {
	if c.out.target == "" {
		c.out.target = id
		c.out.opened = time.Since(c.out.started)
	}
	if c.out.target != id {
		return errMoved
	}
	return nil
}
