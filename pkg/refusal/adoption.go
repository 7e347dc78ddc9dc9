package refusal

// adoption is what is held for one life of a peer.
type adoption struct {
	peer string
	pool *pool
}

// Adopt keeps records that a peer has handed over, until the peer releases them or is known dead. Records of a new
// life of the peer mean that the earlier life is dead.
func (l *Log) Adopt(peer string, records []Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range records {
		bound(&r, l.cfg.Now())
		e := entryOf(r)
		l.adoptionOf(peer, e.stream.origin).pool.add(e)
	}
	l.counters.adopted.Inc(int64(len(records)))
}

// adoptionOf finds or opens the adoption of an origin; l.mu is held.
func (l *Log) adoptionOf(peer, origin string) *adoption {
	if a, ok := l.adopted[origin]; ok {
		return a
	}
	l.inherit(peer)
	a := &adoption{peer: peer, pool: newPool(l.cfg.MaxAdopted)}
	l.adopted[origin] = a
	l.shareLimit()
	return a
}

// shareLimit divides the memory for peers' records among them; l.mu is held.
func (l *Log) shareLimit() {
	for _, a := range l.adopted {
		a.pool.limit = max(1, l.cfg.MaxAdopted/len(l.adopted))
		a.pool.compactAt = min(a.pool.compactAt, max(a.pool.limit, a.pool.len()+1))
	}
}

// PeerDied takes the records of a dead peer over, so that they are written with the own ones. When the peer turns out
// to be alive and writes them too, readers count them once.
func (l *Log) PeerDied(peer string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inherit(peer)
}

// inherit moves all records of a peer to the own ones; l.mu is held.
func (l *Log) inherit(peer string) {
	for origin, a := range l.adopted {
		if a.peer != peer {
			continue
		}
		delete(l.adopted, origin)
		for _, e := range a.pool.entries {
			l.keep(e)
		}
		l.cfg.Logger.Info().Str("op", "inherit-refusals").Str("peer", peer).Int("records", a.pool.len()).
			Msg("writing the refusal records of a dead peer")
	}
}

// Release forgets the adopted records of an origin up to a stream: its process has written them to the store.
func (l *Log) Release(origin string, through uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a, ok := l.adopted[origin]
	if !ok {
		return
	}
	a.pool.dropStreams(origin, through)
}
