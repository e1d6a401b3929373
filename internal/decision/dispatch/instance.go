package dispatch

import (
	"slices"
	"time"

	"github.com/apricotwind/apricotwind/internal/decision/speeds"
)

// Incarnation identifies one incarnation of an instance's worker. Several can have the same
// ID; StartedAt tells them apart.
type Incarnation struct {
	ID        string `json:"id"`
	StartedAt int64  `json:"born"` // Unix ms
}

// Registration is the description of an instance that its agent registers.
type Registration struct {
	Incarnation      Incarnation `json:"life"`
	Agent            string      `json:"agent"`             // name of the agent process beside the worker
	AgentIncarnation string      `json:"process,omitempty"` // incarnation of the agent process
	Service          string      `json:"service"`           // service whose jobs it runs
	Domain           string      `json:"domain"`            // failure domain
	Rack             string      `json:"rack"`
	Labels           []string    `json:"labels,omitempty"` // labels that steps can require
	Capacity         Resources   `json:"capacity"`
	Draining         bool        `json:"leaving,omitempty"`   // the instance takes no new tasks and will be gone
	GracePeriod      int64       `json:"remaining,omitempty"` // ms until a draining instance is gone, at least
	ColdRemaining    int64       `json:"cold,omitempty"`      // ms for which the worker is still slow after its start
	// Restarted says that the ID has had an earlier incarnation, calls to which may have given this
	// one a lease that no owner has granted. The owner sets it.
	Restarted bool `json:"restarted,omitempty"`
}

// RunStatus is one run in an instance's status report.
type RunStatus struct {
	Task       TaskName `json:"task"`
	Run        int64    `json:"run"`
	Checkpoint string   `json:"saved,omitempty"` // saved data that the next run resumes from, opaque; "" if none
	// Settled says that no call is under way any more that starts the run.
	Settled bool `json:"settled,omitempty"`
}

// Measurement is the measurement of one run over the last half second: the tail latency in ms
// of a latency-critical task, or the processor use in thousandths of a core of any other task.
type Measurement struct {
	Task  TaskName `json:"task"`
	Value float64  `json:"v"`
}

//go:generate stringer -type=EndReason -linecomment

// EndReason is why a run ended.
type EndReason int

// The reasons for which a run ends. EndExpired: its lease expired, or its instance is
// lost, or its incarnation of the worker is gone. EndGangBroken: another member of its gang
// ended. EndGangTimeout: it waited for the other members of its gang longer than the gang
// timeout. EndNotStarted: it never was on the instance and never will be.
const (
	EndDone        EndReason = iota // done
	EndFailed                       // failed
	EndStopped                      // stopped
	EndExpired                      // lapsed
	EndGangBroken                   // broken
	EndGangTimeout                  // alone
	EndNotStarted                   // absent
)

// End reports the end of one run. EndNotStarted means that the run never was on the instance
// and never will be.
type End struct {
	Sequence   int64     `json:"n"` // in the instance's list of ends; 0 for EndNotStarted
	Task       TaskName  `json:"task"`
	Run        int64     `json:"run"`
	Reason     EndReason `json:"how"`
	Checkpoint string    `json:"saved,omitempty"`
	// UnderWay is for how long a call that starts a run of the task there may still be carried out, in ms. This
	// incarnation rejects it; another one with its ID would not.
	UnderWay int64 `json:"underway,omitempty"`
}

// reservation is one run that may be on an instance. It holds its resources until a status
// report of the instance, or the run's end, shows that it is not there.
type reservation struct {
	name             TaskName
	run              int64
	step             *Step // nil if the job is not known
	need             Resources
	bestEffort       bool
	latencyCritical  bool
	startedAt        time.Time     // when the start was ordered, or the run first reported
	agentIncarnation string        // incarnation of the agent that received the start order, or has reported the run
	orderedThrough   string        // incarnation of the agent that received the start order; "" if not known
	settled          bool          // see RunStatus.Settled
	stopping         bool          // a stop was ordered
	fromStart        bool          // this owner has ordered the start, without a checkpoint
	saved            time.Duration // work that the checkpoint holds from which it began, see task
	use              use
	// orderedRun is another run of the same task that was ordered on this instance before the
	// instance reported this one. Its start order may still be in transit.
	orderedRun *reservation
	delivery   delivery
}

// instance is the owner's view of one worker and its current incarnation.
type instance struct {
	registration              Registration
	rowWritten                bool      // its row is in the table
	rowChangeRequested        bool      // the owner was asked to write or delete its row
	restarted                 bool      // a new incarnation has registered and not reported its runs yet
	reconciled                bool      // it has reported its runs since the owner took over
	reachable                 bool      // its agent has a session with the owner, and the worker answers the agent
	isolated                  bool      // a suspect has started there so recently that nothing else may
	lastStartAt               time.Time // when a run was last placed there
	reservations              map[TaskName]*reservation
	unknownSteps              int                  // reservations of unknown steps, whose resource use is unknown
	used                      Resources            // by all tasks, but for the processors of best-effort ones
	bestEffortProcessors      int                  // thousandths of a core requested by best-effort tasks
	latencyCriticalProcessors int                  // thousandths of a core requested by latency-critical tasks; part of used
	latencyCriticalCount      int                  // latency-critical reservations
	headrooms                 map[TaskName]float64 // of latency-critical tasks, as last measured
	sampledAt                 time.Time            // when the cost model last took a sample
	bestEffortCores           map[string]float64   // cores used by each best-effort image at that time, smoothed
	record                    *speeds.Record       // what it delivers
	wasReachable              bool                 // at the last plan
	imageRates                map[string]imageRate // of the best-effort images that run there
	failedInQuarantine        map[TaskName]bool    // tasks that have failed there since the quarantine began
	drainDeadline             time.Time            // when a draining instance may be gone
	evacuated                 bool                 // its failure domain is evacuated, see SetEvacuated
	coldUntil                 time.Time            // until when the worker says that it is slow after its start
	cold                      bool                 // it is so at the current plan
	held                      *heldShare           // window for which it is held; nil if none
}

// newInstance returns an instance whose row is not known to be in the table and that has no
// reservations.
func newInstance(registration Registration) *instance {
	return &instance{registration: registration, reservations: map[TaskName]*reservation{}}
}

// restart records that a new incarnation has registered under the same ID.
func (in *instance) restart() {
	in.restarted, in.rowWritten, in.rowChangeRequested, in.reconciled = true, false, false, false
	in.headrooms, in.bestEffortCores, in.imageRates = nil, nil, nil
}

// usable reports whether new tasks may be placed on the instance: it is neither quarantined nor has as
// many runs as it may have after that.
func (in *instance) usable(now time.Time) bool {
	return in.ready() && !in.record.Held(now) && !in.probed(now)
}

// ready reports whether orders can be sent to the instance and its free resources are known. It
// may be quarantined.
func (in *instance) ready() bool {
	return in.rowWritten && in.reconciled && in.reachable && in.unknownSteps == 0 && !in.registration.Draining && !in.evacuated
}

// free returns the resources left for tasks that are not best-effort.
func (in *instance) free() Resources { return in.registration.Capacity.minus(in.used) }

// latencyCriticalUsePercent is the share of its requested processors that a latency-critical
// task uses most of the time, in percent. Best-effort tasks get the rest.
const latencyCriticalUsePercent = 50

// bestEffortRoom returns the processors left for best-effort tasks, in thousandths of a core.
func (in *instance) bestEffortRoom() int {
	unused := in.latencyCriticalProcessors * (100 - latencyCriticalUsePercent) / 100
	return in.registration.Capacity.Processors - in.used.Processors + unused - in.bestEffortProcessors
}

func (in *instance) hasLabel(label string) bool {
	return slices.Contains(in.registration.Labels, label)
}

// setStep sets the step of the run and with it the resources that it reserves; step is nil if
// unknown.
func (p *reservation) setStep(step *Step) {
	p.step = step
	if step != nil {
		p.need, p.bestEffort, p.latencyCritical = step.Need, step.BestEffort, step.Target > 0
	}
}

// add accounts for the resources of a reservation.
func (in *instance) add(p *reservation) {
	in.reservations[p.name] = p
	if p.step == nil {
		in.unknownSteps++
	}
	reserved := p.need
	if p.bestEffort {
		reserved.Processors = 0
		in.bestEffortProcessors += p.need.Processors
	}
	if p.latencyCritical {
		in.latencyCriticalCount++
		in.latencyCriticalProcessors += p.need.Processors
	}
	in.used = in.used.plus(reserved)
}

// remove releases the resources of a reservation, if it is the current one of its task.
func (in *instance) remove(p *reservation) {
	if in.reservations[p.name] != p {
		return
	}
	delete(in.reservations, p.name)
	if p.step == nil {
		in.unknownSteps--
	}
	reserved := p.need
	if p.bestEffort {
		reserved.Processors = 0
		in.bestEffortProcessors -= p.need.Processors
	}
	if p.latencyCritical {
		in.latencyCriticalCount--
		in.latencyCriticalProcessors -= p.need.Processors
	}
	in.used = in.used.minus(reserved)
}

// excludes reports whether runs that the instance has keep a task off it: a recent one of a
// suspect, an earlier run of the task that has not ended yet, or as many tasks of its step as may
// run on one instance.
func (in *instance) excludes(t *task) bool {
	if _, placed := in.reservations[t.name]; placed || in.isolated {
		return true
	}
	return t.step.MaxPerInstance > 0 && in.countStep(t.name) >= t.step.MaxPerInstance
}

// countStep returns the number of reservations of the same step and occurrence as the task.
func (in *instance) countStep(name TaskName) int {
	count := 0
	for other := range in.reservations {
		if other.Job == name.Job && other.Occurrence == name.Occurrence && other.Step == name.Step {
			count++
		}
	}
	return count
}
