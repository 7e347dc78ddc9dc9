package refusal

import (
	"strconv"
	"time"

	"github.com/auburnwood/auburnwood/pkg/objectapi"
)

// generation is a closed set of records on its way to the store, in one object or several. No stream goes on from
// one generation to the next.
type generation struct {
	// entries are those that are not in the store for sure.
	entries []entry
	// through is the number of the last own stream in it.
	through uint64
	// others are the streams of other processes in what is written, with the last ordinal.
	others map[stream]uint64
	// object is the object that is being written, with size entries from the front; nil before it is packed.
	object *objectapi.Object
	size   int
}

func (g *generation) refusals() uint64 {
	return sum(g.entries)
}

func sum(entries []entry) uint64 {
	var n uint64
	for i := range entries {
		n += uint64(entries[i].record.Count)
	}
	return n
}

// pack makes the next object from the entries at the front that share a bucket.
func (g *generation) pack(h header) error {
	kind := KindAt(g.entries[0].record.Time)
	n := 1
	for n < len(g.entries) && KindAt(g.entries[n].record.Time) == kind {
		n++
	}
	value, size, err := encode(h, g.entries[:n])
	if err != nil {
		return err
	}
	g.object = &objectapi.Object{Kind: kind, Name: objectName(h), Value: value}
	g.size = size
	return nil
}

// done forgets the entries of the written object.
func (g *generation) done() []entry {
	written := g.entries[:g.size]
	g.entries = g.entries[g.size:]
	g.object, g.size = nil, 0
	return written
}

// foreign notes the streams of other processes among written entries.
func (g *generation) foreign(own string, written []entry) {
	for i := range written {
		e := &written[i]
		if e.stream.origin == own {
			continue
		}
		if g.others == nil {
			g.others = make(map[stream]uint64)
		}
		g.others[e.stream] = max(g.others[e.stream], e.end())
	}
}

// objectName is the same for every attempt to write a batch, so that an attempt whose answer is lost is found again.
func objectName(h header) string {
	return originOf(h.Process, h.Incarnation) + "/" + strconv.FormatUint(h.Sequence, idBase)
}

// bucketOf is the start of the hour of t.
func bucketOf(t time.Time) time.Time {
	return t.UTC().Truncate(bucket)
}
