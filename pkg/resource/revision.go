package resource

import "time"

// ServiceConfig is one service within a revision.
type ServiceConfig struct {
	// Name is the service's name.
	Name string `json:"name"`
	// Version is the object version of the Service that was compiled.
	Version uint64 `json:"version"`
	// Spec is the accepted specification.
	Spec ServiceSpec `json:"spec"`
}

// Revision is the whole accepted configuration, immutable once the head names it.
type Revision struct {
	// Number rises by one with each revision.
	Number uint64 `json:"number"`
	// Services are sorted by name.
	Services []ServiceConfig `json:"services"`
}

// Head names the revision that is accepted.
type Head struct {
	// Revision is the number of the accepted revision.
	Revision uint64 `json:"revision"`
	// Object is the name of the object that holds the revision: RevisionName and the checksum of the content, so that
	// different contents never meet under one name.
	Object string `json:"object,omitempty"`
	// Holder is the lease holder that advanced the head.
	Holder string `json:"holder"`
	// Term is the lease term under which the head was advanced.
	Term uint64 `json:"term"`
	// Time is when the head was advanced.
	Time time.Time `json:"time"`
}
