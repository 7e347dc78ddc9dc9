package refusal

// pool holds entries in the order of arrival and merges those of equal streams when it reaches its limit. It never
// drops one: with more streams than the limit it grows, and the streams get wider instead.
type pool struct {
	limit   int
	entries []entry
	last    map[stream]int
	// compactAt is the length at which merging is tried again.
	compactAt int
	// merged is the number of records that were taken into others.
	merged uint64
}

func newPool(limit int) *pool {
	return &pool{limit: limit, last: make(map[stream]int), compactAt: limit}
}

func (p *pool) len() int { return len(p.entries) }

// refusals is the sum of the counts.
func (p *pool) refusals() uint64 {
	var n uint64
	for i := range p.entries {
		n += uint64(p.entries[i].record.Count)
	}
	return n
}

// add takes an entry. What the pool holds already, by ordinal, is left out; entries of a stream must come in order.
func (p *pool) add(e entry) {
	i, ok := p.last[e.stream]
	if !ok {
		p.push(e)
		return
	}
	prev := &p.entries[i]
	if e.end() <= prev.end() {
		return
	}
	if e.first <= prev.end() {
		e.cutBefore(prev.end() + 1)
	}
	if len(p.entries) >= p.limit && prev.joins(&e) {
		prev.join(&e)
		p.merged++
		return
	}
	p.push(e)
}

func (p *pool) push(e entry) {
	p.last[e.stream] = len(p.entries)
	p.entries = append(p.entries, e)
	if len(p.entries) >= p.compactAt {
		p.compact()
	}
}

// compact merges all neighbours of equal streams. The next try waits until the pool grew by a part of the limit, so
// that its cost is spread over many records.
func (p *pool) compact() {
	clear(p.last)
	kept := p.entries[:0]
	for _, e := range p.entries {
		i, ok := p.last[e.stream]
		if ok && kept[i].joins(&e) {
			kept[i].join(&e)
			p.merged++
			continue
		}
		p.last[e.stream] = len(kept)
		kept = append(kept, e)
	}
	clear(p.entries[len(kept):])
	p.entries = kept
	p.compactAt = max(p.limit, len(kept)+p.limit/widthSteps)
}

// take removes and returns up to n entries from the front.
func (p *pool) take(n int) []entry {
	n = min(n, len(p.entries))
	out := append([]entry(nil), p.entries[:n]...)
	p.keep(p.entries[n:])
	return out
}

// dropStreams removes the entries of an origin up to a stream number.
func (p *pool) dropStreams(origin string, through uint64) {
	kept := p.entries[:0]
	for _, e := range p.entries {
		if e.stream.origin != origin || e.stream.number > through {
			kept = append(kept, e)
		}
	}
	p.keep(kept)
}

// keep replaces the entries and finds the last of each stream again.
func (p *pool) keep(entries []entry) {
	p.entries = append([]entry(nil), entries...)
	clear(p.last)
	for i := range p.entries {
		p.last[p.entries[i].stream] = i
	}
	p.compactAt = max(p.limit, len(p.entries)+p.limit/widthSteps)
}
