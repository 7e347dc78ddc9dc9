package peer

import "sync"

// broadcast notifies all its subscribers. Notifications while one is pending are coalesced.
type broadcast struct {
	mu          sync.Mutex
	subscribers map[chan struct{}]struct{}
}

func newBroadcast() *broadcast {
	return &broadcast{subscribers: make(map[chan struct{}]struct{})}
}

func (b *broadcast) subscribe() (<-chan struct{}, func()) {
	c := make(chan struct{}, 1)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.subscribers[c] = struct{}{}
	return c, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		delete(b.subscribers, c)
	}
}

func (b *broadcast) notify() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for c := range b.subscribers {
		select {
		case c <- struct{}{}:
		default:
		}
	}
}
