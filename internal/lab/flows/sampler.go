package flows

import (
	"context"
	"time"

	"github.com/auburnwood/auburnwood/pkg/view"
	"github.com/auburnwood/auburnwood/pkg/wait"
)

const (
	sampleInterval = 250 * time.Millisecond
	// minMeanOpen is the mean of open flows above which a single flow does not dominate the imbalance.
	minMeanOpen = 100
)

// balance holds the open flows per target of one service at one time.
type balance struct {
	service       string
	highest, mean float64
}

// ratio returns the highest over the mean, or 1 without flows.
func (b balance) ratio() float64 {
	if b.mean == 0 {
		return 1
	}
	return b.highest / b.mean
}

// measure counts the open flows of the active targets, by service.
func measure(targets []TargetStatus) map[string]balance {
	out := map[string]balance{}
	n := map[string]float64{}
	for _, t := range targets {
		if t.State != view.StateActive {
			continue
		}
		b := out[t.Service]
		b.service = t.Service
		b.highest = max(b.highest, float64(t.Open))
		b.mean += float64(t.Open)
		n[t.Service]++
		out[t.Service] = b
	}
	for name, b := range out {
		b.mean /= n[name]
		out[name] = b
	}
	return out
}

// sample measures for the duration d and returns the worst balance of each service and the times of measurement.
func sample(ctx context.Context, c Cluster, d time.Duration) (worst map[string]balance, times []time.Time) {
	worst = map[string]balance{}
	end := time.Now().Add(d)
	for {
		times = append(times, time.Now())
		for name, b := range measure(c.Targets()) {
			if b.ratio() >= worst[name].ratio() {
				worst[name] = b
			}
		}
		if !time.Now().Add(sampleInterval).Before(end) || wait.For(ctx, sampleInterval) != nil {
			return worst, times
		}
	}
}
