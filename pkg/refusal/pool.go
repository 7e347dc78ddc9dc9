package refusal

// widthSteps is the divisor of the limit that gives the step above it at which merging is tried again and classes get
// wider.
const widthSteps = 8

// slackEntries is the minimum number of taken entries before a pool reallocates the remaining ones.
const slackEntries = 1024

// pool holds entries in order of arrival and merges those of the same stream when it reaches its limit. It never drops
// an entry: with more streams than the limit it grows, and classes get wider instead.
type pool struct {
	limit int
	// entries are held from head on; those before were taken.
	entries []entry
	head    int
	tracks  map[stream]*track
	// compactAt is the length at which merging is tried again.
	compactAt int
	// merged is the number of records merged into others.
	merged uint64
}

// track is the state of one stream in a pool.
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

// refusals returns the sum of the counts.
func (p *pool) refusals() uint64 { return sum(p.all()) }

// add adds an entry, without the leading ordinals that the pool already holds.
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
		e.trimBefore(held + 1)
	}
	prev := &p.entries[t.last]
	if p.len() >= p.limit && prev.canMerge(&e) {
		t.held.add(interval{e.first, e.end()})
		prev.merge(&e)
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

// compact merges all neighbouring entries of the same stream. It runs again only after the pool has grown by a fraction
// of the limit, which amortises its cost.
func (p *pool) compact() {
	old := p.all()
	p.reset(len(old))
	for i := range old {
		e := &old[i]
		t, ok := p.tracks[e.stream]
		if ok && p.entries[t.last].canMerge(e) {
			t.held.add(interval{e.first, e.end()})
			p.entries[t.last].merge(e)
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

// removeWritten removes the records that a receipt confirms.
func (p *pool) removeWritten(r receipt) {
	p.removeAllWritten([]receipt{r})
}

// removeAllWritten removes the records that receipts confirm. The first receipt may be for an origin, the others are
// for streams.
func (p *pool) removeAllWritten(receipts []receipt) {
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
		if r.coversStart(&e) {
			e.trimBefore(r.ordinal + 1)
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
