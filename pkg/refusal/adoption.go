package refusal

import "strings"

// adoptionKey identifies the records that a peer handed over by the incarnation that decided them: the peer's own, or
// that of a process without a store whose records the peer writes.
type adoptionKey struct {
	peer, origin string
}

// Adopt keeps copies of records that a peer has handed over, until the peer reports that they are in the store or
// PeerDied is called for it. Records of a new incarnation of a process mean that its earlier incarnations have ended.
func (l *Log) Adopt(peer string, records []Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range records {
		if done, ok := receiptOf(&r); ok {
			l.release(peer, done)
			continue
		}
		sanitize(&r, l.cfg.Now())
		e := entryOf(r)
		l.adoptedPool(adoptionKey{peer, e.stream.origin}).add(e)
		l.counters.adopted.Inc(1)
	}
}

// Accept takes records of a process that hands them over: they are mirrored and written like this process's own records.
// Once Sync has returned, they are as safe as those.
func (l *Log) Accept(records []Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range records {
		if r.Count == 0 {
			continue
		}
		sanitize(&r, l.cfg.Now())
		l.addEntry(entryOf(r))
	}
	l.signal()
}

// release removes copies of records that are in the store; l.mu is held.
func (l *Log) release(peer string, done receipt) {
	if p, ok := l.adopted[adoptionKey{peer, done.stream.origin}]; ok {
		p.removeWritten(done)
	}
}

// adoptedPool returns the pool for a key, creating it if needed; l.mu is held.
func (l *Log) adoptedPool(k adoptionKey) *pool {
	if p, ok := l.adopted[k]; ok {
		return p
	}
	l.takeOverEarlier(k)
	p := newPool(l.cfg.MaxAdopted)
	l.adopted[k] = p
	l.divideLimit()
	return p
}

// divideLimit divides MaxAdopted evenly among the adopted pools; l.mu is held.
func (l *Log) divideLimit() {
	for _, p := range l.adopted {
		p.limit = max(1, l.cfg.MaxAdopted/len(l.adopted))
		p.compactAt = min(p.compactAt, max(p.limit, p.len()+1))
	}
}

// takeOverEarlier takes over the records of other incarnations of the same process; l.mu is held.
func (l *Log) takeOverEarlier(k adoptionKey) {
	for old := range l.adopted {
		if old.peer == k.peer && old.origin != k.origin && processOf(old.origin) == processOf(k.origin) {
			l.takeOver(old)
		}
	}
}

// processOf returns the process name in an origin.
func processOf(origin string) string {
	return origin[:max(0, strings.LastIndexByte(origin, '/'))]
}

// PeerDied takes over the records of a failed peer, so that they are written with this process's own. If the peer is
// alive after all and writes them too, readers count them once.
func (l *Log) PeerDied(peer string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for k := range l.adopted {
		if k.peer == peer {
			l.takeOver(k)
		}
	}
}

// takeOver moves adopted records to this process's own; l.mu is held.
func (l *Log) takeOver(k adoptionKey) {
	p := l.adopted[k]
	delete(l.adopted, k)
	for _, e := range p.all() {
		l.addEntry(e)
	}
	l.signal()
	l.cfg.Logger.Info().Str("op", "inherit-refusals").Str("peer", k.peer).Str("origin", k.origin).
		Int("records", p.len()).Msg("taking over the refusal records of a failed process")
}
