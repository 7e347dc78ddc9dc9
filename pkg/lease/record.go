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
	// Term rises with every acquisition, like a version: terms of a later era of the object API are higher, also when earlier ones were lost with
	// the lease.
	Term uint64 `json:"term"`
	// Duration is the time without a renewal after which others may take over.
	Duration resource.Duration `json:"duration"`
	// Token differs for every write, so that a writer recognises its own write when the answer was lost.
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
