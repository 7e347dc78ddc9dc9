package arbiter

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwood/auburnwood/internal/lab/baseline"
	"github.com/auburnwood/auburnwood/pkg/resource"
)

const (
	// meanDuration is the mean duration of the experiment's flows.
	meanDuration = 20 * time.Second
	// warmUp is the time before the first sample.
	warmUp = 60 * time.Second
	// measured is the time of the samples.
	measured = 60 * time.Second
)

// imbalance measures one placement method by the highest over the mean number of open flows.
type imbalance struct {
	open    []int
	sum     float64
	samples int
	worst   float64
}

func (s *imbalance) sample() {
	highest, sum := 0, 0
	for _, n := range s.open {
		highest = max(highest, n)
		sum += n
	}
	v := float64(highest) * float64(len(s.open)) / float64(sum)
	s.sum += v
	s.samples++
	s.worst = max(s.worst, v)
}

func (s *imbalance) mean() float64 { return s.sum / float64(s.samples) }

// experiment opens flows at 60 % load and compares the arbiters with the baselines on the same flows.
type experiment struct {
	w          *world
	balancers  int
	rate       float64
	names      []string
	choosers   []baseline.Chooser
	imbalances []*imbalance
	arbiters   *imbalance
	reported   *baseline.LeastReported
}

func newExperiment(targets, balancers, connections int, prefer resource.Preference) *experiment {
	x := &experiment{w: newWorld(7, targets, balancers, resource.ServiceSpec{Preference: prefer}), balancers: balancers}
	x.rate = 0.6 * float64(targets*connections) / meanDuration.Seconds()
	x.reported = baseline.NewLeastReported(targets)
	x.names = []string{"hash", "round robin", "least reported"}
	x.choosers = []baseline.Chooser{baseline.Hash{Targets: targets}, baseline.NewRoundRobin(targets, balancers), x.reported}
	for range x.choosers {
		x.imbalances = append(x.imbalances, &imbalance{open: make([]int, targets)})
	}
	x.arbiters = &imbalance{open: make([]int, targets)}
	return x
}

func (x *experiment) run() {
	x.w.after(0, x.arrive)
	x.w.after(0, x.report)
	x.w.after(warmUp, x.sample)
	x.w.run(warmUp + measured)
}

func (x *experiment) arrive() {
	w := x.w
	flow := w.random.Uint64()
	c := w.open(flow)
	duration := time.Duration(w.random.ExpFloat64() * float64(meanDuration))
	balancer := w.random.IntN(x.balancers)
	for i, chooser := range x.choosers {
		s, at := x.imbalances[i], chooser.Choose(balancer, flow)
		s.open[at]++
		w.after(duration, func() { s.open[at]-- })
	}
	w.after(duration, func() { w.close(c) })
	w.after(time.Duration(w.random.ExpFloat64()/x.rate*float64(time.Second)), x.arrive)
}

// report sends the loads to the baseline once a second; the first target reports a tenth of its load.
func (x *experiment) report() {
	for i, n := range x.imbalances[2].open {
		if i == 0 {
			n /= 10
		}
		x.reported.Report(i, n)
	}
	x.w.after(time.Second, x.report)
}

func (x *experiment) sample() {
	for _, s := range x.imbalances {
		s.sample()
	}
	for i, t := range x.w.targets {
		x.arbiters.open[i] = x.w.nodes[t.Agent].arbiter.Load()
	}
	x.arbiters.sample()
	x.w.after(time.Second, x.sample)
}

func TestImbalance(t *testing.T) {
	for _, prefer := range []resource.Preference{resource.PreferBalance, resource.PreferFlows} {
		for _, targets := range []int{3, 4, 7, 11, 40} {
			for _, connections := range []int{100, 500} {
				t.Run(fmt.Sprintf("%s/%d/%d", prefer, targets, connections), func(t *testing.T) {
					if testing.Short() && connections*targets > 1000 {
						t.Skip("long")
					}
					x := newExperiment(targets, 5, connections, prefer)
					x.run()
					require.LessOrEqual(t, x.arbiters.mean(), 1.05)
					require.Empty(t, x.w.faults)
					t.Logf("arbiters mean %.3f worst %.3f, offers for each flow %.2f, declined %.2f", x.arbiters.mean(), x.arbiters.worst, x.w.ratio(ActionOffer), x.w.ratio(ActionDecline))
					for i, s := range x.imbalances {
						t.Logf("%s mean %.3f worst %.3f", x.names[i], s.mean(), s.worst)
						require.Greater(t, s.mean(), x.arbiters.mean(), x.names[i])
					}
				})
			}
		}
	}
}
