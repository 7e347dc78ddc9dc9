package rollout

import (
	"context"

	"github.com/auburnwood/auburnwood/pkg/resource"
)

// Source reads the counters of the two versions of a rollout.
type Source interface {
	// Read returns what both versions have counted since some time in the past that stays the same from call to call, so
	// that the counts never fall. It returns an error when nothing could be read.
	Read(ctx context.Context, c resource.ServiceConfig) (StepCounts, error)
}
