package runner

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/apricotwind/apricotwind/internal/link"
	"github.com/apricotwind/apricotwind/internal/metrics"
)

// Once an agent has told the owner that its worker's leases are over, the owner starts the tasks
// elsewhere. A worker that answers again gets no lease from an earlier grant, nor from the reply.
func TestAWorkerWhoseLeasesAreOverGetsNoLeaseFromAnEarlierGrant(t *testing.T) {
	for _, inSession := range []bool{true, false} {
		t.Run(fmt.Sprintf("in a session: %v", inSession), func(t *testing.T) {
			withRunner(t, Worker{}, func(t *testing.T, r *Runner) {
				near, far := net.Pipe()
				ctx, cancel := context.WithCancel(t.Context())
				conn := link.New(ctx, near, "owner", metrics.New(), link.RejectCalls)
				link.New(ctx, far, "agent", metrics.New(), func(_ context.Context, method string, _ json.RawMessage) (any, error) {
					onLoop(t, r, func() { r.silent = false }) // the worker answers while the message is in flight
					if method == link.MethodAttach {
						return link.AttachReply{Epoch: 1}, nil
					}
					return link.ReportReply{Grant: 3500}, nil
				})
				s := r.session
				onLoop(t, r, func() {
					if s.conn = conn; !inSession {
						r.session = nil
					}
					r.silent, r.leasesExpireAt = true, time.Now().Add(-time.Second)
				})
				var err error
				if inSession {
					_, err = r.reportOnce(ctx, s)
				} else {
					_, err = r.attach(ctx, conn, 1)
				}
				if err != nil {
					t.Error(err)
				}
				onLoop(t, r, func() {
					if call, _ := r.nextPoll(0); call.LeaseDeadline != 0 {
						t.Errorf("a lease until %d", call.LeaseDeadline)
					}
				})
				cancel()
			})
		})
	}
}
