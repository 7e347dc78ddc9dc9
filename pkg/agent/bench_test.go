package agent

import (
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// BenchmarkUpload measures throughput from a caller's stack through one agent to its target.
func BenchmarkUpload(b *testing.B) {
	done := make(chan int64, 1)
	target := listenTCP(b, func(c *net.TCPConn) {
		n, _ := io.Copy(io.Discard, c)
		done <- n
	})
	l := newHarness(b, streamSpec(), target.Addr())
	conn := l.mustDial(serviceIP)
	block := randomBytes(1<<20, 1)
	b.SetBytes(int64(len(block)))
	var sent int64
	for b.Loop() {
		n, err := conn.Write(block)
		require.NoError(b, err)
		sent += int64(n)
	}
	require.NoError(b, conn.(interface{ CloseWrite() error }).CloseWrite())
	require.Equal(b, sent, <-done)
}

// BenchmarkDownload measures throughput from the target through one agent to a caller's stack.
func BenchmarkDownload(b *testing.B) {
	block := randomBytes(1<<20, 1)
	target := listenTCP(b, func(c *net.TCPConn) {
		defer c.Close()
		for {
			if _, err := c.Write(block); err != nil {
				return
			}
		}
	})
	l := newHarness(b, streamSpec(), target.Addr())
	conn := l.mustDial(serviceIP)
	got := make([]byte, len(block))
	b.SetBytes(int64(len(block)))
	for b.Loop() {
		_, err := io.ReadFull(conn, got)
		require.NoError(b, err)
	}
}
