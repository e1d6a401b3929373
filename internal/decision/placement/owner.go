package placement

import (
	"maps"
	"slices"
	"time"
)

const (
	// maxClockDrift is the highest assumed difference of the rates of the owner's and an
	// agent's clock, as a fraction. The owner treats a grant as expired only after the TTL
	// and this fraction of it.
	maxClockDrift = 0.02
	// lostTimeout is how long a non-idempotent task on a lost instance stays placed. If the
	// instance hasn't reported on the task by then, the task ends as unknown.
	lostTimeout = 2 * time.Minute
	// maxFailures is the number of failed runs after which an idempotent task ends as
	// failed.
	maxFailures = 3
	// excludeAfter is the number of consecutive failed runs after which an instance gets no
	// new tasks for excludeTime.
	excludeAfter = 3
	excludeTime  = 30 * time.Second
)

// Instance is the description of an instance that its agent announces.
type Instance struct {
	Name     string
	Domain   string
	Rack     string
	Capacity Resources
}

// instance is the owner's state of one instance.
type instance struct {
	Instance
	session             uint64 // the latest issued to an agent of it
	workerIncarnation   string
	sequence            uint64
	used                Resources
	busy                int // requests in its slots, as last reported
	draining            bool
	lastHeartbeat       time.Time
	grantExpiry         time.Time // all grants issued to it have expired after this
	tasks               map[string]*task
	tasksByJob          map[*job]int // number of tasks by job
	consecutiveFailures int
	excludedUntil       time.Time
}

// task is a task's committed record together with the facts that are not committed yet.
type task struct {
	Task
	job          *job
	chunk        *chunk
	index        int // in the chunk
	reported     *TaskStatus
	unlisted     bool // the latest heartbeat proves that its instance doesn't run it
	cancelled    bool
	evictReason  string    // why it is to leave its instance; empty if it isn't
	lostSince    time.Time // when its instance was found lost; zero if it wasn't
	candidates   int       // instances with room that were compared when it was placed
	quotaDelayed bool      // its workspace's quota delayed it
}

// departing reports whether the commit in flight takes a placed task off its instance. The
// facts behind that decision may have changed since, but the commit can still succeed. The
// result means nothing for a task that isn't placed.
func (t *task) departing() bool {
	if t.chunk.next == nil {
		return false
	}
	next := t.chunk.next[t.index]
	return next.State != Placed || next.Attempt != t.Attempt
}

func (t *task) name() string { return TaskName(t.job.ID, t.Number) }

type job struct {
	Job
	cancelled bool
	chunks    []*chunk
}

type chunk struct {
	index    int
	revision uint64
	tasks    []*task
	dirty    bool
	next     []Task // the records of the commit in flight; nil if the chunk isn't part of it
}

// Strategy is the rule by which an instance is chosen for a task.
type Strategy int

//go:generate stringer -type=Strategy -linecomment

// The strategies. Spread picks the instance with the best score. FirstFit picks the first
// instance with room and is the baseline for comparison.
const (
	Spread   Strategy = iota // spread
	FirstFit                 // first-fit
)

// Owner schedules the tasks of one shard, in the entry that owns the shard. It isn't safe
// for concurrent use.
type Owner struct {
	strategy    Strategy
	epoch       uint64
	ttl         time.Duration
	claimedAt   time.Time
	shares      map[string]float64
	quotas      map[string]Resources
	jobs        map[string]*job
	instances   map[string]*instance
	names       []string // of instances, sorted: decisions must not depend on map order
	waiting     map[*task]bool
	used        map[string]Resources // by workspace
	capacity    Resources            // capacity of all instances
	cursor      int                  // where choose starts in the eligible instances, if there are more than maxCandidates
	lastSession uint64               // the latest session issued; they are numbered from 1
	dirty       []*chunk
	pending     []*chunk // chunks of the commit in flight
	decisions   []Decision
	evacuated   map[string]bool // failure domains on whose instances nothing is placed
}

//go:generate stringer -type=Action -linecomment

// Action is the kind of a decision about a task.
type Action int

// The actions. Place puts a task on an instance, Requeue takes it off and makes it wait
// again, End gives it a final state, and Hold leaves it on a lost instance, since it may
// have run there and isn't idempotent.
const (
	Place   Action = iota // place
	Requeue               // return
	End                   // end
	Hold                  // hold
)

// Decision is one decision about a task, for the log and the ledger.
type Decision struct {
	Action       Action
	Job          Job
	Task         int
	Attempt      int
	Instance     string // the new one for Place, the one it was on otherwise; empty if none
	Candidates   int    // Place: instances with room that were compared
	State        State
	Late         bool // End: it ended after its deadline
	Evicted      bool // Requeue: the owner or the agent stopped its run
	Lost         bool // Requeue: its instance was lost
	QuotaDelayed bool // End: its workspace's quota delayed it
	Reason       string
}

// New returns the owner of a shard that was claimed at now with the given epoch. Grants
// are valid for ttl.
func New(now time.Time, strategy Strategy, epoch uint64, ttl time.Duration) *Owner {
	return &Owner{
		strategy:  strategy,
		epoch:     epoch,
		ttl:       ttl,
		claimedAt: now,
		shares:    map[string]float64{},
		quotas:    map[string]Resources{},
		jobs:      map[string]*job{},
		instances: map[string]*instance{},
		waiting:   map[*task]bool{},
		used:      map[string]Resources{},
	}
}

// Epoch returns the ownership epoch of the shard.
func (o *Owner) Epoch() uint64 { return o.epoch }

// SetShares replaces the shares that the contract gives to each workspace, in percent.
func (o *Owner) SetShares(shares map[string]float64) { o.shares = maps.Clone(shares) }

// SetQuotas replaces the limits on what the placed tasks of each workspace may use of the
// instances of this shard; zero in a dimension means no limit there.
func (o *Owner) SetQuotas(quotas map[string]Resources) { o.quotas = maps.Clone(quotas) }

// exceedsQuota reports whether placing the task would exceed its workspace's quota.
func (o *Owner) exceedsQuota(t *task) bool {
	quota, bound := o.quotas[t.job.Workspace]
	if !bound {
		return false
	}
	total := o.used[t.job.Workspace].Plus(t.job.Need)
	return quota.Processors > 0 && total.Processors > quota.Processors+roundingTolerance ||
		quota.Memory > 0 && total.Memory > quota.Memory ||
		quota.Accelerators > 0 && total.Accelerators > quota.Accelerators
}

// Load adds a chunk as read from the table, with the revision of its row. A chunk that is
// already loaded is ignored.
func (o *Owner) Load(now time.Time, spec Job, stored Chunk, revision uint64) {
	j, ok := o.jobs[spec.ID]
	if !ok {
		j = &job{Job: spec}
		o.jobs[spec.ID] = j
	}
	if slices.ContainsFunc(j.chunks, func(c *chunk) bool { return c.index == stored.Index }) {
		return
	}
	added := &chunk{index: stored.Index, revision: revision}
	j.chunks = append(j.chunks, added)
	for _, record := range stored.Tasks {
		o.loadTask(now, j, added, record)
	}
}

// loadTask adds one task of a chunk that is being loaded.
func (o *Owner) loadTask(now time.Time, j *job, c *chunk, record Task) {
	loaded := &task{Task: record, job: j, chunk: c, index: len(c.tasks), cancelled: j.cancelled}
	c.tasks = append(c.tasks, loaded)
	switch record.State {
	case Waiting:
		o.waiting[loaded] = true
		if loaded.cancelled {
			o.markDirty(c)
		}
	case Placed:
		o.allocate(o.instance(now, record.Instance), loaded)
	case Done, Failed, Cancelled, Unknown:
	}
}

// instance returns the state of the named instance and adds it if it is unknown. For an
// added one, grants of an earlier owner may be valid until one TTL, plus clock drift,
// after the claim of the shard.
func (o *Owner) instance(now time.Time, name string) *instance {
	known, ok := o.instances[name]
	if !ok {
		known = &instance{
			Instance:      Instance{Name: name},
			lastHeartbeat: now,
			grantExpiry:   o.claimedAt.Add(o.grantLifetime()),
			tasks:         map[string]*task{},
			tasksByJob:    map[*job]int{},
		}
		o.instances[name] = known
		pos, _ := slices.BinarySearch(o.names, name)
		o.names = slices.Insert(o.names, pos, name)
	}
	return known
}

// grantLifetime returns how long after a reply its grant may be valid, by the owner's clock: on a
// clock that runs slow by maxClockDrift the TTL takes 1/(1-maxClockDrift) times as long.
func (o *Owner) grantLifetime() time.Duration {
	return time.Duration(float64(o.ttl) / (1 - maxClockDrift))
}

// allocate adds a task and its resources to an instance. allocate and release maintain the
// sums by instance and by workspace, so that Plan needn't add up all tasks.
func (o *Owner) allocate(inst *instance, placed *task) {
	j := placed.job
	inst.tasks[placed.name()] = placed
	inst.tasksByJob[j]++
	inst.used = inst.used.Plus(j.Need)
	o.used[j.Workspace] = o.used[j.Workspace].Plus(j.Need)
}

// release removes a task and its resources from an instance.
func (o *Owner) release(inst *instance, placed *task) {
	j := placed.job
	delete(inst.tasks, placed.name())
	inst.tasksByJob[j]--
	if inst.tasksByJob[j] == 0 {
		delete(inst.tasksByJob, j)
	}
	inst.used = inst.used.Minus(j.Need)
	o.used[j.Workspace] = o.used[j.Workspace].Minus(j.Need)
}

// Announce adds an instance or updates its description and capacity.
func (o *Owner) Announce(now time.Time, announced Instance) {
	inst := o.instance(now, announced.Name)
	o.capacity = o.capacity.Minus(inst.Capacity).Plus(announced.Capacity)
	inst.Instance = announced
}

// Cancel cancels a job. Waiting tasks end with the next commits; placed ones are stopped by
// their agents first. Unknown jobs are ignored.
func (o *Owner) Cancel(id string) {
	cancelled, ok := o.jobs[id]
	if !ok || cancelled.cancelled {
		return
	}
	cancelled.cancelled = true
	for _, c := range cancelled.chunks {
		for _, t := range c.tasks {
			t.cancelled = true
		}
		o.markDirty(c)
	}
}

// Evict requests that a placed task is stopped with a checkpoint and placed again. It
// returns false if the task is unknown or not placed, or if its chunk is part of the commit
// in flight.
func (o *Owner) Evict(id string, number int, reason string) bool {
	j, ok := o.jobs[id]
	if !ok {
		return false
	}
	for _, c := range j.chunks {
		for _, t := range c.tasks {
			if t.Number == number && t.State == Placed && c.next == nil {
				t.evictReason = reason
				return true
			}
		}
	}
	return false
}

// markDirty adds a chunk to those that the next Plan examines.
func (o *Owner) markDirty(c *chunk) {
	if !c.dirty {
		c.dirty = true
		o.dirty = append(o.dirty, c)
	}
}

// Decisions returns and clears the decisions committed since the last call.
func (o *Owner) Decisions() []Decision {
	decided := o.decisions
	o.decisions = nil
	return decided
}

// Counts returns the number of waiting tasks and of placed ones. Planned placements count
// as placed before they are committed.
func (o *Owner) Counts() (waiting, placed int) {
	for _, known := range o.instances {
		placed += len(known.tasks)
	}
	return len(o.waiting), placed
}

// AllFinal reports whether all tasks of a job have a committed final state. It is true for
// an unknown job.
func (o *Owner) AllFinal(id string) bool {
	j, ok := o.jobs[id]
	if !ok {
		return true
	}
	for _, c := range j.chunks {
		for _, t := range c.tasks {
			if !t.State.Final() {
				return false
			}
		}
	}
	return true
}
