package process_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/apricotwind/apricotwind/internal/decision/dispatch"
	"github.com/apricotwind/apricotwind/internal/submission"
	"github.com/apricotwind/apricotwind/internal/testcluster"
)

// When the owner is killed, tasks of scheduled jobs that run, or have just ended, are reported to the
// next owner before it has looked at which occurrences are due. None of them starts again.
func TestATakeoverStartsNoTaskOfAScheduledJobAgain(t *testing.T) {
	const (
		tasks     = 6
		killAfter = 400 * time.Millisecond // after the tasks are due
	)
	for delay := time.Duration(0); delay < 100*time.Millisecond; delay += 10 * time.Millisecond {
		t.Run(fmt.Sprint(delay), func(t *testing.T) {
			withJobCluster(t, 3, 3, func(t *testing.T, system *testcluster.JobCluster) {
				due := time.Now().Add(3 * time.Second)
				for id, estimate := range map[string]int64{"short": 900, "long": 5000} {
					job := newJob(id, tasks, estimate)
					job.FirstDue = due.UnixMilli()
					if outcome := submit(t, system, 0, job); outcome != submission.Accepted {
						t.Fatal(outcome)
					}
				}
				time.Sleep(time.Until(due.Add(killAfter + delay)))
				dead := ownerIndex(t, system)
				killOwner(t, system)
				time.Sleep(15 * time.Second)
				for _, id := range []string{"short", "long"} {
					if starts := system.Checker.StartsOf(id); starts != tasks {
						t.Errorf("job %s: %d starts of %d tasks", id, starts, tasks)
					}
					if state := stateAt(t, system, (dead+1)%3, id); state != dispatch.Completed {
						t.Errorf("job %s is %v", id, state)
					}
				}
			})
		})
	}
}
