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

// medianResponse is the cached median of the targets' minimum responses for one address.
type medianResponse struct {
	response outlier.Response
	known    bool
	at       time.Time
}

// responseKey is a service with the hash of an address.
type responseKey struct {
	service string
	address uint32
}

// responsesOf reads the minimum response times and sizes that an agent reported.
func responsesOf(list []*dsrpb.Answer) map[uint32]outlier.Response {
	out := make(map[uint32]outlier.Response, len(list))
	for _, a := range list {
		out[a.Address] = outlier.Response{Time: time.Duration(a.LeastUs) * time.Microsecond, Bytes: a.LeastBytes}
	}
	return out
}

// MedianResponses returns the medians over the targets of an agent's service of the minimum response time and size, for
// the addresses that the agent has reported. Addresses with fewer than minMedianTargets reports are left out.
func (b *Balancer) MedianResponses(now time.Time, agent netip.AddrPort) []*dsrpb.Answer {
	a := b.agents[agent]
	if a == nil {
		return nil
	}
	var out []*dsrpb.Answer
	for address := range a.responses {
		if u := b.medianResponse(now, responseKey{service: a.service, address: address}); u.known {
			out = append(out, &dsrpb.Answer{
				Address:    address,
				LeastUs:    uint32(u.response.Time / time.Microsecond),
				LeastBytes: u.response.Bytes,
			})
		}
	}
	slices.SortFunc(out, func(x, y *dsrpb.Answer) int { return cmp.Compare(x.Address, y.Address) })
	return out
}

// medianResponse returns the median over the service's living targets, from the cache unless it is too old.
func (b *Balancer) medianResponse(now time.Time, k responseKey) medianResponse {
	if u, found := b.medians[k]; found && now.Sub(u.at) < medianMaxAge {
		return u
	}
	var times []time.Duration
	var sizes []uint32
	for _, a := range b.services[k.service] {
		if response, found := a.responses[k.address]; found && a.isAlive(now) {
			times = append(times, response.Time)
			sizes = append(sizes, response.Bytes)
		}
	}
	u := medianResponse{at: now, known: len(times) >= minMedianTargets}
	if u.known {
		u.response = outlier.Response{Time: median(times), Bytes: median(sizes)}
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
