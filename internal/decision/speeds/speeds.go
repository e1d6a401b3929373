// Package speeds judges instances by what they deliver, compared with their peers: how fast their
// runs are, which fail, which starts they refuse, and how often they go silent. It is pure: its
// callers pass the time.
package speeds

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxHeldFraction bounds the instances of a group that are held at a time: one in
	// maxHeldFraction, and one at least. The others of a common cause work on.
	maxHeldFraction = 4
	// boundedSpeed is the speed of an instance that would be held but for that bound.
	boundedSpeed = 0.5
	// maxProbes bounds the runs of an instance that has to show that it is well.
	maxProbes = 4
	// maxHoldDoublings and maxHold bound how far repeated holds lengthen.
	maxHoldDoublings = 3
	maxHold          = 16 * time.Second
)

// Model holds what was learned. It is not safe for concurrent use.
type Model struct {
	records    map[string]*Record
	sorted     []*Record // by instance
	flaps      map[string]*flaps
	changes    []Change // since the last call of TakeChanges
	reviewedAt time.Time
}

// Change is a change of what an instance gets.
type Change struct {
	Instance string
	Cause    Cause         // None: it gets all work again
	Speed    float64       // as Model.Speed
	Hold     time.Duration // how long it gets nothing; 0: it gets less, or all
	Bounded  bool          // it would be held, but too many are
}

// New returns a model that knows no instance.
func New() *Model { return &Model{records: map[string]*Record{}, flaps: map[string]*flaps{}} }

// Speed returns the speed of an instance at now, as a share of that of its peers, and above 0. An
// instance that is not known has full speed.
func (m *Model) Speed(instance string, now time.Time) float64 {
	if r, known := m.records[instance]; known {
		return r.Speed(now)
	}
	return 1
}

// Record returns the record of an instance, and begins one if there is none. Instances of one group are
// peers. The name of its host outlasts the instance: it is what flapping is known by.
func (m *Model) Record(instance, group, host string) *Record {
	if r, known := m.records[instance]; known {
		return r
	}
	if m.flaps[host] == nil {
		m.flaps[host] = &flaps{}
	}
	r := &Record{model: m, instance: instance, group: group, speed: 1, flaps: m.flaps[host]}
	r.flaps.instances++
	m.records[instance] = r
	index, _ := slices.BinarySearchFunc(m.sorted, instance, func(r *Record, id string) int { return cmp.Compare(r.instance, id) })
	m.sorted = slices.Insert(m.sorted, index, r)
	return r
}

// Drop forgets an instance that is gone.
func (m *Model) Drop(instance string) {
	if r, known := m.records[instance]; known {
		r.flaps.instances--
	}
	delete(m.records, instance)
	m.sorted = slices.DeleteFunc(m.sorted, func(r *Record) bool { return r.instance == instance })
}

// TakeChanges returns the changes since the last call.
func (m *Model) TakeChanges() []Change {
	changes := m.changes
	m.changes = nil
	return changes
}

// mayHold reports whether one more instance of a group may be held.
func (m *Model) mayHold(now time.Time, group string) bool {
	held, all := 0, 0
	for _, r := range m.sorted {
		if r.group != group {
			continue
		}
		all++
		if r.Held(now) {
			held++
		}
	}
	return held < max(all/maxHeldFraction, 1)
}

// Record is what is known of one instance.
type Record struct {
	model           *Model
	instance, group string

	cause        Cause     // of the last hold or bounded hold, None once it has shown that it is well
	heldUntil    time.Time // it gets nothing before then
	boundedUntil time.Time // it gets less until then, since too many are held
	strikes      int       // holds since it was last well
	probing      bool      // the hold has not been followed by a good run yet

	failures      int // failed runs since the last done one; one of lastFailedJob is not counted
	lastFailedJob string
	refusals      int // starts refused in a row

	efficiency
	speed float64 // as of the last review
	flaps *flaps
}

// Held reports whether the instance gets no new work at now.
func (r *Record) Held(now time.Time) bool { return now.Before(r.heldUntil) }

// Cause returns why the instance was held last, None once it has shown that it is well.
func (r *Record) Cause() Cause { return r.cause }

// HeldUntil returns when the last hold ends or ended; zero if there was none.
func (r *Record) HeldUntil() time.Time { return r.heldUntil }

// Probing reports whether the instance has to show that it is well before it gets all work.
func (r *Record) Probing() bool { return r.probing }

// Probes returns how many runs the instance gets at a time while it is probed. A run on a slow one
// delays its job, while failed or refused ones are soon placed elsewhere.
func (r *Record) Probes() int {
	if r.cause == Slow {
		return 1
	}
	return maxProbes
}

// Speed returns the speed at now as a share of that of the peers.
func (r *Record) Speed(now time.Time) float64 {
	if now.Before(r.boundedUntil) {
		return min(r.speed, boundedSpeed)
	}
	return r.speed
}

// hold gives the instance no new work for a time that doubles with each hold until it is well. The
// instance of a group of which too many are held gets less for that time instead.
func (r *Record) hold(now time.Time, cause Cause, base time.Duration) {
	wasHeld := r.Held(now)
	bounded := !wasHeld && !r.model.mayHold(now, r.group)
	wasBounded := now.Before(r.boundedUntil)
	if r.cause != cause {
		r.cause, r.strikes = cause, 0
	}
	if !wasHeld && !bounded {
		r.strikes++
	}
	length := min(base<<min(max(r.strikes-1, 0), maxHoldDoublings), maxHold)
	if bounded {
		r.boundedUntil = now.Add(length)
	} else {
		if until := now.Add(length); until.After(r.heldUntil) {
			r.heldUntil = until
		}
		r.probing = true
		r.efficiency = efficiency{}
	}
	if !wasHeld && !(bounded && wasBounded) {
		r.model.changes = append(r.model.changes, Change{Instance: r.instance, Cause: cause, Speed: r.Speed(now), Hold: length, Bounded: bounded})
	}
}

// Clear records that the instance has shown that it is well.
func (r *Record) Clear() {
	if r.cause == None && !r.probing {
		return
	}
	r.cause, r.strikes, r.probing, r.speed = None, 0, false, 1
	r.model.changes = append(r.model.changes, Change{Instance: r.instance, Speed: 1})
}
