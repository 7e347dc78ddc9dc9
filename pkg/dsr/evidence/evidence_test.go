package evidence

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1000, 0)

func agent(i byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, i}), 7200)
}

// step is one event of a history: an answer, or with restarted set a new incarnation of the agent.
type step struct {
	agent     byte
	is        Answer
	restarted bool
	at        time.Duration
}

// A flow counts as gone only when every agent that may hold it has excluded it since its packet arrived.
func TestVerdicts(t *testing.T) {
	for _, c := range []struct {
		name       string
		steps      []step
		unknown    byte
		want       Verdict
		candidates []netip.AddrPort
	}{
		{"all agents exclude it", []step{{agent: 1, is: NotHeld}, {agent: 2, is: NotHeld}, {agent: 3, is: NotHeld}}, 0, Gone, nil},
		{"a target has returned its packet", []step{{agent: 1, is: NotHeld}, {agent: 2, is: Unknown}, {agent: 3, is: NotHeld}, {agent: 2, is: Returned}}, 0, Gone, nil},
		{"one agent is cut off", []step{{agent: 1, is: NotHeld}, {agent: 2, is: NotHeld}}, 0, Undecided, nil},
		{"one agent cannot tell", []step{{agent: 1, is: NotHeld}, {agent: 2, is: Unknown}, {agent: 3, is: NotHeld}}, 0, MayBeHeld, []netip.AddrPort{agent(2)}},
		{"one cannot tell, one is cut off", []step{{agent: 1, is: NotHeld}, {agent: 2, is: Unknown}}, 0, Undecided, nil},
		{"one has queued the flow", []step{{agent: 1, is: NotHeld}, {agent: 2, is: Pending}, {agent: 3, is: NotHeld}}, 0, Undecided, nil},
		{"another target holds a flow of the key", []step{{agent: 1, is: NotHeld}, {agent: 2, is: Held}, {agent: 3, is: NotHeld}}, 0, Undecided, nil},
		{"an agent has restarted since its answer", []step{{agent: 1, is: NotHeld}, {agent: 2, is: NotHeld}, {agent: 3, is: NotHeld}, {agent: 2, restarted: true}}, 0, Undecided, nil},
		{"it restarted and has answered again", []step{{agent: 1, is: NotHeld}, {agent: 2, is: NotHeld}, {agent: 3, is: NotHeld}, {agent: 2, restarted: true}, {agent: 2, is: NotHeld}}, 0, Gone, nil},
		{"it restarted and cannot tell any more", []step{{agent: 1, is: NotHeld}, {agent: 2, is: NotHeld}, {agent: 3, is: NotHeld}, {agent: 2, restarted: true}, {agent: 2, is: Unknown}}, 0, MayBeHeld, []netip.AddrPort{agent(2)}},
		{"an answer from before the packet", []step{{agent: 1, is: NotHeld, at: -time.Millisecond}, {agent: 2, is: NotHeld}, {agent: 3, is: NotHeld}}, 0, Undecided, nil},
		{"a late weaker answer", []step{{agent: 1, is: NotHeld}, {agent: 2, is: Returned}, {agent: 3, is: NotHeld}, {agent: 2, is: Unknown}}, 0, Gone, nil},
		{"an agent of which no announcement is known", []step{{agent: 1, is: NotHeld}, {agent: 2, is: NotHeld}, {agent: 3, is: NotHeld}}, 3, Undecided, nil},
		{"an agent at a replaced address never answers", []step{{agent: 1, is: NotHeld}, {agent: 2, is: NotHeld}, {agent: 4, is: NotHeld}}, 0, Undecided, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			incarnations := map[netip.AddrPort]uint64{agent(1): 1, agent(2): 1, agent(3): 1, agent(4): 1}
			if c.unknown != 0 {
				delete(incarnations, agent(c.unknown))
			}
			current := func(a netip.AddrPort) (uint64, bool) {
				i, known := incarnations[a]
				return i, known
			}
			s := New(start)
			for _, step := range c.steps {
				if step.restarted {
					incarnations[agent(step.agent)]++
					continue
				}
				s.Record(start.Add(step.at), agent(step.agent), step.is, current)
			}
			got, candidates := s.Verdict([]netip.AddrPort{agent(1), agent(2), agent(3)}, current)
			require.Equal(t, c.want, got)
			require.Equal(t, c.candidates, candidates)
		})
	}
}

func TestNoHoldersProveNothing(t *testing.T) {
	got, _ := New(start).Verdict(nil, func(netip.AddrPort) (uint64, bool) { return 0, false })
	require.Equal(t, Undecided, got)
}
