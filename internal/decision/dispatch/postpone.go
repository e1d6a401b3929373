package dispatch

import (
	"container/heap"
	"fmt"
	"hash/fnv"
	"math"
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
//
// The rule postpones the largest jobs first. While an overload is so deep that it would leave them
// without service, the favored jobs of all sizes are placed first, and postponed last.
func postpone(now time.Time, jobs []ranked, available map[pool]int) {
	backlogs := map[pool]*backlog{}
	for i := range jobs {
		j := &jobs[i]
		if j.rank != onTime {
			break
		}
		shared, ok := poolOf(j.jobState)
		if !ok {
			continue
		}
		if backlogs[shared] == nil {
			backlogs[shared] = &backlog{processors: available[shared]}
		}
		backlogs[shared].jobs = append(backlogs[shared].jobs, j)
	}
	for _, b := range backlogs {
		if b.postpone(now) <= deepOverload {
			continue
		}
		for _, j := range b.jobs {
			j.first = j.favored
		}
		b.postpone(now)
	}
}

const (
	// deepOverload is the share of the work that is postponed from which on favored jobs go first.
	deepOverload = 0.4
	// favoredShare is the share of the jobs that are favored.
	favoredShare = 0.25
)

// isFavored reports whether a job is one of those that go first in a deep overload. They are drawn
// by lot, the same for each owner. The time of acceptance is part of the draw, so that callers can't
// choose an ID that wins.
func isFavored(job *Job) bool {
	hash := fnv.New32a()
	fmt.Fprintf(hash, "%d %s", job.Accepted, job.ID)
	return float64(hash.Sum32()) < favoredShare*math.MaxUint32
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

// backlog is the on-time jobs of one pool.
type backlog struct {
	processors int       // thousandths of a core
	jobs       []*ranked // in order of their priority and objective
	work       float64   // of the jobs taken, in thousandths of a core times seconds
	priority   int       // of the jobs in taken
	taken      byCost
}

// postpone marks the jobs for which the processors do not suffice. It returns their share of the
// work.
func (b *backlog) postpone(now time.Time) float64 {
	b.work, b.taken = 0, nil
	whole := 0.0
	for _, j := range b.jobs {
		j.postponed = false
		whole += j.work
		b.take(now, j)
	}
	if whole == 0 {
		return 0
	}
	return 1 - b.work/whole
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

// byCost is a heap of jobs, the one that costs the most first; jobs that are placed first come last.
// The cost of a job is the work that is left of it, times the share of its work that this is: what
// has been done is not to be lost. A job without an estimate costs nothing.
type byCost []*ranked

func (b byCost) Len() int { return len(b) }
func (b byCost) Less(i, j int) bool {
	if b[i].first != b[j].first {
		return b[j].first
	}
	return b[i].cost() > b[j].cost()
}
func (b byCost) Swap(i, j int) { b[i], b[j] = b[j], b[i] }

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
