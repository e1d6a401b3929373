package runner

import (
	"testing"
	"time"

	"github.com/apricotwind/apricotwind/internal/decision/dispatch"
)

// A cold worker states a lower remaining time with each registration. The owner is told again only if
// the end of it has moved.
func TestAColdWorkerIsReportedOnce(t *testing.T) {
	withRunner(t, Worker{Poll: unansweredPoll}, func(t *testing.T, r *Runner) {
		sequence := int64(1)
		register := func(remaining time.Duration) {
			sequence++
			r.Register(dispatch.Registration{Incarnation: dispatch.Incarnation{ID: "w", StartedAt: 5}, Service: "s", ColdRemaining: remaining.Milliseconds()}, sequence)
		}
		reported := func() (registration *dispatch.Registration) {
			onLoop(t, r, func() {
				r.session.incremental = true
				registration = r.takeReport(r.session).Registration
			})
			return registration
		}
		reported()
		steps := []struct {
			name      string
			remaining time.Duration
			told      int64 // ms; -1 if nothing is told
		}{
			{"warm", 0, -1},
			{"cold", 5 * time.Second, 5000},
			{"a second later", 4 * time.Second, -1},
			{"cold for longer", 6 * time.Second, 6000},
			{"suddenly warm", 0, 0},
			{"still warm", 0, -1},
		}
		for _, step := range steps {
			register(step.remaining)
			told := int64(-1)
			if registration := reported(); registration != nil {
				told = registration.ColdRemaining
			}
			if told != step.told {
				t.Errorf("%s: told %d, want %d", step.name, told, step.told)
			}
			time.Sleep(time.Second)
		}
	})
}
