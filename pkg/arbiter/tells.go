package arbiter

import "sync"

// tells are messages that wait for the next Tick.
type tells struct {
	mu   sync.Mutex
	list []Message
}

func (t *tells) add(m Message) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.list = append(t.list, m)
}

func (t *tells) take() []Message {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := t.list
	t.list = nil
	return list
}
