package target

import (
	"bytes"
	"io"

	"github.com/gravitational/trace"
)

// Checker is a writer that compares what is written with Content.
type Checker struct {
	want io.Reader
	size int64
	buf  []byte
}

// NewChecker returns a checker for the content of one flow.
func NewChecker(service, flow string) *Checker {
	return &Checker{want: Content(service, flow)}
}

// Size returns the number of bytes in the writes that matched.
func (c *Checker) Size() int64 { return c.size }

// Write compares b with the next bytes of the content; it returns trace.CompareFailed when they differ.
func (c *Checker) Write(b []byte) (int, error) {
	if cap(c.buf) < len(b) {
		c.buf = make([]byte, len(b))
	}
	want := c.buf[:len(b)]
	_, _ = c.want.Read(want)
	if !bytes.Equal(want, b) {
		return 0, trace.CompareFailed("content differs after byte %d", c.size)
	}
	c.size += int64(len(b))
	return len(b), nil
}
