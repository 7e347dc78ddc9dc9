package requests

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/auburnwood/auburnwood/pkg/caller"
)

const (
	callerCount = 40
	// takeAhead is the number of tickets that a client fetches in one call.
	takeAhead = 4
	// callerIdle is the idle timeout of connections, short so that callers reconnect to other agents.
	callerIdle = time.Second
)

// client simulates one caller, with its own loopback address.
type client struct {
	byService map[string]*caller.Client
}

func newClient(index int, d deployment, dialer Dialer, seed uint64) *client {
	c := &client{byService: make(map[string]*caller.Client)}
	addr := netip.AddrFrom4([4]byte{127, 1, byte(index >> 8), byte(index + 1)})
	for _, s := range d {
		t := &http.Transport{
			DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
				return dialer.DialService(ctx, s.name, addr)
			},
			DisableCompression:  true,
			MaxIdleConnsPerHost: 16,
			IdleConnTimeout:     callerIdle,
		}
		c.byService[s.name] = caller.New(caller.Options{
			Base:        "http://" + s.name,
			Transport:   &droppingTransport{next: t},
			TicketBatch: takeAhead,
			Rand:        rand.New(rand.NewPCG(seed, uint64(index))),
		})
	}
	return c
}

// do makes one planned request, with its deadline, cancellation and dropped submission.
func (c *client) do(ctx context.Context, w work) caller.Result {
	ctx, cancel := context.WithTimeout(ctx, w.deadline)
	defer cancel()
	if w.goneAfter > 0 {
		time.AfterFunc(w.goneAfter, cancel)
	}
	if w.cutAfter > 0 {
		ctx = withCut(ctx, w.cutAfter)
	}
	r := caller.Request{
		Method:     http.MethodPost,
		Path:       "/orders",
		Header:     http.Header{headerWork: {strconv.Itoa(w.id)}, headerSize: {strconv.Itoa(w.size)}},
		Body:       fmt.Appendf(nil, "order %d", w.id),
		Protection: w.protection,
		Key:        fmt.Sprintf("order-key-%024d", w.id),
	}
	if w.idem {
		r.Method = http.MethodGet
		r.Body = nil
	}
	return c.byService[w.service].Do(ctx, r)
}
