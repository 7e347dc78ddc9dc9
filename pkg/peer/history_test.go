package peer

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/auburnwood/auburnwood/pkg/peer/peerpb"
	"github.com/auburnwood/auburnwood/pkg/resource"
)

func genRevision(t *rapid.T, number uint64) resource.Revision {
	r := resource.Revision{Number: number}
	for i := range 6 {
		if rapid.Bool().Draw(t, "present") {
			version := rapid.Uint64Range(1, 3).Draw(t, "version")
			r.Services = append(r.Services, resource.ServiceConfig{Name: fmt.Sprintf("s%d", i), Version: version})
		}
	}
	return r
}

// A reply must decode to the sender's latest revision, whichever base revision the receiver has.
func TestRevisionIsRebuiltFromAnyBase(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var sender, receiver history
		var last resource.Revision
		have := uint64(0)
		for number := range uint64(12) {
			last = genRevision(t, number+1)
			require.NoError(t, sender.add(last))
			if rapid.Bool().Draw(t, "received") {
				require.NoError(t, receiver.add(last))
				have = last.Number
			}
		}
		reply := sender.reply(have)
		if have == last.Number {
			require.Empty(t, reply.GetServices())
			return
		}
		got, err := receiver.apply(reply)
		require.NoError(t, err)
		require.Equal(t, last.Number, got.Number)
		require.ElementsMatch(t, last.Services, got.Services)
	})
}

func TestDifferenceIsSmall(t *testing.T) {
	var h history
	r := resource.Revision{Number: 1}
	for i := range 680 {
		r.Services = append(r.Services, resource.ServiceConfig{Name: fmt.Sprintf("service-%03d", i), Version: 1})
	}
	require.NoError(t, h.add(r))
	full := proto.Size(h.reply(0))
	r.Number++
	r.Services[9].Version = 2
	require.NoError(t, h.add(r))
	difference := proto.Size(h.reply(1))
	t.Logf("full revision %d bytes, difference %d bytes", full, difference)
	require.Less(t, difference*100, full)
}

func TestInvalidRepliesAreRejected(t *testing.T) {
	var h history
	require.NoError(t, h.add(routeRevision(1, "a")))
	require.NoError(t, h.add(routeRevision(2, "a", "b")))
	var receiver history
	require.NoError(t, receiver.add(routeRevision(1, "a")))
	cases := map[string]func(p *peerpb.FetchRevisionReply){
		"unknown base":     func(p *peerpb.FetchRevisionReply) { p.Base = 77 },
		"checksum":         func(p *peerpb.FetchRevisionReply) { p.Checksum++ },
		"number":           func(p *peerpb.FetchRevisionReply) { p.Number++ },
		"service missing":  func(p *peerpb.FetchRevisionReply) { p.Services = nil },
		"service not JSON": func(p *peerpb.FetchRevisionReply) { p.Services[0] = []byte("{") },
		"wrongly removed":  func(p *peerpb.FetchRevisionReply) { p.Removed = []string{"a"} },
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			p := h.reply(1)
			change(p)
			_, err := receiver.apply(p)
			require.Error(t, err)
		})
	}
}

func FuzzApply(f *testing.F) {
	var h history
	require.NoError(f, h.add(routeRevision(1, "a")))
	require.NoError(f, h.add(routeRevision(2, "a", "b")))
	seed, err := proto.Marshal(h.reply(1))
	require.NoError(f, err)
	f.Add(seed)
	f.Fuzz(func(t *testing.T, b []byte) {
		var p peerpb.FetchRevisionReply
		if proto.Unmarshal(b, &p) != nil {
			return
		}
		_, _ = h.apply(&p)
	})
}

func FuzzMemberFromProto(f *testing.F) {
	m := fleetMember("t0", 1, 3)
	seed, err := proto.Marshal(memberToProto(&m))
	require.NoError(f, err)
	f.Add(seed)
	f.Fuzz(func(t *testing.T, b []byte) {
		var p peerpb.Member
		if proto.Unmarshal(b, &p) != nil {
			return
		}
		m := memberFromProto(&p)
		require.Equal(t, m, memberFromProto(memberToProto(&m)))
	})
}
