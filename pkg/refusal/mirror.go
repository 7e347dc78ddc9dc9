package refusal

import "context"

// Mirror sends records to a peer, which calls Log.Adopt with them, or Log.Accept when it writes them for the sender. An error
// means that the peer may not have them. When a peer that took records is lost, Log.MirrorChanged must be called. The
// records must reach the peer unchanged, including those with Count 0.
type Mirror interface {
	Mirror(ctx context.Context, records []Record) error
}
