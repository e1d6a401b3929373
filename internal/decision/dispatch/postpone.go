package dispatch

import (
	"container/heap"
	"time"
)

// pool identifies the processors that some jobs share: those of the instances of one service, that
// are left for best-effort tasks or that other tasks can reserve.
type pool struct {
	service    string
	bestEffort bool
}

// poolOf returns the pool of a job's tasks. ok is false if the job has no objective, or tasks of
// both kinds.
func poolOf(j *jobState) (shared pool, ok bool) {
	if len(j.spec.Steps) == 0 {
		return pool{}, false
	}
	bestEffort := j.spec.Steps[0].BestEffort
	return pool{j.spec.Policy.Service, bestEffort}, !j.alwaysOnTime() && j.hasOnly(bestEffort)
}

// postpone marks the on-time jobs for which the processors do not suffice. jobs are ordered by
// rank, priority and objective; available holds the processors of each pool, in thousandths of a
// core.
//
// It is the rule of Moore and Hodgson, by which the fewest jobs miss their objective: the jobs
// are taken in order, and whenever those taken so far need more work than the processors can do
// before the last one counts as late, the one that costs the most is postponed. Without it, a
// queue in the order of the objectives that is longer than the processors can serve starts each
// job so late that most miss their objective. Jobs of a lower priority never postpone others.
func postpone(now time.Time, jobs []ranked, available map[pool]int) {
	backlogs := map[pool]*backlog{}
	for i := range jobs {
		j := &jobs[i]
		if j.rank != onTime {
			return
		}
		shared, ok := poolOf(j.jobState)
		if !ok {
			continue
		}
		if backlogs[shared] == nil {
			backlogs[shared] = &backlog{processors: available[shared]}
		}
		backlogs[shared].take(now, j)
	}
}

// Postponement says that a job was postponed for the first time.
type Postponement struct {
	Job   string
	Work  float64 // estimate of the work left, in core-seconds
	Cores float64 // of its pool
}

// TakePostponements returns the jobs that were postponed for the first time since the last call.
func (s *Scheduler) TakePostponements() []Postponement {
	postponements := s.postponements
	s.postponements = nil
	return postponements
}

func (s *Scheduler) notePostponed(jobs []ranked, available map[pool]int) {
	for i := range jobs {
		j := &jobs[i]
		if !j.postponed || j.postponedBefore {
			continue
		}
		j.postponedBefore = true
		shared, _ := poolOf(j.jobState)
		s.postponements = append(s.postponements, Postponement{Job: j.spec.ID, Work: j.work / 1000, Cores: float64(available[shared]) / 1000})
	}
}

// backlog is the work of the jobs of one pool.
type backlog struct {
	processors int     // thousandths of a core
	work       float64 // of the jobs taken, in thousandths of a core times seconds
	priority   int     // of the jobs in taken
	taken      byCost
}

// take adds a job, and postpones one if the processors do not suffice.
func (b *backlog) take(now time.Time, j *ranked) {
	if priority := j.spec.Policy.Priority; priority != b.priority {
		b.priority, b.taken = priority, nil
	}
	heap.Push(&b.taken, j)
	b.work += j.work
	if b.work > float64(b.processors)*j.lateAt.Sub(now).Seconds() {
		largest := heap.Pop(&b.taken).(*ranked)
		largest.postponed = true
		b.work -= largest.work
	}
}

// byCost is a heap of jobs, the one that costs the most first. The cost of a job is the work that is
// left of it, times the share of its work that this is: what has been done is not to be lost. A job
// without an estimate costs nothing.
type byCost []*ranked

func (b byCost) Len() int           { return len(b) }
func (b byCost) Less(i, j int) bool { return b[i].cost() > b[j].cost() }
func (b byCost) Swap(i, j int)      { b[i], b[j] = b[j], b[i] }

func (r *ranked) cost() float64 {
	if r.work == 0 {
		return 0
	}
	return r.work * r.work / r.wholeWork()
}

// Push adds a job.
func (b *byCost) Push(x any) { *b = append(*b, x.(*ranked)) }

// Pop removes the last job.
func (b *byCost) Pop() any {
	last := (*b)[len(*b)-1]
	*b = (*b)[:len(*b)-1]
	return last
}
