package capacity

import (
	"context"
	"fmt"
	"os"
	"runtime"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sys/unix"
)

// probes returns all probes, in the order in which they run.
func probes() []probe {
	return []probe{
		balancerView(),
		balancerCache(),
		memberTable(),
		balancerPackets(),
		balancerWorkers(),
		controlIdle(),
		controlAgents(),
		controlMembers(),
		controlRevisions(),
		controlChurn(),
		agentStalled(),
		agentFlows(),
		agentBytes(),
		arbiterFlows(),
		compileServices(),
		memberGroups(),
		dutyCalls(),
		daemons(),
		storeReads(),
		storeCentres(),
		storeAdoption(),
		operatorCalls(),
		refusalRecords(),
		refusalStorm(),
		refusalPace(),
	}
}

// Probes returns the names of all probes.
func Probes() []string {
	var names []string
	for _, p := range probes() {
		names = append(names, p.name)
	}
	return names
}

// Run measures, unless o.Render is set, and writes the samples, the page and the plots.
func Run(ctx context.Context, o Options) error {
	s, err := ReadSamples(o.Out)
	if err != nil {
		return err
	}
	if !o.Render {
		if err := measure(ctx, o, &s); err != nil {
			return err
		}
		if err := s.write(o.Out); err != nil {
			return err
		}
	}
	if err := writePage(o.Out, s); err != nil {
		return err
	}
	if o.Plots == "" {
		return nil
	}
	return drawPlots(o.Plots, s)
}

func measure(ctx context.Context, o Options, s *Samples) error {
	begin := time.Now()
	for _, p := range probes() {
		if !o.selects(p.name) {
			continue
		}
		progress(o, "%s ...", p.name)
		started := time.Now()
		series, err := p.measure(ctx)
		if err != nil {
			return err
		}
		seconds := time.Since(started).Seconds()
		progress(o, " %.1f s\n", seconds)
		s.put(ProbeSamples{Probe: p.name, Seconds: seconds, Series: series})
		if err := s.write(o.Out); err != nil {
			return err
		}
	}
	s.Machine = machine()
	s.Measured = begin.UTC().Format(time.DateOnly)
	if len(o.Only) == 0 {
		s.Seconds = time.Since(begin).Seconds()
		s.PeakMemory = peakMemory()
	}
	return nil
}

func progress(o Options, format string, args ...any) {
	if o.Progress != nil {
		_, _ = fmt.Fprintf(o.Progress, format, args...)
	}
}

// machine describes the machine on which the samples were taken.
func machine() string {
	return fmt.Sprintf("%d cores, %s, %s/%s, %s", runtime.NumCPU(), runtime.Version(), runtime.GOOS, runtime.GOARCH, processorModel())
}

func processorModel() string {
	b, err := os.ReadFile("/proc/cpuinfo")
	if err != nil {
		return "unknown processor"
	}
	for line := range strings.Lines(string(b)) {
		if name, ok := strings.CutPrefix(line, "model name"); ok {
			return strings.Trim(name, " \t:\n")
		}
	}
	return "unknown processor"
}

// peakMemory returns the largest resident memory of the process in bytes.
func peakMemory() float64 {
	var u unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return float64(u.Maxrss) * 1024
}

// errMissing is returned for a figure, a limit or a plot whose series has no samples.
func errMissing(name string) error { return trace.NotFound("series %q was not measured", name) }
