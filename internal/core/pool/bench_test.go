package pool

import (
	"fmt"
	"testing"
	"time"

	"github.com/sesamestand/sesamestand/internal/core/deployment"
)

// BenchmarkPlan plans a service of 12,000 servers in 16 data centres with 28 trainers.
func BenchmarkPlan(b *testing.B) {
	now := time.Unix(1000, 0)
	current := Service{Name: testService, Scale: testScale}
	current.Scale.Max = 1000
	for i := range 12000 {
		current.Servers = append(current.Servers, deployment.Server{ID: fmt.Sprint(i), Service: testService, DataCentre: fmt.Sprint("centre-", i%16), Slots: 8})
	}
	for i := range 28 * 30 {
		submitted := now.Add(time.Duration(i/28-30) * testPeriod)
		current.Demand.Rounds = append(current.Demand.Rounds, Round{Trainer: fmt.Sprint(i % 28), Submitted: submitted, Due: testDue, Tokens: 4e6})
	}
	p := New(Defaults())
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(testStep)
		p.Plan(Input{Now: now, Services: []Service{current}})
	}
}
