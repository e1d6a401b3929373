package submission

import (
	"context"

	"github.com/apricotwind/apricotwind/internal/link"
)

// Serve handles a call that another entry has forwarded. It does not forward the call any
// further. ok is false if the method is not one of this package's.
func (s *Service) Serve(ctx context.Context, method string, params []byte) (result any, ok bool, err error) {
	switch method {
	case link.MethodSubmit:
		submit, err := link.Decode[link.Submit](params)
		if err != nil {
			return nil, true, err
		}
		outcome, _ := s.submitFor(ctx, submit) // the reply has only the outcome
		return link.ForwardReply{Outcome: int(outcome)}, true, nil
	case link.MethodState:
		job, err := link.Decode[link.JobID](params)
		if err != nil {
			return nil, true, err
		}
		state, outcome, err := s.readState(ctx, job.ID)
		return link.ForwardReply{Outcome: int(outcome), State: state}, true, err
	case link.MethodCancel:
		job, err := link.Decode[link.JobID](params)
		if err != nil {
			return nil, true, err
		}
		outcome, _ := s.cancelLocally(ctx, job.ID) // the reply has only the outcome
		return link.ForwardReply{Outcome: int(outcome)}, true, nil
	}
	return nil, false, nil
}
