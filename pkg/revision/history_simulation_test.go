package revision

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/auburnwood/auburnwood/internal/standin/store"
	"github.com/auburnwood/auburnwood/pkg/lease"
	"github.com/auburnwood/auburnwood/pkg/objectapi"
	"github.com/auburnwood/auburnwood/pkg/resource"
)

// variant selects a deliberately broken system that the checks must catch.
type variant uint8

const (
	correct variant = iota
	// unfenced replaces conditional writes of the head by unconditional ones.
	unfenced
	// adoptsLower adopts any revision that a peer has, including lower ones.
	adoptsLower
)

// simulation is one run of a store with processes and operators.
type simulation struct {
	store   *store.Store
	history *history
	variant variant
	ctx     context.Context
	stop    context.CancelFunc

	mu        sync.Mutex
	rng       *rand.Rand
	processes []*process
	sums      map[string]uint64
	log       bytes.Buffer
	// late is the probability that a write takes effect two seconds after its caller got ErrOutcomeUnknown.
	late float64
	// pauseAtHead is how long the next process to write the head is paused just before; 0 means not at all.
	pauseAtHead time.Duration
}

func newSimulation(seed uint64, v variant) *simulation {
	ctx, stop := context.WithCancel(context.Background())
	return &simulation{
		store:   store.New(store.Config{Seed: seed, WatchWait: 5 * time.Second}),
		history: newHistory(),
		variant: v,
		ctx:     ctx,
		stop:    stop,
		rng:     rand.New(rand.NewPCG(seed, 9)),
		sums:    make(map[string]uint64),
	}
}

// Write implements io.Writer for the log that is printed with a failure.
func (w *simulation) Write(b []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = fmt.Fprintf(&w.log, "%s ", time.Now().Format("05.000"))
	return w.log.Write(b)
}

func (w *simulation) tail(lines int) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	all := strings.Split(w.log.String(), "\n")
	return strings.Join(all[max(0, len(all)-lines):], "\n")
}

func (w *simulation) isLate() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rng.Float64() < w.late
}

func (w *simulation) live() []*process {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []*process
	for _, p := range w.processes {
		if p.ctx.Err() == nil {
			list = append(list, p)
		}
	}
	return list
}

// InForce implements Acks.
func (w *simulation) InForce(number uint64) resource.InForce {
	var f resource.InForce
	for _, p := range w.live() {
		f.Known++
		if p.adopter.Number() >= number {
			f.Adopted++
		}
	}
	return f
}

// join starts a process: a balancer that is a candidate for the compile lease.
func (w *simulation) join() {
	w.mu.Lock()
	id := len(w.processes)
	if id == maxProcesses {
		w.mu.Unlock()
		return
	}
	p := &process{simulation: w, id: id, adopter: NewAdopter(zerolog.Nop())}
	p.ctx, p.kill = context.WithCancel(w.ctx)
	w.processes = append(w.processes, p)
	w.mu.Unlock()
	p.start()
}

// process is one balancer. While paused, it blocks at each call and each timer.
type process struct {
	simulation *simulation
	id         int
	ctx        context.Context
	kill       context.CancelFunc
	adopter    *Adopter

	mu     sync.Mutex
	resume chan struct{}
}

func (p *process) start() {
	if p.simulation.variant == adoptsLower {
		go p.adoptLower()
	} else {
		p.adopter.OnAdopt(func(r resource.Revision) { p.simulation.history.recordAdoption(p.id, r) })
	}
	f := &Follower{Store: p, Peers: p, Adopter: p.adopter, Clock: p, Log: zerolog.Nop()}
	go func() { _ = f.Run(p.ctx) }()
	log := zerolog.New(p.simulation).With().Int("process", p.id).Logger()
	c := &Compiler{Store: p, Acks: p.simulation, Adopter: p.adopter, Clock: p, Log: log, Keep: 3}
	r := &lease.Runner{Store: p, Clock: p, Log: log, Config: lease.Config{
		Name: LeaseName, Holder: fmt.Sprintf("p%d", p.id), Duration: 3 * time.Second}}
	go func() {
		_ = r.Run(p.ctx, func(ctx context.Context, g lease.Grant) error {
			p.simulation.history.recordGrant(g)
			return c.Duty(ctx, g)
		})
	}()
}

// adoptLower is the broken balancer of the adoptsLower variant.
func (p *process) adoptLower() {
	var last uint64
	for p.Sleep(p.ctx, 300*time.Millisecond) == nil {
		for _, other := range p.simulation.live() {
			r, ok := other.adopter.Current()
			if ok && r.Number != last {
				last = r.Number
				p.simulation.history.recordAdoption(p.id, r)
			}
		}
	}
}

func (p *process) pause(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.resume != nil {
		return
	}
	c := make(chan struct{})
	p.resume = c
	time.AfterFunc(d, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.resume = nil
		close(c)
	})
}

func (p *process) waitWhilePaused() {
	p.mu.Lock()
	c := p.resume
	p.mu.Unlock()
	if c != nil {
		<-c
	}
}

// Now implements lease.Clock.
func (p *process) Now() time.Time { return time.Now() }

// Sleep implements lease.Clock.
func (p *process) Sleep(ctx context.Context, d time.Duration) error {
	err := lease.SystemClock{}.Sleep(ctx, d)
	p.waitWhilePaused()
	return err
}

// Highest implements Peers.
func (p *process) Highest(_ context.Context, above uint64) ([]resource.Revision, error) {
	var list []resource.Revision
	for _, o := range p.simulation.live() {
		r, ok := o.adopter.Current()
		if o == p || !ok {
			continue
		}
		if r.Number <= above {
			r.Services = nil
		}
		list = append(list, r)
	}
	p.waitWhilePaused()
	if len(list) == 0 {
		return nil, errors.New("no peer answers")
	}
	return list, nil
}

// Get implements objectapi.Store, as the methods that follow.
func (p *process) Get(ctx context.Context, k objectapi.Kind, name string) (objectapi.Object, error) {
	defer p.waitWhilePaused()
	return p.simulation.store.Get(ctx, k, name)
}

func (p *process) List(ctx context.Context, k objectapi.Kind) ([]objectapi.Object, uint64, error) {
	defer p.waitWhilePaused()
	return p.simulation.store.List(ctx, k)
}

func (p *process) Watch(ctx context.Context, k objectapi.Kind, from uint64) ([]objectapi.Event, uint64, error) {
	defer p.waitWhilePaused()
	return p.simulation.store.Watch(ctx, k, from)
}

func (p *process) Create(ctx context.Context, k objectapi.Kind, name string, v []byte) (objectapi.Object, error) {
	o := objectapi.Object{Kind: k, Name: name, Value: v}
	return p.write(ctx, o, func(ctx context.Context) (objectapi.Object, error) {
		return p.simulation.store.Create(ctx, k, name, v)
	})
}

func (p *process) Update(ctx context.Context, o objectapi.Object) (objectapi.Object, error) {
	return p.write(ctx, o, func(ctx context.Context) (objectapi.Object, error) {
		if p.simulation.variant == unfenced && o.Kind == resource.KindHead {
			now, err := p.simulation.store.Get(ctx, o.Kind, o.Name)
			if err != nil {
				return o, err
			}
			o.Version = now.Version
		}
		return p.simulation.store.Update(ctx, o)
	})
}

func (p *process) Delete(ctx context.Context, k objectapi.Kind, name string, version uint64) error {
	_, err := p.write(ctx, objectapi.Object{Kind: k, Name: name}, func(ctx context.Context) (objectapi.Object, error) {
		return objectapi.Object{}, p.simulation.store.Delete(ctx, k, name, version)
	})
	return err
}

// write sends one write, delayed when the run draws so, and records writes of the head.
func (p *process) write(ctx context.Context, o objectapi.Object, send func(context.Context) (objectapi.Object, error)) (objectapi.Object, error) {
	if p.beforeWrite(o) {
		// The call was already sent when the process was paused: the end of the duty does not cancel it.
		ctx = context.WithoutCancel(ctx)
	}
	if p.ctx.Err() != nil {
		// A killed process sends nothing.
		return o, objectapi.ErrUnavailable
	}
	call := p.simulation.history.tick()
	var done objectapi.Object
	err := objectapi.ErrOutcomeUnknown
	if p.simulation.isLate() {
		time.AfterFunc(2*time.Second, func() { _, _ = send(context.Background()) })
	} else {
		done, err = send(ctx)
	}
	p.record(o, call, err)
	p.waitWhilePaused()
	return done, err
}

// beforeWrite pauses the process when pauseAtHead is set and o is the head, and reports whether it did.
func (p *process) beforeWrite(o objectapi.Object) bool {
	d := p.simulation.takePause(o.Kind)
	if d > 0 {
		p.pause(d)
	}
	p.waitWhilePaused()
	return d > 0
}

// takePause returns the pause for a write of the head and clears it, so that it applies to one process.
func (w *simulation) takePause(k objectapi.Kind) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if k != resource.KindHead {
		return 0
	}
	d := w.pauseAtHead
	w.pauseAtHead = 0
	return d
}

func (p *process) record(o objectapi.Object, call int64, err error) {
	unknown := errors.Is(err, objectapi.ErrOutcomeUnknown)
	if err != nil && !unknown {
		return
	}
	w := p.simulation
	if o.Kind == resource.KindRevision {
		var v part
		if json.Unmarshal(o.Value, &v) == nil {
			w.mu.Lock()
			w.sums[o.Name] = v.Sum
			w.mu.Unlock()
		}
	}
	if o.Kind != resource.KindHead {
		return
	}
	var h resource.Head
	if json.Unmarshal(o.Value, &h) != nil {
		return
	}
	w.mu.Lock()
	sum := w.sums[h.Object]
	w.mu.Unlock()
	w.history.recordWrite(historyOp{process: p.id, number: h.Revision, sum: sum, unknown: unknown}, call)
}
