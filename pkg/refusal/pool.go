package refusal

// widthSteps is the number of steps above a limit, as parts of the limit, at which merging is tried again and classes
// get wider.
const widthSteps = 8

// slackEntries is the number of taken entries from which a pool moves the rest to the front.
const slackEntries = 1024

// pool holds entries in the order of arrival and merges those of equal streams when it reaches its limit. It never
// drops one: with more streams than the limit it grows, and the streams get wider instead.
type pool struct {
	limit int
	// entries are held from head on; those before were taken.
	entries []entry
	head    int
	tracks  map[stream]*track
	// compactAt is the length at which merging is tried again.
	compactAt int
	// merged is the number of records that were taken into others.
	merged uint64
}

// track is what a pool knows of a stream.
type track struct {
	// last is the index of the stream's last entry.
	last int
	// held are the ordinals in the pool.
	held coverage
}

func newPool(limit int) *pool {
	return &pool{limit: limit, tracks: make(map[stream]*track), compactAt: limit}
}

func (p *pool) len() int { return len(p.entries) - p.head }

// all returns the entries; they are valid until the pool changes.
func (p *pool) all() []entry { return p.entries[p.head:] }

// refusals is the sum of the counts.
func (p *pool) refusals() uint64 { return sum(p.all()) }

// add takes an entry and leaves out what the pool holds already.
func (p *pool) add(e entry) {
	t, ok := p.tracks[e.stream]
	if !ok {
		p.push(e)
		return
	}
	held := t.held.through(e.first)
	if held >= e.end() {
		return
	}
	if held >= e.first {
		e.cutBefore(held + 1)
	}
	prev := &p.entries[t.last]
	if p.len() >= p.limit && prev.joins(&e) {
		t.held.add(interval{e.first, e.end()})
		prev.join(&e)
		p.merged++
		return
	}
	p.push(e)
}

func (p *pool) push(e entry) {
	p.append(e)
	if p.len() >= p.compactAt {
		p.compact()
	}
}

func (p *pool) append(e entry) {
	t, ok := p.tracks[e.stream]
	if !ok {
		t = &track{}
		p.tracks[e.stream] = t
	}
	t.last = len(p.entries)
	t.held.add(interval{e.first, e.end()})
	p.entries = append(p.entries, e)
}

// compact merges all neighbours of equal streams. The next try waits until the pool grew by a part of the limit, so
// that its cost is spread over many records.
func (p *pool) compact() {
	old := p.all()
	p.reset(len(old))
	for i := range old {
		e := &old[i]
		t, ok := p.tracks[e.stream]
		if ok && p.entries[t.last].joins(e) {
			t.held.add(interval{e.first, e.end()})
			p.entries[t.last].join(e)
			p.merged++
			continue
		}
		p.append(*e)
	}
	p.compactAt = max(p.limit, p.len()+p.limit/widthSteps+1)
}

// take removes and returns up to n entries from the front.
func (p *pool) take(n int) []entry {
	n = min(n, p.len())
	out := append([]entry(nil), p.entries[p.head:p.head+n]...)
	for range n {
		e := &p.entries[p.head]
		t := p.tracks[e.stream]
		t.held.remove(interval{e.first, e.end()})
		if t.last == p.head {
			delete(p.tracks, e.stream)
		}
		*e = entry{}
		p.head++
	}
	if p.head >= slackEntries && p.head >= len(p.entries)/2 || p.len() == 0 {
		p.rebuild(p.all())
	}
	p.compactAt = max(p.limit, p.len()+p.limit/widthSteps+1)
	return out
}

// drop removes what the store has.
func (p *pool) drop(r receipt) {
	p.dropAll([]receipt{r})
}

// dropAll removes what the store has; the first receipt may be for an origin, the others are for streams.
func (p *pool) dropAll(receipts []receipt) {
	byStream := make(map[stream]receipt, len(receipts))
	for _, r := range receipts[1:] {
		byStream[r.stream] = r
	}
	var kept []entry
	for _, e := range p.all() {
		r, ok := byStream[e.stream]
		if !ok {
			r = receipts[0]
		}
		if r.covers(&e) {
			continue
		}
		if r.cuts(&e) {
			e.cutBefore(r.ordinal + 1)
		}
		kept = append(kept, e)
	}
	p.rebuild(kept)
	p.compactAt = max(p.limit, p.len()+p.limit/widthSteps+1)
}

// rebuild replaces the entries.
func (p *pool) rebuild(entries []entry) {
	p.reset(len(entries))
	for _, e := range entries {
		p.append(e)
	}
}

// reset empties the pool into new memory with room for n entries.
func (p *pool) reset(n int) {
	p.entries, p.head = make([]entry, 0, n), 0
	p.tracks = make(map[stream]*track, n)
}
