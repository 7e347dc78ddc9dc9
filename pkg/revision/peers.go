package revision

import (
	"context"

	"github.com/auburnwood/auburnwood/pkg/resource"
)

// Peers asks other balancers for their adopted revisions.
type Peers interface {
	// Highest asks the peers and returns one revision for each that answered. A peer whose revision is not above the
	// given number answers with its number and no services. No answer at all is an error with the reason.
	Highest(ctx context.Context, above uint64) ([]resource.Revision, error)
}
