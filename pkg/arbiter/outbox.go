package arbiter

import "sync"

// outbox holds messages for the next Tick.
type outbox struct {
	mu   sync.Mutex
	list []Message
}

func (t *outbox) add(m Message) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.list = append(t.list, m)
}

func (t *outbox) take() []Message {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := t.list
	t.list = nil
	return list
}
