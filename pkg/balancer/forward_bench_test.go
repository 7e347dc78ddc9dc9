package balancer

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"gvisor.dev/gvisor/pkg/tcpip/header"
)

// BenchmarkForward forwards packets from socket to socket; packets lost to full socket buffers are not counted.
func BenchmarkForward(b *testing.B) {
	for _, workers := range []int{1, 2, 4, 8} {
		b.Run(fmt.Sprintf("%d", workers), func(b *testing.B) { forward(b, workers) })
	}
}

func forward(b *testing.B, workers int) {
	const senders = 3
	x := newHarness(b, func(c *Config, d *Deps) {
		c.Workers = workers
		c.QuietTime = time.Millisecond
		d.Now = time.Now
	})
	v := testView()
	var received atomic.Int64
	for i := range v.Services[1].Targets {
		conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(loopback))
		require.NoError(b, err)
		defer conn.Close()
		_ = conn.SetReadBuffer(DefaultSocketBuffer)
		v.Services[1].Targets[i].Agent = conn.LocalAddr().(*net.UDPAddr).AddrPort()
		go func() {
			in := make([]byte, maxPacketSize)
			for {
				if _, err := conn.Read(in); err != nil {
					return
				}
				received.Add(1)
			}
		}()
	}
	x.b.SetView(v)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- x.b.Run(ctx) }()
	packets := benchPackets(header.TCPFlagAck)
	b.ResetTimer()
	for s := range senders {
		conn, err := net.Dial("udp4", x.b.Addr().String())
		require.NoError(b, err)
		defer conn.Close()
		go func() {
			for i := 0; ctx.Err() == nil; i++ {
				_, _ = conn.Write(packets[(i*senders+s)%benchFlows])
			}
		}()
	}
	for received.Load() < int64(b.N) {
		time.Sleep(100 * time.Microsecond)
	}
	b.StopTimer()
	b.ReportMetric(float64(received.Load())/b.Elapsed().Seconds(), "packets/s")
	cancel()
	x.b.Kill()
	require.NoError(b, <-ended)
}
