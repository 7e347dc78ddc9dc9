package requests

import (
	"context"
	"fmt"
	"hash/crc32"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	headerWork  = "X-Work"
	headerSize  = "X-Size"
	headerSum   = "X-Sum"
	slowFactor  = 4
	coldFactor  = 3
	coldTime    = 2 * time.Second
	shedSeconds = "1"
)

// target simulates a server: it runs as many requests at once as it has slots, queues the others, and records the runs
// in truth.
type target struct {
	service string
	slots   chan struct{}
	truth   *truth
	pace    pace
	addr    netip.AddrPort
	server  *http.Server

	mu        sync.Mutex
	rand      *rand.Rand
	coldUntil time.Time

	dead    atomic.Bool
	slow    atomic.Bool
	lying   atomic.Bool
	shed    atomic.Bool
	waiting atomic.Int64
	busy    atomic.Int64
}

func newTarget(service string, slots int, t *truth, p pace, seed uint64) (*target, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	g := &target{service: service, slots: make(chan struct{}, slots), truth: t, pace: p,
		addr: l.Addr().(*net.TCPAddr).AddrPort(), rand: rand.New(rand.NewPCG(seed, 3))}
	g.server = &http.Server{Handler: g}
	go func() { _ = g.server.Serve(l) }()
	return g, nil
}

// kill simulates the death of the target's process.
func (g *target) kill() {
	g.dead.Store(true)
	_ = g.server.Close()
}

// restart listens on the same address again.
func (g *target) restart(cold bool) error {
	l, err := net.Listen("tcp", g.addr.String())
	if err != nil {
		return err
	}
	g.dead.Store(false)
	if cold {
		g.makeCold()
	}
	server := &http.Server{Handler: g}
	g.mu.Lock()
	g.server = server
	g.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	return nil
}

func (g *target) makeCold() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.coldUntil = time.Now().Add(coldTime)
}

func (g *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/load" {
		g.serveLoad(w)
		return
	}
	work, err := strconv.Atoi(r.Header.Get(headerWork))
	if err != nil {
		http.Error(w, "no work", http.StatusBadRequest)
		return
	}
	if r.Host != g.service {
		g.truth.wrong.Add(1)
	}
	if g.shed.Load() {
		w.Header().Set("Retry-After", shedSeconds)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if !g.enter(r.Context()) {
		panic(http.ErrAbortHandler)
	}
	defer g.leave()
	g.truth.began(work)
	g.simulateWork(r.Context())
	if g.dead.Load() {
		panic(http.ErrAbortHandler)
	}
	g.answer(w, r, work)
}

// enter waits for a slot. It returns false for a cancelled request or a dead target, which must not run.
func (g *target) enter(ctx context.Context) bool {
	g.waiting.Add(1)
	defer g.waiting.Add(-1)
	select {
	case g.slots <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	if ctx.Err() != nil || g.dead.Load() {
		<-g.slots
		return false
	}
	g.busy.Add(1)
	return true
}

func (g *target) leave() {
	g.busy.Add(-1)
	<-g.slots
}

// simulateWork waits for the service time, uniform from 0.5 to 1.5 times the mean, and longer on a cold or slow target.
func (g *target) simulateWork(ctx context.Context) {
	g.mu.Lock()
	d := g.pace.service/2 + time.Duration(g.rand.Int64N(int64(g.pace.service)))
	if time.Now().Before(g.coldUntil) {
		d *= coldFactor
	}
	g.mu.Unlock()
	if g.slow.Load() {
		d *= slowFactor
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// answer sends a body that names the request, with its checksum in a trailer, or in a header if no size was requested.
func (g *target) answer(w http.ResponseWriter, r *http.Request, work int) {
	size, err := strconv.Atoi(r.Header.Get(headerSize))
	if err != nil {
		size = 0
	}
	body := workBody(g.service, work, size)
	if r.Method != http.MethodGet {
		sent, err := io.ReadAll(r.Body)
		if err != nil || string(sent) != fmt.Sprintf("order %d", work) {
			g.truth.wrong.Add(1)
		}
	}
	if size > 0 {
		w.Header().Set("Trailer", headerSum)
		_, _ = io.WriteString(w, body)
		w.Header().Set(headerSum, checksum(body))
		return
	}
	w.Header().Set(headerSum, checksum(body))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(w, body)
}

// serveLoad is the platform's load endpoint; a lying target reports 0.
func (g *target) serveLoad(w http.ResponseWriter) {
	load := g.busy.Load() + g.waiting.Load()
	if g.lying.Load() {
		load = 0
	}
	_, _ = fmt.Fprintln(w, load)
}

// workBody returns the correct response body of a request, at least size bytes long.
func workBody(service string, work, size int) string {
	line := fmt.Sprintf("%s work %d\n", service, work)
	if size <= len(line) {
		return line
	}
	return strings.Repeat(line, size/len(line)+1)
}

func checksum(body string) string {
	return strconv.FormatUint(uint64(crc32.ChecksumIEEE([]byte(body))), 16)
}
