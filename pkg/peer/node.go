package peer

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"
	"google.golang.org/grpc/keepalive"

	"github.com/auburnwood/auburnwood/pkg/membership"
	"github.com/auburnwood/auburnwood/pkg/peer/peerpb"
	"github.com/auburnwood/auburnwood/pkg/resource"
	"github.com/auburnwood/auburnwood/pkg/wait"
)

// Node is the control side of a balancer: it serves agents and exchanges members and revisions with other balancers.
type Node struct {
	cfg        NodeConfig
	table      *membership.Table
	detector   *membership.Detector
	regions    *membership.RegionReachability
	acks       *membership.Acks
	readings   *readings
	history    *history
	self       *self
	started    time.Time
	budget     *budget
	dialer     *dialer
	heartbeats *heartbeater
	server     *grpc.Server
	metrics    *nodeMetrics
	// changes is notified of each adopted revision.
	changes *broadcast

	// mu guards random and ackSent; only pushLoop uses pushed and revisionPushed.
	mu             sync.Mutex
	random         *rand.Rand
	pushed         uint64
	revisionPushed uint64
	ackSent        time.Time

	// fetchAddrs carries the addresses of peers that have a higher revision.
	fetchAddrs chan string
	// calls tracks background calls.
	calls sync.WaitGroup
	// killed is set when the node ends without notifying its peers.
	killed atomic.Bool
}

// NewNode returns a node; Serve starts it. It returns an error when a required setting is missing or the certificates
// can't be read.
func NewNode(cfg NodeConfig) (*Node, error) {
	cfg = cfg.withDefaults()
	if cfg.Self.ID == "" || cfg.Self.Incarnation == 0 || cfg.Adopter == nil || cfg.Listener == nil {
		return nil, trace.BadParameter("node needs an ID, an incarnation, an adopter and a listener")
	}
	creds, err := newCredentials(cfg.TLS, cfg.Log)
	if err != nil {
		return nil, err
	}
	n := &Node{
		cfg:        cfg,
		table:      cfg.Table,
		detector:   membership.NewDetector(cfg.Detector, cfg.Table),
		regions:    membership.NewRegionReachability(),
		acks:       membership.NewAcks(),
		readings:   newReadings(),
		history:    &history{},
		self:       newSelf(cfg.Self, cfg.Now),
		started:    cfg.Now(),
		budget:     newBudget(cfg.BytesPerSecond, cfg.Now, cfg.Metrics),
		metrics:    newNodeMetrics(cfg.Metrics),
		changes:    newBroadcast(),
		fetchAddrs: make(chan string, 1),
		random:     rand.New(rand.NewPCG(cfg.Seed, membershipSeed(cfg.Self.ID))),
	}
	n.dialer = newDialer(creds, n.budget, cfg.dial)
	n.heartbeats = newHeartbeater(n.self, n.dialer, cfg.HeartbeatInterval, cfg.Log)
	n.heartbeats.onAnnounce = n.announceTo
	n.server = grpc.NewServer(serverOptions(grpc.Creds(creds))...)
	peerpb.RegisterControlServer(n.server, &control{node: n})
	n.table.Merge(n.self.get(), cfg.Now())
	cfg.Adopter.OnAdopt(n.onAdopted)
	if r, ok := cfg.Adopter.Current(); ok {
		n.onAdopted(r)
	}
	return n, nil
}

// Serve creates a node and runs it until ctx ends.
func Serve(ctx context.Context, cfg NodeConfig) error {
	n, err := NewNode(cfg)
	if err != nil {
		return err
	}
	return n.Serve(ctx)
}

func membershipSeed(id string) uint64 {
	return uint64(membership.HashID(id))
}

func serverOptions(creds grpc.ServerOption) []grpc.ServerOption {
	return []grpc.ServerOption{
		creds,
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: keepaliveTime / 2, PermitWithoutStream: true}),
		grpc.ReadBufferSize(connBuffer),
		grpc.WriteBufferSize(connBuffer),
		grpc.MaxRecvMsgSize(maxMessageBytes),
	}
}

// Serve runs the node until ctx ends. It then notifies some peers that the balancer has left.
func (n *Node) Serve(ctx context.Context) error {
	g, run := errgroup.WithContext(ctx)
	listener := &countedListener{Listener: n.cfg.Listener, budget: n.budget}
	g.Go(func() error { return trace.Wrap(n.server.Serve(listener), "serve control calls at %s", n.Addr()) })
	g.Go(func() error { return n.detectLoop(run) })
	g.Go(func() error { return n.exchangeLoop(run) })
	g.Go(func() error { return n.pushLoop(run) })
	g.Go(func() error { return n.ackLoop(run) })
	g.Go(func() error { return n.fetchLoop(run) })
	g.Go(func() error { return n.heartbeats.run(run) })
	g.Go(func() error { return n.selfLoop(run) })
	g.Go(func() error {
		<-run.Done()
		n.leave()
		n.server.Stop()
		n.dialer.close()
		return nil
	})
	err := g.Wait()
	n.calls.Wait()
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// leave notifies some neighbours that this balancer has left, unless it was killed.
func (n *Node) leave() {
	if n.killed.Load() {
		return
	}
	n.self.update(func(m *membership.Member) { m.State = membership.StateLeft })
	m := n.self.get()
	n.table.Merge(m, n.cfg.Now())
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	request := n.newExchange()
	request.Push = true
	request.Members = membersToProto([]membership.Member{m})
	var group sync.WaitGroup
	for _, p := range n.pickNeighbours(pushFanOut) {
		group.Go(func() { _, _ = n.call(ctx, p, request) })
	}
	group.Wait()
}

// Kill closes the listener and all connections immediately and notifies nobody, as if the VM had failed.
func (n *Node) Kill() {
	n.killed.Store(true)
	_ = n.cfg.Listener.Close()
	n.server.Stop()
	n.dialer.close()
}

func (n *Node) Addr() net.Addr {
	return n.cfg.Listener.Addr()
}

func (n *Node) Table() *membership.Table {
	return n.table
}

// Self returns the balancer's own record.
func (n *Node) Self() membership.Member {
	return n.self.get()
}

// Update changes the balancer's own record, for example to the state draining, and propagates it.
func (n *Node) Update(f func(m *membership.Member)) {
	n.self.update(f)
	n.table.Merge(n.self.get(), n.cfg.Now())
}

// Confirm records that the packet path of this balancer uses the revision, and propagates the acknowledgement.
func (n *Node) Confirm(revision uint64) {
	n.acks.Set(n.cfg.Self.ID, revision)
}

// InForce returns how many of the live balancers have acknowledged this or a higher revision.
func (n *Node) InForce(revision uint64) resource.InForce {
	count, m := n.acks.InForce(revision, n.table.Balancers())
	return resource.InForce{Adopted: count, Known: m, AtLeast: !n.isSettled(n.cfg.Now())}
}

// isSettled reports whether this node may be taken to know all balancers. One that has just started cannot tell while
// further balancers are still joining.
func (n *Node) isSettled(now time.Time) bool {
	return now.Sub(n.started) >= maxSettleTime || now.Sub(n.table.BalancerAdded()) >= settleTime
}

// onAdopted adds a revision that this balancer has adopted to the history and notifies the loops that send it.
func (n *Node) onAdopted(r resource.Revision) {
	defer n.changes.notify()
	if r.Number == 0 {
		return
	}
	if err := n.history.add(r); err != nil {
		n.cfg.Log.Error().Err(err).Str("op", "encode revision").Uint64("revision", r.Number).Send()
	}
}

// selfLoop keeps the balancer's record in the table current and its heartbeats directed to the current watchers.
func (n *Node) selfLoop(ctx context.Context) error {
	changes, cancel := n.table.Subscribe()
	defer cancel()
	for {
		n.refuteStaleRecord()
		n.heartbeats.setWatchers(n.watcherAddrs(n.self.get()))
		select {
		case <-ctx.Done():
			return nil
		case <-changes:
		}
		_ = wait.For(ctx, pushBatchDelay)
	}
}

// refuteStaleRecord replaces the table's record of this balancer when it is missing, or refutes it when it is wrong.
func (n *Node) refuteStaleRecord() {
	seen, ok := n.table.Get(n.cfg.Self.ID)
	if !ok {
		n.table.Merge(n.self.get(), n.cfg.Now())
		return
	}
	if seen.Incarnation > n.cfg.Self.Incarnation {
		n.cfg.Log.Error().Str("op", "announce").Str("reason", "another process uses this name").Uint64("incarnation", seen.Incarnation).Send()
		return
	}
	if n.self.refute(seen) {
		n.cfg.Log.Warn().Str("op", "announce").Str("reason", "recorded as "+seen.State.String()).Msg("refuted the record of this process, announcing again")
		n.table.Merge(n.self.get(), n.cfg.Now())
	}
}

// watcherAddrs returns the control addresses of a member's watchers.
func (n *Node) watcherAddrs(m membership.Member) []string {
	var addrs []string
	for _, id := range n.table.Watchers(&m) {
		if b, ok := n.table.Get(id); ok && b.ControlAddr != "" {
			addrs = append(addrs, b.ControlAddr)
		}
	}
	return addrs
}
