package peer

import (
	"errors"
	"io"
	"slices"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/auburnwood/auburnwood/pkg/membership"
	"github.com/auburnwood/auburnwood/pkg/peer/peerpb"
)

// heartbeatStream is the state that a watcher keeps for one heartbeat stream.
type heartbeatStream struct {
	node                  *Node
	id                    string
	incarnation, sequence uint64
	version               uint64
	watchers              []string
	// requests and failures are the last reported counters.
	requests, failures uint64
}

// Heartbeat implements peerpb.ControlServer.
func (c *control) Heartbeat(s peerpb.Control_HeartbeatServer) error {
	b := &heartbeatStream{node: c.node}
	for {
		r, err := s.Recv()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			b.recordFailure()
			return err
		}
		reply, err := b.receive(r)
		if err != nil {
			return err
		}
		if reply == nil {
			continue
		}
		if err := s.Send(reply); err != nil {
			return err
		}
	}
}

// recordFailure records that the stream broke without an orderly end, which indicates that the process has failed.
func (b *heartbeatStream) recordFailure() {
	if b.id != "" {
		b.node.detector.RecordFailure(b.id, b.incarnation)
	}
}

// receive records a heartbeat and returns the reply, or nil when none is needed.
func (b *heartbeatStream) receive(r *peerpb.HeartbeatRequest) (*peerpb.HeartbeatReply, error) {
	if r.GetId() != "" {
		b.id = r.GetId()
	}
	if b.id == "" {
		return nil, status.Error(codes.InvalidArgument, "heartbeat: the first message has no id")
	}
	if r.GetIncarnation() != 0 {
		b.incarnation, b.sequence = r.GetIncarnation(), r.GetSequence()
	}
	b.node.detector.RecordHeartbeat(b.id, b.incarnation, b.node.cfg.Now())
	if b.node.cfg.OnLoad != nil {
		b.node.cfg.OnLoad(b.id, r.GetLoad())
	}
	if r.GetRequests() != 0 {
		b.requests, b.failures = r.GetRequests(), r.GetFailures()
	}
	version := b.node.table.Version()
	m, ok := b.node.table.Get(b.id)
	if ok && m.Incarnation == b.incarnation {
		b.node.readings.record(&m, b.requests, b.failures, b.node.cfg.Now())
	}
	return b.reply(&m, ok, version), nil
}

// reply returns the reply to a heartbeat, or nil when none is needed. m is the sender's record in the table, if ok, and
// version the version of the table before m was read.
func (b *heartbeatStream) reply(m *membership.Member, ok bool, version uint64) *peerpb.HeartbeatReply {
	if !ok || b.isOutdated(m) {
		return &peerpb.HeartbeatReply{Announce: true}
	}
	if version == b.version {
		return nil
	}
	b.version = version
	watchers := b.node.watcherAddrs(*m)
	if slices.Equal(watchers, b.watchers) {
		return nil
	}
	b.watchers = watchers
	return &peerpb.HeartbeatReply{Watchers: watchers}
}

// isOutdated reports whether the record in the table is older than the sender's or says that it is dead.
func (b *heartbeatStream) isOutdated(m *membership.Member) bool {
	if m.Incarnation != b.incarnation {
		return m.Incarnation < b.incarnation
	}
	return m.Sequence < b.sequence || m.State == membership.StateDead
}
