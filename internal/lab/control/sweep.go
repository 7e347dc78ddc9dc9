package control

import (
	"context"
	"fmt"
	"io"

	"github.com/gravitational/trace"
	"gonum.org/v1/gonum/mat"
)

// SweepSizes are the sizes of the sweep: one of balancers, one of targets and one of changes.
var SweepSizes = []Size{
	{Balancers: 4, Targets: 50, ChangeRate: 1},
	{Balancers: 8, Targets: 50, ChangeRate: 1},
	{Balancers: 16, Targets: 50, ChangeRate: 1},
	{Balancers: 32, Targets: 50, ChangeRate: 1},
	{Balancers: 8, Targets: 10, ChangeRate: 1},
	{Balancers: 8, Targets: 200, ChangeRate: 1},
	{Balancers: 8, Targets: 50, ChangeRate: 4},
	{Balancers: 8, Targets: 50, ChangeRate: 16},
}

// Sweep measures SweepSizes and prints a table of the points and of the slopes.
func Sweep(ctx context.Context, out io.Writer) error {
	line := func(format string, args ...any) { _, _ = fmt.Fprintf(out, format+"\n", args...) }
	line("%9s %7s %9s | %8s %8s %8s %8s %7s %7s | %8s %8s %8s %8s %7s %7s %6s %9s %9s", "balancers", "targets", "changes/s",
		"B/s bal", "B/s ses", "cores", "heap MB", "reads/s", "writes/s",
		"B/s bal", "B/s ses", "cores", "rev/s", "reads/s", "writes/s", "", "accept ms", "inforce ms")
	var points []Point
	for _, s := range SweepSizes {
		list, err := Measure(ctx, s)
		if err != nil {
			return trace.Wrap(err)
		}
		p := list[0]
		points = append(points, p)
		line("%9d %7d %9.0f | %8.0f %8.0f %8.3f %8.1f %7.1f %7.1f  | %8.0f %8.0f %8.3f %8.1f %7.1f %7.1f %6s %9d %9d", p.Balancers, p.Targets,
			p.ChangeRate, p.Idle.Bytes, p.Idle.SessionBytes, p.Idle.Cores, float64(p.Heap)/megabyte, p.Idle.Reads, p.Idle.Writes,
			p.Busy.Bytes, p.Busy.SessionBytes, p.Busy.Cores, p.Revisions, p.Busy.Reads, p.Busy.Writes, "",
			p.Accepted.Milliseconds(), p.InForce.Milliseconds())
	}
	line("")
	line("%-44s %12s %14s %14s %14s", "least squares over the points", "at nothing", "per balancer", "per target", "per revision/s")
	for _, f := range fits {
		c, err := f.fit(points)
		if err != nil {
			return trace.Wrap(err, "fit %s", f.name)
		}
		line("%-44s %12.3f %14.4f %14.4f %14.4f", f.name, c[0], c[1], c[2], c[3])
	}
	return nil
}

const megabyte = 1 << 20

// fit is a value that depends on balancers, targets and revisions.
type fit struct {
	name string
	idle func(Point) float64
	busy func(Point) float64
}

var fits = []fit{
	{"control bytes/s of a balancer", func(p Point) float64 { return p.Idle.Bytes }, func(p Point) float64 { return p.Busy.Bytes }},
	{"control bytes/s of a session", func(p Point) float64 { return p.Idle.SessionBytes }, func(p Point) float64 { return p.Busy.SessionBytes }},
	{"cores of the whole process, percent", func(p Point) float64 { return 100 * p.Idle.Cores }, func(p Point) float64 { return 100 * p.Busy.Cores }},
	{"heap of the whole process, MB", func(p Point) float64 { return float64(p.Heap) / megabyte }, nil},
	{"store reads/s", func(p Point) float64 { return p.Idle.Reads }, func(p Point) float64 { return p.Busy.Reads }},
	{"store writes/s", func(p Point) float64 { return p.Idle.Writes }, func(p Point) float64 { return p.Busy.Writes }},
}

// fit returns the constant and the slopes by balancers, targets and revisions a second, by least squares.
func (f fit) fit(points []Point) ([4]float64, error) {
	var rows, values []float64
	n := 0
	add := func(p Point, revisions, value float64) {
		rows = append(rows, 1, float64(p.Balancers), float64(p.Targets), revisions)
		values = append(values, value)
		n++
	}
	for _, p := range points {
		add(p, 0, f.idle(p))
		if f.busy != nil {
			add(p, p.Revisions, f.busy(p))
		}
	}
	columns := 4
	if f.busy == nil {
		columns = 3
	}
	a := mat.NewDense(n, 4, rows).Slice(0, n, 0, columns)
	var x mat.VecDense
	if err := x.SolveVec(a, mat.NewVecDense(n, values)); err != nil {
		return [4]float64{}, trace.Wrap(err)
	}
	var out [4]float64
	for i := range columns {
		out[i] = x.AtVec(i)
	}
	return out, nil
}
