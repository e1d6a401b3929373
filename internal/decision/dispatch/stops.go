package dispatch

//go:generate stringer -type=StopReason -linecomment

// StopReason is why a run is stopped.
type StopReason int

// The reasons. StopJobEnded: the job is over, or not known. StopSuperseded: its task is done, or placed in another run. StopUnlisted: the
// instance listed another run of its task while this one may have started. StopAgentRestarted: the
// agent that received the start order is gone. StopRepeated: the order may have been lost with the
// agent's session.
const (
	StopJobEnded       StopReason = iota // job-ended
	StopSuperseded                       // superseded
	StopUnlisted                         // unlisted
	StopAgentRestarted                   // agent-restarted
	StopRepeated                         // repeated
	StopDraining                         // draining
	StopStalled                          // stalled
	StopRebalanced                       // rebalanced
)
