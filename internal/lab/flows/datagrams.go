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
	// answerTime is the time after which a datagram without an answer is sent again.
	answerTime   = 300 * time.Millisecond
	datagramSize = 200
	numberSize   = 8
	maxDatagram  = 2048
)

var errMoved = errors.New("the flow moved to another target")

// datagrams sends a numbered datagram at each interval and awaits its echo, as long as the flow holds.
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
		if err := c.askUntilAnswered(ctx, conn, out); err != nil {
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

// askUntilAnswered repeats a datagram until its echo has come.
func (c *client) askUntilAnswered(ctx context.Context, conn net.Conn, out []byte) error {
	in := make([]byte, maxDatagram)
	for ctx.Err() == nil {
		if _, err := conn.Write(out); err != nil {
			return trace.Wrap(err, "send")
		}
		_ = conn.SetReadDeadline(time.Now().Add(answerTime))
		answered, err := c.awaitAnswer(conn, in, out)
		if err != nil || answered {
			return trace.Wrap(err)
		}
	}
	return trace.Wrap(ctx.Err())
}

// awaitAnswer reads until the echo of out has come; it returns false when the time is over.
func (c *client) awaitAnswer(conn net.Conn, in, out []byte) (bool, error) {
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
			// It answers an earlier copy that was sent again.
			continue
		}
		if !bytes.Equal(echoed, out) {
			return false, errMixed
		}
		return true, c.answeredBy(label.Target)
	}
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// answeredBy notes the target, which must stay the same for the life of the flow.
func (c *client) answeredBy(id string) error {
	if c.out.target == "" {
		c.out.target = id
		c.out.opened = time.Since(c.out.started)
	}
	if c.out.target != id {
		return errMoved
	}
	return nil
}
