package rollout

import (
	"context"

	"github.com/auburnwood/auburnwood/pkg/resource"
)

// Source reads the counters of the two versions of a rollout.
type Source interface {
	// Read returns the counts of both versions since some time that stays the same from call to call, so that the
	// counts never decrease. It returns an error when nothing could be read.
	Read(ctx context.Context, c resource.ServiceConfig) (StepCounts, error)
}
