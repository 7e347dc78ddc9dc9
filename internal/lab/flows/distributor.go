package flows

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/auburnwood/auburnwood/pkg/view"
)

// evenDelay bounds the delay of a view when updates are even.
const evenDelay = 20 * time.Millisecond

// subscriber takes views; a process never gets an older view after a newer one.
type subscriber struct {
	mu    sync.Mutex
	seen  uint64
	apply func(*view.View)
}

func (s *subscriber) take(number uint64, v *view.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if number <= s.seen {
		return
	}
	s.seen = number
	s.apply(v)
}

// distributor brings each view to each process after a delay of its own.
type distributor struct {
	mu     sync.Mutex
	random *rand.Rand
	most   time.Duration
	number uint64
	last   *view.View
	subs   map[string]*subscriber
}

func newDistributor(seed uint64, most time.Duration) *distributor {
	return &distributor{
		random: rand.New(rand.NewPCG(seed, 2)),
		most:   max(most, evenDelay),
		subs:   make(map[string]*subscriber),
	}
}

// add subscribes a process, which gets the last view at once.
func (d *distributor) add(name string, apply func(*view.View)) {
	d.mu.Lock()
	s := &subscriber{apply: apply}
	d.subs[name] = s
	number, last := d.number, d.last
	d.mu.Unlock()
	if last != nil {
		s.take(number, last)
	}
}

func (d *distributor) remove(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.subs, name)
}

// publish brings v to every process and returns the longest delay.
func (d *distributor) publish(v *view.View) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.number++
	d.last = v
	number := d.number
	var longest time.Duration
	for _, s := range d.subs {
		delay := time.Duration(d.random.Int64N(int64(d.most)))
		longest = max(longest, delay)
		time.AfterFunc(delay, func() { s.take(number, v) })
	}
	return longest
}

// publishNow brings v to every process before it returns.
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
		s.take(number, v)
	}
}
