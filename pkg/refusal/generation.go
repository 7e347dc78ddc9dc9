package refusal

import (
	"strconv"
	"time"

	"github.com/auburnwood/auburnwood/pkg/objectapi"
)

// generation is a closed set of records that is being written to the store, in one or more objects. No stream continues
// from one generation to the next.
type generation struct {
	// entries are those that are not known to be in the store.
	entries []entry
	// lastStream is the number of the last own stream in the generation.
	lastStream uint64
	// foreignStreams are the streams of other processes among the written entries, with the last ordinal written.
	foreignStreams map[stream]uint64
	// object is the object being written, with size entries from the front; nil before it is packed.
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

// pack builds the next object from the entries at the front that share a bucket.
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

// removeWritten removes and returns the entries of the written object.
func (g *generation) removeWritten() []entry {
	written := g.entries[:g.size]
	g.entries = g.entries[g.size:]
	g.object, g.size = nil, 0
	return written
}

// addForeign records the streams of other processes among written entries.
func (g *generation) addForeign(own string, written []entry) {
	for i := range written {
		e := &written[i]
		if e.stream.origin == own {
			continue
		}
		if g.foreignStreams == nil {
			g.foreignStreams = make(map[stream]uint64)
		}
		g.foreignStreams[e.stream] = max(g.foreignStreams[e.stream], e.end())
	}
}

// objectName is the same for every attempt to write a batch, so an attempt with an unknown outcome can be looked up.
func objectName(h header) string {
	return originOf(h.Process, h.Incarnation) + "/" + strconv.FormatUint(h.Sequence, idBase)
}

// bucketOf returns the start of the hour of t.
func bucketOf(t time.Time) time.Time {
	return t.UTC().Truncate(bucket)
}
