package policy

import (
	"context"
	"fmt"
	"io"
	"math"
	"text/tabwriter"

	"golang.org/x/sync/errgroup"

	"github.com/auburnwood/auburnwood/pkg/dsr/policy"
)

// Row holds the results of one scenario under one policy, one for each seed.
type Row struct {
	Scenario Scenario
	// Without names the mechanism that is switched off; it is empty when all are on.
	Without string
	Results []*Result
	// Bound is the mean worth of Bound over the seeds.
	Bound float64
}

// Worth returns the mean worth over the seeds, and half the difference between the best and the worst.
func (r Row) Worth() (mean, spread float64) {
	low, high := math.Inf(1), math.Inf(-1)
	for _, one := range r.Results {
		w := one.Worth()
		mean += w / float64(len(r.Results))
		low, high = min(low, w), max(high, w)
	}
	return mean, (high - low) / 2
}

// sum adds up a count over the seeds.
func (r Row) sum(count func(*Result) int) int {
	n := 0
	for _, one := range r.Results {
		n += count(one)
	}
	return n
}

// Compare runs each scenario with all mechanisms, and without each of the given ones, on seeds 1 to seeds. At most jobs
// runs are concurrent.
func Compare(ctx context.Context, scenarios []Scenario, without []policy.Mechanism, seeds, jobs int) ([]Row, error) {
	mechanisms := append([]policy.Mechanism{{}}, without...)
	rows := make([]Row, 0, len(scenarios)*len(mechanisms))
	for _, s := range scenarios {
		for _, m := range mechanisms {
			rows = append(rows, Row{Scenario: s, Without: m.Name, Results: make([]*Result, seeds)})
		}
	}
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(jobs)
	for i := range rows {
		g.Go(func() (err error) {
			rows[i].Bound, err = meanBound(rows[i].Scenario, seeds)
			return err
		})
		for seed := range seeds {
			off := mechanisms[i%len(mechanisms)].Off
			g.Go(func() error {
				if ctx.Err() != nil {
					return ctx.Err()
				}
				o := rows[i].Scenario.Options(uint64(seed + 1))
				o.Without = off
				r, err := Run(o)
				rows[i].Results[seed] = r
				return err
			})
		}
	}
	return rows, g.Wait()
}

// meanBound returns the mean worth of Bound over the seeds.
func meanBound(s Scenario, seeds int) (float64, error) {
	sum := 0.0
	for seed := range seeds {
		c, err := Bound(s.Options(uint64(seed + 1)))
		if err != nil {
			return 0, err
		}
		sum += c.Worth()
	}
	return sum / float64(seeds), nil
}

// Print writes the rows as a table.
func Print(w io.Writer, rows []Row) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "scenario\twithout\tworth\tspread\tbound\tworst\tin time\tlate\tlost\ttold\tgiven up\ttwice")
	for _, r := range rows {
		worth, spread := r.Worth()
		worst := 1.0
		for _, one := range r.Results {
			worst = min(worst, one.Worst())
		}
		fmt.Fprintf(t, "%s\t%s\t%.4f\t%.4f\t%.4f\t%.3f\t%d\t%d\t%d\t%d\t%d\t%d\n", r.Scenario.Name, r.Without, worth, spread, r.Bound, worst,
			r.sum(func(o *Result) int { return o.InTime }), r.sum(func(o *Result) int { return o.Late }),
			r.sum(func(o *Result) int { return o.Lost }), r.sum(func(o *Result) int { return o.Notified }),
			r.sum(func(o *Result) int { return o.Abandoned }), r.sum(func(o *Result) int { return o.RanTwice }))
	}
	return t.Flush()
}

// Violations describes the rows with all mechanisms whose worth is below MinWorth, and all rows in which a flow ran at
// two targets.
func Violations(rows []Row) []string {
	var out []string
	for _, r := range rows {
		if worth, _ := r.Worth(); r.Without == "" && worth < r.Scenario.MinWorth {
			out = append(out, fmt.Sprintf("%s: worth %.4f is below %.2f", r.Scenario.Name, worth, r.Scenario.MinWorth))
		}
		if n := r.sum(func(o *Result) int { return o.RanTwice }); n > 0 {
			out = append(out, fmt.Sprintf("%s without %q: %d flows ran at two targets", r.Scenario.Name, r.Without, n))
		}
	}
	return out
}
