package dsrd

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/auburnwood/auburnwood/pkg/objectapi"
	"github.com/auburnwood/auburnwood/pkg/resource"
)

// storedServiceStatus is the status of a service in the object API, with its version; 0 when there is none.
type storedServiceStatus struct {
	version uint64
	status  resource.DSRServiceStatus
	// written is when this process last tried to write it.
	written time.Time
}

// storedServiceStatusesOf decodes listed objects. One that cannot be decoded counts as that of a service that is not
// saturated, and is replaced with the next change.
func storedServiceStatusesOf(objects []objectapi.Object, log zerolog.Logger) map[string]storedServiceStatus {
	out := make(map[string]storedServiceStatus, len(objects))
	for _, o := range objects {
		t, err := objectapi.Decode[resource.DSRServiceStatus](o)
		if err != nil {
			log.Warn().Err(err).Str("op", "read-object-api").Str("name", o.Name).Msg("the status of a service cannot be decoded")
		}
		out[o.Name] = storedServiceStatus{version: o.Version, status: t.Value}
	}
	return out
}
