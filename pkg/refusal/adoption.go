package refusal

import "strings"

// adoptionKey names the peer that handed records over and the life of the process that decided them: the peer itself,
// or one that has no way to the store and whose records the peer writes.
type adoptionKey struct {
	peer, origin string
}

// Adopt keeps records that a peer has handed over, until the peer says that they are in the store or is known dead.
// Records of a new life of the peer mean that the earlier life is dead.
func (l *Log) Adopt(peer string, records []Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range records {
		if done, ok := receiptOf(&r); ok {
			l.release(peer, done)
			continue
		}
		bound(&r, l.cfg.Now())
		e := entryOf(r)
		l.adoptionOf(adoptionKey{peer, e.stream.origin}).add(e)
		l.counters.adopted.Inc(1)
	}
}

// Accept takes records of a process that has no way to the store: they are mirrored and written like own ones. They
// are as safe as own ones once Sync has returned.
func (l *Log) Accept(records []Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range records {
		if r.Count == 0 {
			continue
		}
		bound(&r, l.cfg.Now())
		l.keep(entryOf(r))
	}
	l.signal()
}

// release forgets copies of records that are in the store; l.mu is held.
func (l *Log) release(peer string, done receipt) {
	if p, ok := l.adopted[adoptionKey{peer, done.stream.origin}]; ok {
		p.drop(done)
	}
}

// adoptionOf finds or opens the pool for a key; l.mu is held.
func (l *Log) adoptionOf(k adoptionKey) *pool {
	if p, ok := l.adopted[k]; ok {
		return p
	}
	l.inheritEarlier(k)
	p := newPool(l.cfg.MaxAdopted)
	l.adopted[k] = p
	l.shareLimit()
	return p
}

// shareLimit divides the memory for peers' records among them; l.mu is held.
func (l *Log) shareLimit() {
	for _, p := range l.adopted {
		p.limit = max(1, l.cfg.MaxAdopted/len(l.adopted))
		p.compactAt = min(p.compactAt, max(p.limit, p.len()+1))
	}
}

// inheritEarlier takes over the records of other lives of the same process; l.mu is held.
func (l *Log) inheritEarlier(k adoptionKey) {
	for old := range l.adopted {
		if old.peer == k.peer && old.origin != k.origin && processOf(old.origin) == processOf(k.origin) {
			l.inherit(old)
		}
	}
}

// processOf is the process of an origin.
func processOf(origin string) string {
	return origin[:max(0, strings.LastIndexByte(origin, '/'))]
}

// PeerDied takes the records of a dead peer over, so that they are written with the own ones. When the peer turns out
// to be alive and writes them too, readers count them once.
func (l *Log) PeerDied(peer string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for k := range l.adopted {
		if k.peer == peer {
			l.inherit(k)
		}
	}
}

// inherit moves adopted records to the own ones; l.mu is held.
func (l *Log) inherit(k adoptionKey) {
	p := l.adopted[k]
	delete(l.adopted, k)
	for _, e := range p.all() {
		l.keep(e)
	}
	l.signal()
	l.cfg.Logger.Info().Str("op", "inherit-refusals").Str("peer", k.peer).Str("origin", k.origin).
		Int("records", p.len()).Msg("writing the refusal records of a dead process")
}
