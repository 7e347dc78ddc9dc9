package resource

import (
	"fmt"
	"testing"
)

// BenchmarkValidateAll measures 680 services with one address each, one of them changed.
func BenchmarkValidateAll(b *testing.B) {
	const services = 680
	var list []VersionedService
	var current []ServiceConfig
	for i := range services {
		s := service(fmt.Sprintf("svc-%d", i), uint64(i+1), fmt.Sprintf("10.0.%d.%d", i/250, i%250+1))
		list = append(list, s)
		current = append(current, inForce(s))
	}
	list[services/2] = service(list[services/2].Name, services+1, "10.0.9.1")
	b.ReportAllocs()
	for b.Loop() {
		ValidateAll(list, current)
	}
}
