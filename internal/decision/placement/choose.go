package placement

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxPlacements bounds the tasks placed by one commit.
	maxPlacements = 256
	// urgentSlack is the slack below which a task is urgent: it is placed before tasks that
	// aren't, whatever share its workspace uses. A task without positive slack is expected to
	// miss its deadline anyway and isn't urgent. Slack is the time to the deadline less the
	// declared runtime.
	urgentSlack = 5 * time.Second
	// noDeadlineSlack is the slack of a task without a deadline.
	noDeadlineSlack = 365 * 24 * time.Hour
)

// queuedTask is a waiting task with its sort keys.
type queuedTask struct {
	task       *task
	slack      time.Duration
	urgent     bool
	usageRatio float64 // dominant share of its workspace, divided by its contractual share
}

// placeWaiting stages a placement for each waiting task that fits on an instance and into
// its workspace's quota, in the order of sortedWaiting, and at most maxPlacements of them.
func (o *Owner) placeWaiting(now time.Time) {
	eligible := o.eligibleInstances(now)
	if len(eligible) == 0 || len(o.waiting) == 0 {
		return
	}
	unplaceable := map[Resources]bool{} // requirements that fit on no instance in this round
	placed := 0
	for _, next := range o.sortedWaiting(now) {
		if placed == maxPlacements {
			return
		}
		need := next.task.job.Need
		if unplaceable[need] {
			continue
		}
		if o.exceedsQuota(next.task) {
			next.task.quotaDelayed = true
			continue
		}
		inst, candidates := o.choose(eligible, next.task)
		if inst == nil {
			unplaceable[need] = true
			continue
		}
		next.task.candidates = candidates
		o.place(next.task, inst)
		placed++
	}
}

// place stages the placement of a task. It allocates the resources at once, so that the
// same commit can't assign them twice.
func (o *Owner) place(t *task, inst *instance) {
	o.stage(t.chunk)
	next := &t.chunk.next[t.index]
	next.State = Placed
	next.Attempt++
	next.Instance = inst.Name
	next.WorkerIncarnation = inst.workerIncarnation
	delete(o.waiting, t)
	o.allocate(inst, t)
}

// eligibleInstances returns the instances that may get new tasks, in order of name. Those
// without a recent heartbeat, draining, in an evacuated domain, or excluded after failures are left out.
func (o *Owner) eligibleInstances(now time.Time) []*instance {
	var eligible []*instance
	for _, name := range o.names {
		inst := o.instances[name]
		responsive := inst.workerIncarnation != "" && now.Sub(inst.lastHeartbeat) <= o.ttl
		if responsive && !inst.draining && !o.evacuated[inst.Domain] && !now.Before(inst.excludedUntil) {
			eligible = append(eligible, inst)
		}
	}
	return eligible
}

// sortedWaiting returns the waiting tasks in the order in which they are placed: urgent
// tasks first, then by the usage ratio of their workspace, then by slack.
func (o *Owner) sortedWaiting(now time.Time) []queuedTask {
	ratios := o.usageRatios()
	ordered := make([]queuedTask, 0, len(o.waiting))
	for t := range o.waiting {
		slack := noDeadlineSlack
		if !t.job.Deadline.IsZero() {
			slack = t.job.Deadline.Sub(now) - t.job.Runtime
		}
		ordered = append(ordered, queuedTask{
			task:       t,
			slack:      slack,
			urgent:     slack > 0 && slack < urgentSlack,
			usageRatio: ratios[t.job.Workspace],
		})
	}
	slices.SortFunc(ordered, compareQueued)
	return ordered
}

// compareQueued orders queued tasks for slices.SortFunc. Job ID and task number make the
// order total, so that it doesn't depend on the iteration order of a map.
func compareQueued(a, b queuedTask) int {
	if a.urgent != b.urgent {
		if a.urgent {
			return -1
		}
		return 1
	}
	return cmp.Or(
		cmp.Compare(a.usageRatio, b.usageRatio),
		cmp.Compare(a.slack, b.slack),
		cmp.Compare(a.task.job.ID, b.task.job.ID),
		cmp.Compare(a.task.Number, b.task.Number),
	)
}

// usageRatios returns, by workspace, the dominant share of what its tasks use in the
// capacity of all instances, divided by the percentage that the contract gives it (1 if
// none).
func (o *Owner) usageRatios() map[string]float64 {
	ratios := make(map[string]float64, len(o.used))
	for workspace, used := range o.used {
		share := o.shares[workspace]
		if share <= 0 {
			share = 1
		}
		ratios[workspace] = used.dominantShare(o.capacity) / share
	}
	return ratios
}

// maxCandidates bounds the instances with room that are compared for one task. With more
// eligible instances, each choice starts where the previous one ended, so that all
// instances are considered in turn.
const maxCandidates = 64

// choose returns the instance for a task, nil if none has room, and the number of
// instances with room that were compared, including the one chosen.
func (o *Owner) choose(eligible []*instance, t *task) (*instance, int) {
	var best *instance
	var bestScore float64
	candidates := 0
	first := 0
	if o.strategy != FirstFit && len(eligible) > maxCandidates {
		first = o.cursor
	}
	for i := range eligible {
		inst := eligible[(first+i)%len(eligible)]
		if t.job.Need.Shortage(inst.Capacity.Minus(inst.used)) != "" {
			continue
		}
		candidates++
		if o.strategy == FirstFit {
			return inst, candidates
		}
		score := o.score(inst, t)
		if best == nil || score < bestScore {
			best, bestScore = inst, score
		}
		if candidates == maxCandidates {
			o.cursor = (first + i + 1) % len(eligible)
			break
		}
	}
	return best, candidates
}

const (
	// spreadWeight is multiplied by the fraction of the job's tasks that the instance holds.
	// It spreads a job's tasks over instances.
	spreadWeight = 1.0
	// busyWeight is multiplied by the number of requests in the slots of the instance. It
	// makes tasks avoid instances that serve requests.
	busyWeight = 0.05
	// failureWeight is multiplied by the number of consecutive failed runs on the instance.
	// It keeps tasks away from an instance where runs failed recently.
	failureWeight = 1.0
	// previousWeight is added for the instance that the task left last. It exceeds the other
	// terms unless an instance has about 200 requests in its slots or had 10 failed runs in a
	// row, so the task rarely returns there while another instance has room.
	previousWeight = 10.0
)

// score rates an instance for a task; a lower score is better. It adds the utilization
// after placement, from 0 to 1, to the weighted terms above.
func (o *Owner) score(inst *instance, t *task) float64 {
	utilization := inst.used.Plus(t.job.Need).dominantShare(inst.Capacity)
	sameJob := inst.tasksByJob[t.job]
	previousPenalty := 0.0
	if inst.Name == t.PreviousInstance {
		previousPenalty = previousWeight
	}
	spread := float64(sameJob) / float64(max(t.job.Tasks, 1))
	return utilization + spreadWeight*spread + busyWeight*float64(inst.busy) + failureWeight*float64(inst.consecutiveFailures) + previousPenalty
}
