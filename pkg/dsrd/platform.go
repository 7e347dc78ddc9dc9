package dsrd

import (
	"context"
	"net/http"
	"net/netip"

	"github.com/auburnwood/auburnwood/pkg/dsr/announcement"
	"github.com/auburnwood/auburnwood/pkg/dsr/configuration"
	"github.com/auburnwood/auburnwood/pkg/dsr/segment"
	"github.com/auburnwood/auburnwood/pkg/objectapi"
)

// Targets receives the reports of targets.
type Targets interface {
	// Announce applies a heartbeat. On an error it is not acknowledged; the error is an *announcement.Rejection when
	// the report identifies no target to use.
	Announce(a announcement.Announcement) error
	// Left applies a deregistration. Errors are those of Announce.
	Left(f announcement.Deregistration) error
	// Rejected records a report that was rejected; id is the name under which it was sent.
	Rejected(id string, r *announcement.Rejection)
}

// Platform is what the daemons need of the platform they run on.
type Platform struct {
	Codec segment.Codec
	Store objectapi.Store
	// Eras are the eras that the answers of Store and EvacuationStore report; nil means that they report none.
	Eras *objectapi.Eras
	// ConfigurationKind and ConfigurationName name the object with the operator's configuration; Decode decodes it.
	ConfigurationKind objectapi.Kind
	ConfigurationName string
	Decode            func(objectapi.Object) (configuration.Configuration, error)
	// EvacuationKind is the kind of the objects by which operators evacuate data centres; an object is named like its
	// data centre. Empty means evacuation.Kind.
	EvacuationKind objectapi.Kind
	// EvacuationStore is the object API with watches of EvacuationWait, since evacuations are rare and each watch
	// counts; nil means Store.
	EvacuationStore objectapi.Store
	// ReadyHandler serves the readiness check; ready returns why the daemon is not ready, or nil.
	ReadyHandler func(ready func() error) http.Handler
	// TargetHandler serves the calls of the target on the same VM.
	TargetHandler func(t Targets) http.Handler
	// Probe sends a health check to the target on the same VM. An error means that no process has answered with its name; it
	// wraps syscall.ECONNREFUSED when none listens. The agent sets Began.
	Probe func(ctx context.Context, target netip.AddrPort, path string) (announcement.HealthCheck, error)
}
