package placement

import (
	"cmp"
	"slices"
	"time"
)

const (
	// startsMost bounds the tasks placed by one commit.
	startsMost = 256
	// urgentSlack is the slack below which a task goes before shares are looked at.
	urgentSlack = 5 * time.Second
	// farSlack is the slack of a task without a deadline.
	farSlack = 365 * 24 * time.Hour
)

// candidate is a waiting task with what it is ordered by.
type candidate struct {
	task    *task
	slack   time.Duration
	urgent  bool
	overuse float64 // dominant share its workspace uses, over what it is owed
}

// placeWaiting gives waiting tasks an instance, most urgent first.
func (o *Owner) placeWaiting(now time.Time) {
	hosts := o.hosts(now)
	if len(hosts) == 0 || len(o.waiting) == 0 {
		return
	}
	full := map[Resources]bool{} // needs that no host had room for in this round
	placed := 0
	for _, next := range o.inOrder(now) {
		if placed == startsMost {
			return
		}
		need := next.task.job.Need
		if full[need] {
			continue
		}
		if o.overQuota(next.task) {
			next.task.quota = true
			continue
		}
		at, over := o.choose(hosts, next.task)
		if at == nil {
			full[need] = true
			continue
		}
		next.task.over = over
		o.place(next.task, at)
		placed++
	}
}

// place stages the placement; its room is taken at once so that the same commit
// cannot give it twice.
func (o *Owner) place(t *task, at *instance) {
	o.stage(t.chunk)
	next := &t.chunk.next[t.index]
	next.State = Placed
	next.Attempt++
	next.Instance = at.Name
	next.WorkerIncarnation = at.boot
	delete(o.waiting, t)
	o.occupy(at, t)
}

// hosts lists the instances that may get new tasks, in order of name.
func (o *Owner) hosts(now time.Time) []*instance {
	var found []*instance
	for _, name := range o.names {
		at := o.instances[name]
		heard := at.boot != "" && now.Sub(at.heard) <= o.ttl
		if heard && !at.leaving && !now.Before(at.sickUntil) {
			found = append(found, at)
		}
	}
	return found
}

// inOrder sorts the waiting tasks: those about to miss their deadline first, then
// by how much of its share the workspace uses, then by slack.
func (o *Owner) inOrder(now time.Time) []candidate {
	overuse := o.overuse()
	ordered := make([]candidate, 0, len(o.waiting))
	for t := range o.waiting {
		slack := farSlack
		if !t.job.Deadline.IsZero() {
			slack = t.job.Deadline.Sub(now) - t.job.Runtime
		}
		ordered = append(ordered, candidate{
			task:    t,
			slack:   slack,
			urgent:  slack > 0 && slack < urgentSlack,
			overuse: overuse[t.job.Workspace],
		})
	}
	slices.SortFunc(ordered, compareCandidates)
	return ordered
}

func compareCandidates(a, b candidate) int {
	if a.urgent != b.urgent {
		if a.urgent {
			return -1
		}
		return 1
	}
	return cmp.Or(
		cmp.Compare(a.overuse, b.overuse),
		cmp.Compare(a.slack, b.slack),
		cmp.Compare(a.task.job.ID, b.task.job.ID),
		cmp.Compare(a.task.Number, b.task.Number),
	)
}

// overuse is each workspace's dominant share of the pool over its share by contract.
func (o *Owner) overuse() map[string]float64 {
	over := make(map[string]float64, len(o.used))
	for workspace, need := range o.used {
		owed := o.shares[workspace]
		if owed <= 0 {
			owed = 1
		}
		over[workspace] = need.dominant(o.whole) / owed
	}
	return over
}

// compareMost is how many instances with room are compared for one task. In a
// larger pool each choice begins where the last one ended, so that all are looked at
// in turn.
const compareMost = 64

// choose picks the instance for a task, nil when none has room, and tells how many
// it was chosen over, itself included.
func (o *Owner) choose(hosts []*instance, t *task) (*instance, int) {
	var best *instance
	var bestScore float64
	over := 0
	first := 0
	if o.placer != FirstFit && len(hosts) > compareMost {
		first = o.cursor
	}
	for i := range hosts {
		at := hosts[(first+i)%len(hosts)]
		if t.job.Need.Shortage(at.Capacity.Minus(at.used)) != "" {
			continue
		}
		over++
		if o.placer == FirstFit {
			return at, over
		}
		score := o.score(at, t)
		if best == nil || score < bestScore {
			best, bestScore = at, score
		}
		if over == compareMost {
			o.cursor = (first + i + 1) % len(hosts)
			break
		}
	}
	return best, over
}

const (
	// rackWeight makes a job's tasks avoid a rack that holds many of them.
	rackWeight = 1.0
	// busyWeight makes tasks avoid instances whose slots serve requests.
	busyWeight = 0.05
	// failedWeight keeps a task away from an instance where runs failed of late.
	failedWeight = 1.0
	// leftWeight keeps a task from going back to the instance it left last, unless
	// no other has room.
	leftWeight = 10.0
)

// score is lower for a better instance.
func (o *Owner) score(at *instance, t *task) float64 {
	fill := at.used.Plus(t.job.Need).dominant(at.Capacity)
	same := at.ofJob[t.job]
	left := 0.0
	if at.Name == t.PreviousInstance {
		left = leftWeight
	}
	spread := float64(same) / float64(max(t.job.Tasks, 1))
	return fill + rackWeight*spread + busyWeight*float64(at.busy) + failedWeight*float64(at.failures) + left
}
