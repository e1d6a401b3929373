package submission

import (
	"context"

	"github.com/apricotwind/apricotwind/internal/link"
)

// Serve does a call for another entry, by this entry's own calls only; ok is false when
// it is no such call.
func (d *Service) Serve(ctx context.Context, method string, params []byte) (result any, ok bool, err error) {
	switch method {
	case link.MethodSubmit:
		submit, err := link.Decode[link.Accepted](params)
		if err != nil {
			return nil, true, err
		}
		verdict, _ := d.acceptHere(ctx, submit.Job) // the verdict says all
		return link.ForwardReply{Outcome: int(verdict)}, true, nil
	case link.MethodState:
		job, err := link.Decode[link.JobID](params)
		if err != nil {
			return nil, true, err
		}
		state, verdict, err := d.stateHere(ctx, job.ID)
		return link.ForwardReply{Outcome: int(verdict), State: state}, true, err
	case link.MethodCancel:
		job, err := link.Decode[link.JobID](params)
		if err != nil {
			return nil, true, err
		}
		verdict, _ := d.cancelHere(ctx, job.ID) // the verdict says all
		return link.ForwardReply{Outcome: int(verdict)}, true, nil
	}
	return nil, false, nil
}
