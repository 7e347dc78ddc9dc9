package rollout

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// WriteTable writes the outcomes as a text table, one line for each gate and scenario.
func WriteTable(w io.Writer, list []Outcome) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "scenario\tper_minute\tgate\truns\tfalse_promotions\tfalse_rollbacks\tundecided\tpromote_p50\trollback_p50\tfailures_mean")
	for _, o := range list {
		_, _ = fmt.Fprintf(t, "%s\t%.0f\t%s\t%d\t%d\t%d\t%d\t%s\t%s\t%.1f\n", o.Scenario.Name, o.Scenario.PerMinute, o.Gate, o.Runs,
			o.FalsePromotions, o.FalseRollbacks, o.Undecided, formatDuration(o.PromoteTime), formatDuration(o.RollbackTime), o.Harmed)
	}
	return t.Flush()
}

func formatDuration(d time.Duration) string {
	if d == 0 {
		return "-"
	}
	return d.Round(time.Second).String()
}
