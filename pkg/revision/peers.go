package revision

import (
	"context"

	"github.com/auburnwood/auburnwood/pkg/resource"
)

// Peers queries other balancers for their adopted revisions.
type Peers interface {
	// Highest queries the peers and returns one revision for each that answered. A peer whose revision is not higher than
	// above answers with its number and no services. It returns an error with the reason when no peer answered.
	Highest(ctx context.Context, above uint64) ([]resource.Revision, error)
}
