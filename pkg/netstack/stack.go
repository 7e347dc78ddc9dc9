package netstack

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/gravitational/trace"
	"gvisor.dev/gvisor/pkg/buffer"
	"gvisor.dev/gvisor/pkg/tcpip"
	"gvisor.dev/gvisor/pkg/tcpip/header"
	"gvisor.dev/gvisor/pkg/tcpip/link/channel"
	"gvisor.dev/gvisor/pkg/tcpip/network/ipv4"
	"gvisor.dev/gvisor/pkg/tcpip/network/ipv6"
	"gvisor.dev/gvisor/pkg/tcpip/stack"
	"gvisor.dev/gvisor/pkg/tcpip/transport/tcp"
	"gvisor.dev/gvisor/pkg/tcpip/transport/udp"
)

// Stack is a TCP/IP stack for any number of local addresses.
type Stack struct {
	config Config
	stack  *stack.Stack
	link   *channel.Endpoint
	// accepted tracks the connections that callers opened.
	accepted acceptedConns
	closed   atomic.Bool
	cancel   context.CancelFunc
	done     sync.WaitGroup
}

// New returns a running stack. The caller must Close it.
func New(c Config) (*Stack, error) {
	c, err := c.withDefaults()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	s := &Stack{config: c}
	s.stack = stack.New(stack.Options{
		NetworkProtocols:   []stack.NetworkProtocolFactory{ipv4.NewProtocol, ipv6.NewProtocol},
		TransportProtocols: []stack.TransportProtocolFactory{tcp.NewProtocol, udp.NewProtocol},
	})
	s.accepted.timeWait = c.TimeWait
	s.link = channel.New(c.Queue, uint32(c.MTU), "")
	if err := s.configure(); err != nil {
		s.stack.Destroy()
		return nil, trace.Wrap(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.done.Go(func() { s.drain(ctx) })
	return s, nil
}

func (s *Stack) configure() error {
	for _, step := range []func() tcpip.Error{
		s.setOptions,
		func() tcpip.Error { return s.stack.CreateNIC(defaultNIC, s.link) },
		func() tcpip.Error { return s.stack.SetPromiscuousMode(defaultNIC, true) },
		func() tcpip.Error { return s.stack.SetSpoofing(defaultNIC, true) },
	} {
		if err := step(); err != nil {
			return trace.BadParameter("netstack: set up: %s", err)
		}
	}
	s.stack.SetRouteTable([]tcpip.Route{
		{Destination: header.IPv4EmptySubnet, NIC: defaultNIC},
		{Destination: header.IPv6EmptySubnet, NIC: defaultNIC},
	})
	return nil
}

func (s *Stack) setOptions() tcpip.Error {
	sack := tcpip.TCPSACKEnabled(true)
	moderate := tcpip.TCPModerateReceiveBufferOption(true)
	low := tcpip.TCPMinRTOOption(minRTO)
	high := tcpip.TCPMaxRTOOption(s.config.MaxRTO)
	retries := tcpip.TCPMaxRetriesOption(maxRetries)
	syn := tcpip.TCPSynRetriesOption(synRetries)
	wait := tcpip.TCPTimeWaitTimeoutOption(s.config.TimeWait)
	send := tcpip.TCPSendBufferSizeRangeOption{Min: minBuffer, Default: s.config.Buffer, Max: maxBuffer}
	receive := tcpip.TCPReceiveBufferSizeRangeOption{Min: minBuffer, Default: s.config.Buffer, Max: maxBuffer}
	for _, o := range []tcpip.SettableTransportProtocolOption{
		&sack, &moderate, &low, &high, &retries, &syn, &wait, &send, &receive,
	} {
		if err := s.stack.SetTransportProtocolOption(tcp.ProtocolNumber, o); err != nil {
			return err
		}
	}
	return nil
}

// Inject passes one raw IP packet to the stack, which copies it. It returns false, and ignores the packet, when the packet
// is not valid IPv4 or IPv6 or the stack is closed.
func (s *Stack) Inject(packet []byte) bool {
	if s.closed.Load() {
		return false
	}
	number, ok := networkProtocol(packet)
	if !ok {
		return false
	}
	s.accepted.abortTimeWait(packet)
	p := stack.NewPacketBuffer(stack.PacketBufferOptions{Payload: buffer.MakeWithData(packet)})
	s.link.InjectInbound(number, p)
	p.DecRef()
	return true
}

func networkProtocol(packet []byte) (tcpip.NetworkProtocolNumber, bool) {
	switch header.IPVersion(packet) {
	case header.IPv4Version:
		return header.IPv4ProtocolNumber, header.IPv4(packet).IsValid(len(packet))
	case header.IPv6Version:
		return header.IPv6ProtocolNumber, header.IPv6(packet).IsValid(len(packet))
	}
	return 0, false
}

func (s *Stack) drain(ctx context.Context) {
	scratch := make([]byte, 0, s.config.MTU)
	for {
		p := s.link.ReadContext(ctx)
		if p == nil {
			return
		}
		for range outputBatch {
			scratch = s.output(p, scratch)
			if p = s.link.Read(); p == nil {
				break
			}
		}
		if p != nil {
			scratch = s.output(p, scratch)
		}
		s.config.Flush()
	}
}

func (s *Stack) output(p *stack.PacketBuffer, scratch []byte) []byte {
	scratch = scratch[:0]
	for _, part := range p.AsSlices() {
		scratch = append(scratch, part...)
	}
	p.DecRef()
	if !s.closed.Load() {
		s.config.Output(scratch)
	}
	return scratch
}

// Close drops every connection without sending anything, as if the VM had failed. It waits for the stack's goroutines.
func (s *Stack) Close() {
	if s.closed.Swap(true) {
		return
	}
	s.cancel()
	s.done.Wait()
	s.link.Close()
	s.stack.Destroy()
}
