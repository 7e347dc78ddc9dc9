package ctl

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/auburnwood/auburnwood/pkg/objectapi"
	"github.com/auburnwood/auburnwood/pkg/resource"
)

// dsrStatusHead has the column titles of the statuses of pass-through services.
var dsrStatusHead = []string{"SERVICE", "STATE", "SINCE", "REFUSED PRIORITIES", "CAPACITY", "DEMAND", "READY", "AT LIMIT", "WORK TIME", "WRITTEN BY"}

// dsrStatusColumns returns the table row of a pass-through service's status.
func dsrStatusColumns(o objectapi.Object) []string {
	// A newer version of the system may have written the status, so unknown fields are ignored.
	t, err := objectapi.Decode[resource.DSRServiceStatus](o)
	if err != nil {
		return []string{o.Name, "unreadable", none, none, none, none, none, none, none, none}
	}
	s := t.Value
	since := s.SaturatedSince
	if !s.Saturated() {
		since = s.Ended
	}
	return []string{
		o.Name, string(s.State), dayTime(since), priorityText(s.RefusedPriorities), rateText(s.CapacityPerSecond), demandText(s.Demands),
		strconv.Itoa(s.TargetsReady), strconv.Itoa(s.TargetsAtConnectionLimit), workText(s), s.Writer + " at " + dayTime(s.Written),
	}
}

// dayTime returns a time to the second.
func dayTime(t time.Time) string {
	if t.IsZero() {
		return none
	}
	return t.UTC().Format(time.RFC3339)
}

func priorityText(list []int) string {
	if len(list) == 0 {
		return none
	}
	parts := make([]string, 0, len(list))
	for _, p := range list {
		parts = append(parts, strconv.Itoa(p))
	}
	return strings.Join(parts, ",")
}

// rateText returns requests per second; 0 means that the rate is unknown.
func rateText(v float64) string {
	if v == 0 {
		return none
	}
	return strconv.FormatFloat(v, 'f', -1, 64) + "/s"
}

// demandText returns the demand of each priority, as 0:120/s for priority 0.
func demandText(list []resource.DSRPriorityDemand) string {
	if len(list) == 0 {
		return none
	}
	parts := make([]string, 0, len(list))
	for _, d := range list {
		parts = append(parts, fmt.Sprintf("%d:%s/s", d.Priority, strconv.FormatFloat(d.PerSecond, 'f', -1, 64)))
	}
	return strings.Join(parts, " ")
}

// workText returns the times for a request from the fastest to the slowest target.
func workText(s resource.DSRServiceStatus) string {
	if s.SlowestWorkMs == 0 {
		return none
	}
	return fmt.Sprintf("%s to %s ms", strconv.FormatFloat(s.FastestWorkMs, 'f', -1, 64), strconv.FormatFloat(s.SlowestWorkMs, 'f', -1, 64))
}
