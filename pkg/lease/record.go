package lease

import (
	"encoding/json"

	"github.com/gravitational/trace"

	"github.com/auburnwood/auburnwood/pkg/resource"
)

// Kind is the kind of lease objects in the object API.
const Kind = resource.KindLease

// Record is the content of a lease object.
type Record struct {
	// Holder identifies the process that holds the lease; empty after a release.
	Holder string `json:"holder"`
	// Term rises with every acquisition. Like a version it includes the era of the object API, so that the terms of a
	// later era are higher even when the lease with the earlier terms was lost.
	Term uint64 `json:"term"`
	// Duration is the time without a renewal after which others may take over.
	Duration resource.Duration `json:"duration"`
	// Token is unique to each write, so that a writer recognises its own write after a lost response.
	Token string `json:"token"`
}

func (r Record) encode() ([]byte, error) {
	b, err := json.Marshal(r)
	return b, trace.Wrap(err, "encode lease")
}

func decodeRecord(b []byte) (Record, error) {
	var r Record
	err := json.Unmarshal(b, &r)
	return r, trace.Wrap(err, "decode lease")
}
