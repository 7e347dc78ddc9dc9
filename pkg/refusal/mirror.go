package refusal

import "context"

// Mirror hands records to a peer, which calls Log.Adopt with them, or Log.Accept when the caller has no store. An error
// means that the peer may not hold them. Whoever learns that a peer is lost that took records calls Log.MirrorChanged.
// The records must reach the peer unchanged, those with Count 0 too.
type Mirror interface {
	Mirror(ctx context.Context, records []Record) error
}
