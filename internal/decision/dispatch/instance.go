package dispatch

import (
	"slices"
	"time"
)

// Incarnation is one life of an instance's worker. Two lives may have the same ID; StartedAt tells
// them apart.
type Incarnation struct {
	ID        string `json:"id"`
	StartedAt int64  `json:"born"` // Unix ms
}

// Registration is what an instance says of itself.
type Registration struct {
	Incarnation      Incarnation `json:"life"`
	Agent            string      `json:"agent"`             // name of the process beside it
	AgentIncarnation string      `json:"process,omitempty"` // that process's incarnation
	Service          string      `json:"service"`
	Domain           string      `json:"domain"`
	Rack             string      `json:"rack"`
	Labels           []string    `json:"labels,omitempty"`
	Capacity         Resources   `json:"capacity"`
	Draining         bool        `json:"leaving,omitempty"`
	GracePeriod      int64       `json:"remaining,omitempty"` // ms until a leaving instance is gone, at least
}

// RunStatus is one entry of an instance's list of what runs.
type RunStatus struct {
	Task       TaskName `json:"task"`
	Run        int64    `json:"run"`
	Checkpoint string   `json:"saved,omitempty"`
}

// Measurement is what an instance measured of a run over the last half second: the tail
// latency in ms of a serving task, else the processors in use in thousandths of a core.
type Measurement struct {
	Task  TaskName `json:"task"`
	Value float64  `json:"v"`
}

//go:generate stringer -type=EndReason -linecomment

// EndReason tells how a run ended.
type EndReason int

// The ways in which a run ends.
const (
	EndDone        EndReason = iota // done
	EndFailed                       // failed
	EndStopped                      // stopped
	EndExpired                      // lapsed
	EndGangBroken                   // broken
	EndGangTimeout                  // alone
	EndNotStarted                   // absent
)

// End is the end of one run. EndNotStarted says that the run never was, or will be, on
// the instance.
type End struct {
	Sequence   int64     `json:"n"` // in the instance's list; 0 for EndAbsent
	Task       TaskName  `json:"task"`
	Run        int64     `json:"run"`
	Reason     EndReason `json:"how"`
	Checkpoint string    `json:"saved,omitempty"`
}

// placement is one run that may be on an instance. It holds its room until the
// instance's lists, or its end, show that it is not there.
type placement struct {
	name     TaskName
	run      int64
	step     *Step // nil when the job is not known
	need     Resources
	fills    bool
	serves   bool
	since    time.Time
	process  string // incarnation of the agent that was given the order
	stopping bool
	stalled  time.Time // since when it has hardly worked; zero while it does
	// ordered is a run of the task that was ordered where this one was found; its order
	// may still be on its way.
	ordered *placement
}

// instance is one life of a worker as the owner knows it.
type instance struct {
	offer      Registration
	registered bool // its row is in the table
	asked      bool // that its row be written
	renewed    bool // another life has begun that has not listed what it runs
	synced     bool // it has listed what it runs since the owner took over
	reachable  bool // its agent talks to the owner and the worker answers the agent
	placements map[TaskName]*placement
	unknown    int                  // placements of steps that are not known: nobody knows what they take
	used       Resources            // by tasks that do not fill
	filled     int                  // thousandths of a core that filling tasks ask for
	served     int                  // thousandths of a core that serving tasks ask for, part of used
	serving    int                  // placements that serve users of their own
	headrooms  map[TaskName]float64 // of serving tasks, as last measured
	sampled    time.Time            // when the last sample was taken of them
	cores      map[string]float64   // that filling images used then, smoothed
	fails      int                  // failed ends in a row, of distinct jobs
	failedJob  string
	avoidUntil time.Time
	leaveAt    time.Time // when a leaving instance may be gone
}

func newInstance(offer Registration) *instance {
	return &instance{offer: offer, placements: map[TaskName]*placement{}}
}

// renew takes that another life has begun under the same ID.
func (in *instance) renew() {
	in.renewed, in.registered, in.asked, in.synced = true, false, false, false
	in.headrooms, in.cores = nil, nil
}

func (in *instance) usable(now time.Time) bool {
	return in.registered && in.synced && in.reachable && in.unknown == 0 && !in.offer.Draining && !now.Before(in.avoidUntil)
}

// free is the room that is left for tasks that do not fill.
func (in *instance) free() Resources { return in.offer.Capacity.minus(in.used) }

// servingShare is the part of what it asks for that a serving task uses most of the
// time, in percent. Filling tasks get the rest.
const servingShare = 50

// fillRoom is what is left for filling tasks, in thousandths of a core.
func (in *instance) fillRoom() int {
	unused := in.served * (100 - servingShare) / 100
	return in.offer.Capacity.Processors - in.used.Processors + unused - in.filled
}

func (in *instance) has(label string) bool { return slices.Contains(in.offer.Labels, label) }

// of takes over what a run of a step takes; nil is a step that is not known.
func (p *placement) of(step *Step) {
	p.step = step
	if step != nil {
		p.need, p.fills, p.serves = step.Need, step.BestEffort, step.Target > 0
	}
}

func (in *instance) add(p *placement) {
	in.placements[p.name] = p
	if p.step == nil {
		in.unknown++
	}
	counted := p.need
	if p.fills {
		counted.Processors = 0
		in.filled += p.need.Processors
	}
	if p.serves {
		in.serving++
		in.served += p.need.Processors
	}
	in.used = in.used.plus(counted)
}

func (in *instance) remove(p *placement) {
	if in.placements[p.name] != p {
		return
	}
	delete(in.placements, p.name)
	if p.step == nil {
		in.unknown--
	}
	counted := p.need
	if p.fills {
		counted.Processors = 0
		in.filled -= p.need.Processors
	}
	if p.serves {
		in.serving--
		in.served -= p.need.Processors
	}
	in.used = in.used.minus(counted)
}

// of counts the placements of one step of one occurrence.
func (in *instance) of(name TaskName) int {
	count := 0
	for other := range in.placements {
		if other.Job == name.Job && other.Occurrence == name.Occurrence && other.Step == name.Step {
			count++
		}
	}
	return count
}
