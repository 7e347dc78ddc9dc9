package peer

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/auburnwood/auburnwood/pkg/membership"
	"github.com/auburnwood/auburnwood/pkg/peer/peerpb"
)

// portSize is the size in bytes of a port in an encoded address.
const portSize = 2

func memberToProto(m *membership.Member) *peerpb.Member {
	return &peerpb.Member{
		Id:            m.ID,
		Role:          peerpb.Role(m.Role),
		Incarnation:   m.Incarnation,
		Sequence:      m.Sequence,
		State:         peerpb.State(m.State),
		Final:         peerpb.State(m.Final),
		Region:        m.Region,
		DataCentre:    m.DataCentre,
		PacketAddr:    addrToProto(m.PacketAddr),
		ControlAddr:   m.ControlAddr,
		Service:       m.Service,
		Version:       m.Version,
		Slots:         m.Slots,
		Connections:   m.Connections,
		Weight:        m.Weight,
		ActiveSinceMs: timeToProto(m.ActiveSince),
		ChangedMs:     timeToProto(m.Changed),
	}
}

func memberFromProto(p *peerpb.Member) membership.Member {
	return membership.Member{
		ID:          p.GetId(),
		Role:        roleFromProto(p.GetRole()),
		Incarnation: p.GetIncarnation(),
		Sequence:    p.GetSequence(),
		State:       stateFromProto(p.GetState()),
		Final:       stateFromProto(p.GetFinal()),
		Region:      p.GetRegion(),
		DataCentre:  p.GetDataCentre(),
		PacketAddr:  addrFromProto(p.GetPacketAddr()),
		ControlAddr: p.GetControlAddr(),
		Service:     p.GetService(),
		Version:     p.GetVersion(),
		Slots:       p.GetSlots(),
		Connections: p.GetConnections(),
		Weight:      p.GetWeight(),
		ActiveSince: timeFromProto(p.GetActiveSinceMs()),
		Changed:     timeFromProto(p.GetChangedMs()),
	}
}

func membersToProto(members []membership.Member) []*peerpb.Member {
	out := make([]*peerpb.Member, 0, len(members))
	for i := range members {
		out = append(out, memberToProto(&members[i]))
	}
	return out
}

// roleFromProto returns 0, which Table.Merge ignores, for a role that this version doesn't know.
func roleFromProto(r peerpb.Role) membership.Role {
	if _, ok := peerpb.Role_name[int32(r)]; !ok {
		return 0
	}
	return membership.Role(r)
}

// stateFromProto returns 0, which Table.Merge ignores, for a state that this version doesn't know.
func stateFromProto(s peerpb.State) membership.State {
	if _, ok := peerpb.State_name[int32(s)]; !ok {
		return 0
	}
	return membership.State(s)
}

// addrToProto encodes an address; the result is nil when it isn't valid.
func addrToProto(a netip.AddrPort) []byte {
	if !a.IsValid() {
		return nil
	}
	return binary.BigEndian.AppendUint16(a.Addr().Unmap().AsSlice(), a.Port())
}

// addrFromProto decodes an address; the result is the zero address when b isn't valid.
func addrFromProto(b []byte) netip.AddrPort {
	if len(b) < portSize {
		return netip.AddrPort{}
	}
	ip, ok := netip.AddrFromSlice(b[:len(b)-portSize])
	if !ok {
		return netip.AddrPort{}
	}
	return netip.AddrPortFrom(ip.Unmap(), binary.BigEndian.Uint16(b[len(b)-portSize:]))
}

func timeToProto(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}

func timeFromProto(ms int64) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return time.UnixMilli(ms).UTC()
}

func summariesToProto(summaries []membership.Summary) []*peerpb.BucketSummary {
	out := make([]*peerpb.BucketSummary, 0, len(summaries))
	for _, s := range summaries {
		out = append(out, &peerpb.BucketSummary{Bucket: s.Bucket, Entries: s.Entries})
	}
	return out
}

func summariesFromProto(summaries []*peerpb.BucketSummary) []membership.Summary {
	out := make([]membership.Summary, 0, len(summaries))
	for _, s := range summaries {
		out = append(out, membership.Summary{Bucket: s.GetBucket(), Entries: s.GetEntries()})
	}
	return out
}

func acksToProto(acks []membership.Ack) []*peerpb.Acknowledgement {
	out := make([]*peerpb.Acknowledgement, 0, len(acks))
	for _, a := range acks {
		out = append(out, &peerpb.Acknowledgement{Revision: a.Revision, Balancers: a.Balancers})
	}
	return out
}

func acksFromProto(acks []*peerpb.Acknowledgement) []membership.Ack {
	out := make([]membership.Ack, 0, len(acks))
	for _, a := range acks {
		out = append(out, membership.Ack{Revision: a.GetRevision(), Balancers: a.GetBalancers()})
	}
	return out
}
