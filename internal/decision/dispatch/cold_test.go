package dispatch

import (
	"fmt"
	"testing"
)

// Best-effort tasks of jobs that have not run for long go to a cold instance in small numbers too.
func TestIdleBestEffortJobsRespectTheLimitOfAColdInstance(t *testing.T) {
	s := schedulerWith(registrationOf("warm", 8))
	s.Accept(at(0), jobOf("full", stepOf(1, 8)), nil)
	s.Plan(at(0))
	for i := range 6 {
		step := stepOf(1, 1)
		step.BestEffort, step.Need.Memory, step.Label = true, 0, "fast"
		s.Accept(at(0), jobOf(fmt.Sprint("idle", i), step), nil)
	}
	s.Plan(at(0.1))
	registration := registrationOf("cold", 8)
	registration.ColdRemaining, registration.Labels = 10_000, []string{"fast"}
	registerOn(s, registration)
	s.instances["cold"].updateCold(at(2))
	expect(t, "starts", len(s.Plan(at(2))), maxColdStarts)
}
