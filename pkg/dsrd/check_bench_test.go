package dsrd

import (
	"fmt"
	"testing"
	"time"
)

// Each balancer decides ten times a second whether to compare its configuration with the object API, and looks at all
// living balancers for it.
func BenchmarkCheckIsDue(b *testing.B) {
	for _, n := range []int{304, 490, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			balancer := testBalancer(b)
			balancer.openConfigSync()
			now := time.Now()
			for _, a := range unreachable(n) {
				balancer.balancers.MarkSeen(now, a)
				balancer.balancers.SetSendInterval(a, time.Hour)
				balancer.readCapacity[a] = 1
			}
			for b.Loop() {
				balancer.configSync.due(now)
			}
		})
	}
}
