package owner

import (
	"context"
	"encoding/json"
	"time"

	"github.com/apricotwind/apricotwind/internal/decision/dispatch"
	"github.com/apricotwind/apricotwind/internal/decision/interference"
	"github.com/apricotwind/apricotwind/internal/link"
	"github.com/apricotwind/apricotwind/internal/logs"
	"github.com/apricotwind/apricotwind/pkg/platform/table"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

const (
	// grantTTL is the lease that a report earns, from when it was sent. It is also the
	// least time until the tasks of an instance that went silent start elsewhere.
	grantTTL = 3500 * time.Millisecond
	// grantWait is when a grant has lapsed for certain: clocks may differ by 2 %.
	grantWait = grantTTL + grantTTL/40 + 50*time.Millisecond
	// confirmTTL is how long an owner goes on granting without the table having
	// confirmed its epoch, so that work goes on while the table is away.
	confirmTTL = 4500 * time.Millisecond
	// doubtWait is the time from a claim until nothing that an earlier owner granted
	// lasts.
	doubtWait = confirmTTL + confirmTTL/40 + grantWait
	// tickPeriod is how often time alone makes the owner look at its book.
	tickPeriod = 50 * time.Millisecond
	// planRest is how many times as long as a plan took the owner does other things before
	// the next.
	planRest = 3
	// commitPause is the wait before a commit that nobody waits for.
	commitPause = 40 * time.Millisecond
	// refusedPause is the wait after the table has turned a commit away.
	refusedPause = 100 * time.Millisecond
	// catchUpPeriod is how often the owner looks for jobs and cancellations that no
	// entry has told it of.
	catchUpPeriod = 500 * time.Millisecond
	// orderBound is how long an agent may take to confirm orders.
	orderBound = time.Second
)

// Conn is one link to another process.
type Conn struct {
	conn *link.Conn
}

// NewConn makes a peer; Bind gives it its link.
func NewConn() *Conn { return &Conn{} }

// Bind sets the link of the peer.
func (p *Conn) Bind(conn *link.Conn) { p.conn = conn }

// session is an agent's session with the owner.
type session struct {
	peer    *Conn
	number  uint64
	life    dispatch.Incarnation
	full    bool  // its whole list has come
	seen    int64 // highest number of an end that the book has
	kept    int64 // highest number of an end that is in the table
	granted time.Time
	told    map[interference.Pair]float64 // weights that the agent knows
}

// term is one ownership of the shard. All of it runs on the loop.
type term struct {
	seat     *Elector
	log      *zap.Logger
	epoch    uint64
	under    uint64
	claimed  time.Time
	loaded   bool
	ended    bool
	book     *dispatch.Scheduler
	sessions map[string]*session // by life ID

	lapses   map[string]time.Time // instances without a session: when their grants are over
	versions map[table.RowKey]uint64
	changes  []dispatch.InstanceChange // rows of instances to be committed
	risky    map[string]time.Time      // until when a reborn instance may hold a lease of its life before
	losing   map[string]bool
	doubtful map[string]bool // instances whose row a removal without outcome may remove
	finished []finishedJob   // in the order of their ends

	submits []*submission

	committing bool
	commitDue  bool // a timer for the next commit runs
	pausedTill time.Time
	confirmed  time.Time // when a call that confirmed the epoch was sent
	planDue    bool
	planned    time.Time     // when the last plan was made
	planTook   time.Duration // and how long that took
	// commitTrouble logs commits that were not answered.
	commitTrouble *logs.FailureLogger
	costs         []interference.Estimate // as last written
	costsAt       time.Time
	feed          uint64
	beat          uint64
	stop          context.CancelFunc
	ctx           context.Context
	handedOver    func()
}

// finishedJob is a job whose rows are to be removed at a time.
type finishedJob struct {
	id     string
	remove time.Time
}

func newTerm(s *Elector, holder Holder, claimed time.Time) *term {
	ctx, stop := context.WithCancel(s.loop.Context())
	log := s.log.With(zap.Uint64("epoch", holder.Epoch))
	return &term{
		seat: s, log: log, commitTrouble: logs.NewFailureLogger(log, "commit-unanswered"),
		epoch: holder.Epoch, under: holder.OwnerVersion, claimed: claimed, confirmed: claimed,
		book: dispatch.New(holder.Epoch, holder.OwnerVersion), sessions: map[string]*session{},
		lapses: map[string]time.Time{}, versions: map[table.RowKey]uint64{}, losing: map[string]bool{}, doubtful: map[string]bool{}, risky: map[string]time.Time{},
		ctx: ctx, stop: stop,
	}
}

// post hands f to the loop, unless the term has ended by then.
func (t *term) post(f func()) {
	t.seat.loop.Post(func() {
		if !t.ended {
			f()
		}
	})
}

func (t *term) end() {
	t.ended = true
	t.stop()
	t.endSubmits()
	for _, s := range t.sessions {
		s.peer.conn.Close()
	}
	if t.handedOver != nil {
		t.handedOver()
	}
}

// load reads what earlier owners left, again until that works.
func (t *term) load() {
	t.run(alivePeriod, t.keepAlive)
	t.seat.loop.Go(func() {
		for t.ctx.Err() == nil {
			began := time.Now()
			left, err := t.read()
			if err == nil {
				t.post(func() { t.open(left, began) })
				return
			}
			t.log.Warn("load-failed", logs.Error(err))
			sleep(t.ctx, refusedPause)
		}
	})
}

// legacy is what earlier owners left in the table.
type legacy struct {
	instances, costs, jobs []table.Record
	version                uint64 // that the jobs were read at
}

func (t *term) read() (left legacy, err error) {
	bounded, cancel := context.WithTimeout(t.ctx, callMost)
	defer cancel()
	read := func(name string) (rows []table.Record, version uint64) {
		if err == nil {
			rows, version, err = t.seat.store.Read(bounded, table.Range{Table: name, Partition: shardPart})
		}
		return rows, version
	}
	left.instances, _ = read(tableInstances)
	left.costs, _ = read(tableCosts)
	left.jobs, left.version = read(tableJobs)
	return left, err
}

// open begins the work of the term with what the table holds.
func (t *term) open(left legacy, began time.Time) {
	for _, row := range left.instances {
		var offer dispatch.Registration
		if err := json.Unmarshal(row.Value, &offer); err != nil {
			t.log.Warn("row-ignored", zap.String("key", row.Key), logs.Error(err))
			continue
		}
		t.versions[row.RowKey] = row.Revision
		t.book.RestoreInstance(offer)
		t.lapses[offer.Incarnation.ID] = t.claimed.Add(doubtWait)
	}
	t.takeCosts(left.costs)
	t.takeRows(left.jobs)
	t.feed, t.loaded, t.confirmed = left.version, true, began
	t.log.Info("term", zap.Int("instances", len(left.instances)), zap.Int("rows", len(left.jobs)), zap.Duration("took", time.Since(t.claimed)))
	t.run(catchUpPeriod, t.catchUp)
	t.run(tickPeriod, t.tick)
	t.wake()
}

// run calls f on the loop each period until the term ends.
func (t *term) run(period time.Duration, f func()) {
	t.seat.loop.Go(func() {
		ticker := time.NewTicker(period)
		defer ticker.Stop()
		for {
			select {
			case <-t.ctx.Done():
				return
			case <-ticker.C:
				t.post(f)
			}
		}
	})
}

// takeRows takes rows of jobs that were read or have changed.
func (t *term) takeRows(rows []table.Record) {
	jobs := gatherJobs(rows, func(key string, err error) {
		t.log.Warn("row-ignored", zap.String("key", key), logs.Error(err))
	})
	for id, of := range jobs {
		if t.ended {
			return
		}
		if of.job != nil {
			if _, known := t.versions[jobPlace(id, suffixProgress)]; !known {
				t.versions[jobPlace(id, suffixProgress)] = of.progressVersion
			}
			t.accept(of.job, of.progress)
		}
		if of.cancelled {
			t.cancel(id)
		}
	}
}

func (t *term) accept(job *dispatch.Job, progress *dispatch.Progress) {
	if job.OwnerVersion > t.under {
		// Only the later owner may start it.
		t.seat.depose("a job was accepted under a later owner")
		return
	}
	if t.book.Accept(time.Now(), job, progress) {
		t.log.Info("job", zap.String("job", job.ID), zap.String("queue", job.Queue), zap.Int("steps", len(job.Steps)), zap.Uint64("under", job.OwnerVersion))
	} else if state, done := t.book.Finished(job.ID); done && progress != nil && progress.State == state {
		t.finished = append(t.finished, finishedJob{job.ID, time.Now().Add(t.seat.settings.Retention)})
	}
	t.wake()
}

func (t *term) cancel(id string) {
	if t.book.Cancel(id) {
		t.log.Info("cancel", zap.String("job", id))
		t.wake()
	}
}

// serve answers a call for the owner. It runs on the loop.
func (t *term) serve(peer *Conn, method string, params []byte) (any, error) {
	switch method {
	case link.MethodAttach:
		attach, err := link.Decode[link.Attach](params)
		if err != nil {
			return nil, err
		}
		return t.attach(peer, attach), nil
	case link.MethodReport:
		report, err := link.Decode[link.Report](params)
		if err != nil {
			return nil, err
		}
		return t.report(peer, report)
	case link.MethodAccepted:
		accepted, err := link.Decode[link.Accepted](params)
		if err == nil && accepted.Job.OwnerVersion == t.under {
			t.accept(&accepted.Job, nil)
		}
		return nil, err
	case link.MethodCancelled:
		cancelled, err := link.Decode[link.Cancelled](params)
		if err == nil {
			t.cancel(cancelled.ID)
		}
		return nil, err
	case link.MethodKnown:
		job, err := link.Decode[link.JobID](params)
		if err != nil {
			return nil, err
		}
		return t.known(job.ID), nil
	case link.MethodBacklog:
		return link.Backlog{Counts: t.book.Backlog()}, nil
	}
	return nil, errors.Newf("no method %s", method)
}

// known is what the book has of a job. Only last states that are in the table are told.
func (t *term) known(id string) link.Known {
	if state, done := t.book.Finished(id); done {
		return link.Known{Known: true, State: state}
	}
	return link.Known{Known: t.book.Active(id), State: dispatch.Running}
}

// wake plans soon: at once, if the last plan is long enough ago for what it took.
func (t *term) wake() {
	if t.planDue || !t.loaded {
		return
	}
	t.planDue = true
	plan := func() {
		t.post(func() {
			t.planDue = false
			t.dispatch()
		})
	}
	if rest := time.Until(t.planned.Add(planRest * t.planTook)); rest > 0 {
		time.AfterFunc(min(rest, tickPeriod), plan)
		return
	}
	plan()
}

// tick does what time alone brings.
func (t *term) tick() {
	t.book.Trigger(t.seat.unix())
	t.lose()
	t.dispatch()
}

// dispatch sends out what the book decides and commits what it wants kept.
func (t *term) dispatch() {
	orders := map[string]*link.Orders{}
	of := func(id string) *link.Orders {
		if orders[id] == nil {
			orders[id] = &link.Orders{}
		}
		return orders[id]
	}
	now := time.Now()
	starts := t.book.Plan(now)
	t.planned = time.Now()
	t.planTook = t.planned.Sub(now)
	t.seat.set.Observe("plan", t.planTook)
	for _, start := range starts {
		t.log.Info("start", zap.Stringer("task", start.Task), zap.Int64("run", start.Run), zap.String("instance", start.Instance))
		of(start.Instance).Starts = append(of(start.Instance).Starts, startOrder(start))
	}
	for _, stop := range t.book.TakeStops() {
		t.log.Info("stop", zap.Stringer("task", stop.Task), zap.Int64("run", stop.Run), zap.String("instance", stop.Instance))
		of(stop.Instance).Stops = append(of(stop.Instance).Stops, link.StopOrder{Task: stop.Task, Run: stop.Run})
	}
	for id, order := range orders {
		t.send(id, order)
	}
	t.takeChanges()
	t.scheduleCommit()
}

// takeChanges takes the rows of instances that are to be written or removed. For one that
// is given up already nobody waits any more.
func (t *term) takeChanges() {
	for _, change := range t.book.TakeInstanceChanges() {
		t.changes = append(t.changes, change)
		if change.Gone {
			delete(t.lapses, change.Registration.Incarnation.ID)
		}
	}
}

// send gives an instance's agent its orders. If that fails the session ends; the
// agent's next full list tells what has become of them.
func (t *term) send(id string, orders *link.Orders) {
	s := t.sessions[id]
	if s == nil {
		return
	}
	orders.Session, orders.Committed = s.number, s.kept
	t.seat.loop.Go(func() {
		bounded, cancel := context.WithTimeout(t.ctx, orderBound)
		defer cancel()
		var done struct{}
		if err := s.peer.conn.Call(bounded, link.MethodOrders, orders, &done); err != nil && t.ctx.Err() == nil {
			t.log.Warn("orders-failed", zap.String("instance", id), logs.Error(err))
			s.peer.conn.Close()
		}
	})
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
