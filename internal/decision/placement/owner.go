package placement

import (
	"maps"
	"slices"
	"time"
)

const (
	// driftShare is added to the time after which a grant counts as lapsed, for
	// clocks that run at different rates.
	driftShare = 0.02
	// settleBound is how long a non-idempotent task waits for its lost instance
	// to say what became of it before it ends as unknown.
	settleBound = 2 * time.Minute
	// failuresMost is how many failed runs end an idempotent task.
	failuresMost = 3
	// sickAfter is how many failed runs in a row set an instance aside, for sickTime.
	sickAfter = 3
	sickTime  = 30 * time.Second
)

// Instance is what an agent announces of its instance.
type Instance struct {
	Name     string
	Domain   string
	Rack     string
	Capacity Resources
}

type instance struct {
	Instance
	session   uint64 // the latest given to an agent of it
	boot      string
	sequence  uint64
	used      Resources
	busy      int // requests in its slots
	leaving   bool
	heard     time.Time
	lapse     time.Time // no grant given to it is in force after this
	tasks     map[string]*task
	ofJob     map[*job]int // how many of tasks are of a job
	failures  int
	sickUntil time.Time
}

type task struct {
	Task
	job       *job
	chunk     *chunk
	index     int // in the chunk
	held      *TaskStatus
	unlisted  bool // the agent's latest beat of the placement's boot did not list it
	cancelled bool
	evict     string // reason, when it is to leave its instance
	lostSince time.Time
	over      int  // instances that had room when it was placed
	quota     bool // it waited because of its workspace's quota
}

// moving tells whether a commit under way takes the task off its instance: what it
// was decided on may be past, but the decision can land.
func (t *task) moving() bool {
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
	index   int
	version uint64
	tasks   []*task
	dirty   bool
	next    []Task // being committed
}

// Strategy is the rule by which an instance is chosen for a task.
type Strategy int

//go:generate stringer -type=Strategy -linecomment

// The placers. FirstFit is the baseline.
const (
	Spread   Strategy = iota // spread
	FirstFit                 // first-fit
)

// Owner is the state of one shard in the entry that owns it.
type Owner struct {
	placer    Strategy
	epoch     uint64
	ttl       time.Duration
	claimed   time.Time
	shares    map[string]float64
	quotas    map[string]Resources
	jobs      map[string]*job
	instances map[string]*instance
	names     []string // of instances, sorted: decisions must not hang on map order
	waiting   map[*task]bool
	used      map[string]Resources // by workspace
	whole     Resources            // capacity of all instances
	cursor    int                  // where choose begins to look
	sessions  uint64               // given so far
	dirty     []*chunk
	inflight  []*chunk
	decisions []Decision
}

//go:generate stringer -type=Action -linecomment

// Action is the kind of a decision about a task.
type Action int

// The moves of a task.
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
	Instance     string
	Candidates   int // instances that had room
	State        State
	Late         bool // it ended after its deadline
	Evicted      bool // it left its instance by the owner's or the agent's wish
	Lost         bool // its instance was lost
	QuotaDelayed bool // it waited because of its workspace's quota
	Reason       string
}

// New makes the owner of a shard that was claimed with epoch at now. Grants last ttl.
func New(now time.Time, placer Strategy, epoch uint64, ttl time.Duration) *Owner {
	return &Owner{
		placer:    placer,
		epoch:     epoch,
		ttl:       ttl,
		claimed:   now,
		shares:    map[string]float64{},
		quotas:    map[string]Resources{},
		jobs:      map[string]*job{},
		instances: map[string]*instance{},
		waiting:   map[*task]bool{},
		used:      map[string]Resources{},
	}
}

// Epoch is the epoch under which the shard is owned.
func (o *Owner) Epoch() uint64 { return o.epoch }

// SetShares sets what the contract owes each workspace, in percent.
func (o *Owner) SetShares(shares map[string]float64) { o.shares = maps.Clone(shares) }

// SetQuotas sets the most that each workspace's tasks may use of the instances of
// this shard; zero in a dimension means no bound there.
func (o *Owner) SetQuotas(quotas map[string]Resources) { o.quotas = maps.Clone(quotas) }

// overQuota tells whether a task more takes its workspace over its quota.
func (o *Owner) overQuota(t *task) bool {
	quota, bound := o.quotas[t.job.Workspace]
	if !bound {
		return false
	}
	with := o.used[t.job.Workspace].Plus(t.job.Need)
	return quota.Processors > 0 && with.Processors > quota.Processors+roundingSlack ||
		quota.Memory > 0 && with.Memory > quota.Memory ||
		quota.Accelerators > 0 && with.Accelerators > quota.Accelerators
}

// Load adds a chunk as read from the table, with its row's version.
func (o *Owner) Load(now time.Time, of Job, read Chunk, version uint64) {
	owned, ok := o.jobs[of.ID]
	if !ok {
		owned = &job{Job: of}
		o.jobs[of.ID] = owned
	}
	if slices.ContainsFunc(owned.chunks, func(c *chunk) bool { return c.index == read.Index }) {
		return
	}
	added := &chunk{index: read.Index, version: version}
	owned.chunks = append(owned.chunks, added)
	for _, record := range read.Tasks {
		o.loadTask(now, owned, added, record)
	}
}

func (o *Owner) loadTask(now time.Time, of *job, in *chunk, record Task) {
	loaded := &task{Task: record, job: of, chunk: in, index: len(in.tasks), cancelled: of.cancelled}
	in.tasks = append(in.tasks, loaded)
	switch record.State {
	case Waiting:
		o.waiting[loaded] = true
		if loaded.cancelled {
			o.mark(in)
		}
	case Placed:
		o.occupy(o.instance(now, record.Instance), loaded)
	case Done, Failed, Cancelled, Unknown:
	}
}

// instance finds the state of the instance named, or makes one that has not
// beaten yet: an earlier owner may have granted it until a ttl after the claim.
func (o *Owner) instance(now time.Time, name string) *instance {
	known, ok := o.instances[name]
	if !ok {
		known = &instance{
			Instance: Instance{Name: name},
			heard:    now,
			lapse:    o.claimed.Add(o.lapseTime()),
			tasks:    map[string]*task{},
			ofJob:    map[*job]int{},
		}
		o.instances[name] = known
		at, _ := slices.BinarySearch(o.names, name)
		o.names = slices.Insert(o.names, at, name)
	}
	return known
}

func (o *Owner) lapseTime() time.Duration {
	return o.ttl + time.Duration(driftShare*float64(o.ttl))
}

// occupy and vacate keep what is used, by instance and by workspace, as tasks come
// and go, so that a plan need not add up all tasks.
func (o *Owner) occupy(at *instance, placed *task) {
	of := placed.job
	at.tasks[placed.name()] = placed
	at.ofJob[of]++
	at.used = at.used.Plus(of.Need)
	o.used[of.Workspace] = o.used[of.Workspace].Plus(of.Need)
}

func (o *Owner) vacate(at *instance, placed *task) {
	of := placed.job
	delete(at.tasks, placed.name())
	at.ofJob[of]--
	if at.ofJob[of] == 0 {
		delete(at.ofJob, of)
	}
	at.used = at.used.Minus(of.Need)
	o.used[of.Workspace] = o.used[of.Workspace].Minus(of.Need)
}

// Announce takes what an agent says of its instance.
func (o *Owner) Announce(now time.Time, announced Instance) {
	at := o.instance(now, announced.Name)
	o.whole = o.whole.Minus(at.Capacity).Plus(announced.Capacity)
	at.Instance = announced
}

// Cancel stops a job: what waits ends, what runs is stopped first.
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
		o.mark(c)
	}
}

// Evict asks that a placed task leave its instance, with the reason.
func (o *Owner) Evict(id string, number int, why string) bool {
	owned, ok := o.jobs[id]
	if !ok {
		return false
	}
	for _, c := range owned.chunks {
		for _, t := range c.tasks {
			if t.Number == number && t.State == Placed && c.next == nil {
				t.evict = why
				return true
			}
		}
	}
	return false
}

func (o *Owner) mark(c *chunk) {
	if !c.dirty {
		c.dirty = true
		o.dirty = append(o.dirty, c)
	}
}

// Decisions returns and clears what was decided since the last call.
func (o *Owner) Decisions() []Decision {
	decided := o.decisions
	o.decisions = nil
	return decided
}

// Counts is the number of tasks that wait and that are placed.
func (o *Owner) Counts() (waiting, placed int) {
	for _, known := range o.instances {
		placed += len(known.tasks)
	}
	return len(o.waiting), placed
}

// Finished tells whether no task of a job can run any more, as committed.
func (o *Owner) Finished(id string) bool {
	owned, ok := o.jobs[id]
	if !ok {
		return true
	}
	for _, c := range owned.chunks {
		for _, t := range c.tasks {
			if !t.State.Final() {
				return false
			}
		}
	}
	return true
}
