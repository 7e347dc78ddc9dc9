package request

import "sync"

// connTable holds the open connections of callers.
type connTable struct {
	mu    sync.Mutex
	conns map[*flowConn]struct{}
}

func newConnTable() *connTable { return &connTable{conns: make(map[*flowConn]struct{})} }

func (t *connTable) add(c *flowConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.conns[c] = struct{}{}
}

func (t *connTable) remove(c *flowConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.conns, c)
}

func (t *connTable) snapshot() []*flowConn {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make([]*flowConn, 0, len(t.conns))
	for c := range t.conns {
		all = append(all, c)
	}
	return all
}
