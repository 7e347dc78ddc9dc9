package revision

import "github.com/auburnwood/auburnwood/pkg/resource"

// Acks counts the balancers that have adopted a revision.
type Acks interface {
	// InForce returns how many of the known balancers have adopted the revision or a higher one.
	InForce(revision uint64) resource.InForce
}
