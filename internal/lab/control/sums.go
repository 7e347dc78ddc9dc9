package control

import (
	"encoding/json"

	"github.com/cespare/xxhash/v2"

	"github.com/auburnwood/auburnwood/pkg/resource"
	"github.com/auburnwood/auburnwood/pkg/view"
)

// content is the part of a service that a checksum covers.
type content struct {
	Name string
	Spec resource.ServiceSpec
}

// sumOfRevision returns a checksum of a revision's specifications; its services are sorted by name.
func sumOfRevision(r resource.Revision) uint64 {
	list := make([]content, 0, len(r.Services))
	for _, s := range r.Services {
		list = append(list, content{s.Name, s.Spec})
	}
	return sum(list)
}

// sumOfView returns the same checksum for a view of the revision.
func sumOfView(v *view.View) uint64 {
	list := make([]content, 0, len(v.Services))
	for _, s := range v.Services {
		list = append(list, content{s.Name, s.Spec})
	}
	return sum(list)
}

func sum(list []content) uint64 {
	b, err := json.Marshal(list)
	if err != nil {
		return 0
	}
	return xxhash.Sum64(b)
}
