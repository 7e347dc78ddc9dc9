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

// heartbeatStream is what a watcher keeps for one heartbeat stream.
type heartbeatStream struct {
	node                  *Node
	id                    string
	incarnation, sequence uint64
	version               uint64
	watchers              []string
	// requests and failures are the counters that the stream sent last.
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

// recordFailure notes that the stream ended without a good-bye: the process is likely gone.
func (b *heartbeatStream) recordFailure() {
	if b.id != "" {
		b.node.detector.RecordFailure(b.id, b.incarnation)
	}
}

// receive notes a heartbeat and returns what there is to say, or nil.
func (b *heartbeatStream) receive(r *peerpb.HeartbeatRequest) (*peerpb.HeartbeatReply, error) {
	if r.GetId() != "" {
		b.id = r.GetId()
	}
	if b.id == "" {
		return nil, status.Error(codes.InvalidArgument, "heartbeat: the first message names no process")
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

// reply returns what there is to say to the member as it is recorded here; version is that of the table before.
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

// isOutdated reports whether the record held here isn't the one that the sender announced last.
func (b *heartbeatStream) isOutdated(m *membership.Member) bool {
	if m.Incarnation != b.incarnation {
		return m.Incarnation < b.incarnation
	}
	return m.Sequence < b.sequence || m.State == membership.StateDead
}
