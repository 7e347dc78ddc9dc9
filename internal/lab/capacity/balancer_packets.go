package capacity

import (
	"context"
	"net"
	"net/netip"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"gvisor.dev/gvisor/pkg/tcpip"
	"gvisor.dev/gvisor/pkg/tcpip/header"

	"github.com/auburnwood/auburnwood/pkg/flow"
	"github.com/auburnwood/auburnwood/pkg/view"
)

const (
	// packetWindow limits the packets in flight for each sender, so that no socket buffer overflows.
	packetWindow = 64
	// packetTimeout bounds the wait for lost packets.
	packetTimeout = time.Second
	agentBuffer   = 8 << 20
)

// balancerPackets measures the processor time per packet, from the fabric's socket to the agent's socket.
func balancerPackets() probe {
	return probe{
		name: "balancer-packets", per: "packet", source: "pkg/balancer, pkg/packet, pkg/wire, kernel's UDP",
		sizes: []float64{20000, 40000, 80000}, repeats: 3,
		outputs: []output{{name: "packets of known flows, processor time", unit: "us"}, {name: "packets that open flows, processor time", unit: "us"}},
		run: func(_ context.Context, size float64) ([]float64, error) {
			known, err := measurePackets(int(size), 1, header.TCPFlagAck)
			if err != nil {
				return nil, err
			}
			opening, err := measurePackets(int(size), 1, header.TCPFlagSyn)
			if err != nil {
				return nil, err
			}
			return []float64{known.used.Seconds() * 1e6, opening.used.Seconds() * 1e6}, nil
		},
	}
}

// balancerWorkers measures the packets per second of a balancer by its number of workers, with one sender for each.
func balancerWorkers() probe {
	return probe{
		name: "balancer-workers", per: "worker", source: "pkg/balancer, kernel's UDP",
		sizes: []float64{1, 2, 4}, repeats: 2,
		outputs: []output{{name: "packets forwarded a second", unit: "packets/s"}},
		run: func(_ context.Context, size float64) ([]float64, error) {
			const packets = 100000
			r, err := measurePackets(packets, int(size), header.TCPFlagAck)
			if err != nil {
				return nil, err
			}
			return []float64{packets / r.took.Seconds()}, nil
		},
	}
}

// packetRun is the result of measurePackets.
type packetRun struct {
	// used is the processor time of the process without the threads of the senders and of the agents' receiver.
	used time.Duration
	took time.Duration
}

// packetBench sends packets through a balancer to one socket that represents all agents.
type packetBench struct {
	balancer netip.AddrPort
	agents   *net.UDPConn
	arrived  atomic.Int64
	sent     atomic.Int64
	excluded atomic.Int64
	wg       sync.WaitGroup
}

func measurePackets(packets, workers int, flags header.TCPFlags) (packetRun, error) {
	agents, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(loopback))
	if err != nil {
		return packetRun{}, trace.Wrap(err)
	}
	defer func() { _ = agents.Close() }()
	_ = agents.SetReadBuffer(agentBuffer)
	b, err := openBalancer(unusedAddr, workers, 1<<17)
	if err != nil {
		return packetRun{}, err
	}
	targets := newTargets(fleetTargets, fleetServices)
	for i := range targets {
		targets[i].PacketAddr = agents.LocalAddr().(*net.UDPAddr).AddrPort()
	}
	b.SetView(view.Build(newRevision(1, fleetServices), targets))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- b.Run(ctx) }()
	x := &packetBench{balancer: b.Addr(), agents: agents}
	r := x.run(packets, workers, flags)
	cancel()
	return r, trace.Wrap(<-done)
}

func (x *packetBench) run(packets, senders int, flags header.TCPFlags) packetRun {
	runtime.GC()
	begin, used := time.Now(), processorTime()
	x.wg.Add(1)
	go x.receive(int64(packets))
	var sending sync.WaitGroup
	for i := range senders {
		sending.Go(func() { x.send(i, packets/senders, senders, flags) })
	}
	sending.Wait()
	_ = x.agents.SetReadDeadline(time.Now().Add(packetTimeout))
	x.wg.Wait()
	took := time.Since(begin)
	total := processorTime() - used
	return packetRun{used: total - time.Duration(x.excluded.Load()), took: took}
}

// receive counts the packets that arrive at the agents.
func (x *packetBench) receive(packets int64) {
	defer x.wg.Done()
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	begin := threadTime()
	buffer := make([]byte, 2048)
	for x.arrived.Load() < packets {
		if _, _, err := x.agents.ReadFromUDPAddrPort(buffer); err != nil {
			break
		}
		x.arrived.Add(1)
	}
	x.excluded.Add(int64(threadTime() - begin))
}

// send sends count packets to the balancer and waits after each window.
func (x *packetBench) send(sender, count, senders int, flags header.TCPFlags) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	begin := threadTime()
	defer func() { x.excluded.Add(int64(threadTime() - begin)) }()
	conn, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(x.balancer))
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	p := newPacket(flags)
	for i := range count {
		p.set(sender, i)
		_, _ = conn.Write(p.bytes)
		if x.sent.Add(1)%packetWindow == 0 {
			x.waitFor(x.sent.Load() - packetWindow*int64(senders))
		}
	}
}

// waitFor waits until count packets have arrived, for at most packetTimeout / 10.
func (x *packetBench) waitFor(count int64) {
	for end := time.Now().Add(packetTimeout / 10); x.arrived.Load() < count && time.Now().Before(end); {
		time.Sleep(20 * time.Microsecond)
	}
}

// callerPacket is a TCP segment without payload.
type callerPacket struct {
	bytes []byte
	ip    header.IPv4
	tcp   header.TCP
}

func newPacket(flags header.TCPFlags) *callerPacket {
	b := make([]byte, header.IPv4MinimumSize+header.TCPMinimumSize)
	p := &callerPacket{bytes: b, ip: header.IPv4(b)}
	p.ip.Encode(&header.IPv4Fields{TotalLength: uint16(len(b)), TTL: 64, Protocol: flow.ProtocolTCP})
	p.tcp = header.TCP(p.ip.Payload())
	p.tcp.Encode(&header.TCPFields{DstPort: serviceAddress(0).Port(), DataOffset: header.TCPMinimumSize, Flags: flags, SeqNum: 100})
	return p
}

// set writes the addresses of the i-th flow of a sender into the packet.
func (p *callerPacket) set(sender, i int) {
	p.ip.SetSourceAddress(tcpip.AddrFrom4([4]byte{10, byte(sender), byte(i >> 16), byte(i >> 8)}))
	p.ip.SetDestinationAddress(tcpip.AddrFrom4(serviceAddress(i % fleetServices).Addr().As4()))
	p.tcp.SetSourcePort(uint16(1024 + i&0xff))
	p.ip.SetChecksum(0)
	p.ip.SetChecksum(^p.ip.CalculateChecksum())
}
