package estimate

import (
	"math"
	"time"
)

// maxUtilization bounds the utilization of QueueingDelay, which has no finite value from 1 on.
const maxUtilization = 0.99

// QueueingDelay returns the mean time that a request waits for one of several slots, given their utilization and the
// mean work time: Sakasegawa's approximation for random arrivals (M/M/c).
func QueueingDelay(utilization float64, slots int, workTime time.Duration) time.Duration {
	u := min(max(0, utilization), maxUtilization)
	n := float64(max(1, slots))
	return time.Duration(math.Pow(u, math.Sqrt(2*(n+1))-1) / (n * (1 - u)) * float64(workTime))
}
