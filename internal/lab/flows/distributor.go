package flows

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/auburnwood/auburnwood/pkg/view"
)

// evenDelay is the maximum delay of a view without the fault uneven-updates.
const evenDelay = 20 * time.Millisecond

// subscriber applies views to one process; it drops a view that is older than the last one applied.
type subscriber struct {
	mu    sync.Mutex
	seen  uint64
	apply func(*view.View)
}

func (s *subscriber) deliver(number uint64, v *view.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if number <= s.seen {
		return
	}
	s.seen = number
	s.apply(v)
}

// distributor delivers each view to each process after a random delay.
type distributor struct {
	mu       sync.Mutex
	random   *rand.Rand
	maxDelay time.Duration
	number   uint64
	last     *view.View
	subs     map[string]*subscriber
}

func newDistributor(seed uint64, maxDelay time.Duration) *distributor {
	return &distributor{
		random:   rand.New(rand.NewPCG(seed, 2)),
		maxDelay: max(maxDelay, evenDelay),
		subs:     make(map[string]*subscriber),
	}
}

// add subscribes a process and delivers the last view to it immediately.
func (d *distributor) add(name string, apply func(*view.View)) {
	d.mu.Lock()
	s := &subscriber{apply: apply}
	d.subs[name] = s
	number, last := d.number, d.last
	d.mu.Unlock()
	if last != nil {
		s.deliver(number, last)
	}
}

func (d *distributor) remove(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.subs, name)
}

// publish schedules the delivery of v to every process and returns the longest delay.
func (d *distributor) publish(v *view.View) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.number++
	d.last = v
	number := d.number
	var longest time.Duration
	for _, s := range d.subs {
		delay := time.Duration(d.random.Int64N(int64(d.maxDelay)))
		longest = max(longest, delay)
		time.AfterFunc(delay, func() { s.deliver(number, v) })
	}
	return longest
}

// publishNow delivers v to every process before it returns.
func (d *distributor) publishNow(v *view.View) {
	d.mu.Lock()
	d.number++
	d.last = v
	number := d.number
	subs := make([]*subscriber, 0, len(d.subs))
	for _, s := range d.subs {
		subs = append(subs, s)
	}
	d.mu.Unlock()
	for _, s := range subs {
		s.deliver(number, v)
	}
}
