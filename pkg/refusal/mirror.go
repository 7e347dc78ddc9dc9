package refusal

import "context"

// Mirror hands records to a peer, which calls Log.Adopt with them. An error means that the peer may not hold them.
type Mirror interface {
	Mirror(ctx context.Context, records []Record) error
}

// Releaser is a Mirror that can also tell the peer which records are in the store, so that it calls Log.Release and
// forgets them. Without it the peer holds the records, merged, until its memory limit makes it merge them further.
type Releaser interface {
	Release(ctx context.Context, origin string, through uint64) error
}
