package dispatch

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/auburnwood/auburnwood/pkg/dsr/dsrpb"
	"github.com/auburnwood/auburnwood/pkg/dsr/outlier"
)

const (
	// minMedianTargets is the minimum number of targets for a median: among fewer, a failing one could be the median.
	minMedianTargets = 3
	// medianMaxAge is how long a median is cached.
	medianMaxAge = time.Second
)

// medianAnswer is the cached median of the targets' minimum answers for one address.
type medianAnswer struct {
	answer outlier.Answer
	known  bool
	at     time.Time
}

// answerKey is a service with the hash of an address.
type answerKey struct {
	service string
	address uint32
}

// answersOf reads the minimum answer times and sizes that an agent reported.
func answersOf(list []*dsrpb.Answer) map[uint32]outlier.Answer {
	out := make(map[uint32]outlier.Answer, len(list))
	for _, a := range list {
		out[a.Address] = outlier.Answer{Time: time.Duration(a.LeastUs) * time.Microsecond, Bytes: a.LeastBytes}
	}
	return out
}

// Usual returns the median answers of an agent's service: the medians over its targets of the minimum answer time and
// size, for the addresses that the agent has reported. Addresses with fewer than minMedianTargets reports are omitted.
func (b *Balancer) Usual(now time.Time, agent netip.AddrPort) []*dsrpb.Answer {
	a := b.agents[agent]
	if a == nil {
		return nil
	}
	var out []*dsrpb.Answer
	for address := range a.answers {
		if u := b.medianAnswer(now, answerKey{service: a.service, address: address}); u.known {
			out = append(out, &dsrpb.Answer{
				Address:    address,
				LeastUs:    uint32(u.answer.Time / time.Microsecond),
				LeastBytes: u.answer.Bytes,
			})
		}
	}
	slices.SortFunc(out, func(x, y *dsrpb.Answer) int { return cmp.Compare(x.Address, y.Address) })
	return out
}

// medianAnswer returns the median answer over the service's living targets, from the cache unless it is too old.
func (b *Balancer) medianAnswer(now time.Time, k answerKey) medianAnswer {
	if u, found := b.medians[k]; found && now.Sub(u.at) < medianMaxAge {
		return u
	}
	var times []time.Duration
	var sizes []uint32
	for _, a := range b.services[k.service] {
		if answer, reported := a.answers[k.address]; reported && a.isAlive(now) {
			times = append(times, answer.Time)
			sizes = append(sizes, answer.Bytes)
		}
	}
	u := medianAnswer{at: now, known: len(times) >= minMedianTargets}
	if u.known {
		u.answer = outlier.Answer{Time: median(times), Bytes: median(sizes)}
	}
	b.medians[k] = u
	return u
}

// median sorts a list that is not empty and returns its lower median.
func median[T cmp.Ordered](list []T) T {
	slices.Sort(list)
	return list[(len(list)-1)/2]
}

func (b *Balancer) expireMedians(now time.Time) {
	for k, u := range b.medians {
		if now.Sub(u.at) >= medianMaxAge {
			delete(b.medians, k)
		}
	}
}
