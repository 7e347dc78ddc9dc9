package resource

import (
	"cmp"

	"github.com/auburnwood/auburnwood/pkg/objectapi"
)

// VersionedService is a stored service with its object version.
type VersionedService struct {
	Service
	// Version is the object version.
	Version uint64
	// Unreadable is why the stored value is not a service, in which case only Name and Version are known; empty otherwise.
	Unreadable string
}

// ReadService decodes the service of a stored object. For a value that is not a service, or whose name differs from the
// object's, Unreadable has the reason.
func ReadService(o objectapi.Object) VersionedService {
	var s Service
	if err := Decode(o.Value, &s); err != nil {
		_, mistakes := DecodeService(o.Value)
		reason := cmp.Or(JoinFieldErrors(mistakes), err.Error())
		return VersionedService{Service: Service{Name: o.Name}, Version: o.Version, Unreadable: reason}
	}
	if s.Name != o.Name {
		reason := "the service's name is " + s.Name + " but its object's name is " + o.Name
		return VersionedService{Service: Service{Name: o.Name}, Version: o.Version, Unreadable: reason}
	}
	return VersionedService{Service: s, Version: o.Version}
}

// ReadServices decodes the services of stored objects, in their order.
func ReadServices(list []objectapi.Object) []VersionedService {
	out := make([]VersionedService, 0, len(list))
	for _, o := range list {
		out = append(out, ReadService(o))
	}
	return out
}
