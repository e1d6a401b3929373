package dispatch

import "testing"

func TestOccurrencesWaitForTheirTime(t *testing.T) {
	s := schedulerWith(registrationOf("a", 8))
	job := jobOf("j", stepOf(1, 1))
	job.FirstDue, job.Interval, job.Repeat = 5_000, 1_000, 2
	s.Accept(startTime, job, nil)
	s.Trigger(4_999)
	expect(t, "before", startsOf(s.Plan(at(0))), []string(nil))
	s.Trigger(5_000)
	expect(t, "first", startsOf(s.Plan(at(0))), []string{"j.0.0.0 1 a"})
	s.Trigger(6_000)
	expect(t, "second", startsOf(s.Plan(at(0))), []string{"j.1.0.0 1 a"})
}

// A job that is to run several times and names no time must not wait for ever after the first one.
func TestOccurrencesWithoutATimeAreDueAtOnce(t *testing.T) {
	s := schedulerWith(registrationOf("a", 8))
	job := jobOf("j", stepOf(1, 1))
	job.Repeat = 3
	s.Accept(startTime, job, nil)
	s.Trigger(startTime.UnixMilli())
	expect(t, "starts", startsOf(s.Plan(at(0))), []string{"j.0.0.0 1 a", "j.1.0.0 1 a", "j.2.0.0 1 a"})
}
