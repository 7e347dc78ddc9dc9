package resource

import "time"

// ServiceConfig is the configuration of one service within a revision.
type ServiceConfig struct {
	Name string `json:"name"`
	// Version is the object version of the Service that was compiled.
	Version uint64 `json:"version"`
	// Spec is the accepted specification.
	Spec ServiceSpec `json:"spec"`
}

// Revision is the complete accepted configuration. It is immutable once the head refers to it.
type Revision struct {
	// Number increases by one with each revision.
	Number uint64 `json:"number"`
	// Services are sorted by name.
	Services []ServiceConfig `json:"services"`
}

// Head refers to the accepted revision.
type Head struct {
	// Revision is the number of the accepted revision.
	Revision uint64 `json:"revision"`
	// Object is the name of the revision's first object: RevisionName and a checksum of the content, so that
	// different contents never share a name.
	Object string `json:"object,omitempty"`
	// Holder is the lease holder that advanced the head.
	Holder string `json:"holder"`
	// Term is the lease term under which the head was advanced.
	Term uint64 `json:"term"`
	// Time is when the head was advanced.
	Time time.Time `json:"time"`
}
