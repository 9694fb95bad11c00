package formation_test

import (
	"fmt"
	"testing"

	"flamingodoor.example/flamingodoor/internal/formation"
)

// BenchmarkPlan measures a plan while all instances are free: the most that the
// leader computes in one step.
func BenchmarkPlan(b *testing.B) {
	for _, fleet := range []struct{ domains, instances, largeSize, smallSize int }{
		{6, 9, 4, 3}, {3, 73, 32, 8}, {15, 73, 32, 8}, {20, 75, 32, 8},
	} {
		b.Run(fmt.Sprintf("%dx%d", fleet.domains, fleet.instances), func(b *testing.B) {
			domains := make([][]formation.Candidate, 0, fleet.domains)
			for i := range fleet.domains {
				domains = append(domains, domain(fmt.Sprint("d", i), fleet.instances))
			}
			demand := float64(fleet.domains)
			both := []formation.Model{{ID: large, Size: fleet.largeSize, Demand: demand}, {ID: small, Size: fleet.smallSize, Demand: demand}}
			b.ReportAllocs()
			for b.Loop() {
				formation.Plan(domains, both)
			}
		})
	}
}
