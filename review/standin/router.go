package main

import (
	"context"
	"hash/fnv"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// Times of the readiness checks: two a second; two misses take a daemon out of rotation.
const (
	checkInterval = 500 * time.Millisecond
	checkTimeout  = 400 * time.Millisecond
	missesToLeave = 2
)

// router stands in for the platform's routers, with a steady hash: only the flows of a daemon that leaves move.
type router struct {
	mu      sync.Mutex
	daemons []*routed
	client  http.Client
}

type routed struct {
	packets netip.AddrPort
	ready   string
	misses  int
	in      bool
}

func newRouter() *router {
	return &router{client: http.Client{Timeout: checkTimeout, Transport: &http.Transport{DisableKeepAlives: true}}}
}

func (r *router) add(ctx context.Context, packets netip.AddrPort, ready string) {
	d := &routed{packets: packets, ready: ready}
	r.mu.Lock()
	r.daemons = append(r.daemons, d)
	r.mu.Unlock()
	go r.check(ctx, d)
}

func (r *router) check(ctx context.Context, d *routed) {
	for ctx.Err() == nil {
		resp, err := r.client.Get("http://" + d.ready + "/-/ready")
		ok := err == nil && resp.StatusCode == http.StatusOK
		if err == nil {
			_ = resp.Body.Close()
		}
		r.mu.Lock()
		switch {
		case ok:
			d.in, d.misses = true, 0
		default:
			d.misses++
			d.in = d.in && d.misses < missesToLeave
		}
		r.mu.Unlock()
		pause(ctx, checkInterval)
	}
}

func (r *router) inRotation() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, d := range r.daemons {
		if d.in {
			n++
		}
	}
	return n
}

// daemonOf returns where a packet goes. When fewer than half of the daemons are in rotation, all are used.
func (r *router) daemonOf(source, dest netip.AddrPort) netip.AddrPort {
	r.mu.Lock()
	defer r.mu.Unlock()
	in := 0
	for _, d := range r.daemons {
		if d.in {
			in++
		}
	}
	var best netip.AddrPort
	var highest uint64
	for _, d := range r.daemons {
		if 2*in >= len(r.daemons) && !d.in {
			continue
		}
		h := fnv.New64a()
		_, _ = h.Write([]byte(source.String() + dest.String() + d.packets.String()))
		if score := h.Sum64(); score >= highest {
			best, highest = d.packets, score
		}
	}
	return best
}

// pause waits for a time or the end of the context.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
