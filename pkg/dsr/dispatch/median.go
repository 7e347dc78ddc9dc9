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
	// medianOf is the least number of targets among which there is a usual answer: of fewer, one that fails could be the median.
	medianOf = 3
	// usualAge is how long a median is used.
	usualAge = time.Second
)

// usualAnswer is the median of the least answers to requests for one address.
type usualAnswer struct {
	answer outlier.Response
	known  bool
	at     time.Time
}

// usualKey is a service's address.
type usualKey struct {
	service string
	address uint32
}

// answersOf reads what an agent says of its target's answers.
func answersOf(list []*dsrpb.Answer) map[uint32]outlier.Response {
	out := make(map[uint32]outlier.Response, len(list))
	for _, a := range list {
		out[a.Address] = outlier.Response{Time: time.Duration(a.LeastUs) * time.Microsecond, Bytes: a.LeastBytes}
	}
	return out
}

// MedianResponses are the least answers of the median target of an agent's service, for the addresses that the agent has named.
func (b *Balancer) MedianResponses(now time.Time, agent netip.AddrPort) []*dsrpb.Answer {
	a := b.agents[agent]
	if a == nil {
		return nil
	}
	var out []*dsrpb.Answer
	for address := range a.answers {
		if u := b.usualAnswer(now, usualKey{service: a.service, address: address}); u.known {
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

// usualAnswer is the median of the service's living targets.
func (b *Balancer) usualAnswer(now time.Time, k usualKey) usualAnswer {
	if u, found := b.usual[k]; found && now.Sub(u.at) < usualAge {
		return u
	}
	var times []time.Duration
	var sizes []uint32
	for _, a := range b.services[k.service] {
		if answer, told := a.answers[k.address]; told && a.alive(now) {
			times = append(times, answer.Time)
			sizes = append(sizes, answer.Bytes)
		}
	}
	u := usualAnswer{at: now, known: len(times) >= medianOf}
	if u.known {
		u.answer = outlier.Response{Time: median(times), Bytes: median(sizes)}
	}
	b.usual[k] = u
	return u
}

// median sorts a list that is not empty and returns its lower median.
func median[T cmp.Ordered](list []T) T {
	slices.Sort(list)
	return list[(len(list)-1)/2]
}

// forgetUsual drops medians that are out of use.
func (b *Balancer) forgetUsual(now time.Time) {
	for k, u := range b.usual {
		if now.Sub(u.at) >= usualAge {
			delete(b.usual, k)
		}
	}
}
