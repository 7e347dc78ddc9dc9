package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/pkg/dsr/policy"
)

const (
	// learnTime is the time after which paces are known.
	learnTime = 15 * time.Second
	countTime = 60 * time.Second
	// hangLength is how long a target hangs; recognizeTime is four of the callers' promised times, returnTime the
	// longest ejection of a target with a margin for the requests that show that it answers again.
	hangLength    = 6 * time.Second
	recognizeTime = 4 * longAim
	returnTime    = 10 * time.Second
)

// quarterSlower makes every fourth target slower.
func quarterSlower(i int) float64 {
	if i%4 == 0 {
		return 1.4
	}
	return 1
}

// measure plays a deployment and counts from the time when paces are known.
func measure(seed uint64, without policy.Without) *place {
	p := newPlace(seed, 0.55, without, quarterSlower)
	p.run(p.now.Add(learnTime))
	p.since = p.now
	p.run(p.now.Add(countTime))
	return p
}

// Guards against targets that get the same number of flows whatever their pace, and against flows that are sent to
// other data centres although near targets answer in time.
func TestLongFlowsAreSpreadByPace(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			p := measure(seed, policy.Without{})
			require.Greater(t, p.asked, 50_000)
			require.LessOrEqual(t, p.imbalance(), 1.10, "the busiest target's work, as a multiple of the mean")
			require.LessOrEqual(t, p.late, p.asked/200)
			require.LessOrEqual(t, p.remote, p.flows/50)
		})
	}
}

func TestWithoutFlowWeightLongFlowsAreUneven(t *testing.T) {
	t.Parallel()
	p := measure(0, policy.Without{FlowWeight: true, TargetPace: true})
	require.Greater(t, p.imbalance(), 1.15)
	require.Greater(t, p.remote, p.flows/50)
}

// Guards against new flows for a target that has stopped answering while it holds many, and against one that is never
// used again.
func TestHangingTargetGetsNoNewFlowsUntilItAnswers(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		p := newPlace(seed, 0.55, policy.Without{}, quarterSlower)
		p.run(p.now.Add(learnTime))
		target := p.targets[5]
		require.Greater(t, target.table.Flows(), 25)
		target.hangs = true
		p.run(p.now.Add(recognizeTime))
		p.since = p.now
		p.run(p.now.Add(hangLength - recognizeTime))
		require.Empty(t, target.offered, "seed %d", seed)
		target.hangs = false
		target.work()
		p.run(p.now.Add(returnTime))
		require.Greater(t, len(target.offered), 10, "seed %d", seed)
	}
}
