package refusal

import (
	"cmp"
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"github.com/auburnwood/auburnwood/pkg/objectapi"
)

// MaxQuerySpan bounds the time range of a query, because each hour costs a list call.
const MaxQuerySpan = 31 * 24 * time.Hour

// Query selects records; zero fields other than the times select all.
type Query struct {
	// From and To bound the time of the refusal, inclusive.
	From, To time.Time
	// Caller selects refusals by the caller's network. A merged record matches when its network of callers overlaps
	// this one, so its refusals may all be of other callers.
	Caller netip.Prefix
	// Service selects refusals of a service.
	Service string
	// Reason selects refusals by reason.
	Reason Reason
	// ID selects the one record that covers this refusal; of several copies, the most detailed.
	ID string
	// Flow selects refusals by flow hash, as in log lines; 0 selects all. A merged record matches no flow.
	Flow uint64
}

type QueryResult struct {
	// Records are sorted by time, without copies.
	Records []Record
	// Refusals is the number of refusals that the records cover.
	Refusals uint64
	// Batches is the number of objects read.
	Batches int
	// Unreadable has an error for each object that could not be read completely; records may be missing.
	Unreadable []error
}

// Reader reads refusal records from the object API.
type Reader struct {
	store objectapi.Store
}

func NewReader(store objectapi.Store) *Reader {
	return &Reader{store: store}
}

// Find returns the records that a query selects.
func (r *Reader) Find(ctx context.Context, q Query) (QueryResult, error) {
	if q.To.Before(q.From) || q.To.Sub(q.From) > MaxQuerySpan {
		return QueryResult{}, trace.BadParameter("op=find-refusals: the time range must be from 0 to %s", MaxQuerySpan)
	}
	var a QueryResult
	var found []entry
	for t := bucketOf(q.From); !t.After(q.To); t = t.Add(bucket) {
		entries, err := r.bucket(ctx, t, &a)
		if err != nil {
			return QueryResult{}, trace.Wrap(err, "op=find-refusals hour=%s", t.Format(time.RFC3339))
		}
		found = append(found, entries...)
	}
	if q.ID != "" {
		found = mostDetailed(found, q.ID)
	}
	for _, e := range deduplicate(found) {
		if !q.matches(&e) {
			continue
		}
		a.Records = append(a.Records, e.record)
		a.Refusals += uint64(e.record.Count)
	}
	slices.SortStableFunc(a.Records, func(x, y Record) int {
		return cmp.Or(x.Time.Compare(y.Time), cmp.Compare(x.ID, y.ID))
	})
	return a, nil
}

// bucket reads all batches of an hour.
func (r *Reader) bucket(ctx context.Context, t time.Time, a *QueryResult) ([]entry, error) {
	objects, _, err := r.store.List(ctx, KindAt(t))
	if err != nil {
		return nil, err
	}
	var out []entry
	for _, o := range objects {
		a.Batches++
		records, err := decode(o.Value)
		if err != nil {
			a.Unreadable = append(a.Unreadable, trace.Wrap(err, "kind=%s name=%s", o.Kind, o.Name))
		}
		for _, rec := range records {
			out = append(out, entryOf(rec))
		}
	}
	return out, nil
}

// deduplicate removes copies. If a refusal is in both a single and a merged record, the single record is kept with its
// details, and the merged one counts only the rest.
func deduplicate(entries []entry) []entry {
	slices.SortStableFunc(entries, func(a, b entry) int { return cmp.Compare(a.record.Count, b.record.Count) })
	seen := make(map[stream]*coverage)
	out := entries[:0]
	for _, e := range entries {
		c, ok := seen[e.stream]
		if !ok {
			c = &coverage{}
			seen[e.stream] = c
		}
		fresh := c.add(interval{e.first, e.end()})
		if fresh == 0 {
			continue
		}
		e.record.Count = uint32(fresh)
		out = append(out, e)
	}
	return out
}

// mostDetailed returns the record with the fewest refusals that covers the one with this ID.
func mostDetailed(entries []entry, id string) []entry {
	var out []entry
	for _, e := range entries {
		if !e.contains(id) {
			continue
		}
		if len(out) == 0 || e.record.Count < out[0].record.Count {
			out = []entry{e}
		}
	}
	return out
}

// matches reports whether the query selects an entry.
func (q *Query) matches(e *entry) bool {
	r := &e.record
	last := r.Time
	if r.Last.After(last) {
		last = r.Last
	}
	switch {
	case r.Time.After(q.To), last.Before(q.From):
		return false
	case q.Service != "" && q.Service != r.Service:
		return false
	case q.Reason != "" && q.Reason != r.Reason:
		return false
	case q.Flow != 0 && (q.Flow != r.Flow || r.Count > 1):
		return false
	}
	return !q.Caller.IsValid() || matchesCaller(q.Caller, r)
}

// matchesCaller reports whether a caller of the record may be in the network.
func matchesCaller(network netip.Prefix, r *Record) bool {
	if r.Count > 1 && !r.Callers.IsValid() {
		return network.Contains(r.Caller.Addr().Unmap()) || !r.Caller.IsValid()
	}
	callers := callerPrefix(r)
	return callers.IsValid() && callers.Overlaps(network.Masked())
}
