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

// variant selects a deliberately broken system, to show that the checks catch it.
type variant uint8

const (
	correct variant = iota
	// unfenced replaces conditional writes of the head by unconditional ones.
	unfenced
	// lowering adopts whatever a peer answers.
	lowering
)

// world is one run: a store, processes and operators.
type world struct {
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
	// late is the probability that a write takes effect seconds after its answer was given up.
	late float64
	// pauseAtHead is how long the process that writes the head next is paused just before; 0 means not at all.
	pauseAtHead time.Duration
}

func newWorld(seed uint64, v variant) *world {
	ctx, stop := context.WithCancel(context.Background())
	return &world{
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
func (w *world) Write(b []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = fmt.Fprintf(&w.log, "%s ", time.Now().Format("05.000"))
	return w.log.Write(b)
}

func (w *world) tail(lines int) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	all := strings.Split(w.log.String(), "\n")
	return strings.Join(all[max(0, len(all)-lines):], "\n")
}

func (w *world) isLate() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rng.Float64() < w.late
}

func (w *world) live() []*process {
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
func (w *world) InForce(number uint64) (n, m int) {
	for _, p := range w.live() {
		m++
		if p.adopter.Number() >= number {
			n++
		}
	}
	return n, m
}

// join starts a process: a balancer that is a candidate for the compile lease.
func (w *world) join() {
	w.mu.Lock()
	id := len(w.processes)
	if id == maxProcesses {
		w.mu.Unlock()
		return
	}
	p := &process{world: w, id: id, adopter: NewAdopter(zerolog.Nop())}
	p.ctx, p.kill = context.WithCancel(w.ctx)
	w.processes = append(w.processes, p)
	w.mu.Unlock()
	p.start()
}

// process is one balancer. It stands still while it is paused, at each call and each timer.
type process struct {
	world   *world
	id      int
	ctx     context.Context
	kill    context.CancelFunc
	adopter *Adopter

	mu     sync.Mutex
	resume chan struct{}
}

func (p *process) start() {
	if p.world.variant == lowering {
		go p.adoptAnything()
	} else {
		p.adopter.OnAdopt(func(r resource.Revision) { p.world.history.adopted(p.id, r) })
	}
	f := &Follower{Store: p, Peers: p, Adopter: p.adopter, Clock: p, Log: zerolog.Nop()}
	go func() { _ = f.Run(p.ctx) }()
	log := zerolog.New(p.world).With().Int("process", p.id).Logger()
	c := &Compiler{Store: p, Acks: p.world, Adopter: p.adopter, Clock: p, Log: log, Keep: 3}
	r := &lease.Runner{Store: p, Clock: p, Log: log, Config: lease.Config{
		Name: LeaseName, Holder: fmt.Sprintf("p%d", p.id), Duration: 3 * time.Second}}
	go func() {
		_ = r.Run(p.ctx, func(ctx context.Context, g lease.Grant) error {
			p.world.history.granted(g)
			return c.Duty(ctx, g)
		})
	}()
}

// adoptAnything is the broken balancer of the variant lowering.
func (p *process) adoptAnything() {
	var last uint64
	for p.Sleep(p.ctx, 300*time.Millisecond) == nil {
		for _, other := range p.world.live() {
			r, ok := other.adopter.Current()
			if ok && r.Number != last {
				last = r.Number
				p.world.history.adopted(p.id, r)
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

func (p *process) gate() {
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
	p.gate()
	return err
}

// Highest implements Peers.
func (p *process) Highest(_ context.Context, above uint64) ([]resource.Revision, error) {
	var list []resource.Revision
	for _, o := range p.world.live() {
		r, ok := o.adopter.Current()
		if o == p || !ok {
			continue
		}
		if r.Number <= above {
			r.Services = nil
		}
		list = append(list, r)
	}
	p.gate()
	if len(list) == 0 {
		return nil, errors.New("no peer answers")
	}
	return list, nil
}

// Get implements objectapi.Store, as the methods that follow.
func (p *process) Get(ctx context.Context, k objectapi.Kind, name string) (objectapi.Object, error) {
	defer p.gate()
	return p.world.store.Get(ctx, k, name)
}

func (p *process) List(ctx context.Context, k objectapi.Kind) ([]objectapi.Object, uint64, error) {
	defer p.gate()
	return p.world.store.List(ctx, k)
}

func (p *process) Watch(ctx context.Context, k objectapi.Kind, from uint64) ([]objectapi.Event, uint64, error) {
	defer p.gate()
	return p.world.store.Watch(ctx, k, from)
}

func (p *process) Create(ctx context.Context, k objectapi.Kind, name string, v []byte) (objectapi.Object, error) {
	o := objectapi.Object{Kind: k, Name: name, Value: v}
	return p.write(ctx, o, func(ctx context.Context) (objectapi.Object, error) {
		return p.world.store.Create(ctx, k, name, v)
	})
}

func (p *process) Update(ctx context.Context, o objectapi.Object) (objectapi.Object, error) {
	return p.write(ctx, o, func(ctx context.Context) (objectapi.Object, error) {
		if p.world.variant == unfenced && o.Kind == resource.KindHead {
			now, err := p.world.store.Get(ctx, o.Kind, o.Name)
			if err != nil {
				return o, err
			}
			o.Version = now.Version
		}
		return p.world.store.Update(ctx, o)
	})
}

func (p *process) Delete(ctx context.Context, k objectapi.Kind, name string, version uint64) error {
	_, err := p.write(ctx, objectapi.Object{Kind: k, Name: name}, func(ctx context.Context) (objectapi.Object, error) {
		return objectapi.Object{}, p.world.store.Delete(ctx, k, name, version)
	})
	return err
}

// write sends one write, late when the run says so, and records writes of the head.
func (p *process) write(ctx context.Context, o objectapi.Object, send func(context.Context) (objectapi.Object, error)) (objectapi.Object, error) {
	if p.beforeWrite(o) {
		// The call was on its way when the process stood still: the end of the duty does not take it back.
		ctx = context.WithoutCancel(ctx)
	}
	if p.ctx.Err() != nil {
		// A killed process sends nothing.
		return o, objectapi.ErrUnavailable
	}
	call := p.world.history.tick()
	var done objectapi.Object
	err := objectapi.ErrOutcomeUnknown
	if p.world.isLate() {
		time.AfterFunc(2*time.Second, func() { _, _ = send(context.Background()) })
	} else {
		done, err = send(ctx)
	}
	p.record(o, call, err)
	p.gate()
	return done, err
}

// beforeWrite pauses the process when the run asks for a pause at the next write of the head, and reports whether.
func (p *process) beforeWrite(o objectapi.Object) bool {
	d := p.world.takePause(o.Kind)
	if d > 0 {
		p.pause(d)
	}
	p.gate()
	return d > 0
}

// takePause returns the pause of the process that is the first to write the head.
func (w *world) takePause(k objectapi.Kind) time.Duration {
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
	w := p.world
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
	w.history.wrote(historyOp{process: p.id, number: h.Revision, sum: sum, unknown: unknown}, call)
}
