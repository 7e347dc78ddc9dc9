package capacity

import (
	"context"
	"io"
	"net"
	"net/netip"
	"runtime"
	"time"

	"github.com/auburnwood/auburnwood/pkg/arbiter"
	"github.com/auburnwood/auburnwood/pkg/netstack"
	"github.com/auburnwood/auburnwood/pkg/placement"
	"github.com/auburnwood/auburnwood/pkg/view"
	"github.com/auburnwood/auburnwood/pkg/wait"
	"github.com/auburnwood/auburnwood/pkg/wire"
)

// agentFlows measures open, idle flows of an agent. The memory of the caller's end is measured separately, as half of a
// flow between two bare stacks, and subtracted.
func agentFlows() probe {
	return probe{
		name: "agent-flows", per: "flow", source: "pkg/agent, pkg/netstack, pkg/arbiter",
		sizes: []float64{500, 1000, 2000}, repeats: 2,
		outputs: []output{
			{name: "open flow in an agent, heap and stacks", unit: "B"},
			{name: "open flow in a bare stack, heap and stacks", unit: "B"},
			{name: "opening a flow, processor time of agent, target's accept and caller", unit: "ms"},
		},
		run: func(ctx context.Context, size float64) ([]float64, error) {
			bare, err := bareFlows(ctx, int(size))
			if err != nil {
				return nil, err
			}
			x, err := newAgentBench(ctx, 0, nil)
			if err != nil {
				return nil, err
			}
			defer x.close()
			before, used := liveMemory(), processorTime()
			if err := openFlows(ctx, int(size), x.dial, x.addConn); err != nil {
				return nil, err
			}
			cpu := processorTime() - used
			memory := liveMemory() - before
			return []float64{memory - bare, bare, cpu.Seconds() * 1000}, nil
		},
	}
}

// bareFlows returns the memory, in bytes, of one end of count flows between two bare stacks.
func bareFlows(ctx context.Context, count int) (float64, error) {
	var a, b *netstack.Stack
	a, err := netstack.New(netstack.Config{Output: func(p []byte) { b.Inject(p) }})
	if err != nil {
		return 0, err
	}
	defer a.Close()
	b, err = netstack.New(netstack.Config{Output: func(p []byte) { a.Inject(p) }})
	if err != nil {
		return 0, err
	}
	defer b.Close()
	accepted := make(chan net.Conn, count)
	b.AcceptTCP(func(in netstack.ConnRequest) {
		if c, err := in.Accept(); err == nil {
			accepted <- c
		}
	})
	dialed := make(chan net.Conn, count)
	before := liveMemory()
	dial := func(ctx context.Context) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		return a.DialTCP(ctx, callerAddr, serviceAddress(0))
	}
	if err := openFlows(ctx, count, dial, func(c net.Conn) { dialed <- c }); err != nil {
		return 0, err
	}
	memory := liveMemory() - before
	for range count {
		_ = (<-dialed).Close()
		_ = (<-accepted).Close()
	}
	return memory / 2, nil
}

// agentBytes measures the processor time and the duration of an upload through an agent, by its size in MB.
func agentBytes() probe {
	return probe{
		name: "agent-bytes", per: "MB", source: "pkg/agent, pkg/netstack",
		sizes: []float64{32, 64, 128}, repeats: 2,
		outputs: []output{
			{name: "upload, processor time of agent, target and caller", unit: "ms"},
			{name: "upload, time", unit: "ms"},
		},
		run: func(ctx context.Context, size float64) ([]float64, error) {
			done := make(chan int64, 1)
			x, err := newAgentBench(ctx, 0, func(c net.Conn) {
				n, _ := io.Copy(io.Discard, c)
				done <- n
			})
			if err != nil {
				return nil, err
			}
			defer x.close()
			conn, err := x.dial(ctx)
			if err != nil {
				return nil, err
			}
			defer func() { _ = conn.Close() }()
			block := make([]byte, 1e6)
			begin, used := time.Now(), processorTime()
			for range int(size) {
				if _, err := conn.Write(block); err != nil {
					return nil, err
				}
			}
			_ = conn.(interface{ CloseWrite() error }).CloseWrite()
			<-done
			took, cpu := time.Since(begin), processorTime()-used
			return []float64{cpu.Seconds() * 1000, took.Seconds() * 1000}, nil
		},
	}
}

const (
	// stalledBuffer is the caller's buffer size in bytes, small so that the caller's end uses little memory.
	stalledBuffer = 16 << 10
	stalledTime   = 3 * time.Second
)

// agentStalled measures the memory of flows whose callers read nothing while the target sends.
func agentStalled() probe {
	return probe{
		name: "agent-stalled", per: "flow", source: "pkg/agent, pkg/netstack",
		sizes: []float64{20, 40, 80}, repeats: 2,
		outputs: []output{{name: "flow whose caller reads nothing, heap and stacks of agent and caller", unit: "B"}},
		run: func(ctx context.Context, size float64) ([]float64, error) {
			block := make([]byte, 64<<10)
			x, err := newAgentBench(ctx, stalledBuffer, func(c net.Conn) {
				for {
					if _, err := c.Write(block); err != nil {
						return
					}
				}
			})
			if err != nil {
				return nil, err
			}
			defer x.close()
			// The stacks of the previous measurement release their connections with a delay.
			_ = wait.For(ctx, stalledTime)
			before := liveMemory()
			if err := openFlows(ctx, int(size), x.dial, x.addConn); err != nil {
				return nil, err
			}
			_ = wait.For(ctx, stalledTime)
			return []float64{liveMemory() - before}, ctx.Err()
		},
	}
}

// arbiterFlows measures the memory of an arbiter's flow entries and the time to decide on new flows.
func arbiterFlows() probe {
	return probe{
		name: "arbiter-flows", per: "flow", source: "pkg/arbiter",
		sizes: []float64{50000, 100000, 200000}, repeats: 2,
		outputs: []output{{name: "entries of an arbiter", unit: "B"}, {name: "deciding on new flows, processor time", unit: "us"}},
		run:     runArbiterFlows,
	}
}

func runArbiterFlows(_ context.Context, size float64) ([]float64, error) {
	s := &view.Service{Name: serviceName(0), Spec: newServices(1)[0].Spec}
	for i, m := range newTargets(5, 1) {
		m.PacketAddr = netip.AddrPortFrom(loopback.Addr(), uint16(9000+i))
		s.Targets = append(s.Targets, view.Target{ID: m.ID, Incarnation: 1, Agent: m.PacketAddr, Weight: 1, State: view.StateActive, Connections: 1 << 20})
	}
	a := arbiter.New(arbiter.Config{Self: s.Targets[0].Agent, Incarnation: 1})
	now := time.Unix(1000000, 0)
	a.SetService(now, s)
	now = now.Add(time.Minute)
	rows := placement.NewTable(s)
	row := make([]byte, 0, 64)
	before := liveHeap()
	begin := processorTime()
	opened := 0
	for flow := uint64(1); opened < int(size); flow++ {
		hash := flow * 0x9e3779b97f4a7c15
		if rows.First(hash) != 0 {
			continue
		}
		opened++
		row = rows.AppendRow(row[:0], hash)
		d := a.Packet(now, arbiter.Input{Kind: wire.Kind_KIND_FORWARD, Flow: hash, Opening: true, Row: row})
		if d.Action == arbiter.ActionOffer {
			a.Control(now, d.To, arbiter.Message{Kind: wire.Kind_KIND_PLACED, Flow: hash, Owner: d.To, Incarnation: 1})
		}
	}
	used := processorTime() - begin
	memory := liveHeap() - before
	runtime.KeepAlive(a)
	return []float64{memory, used.Seconds() * 1e6}, nil
}
