package recording

import (
	"fmt"
	"testing"
)

// Each balancer chooses the one that writes its records once a second.
func BenchmarkWriter(b *testing.B) {
	for _, n := range []int{304, 490, 1000} {
		living := candidates(n)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				Writer(living[0].Address, living)
			}
		})
	}
}
