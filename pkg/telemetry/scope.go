package telemetry

import (
	"io"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/auburnwood/auburnwood/pkg/settings"
)

const (
	// metricPrefix begins the name of every metric.
	metricPrefix = "auburnwood"
	// metricSeparator separates the parts of a metric's name.
	metricSeparator = "_"
	// reportInterval is the time between two reports of the scope, and the maximum age of the values in /metrics.
	reportInterval = time.Second
)

// NewScope returns the root scope of a daemon, which reports to r every reportInterval with the tags of the process, and
// a closer that makes a final report.
func NewScope(r *Reporter, p settings.Process) (tally.Scope, io.Closer) {
	return tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 metricPrefix,
		Separator:              metricSeparator,
		Reporter:               r,
		OmitCardinalityMetrics: true,
		Tags:                   map[string]string{FieldProcess: p.Name, FieldDataCentre: p.DataCentre},
	}, reportInterval)
}
