// Package backfill finds where and when tasks that do not fit now will have room, by the ends
// that are expected, and which smaller tasks may run there before. It is pure: its callers pass
// the time.
package backfill

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Room is an amount of resources: free ones, those that a task needs, or those that it takes.
type Room struct {
	Processors   int // that can be reserved, in thousandths of a core
	Leftover     int // processors that are left for best-effort tasks, in thousandths of a core
	Memory       int // MB
	Accelerators int
}

// Plus returns the sum of both.
func (r Room) Plus(m Room) Room {
	return Room{r.Processors + m.Processors, r.Leftover + m.Leftover, r.Memory + m.Memory, r.Accelerators + m.Accelerators}
}

// Times returns n times as much.
func (r Room) Times(n int) Room {
	return Room{r.Processors * n, r.Leftover * n, r.Memory * n, r.Accelerators * n}
}

// Minus returns what is left without m.
func (r Room) Minus(m Room) Room { return r.Plus(m.Times(-1)) }

// FitsIn reports whether r is no larger than free in each resource of which r is more than 0.
func (r Room) FitsIn(free Room) bool {
	return fits(r.Processors, free.Processors) && fits(r.Leftover, free.Leftover) && fits(r.Memory, free.Memory) && fits(r.Accelerators, free.Accelerators)
}

func fits(need, free int) bool { return need <= 0 || need <= free }

// of returns r without the resources of which need is 0.
func (r Room) of(need Room) Room {
	keep := func(amount, needed int) int {
		if needed <= 0 {
			return 0
		}
		return amount
	}
	return Room{
		keep(r.Processors, need.Processors), keep(r.Leftover, need.Leftover),
		keep(r.Memory, need.Memory), keep(r.Accelerators, need.Accelerators),
	}
}

// End is the end that is expected of a run.
type End struct {
	At    time.Time
	Frees Room
}

// Host is an instance with what is free there and the ends expected there.
type Host struct {
	ID    string
	Rack  string
	Free  Room
	Ends  []End // sorted by At
	Limit int   // tasks of the step that may run there
}

// SortEnds sorts the ends by time, as RoomFor needs them. Those of one time have an order too, so that
// the same ends lead to the same decisions.
func (h *Host) SortEnds() {
	slices.SortFunc(h.Ends, func(a, b End) int { return cmp.Or(a.At.Compare(b.At), a.Frees.compare(b.Frees)) })
}

func (r Room) compare(m Room) int {
	return cmp.Or(
		cmp.Compare(r.Processors, m.Processors), cmp.Compare(r.Leftover, m.Leftover),
		cmp.Compare(r.Memory, m.Memory), cmp.Compare(r.Accelerators, m.Accelerators),
	)
}

// RoomFor returns when need is expected to fit. Gathered reports whether the room has to be
// gathered from several ends, since none of the last ones frees it all: smaller tasks can use up
// such room as it comes, end by end. Ok is false if need never fits.
func (h *Host) RoomFor(now time.Time, need Room) (at time.Time, gathered, ok bool) {
	free := h.Free
	if need.FitsIn(free) {
		return now, false, true
	}
	for _, end := range h.Ends {
		free = free.Plus(end.Frees)
		if need.FitsIn(free) {
			return later(now, end.At), !need.FitsIn(end.Frees), true
		}
	}
	return time.Time{}, false, false
}

// roomAt returns the room that is expected to be free at a time.
func (h *Host) roomAt(at time.Time) Room {
	free := h.Free
	for _, end := range h.Ends {
		if end.At.After(at) {
			break
		}
		free = free.Plus(end.Frees)
	}
	return free
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Share is the part of a window on one host.
type Share struct {
	Host  string
	Count int  // tasks that it has room for
	Need  Room // of these tasks together
	Spare Room // room that is expected beside them when the window begins
}

// Window is the room that one task, or a whole gang, is to have.
type Window struct {
	From     time.Time // when the room was expected at the earliest: other tasks have to be gone by then
	Expected time.Time // when the room is expected now
	Shares   []Share
	Gathered bool // some of the room has to be gathered, see RoomFor
}

// Find returns the window for count tasks, each of which needs need, that begins first. Ok is
// false if they never fit together.
func Find(now time.Time, hosts []*Host, need Room, count int) (w Window, ok bool) {
	type slot struct {
		at       time.Time
		host     *Host
		gathered bool
	}
	var slots []slot
	for _, h := range hosts {
		for k := 1; k <= min(count, h.Limit); k++ {
			at, gathered, fits := h.RoomFor(now, need.Times(k))
			if !fits {
				break
			}
			if count == 1 && len(slots) == 1 {
				if at.Before(slots[0].at) {
					slots[0] = slot{at, h, gathered}
				}
				continue
			}
			slots = append(slots, slot{at, h, gathered})
		}
	}
	if len(slots) < count {
		return Window{}, false
	}
	slices.SortStableFunc(slots, func(a, b slot) int { return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.host.ID, b.host.ID)) })
	w.From, w.Expected = slots[count-1].at, slots[count-1].at
	w.Gathered = count > 1
	for _, s := range slots[:count] {
		w.Gathered = w.Gathered || s.gathered
		w.add(s.host, need)
	}
	return w, true
}

// FindInOneRack returns the window that begins first of those in one rack, or elsewhere if none of them
// begins before delay has passed since elsewhere.
func FindInOneRack(now time.Time, hosts []*Host, need Room, count int, elsewhere Window, delay time.Duration) Window {
	best, latest := elsewhere, elsewhere.From.Add(delay)
	racks := map[string][]*Host{}
	for _, h := range hosts {
		racks[h.Rack] = append(racks[h.Rack], h)
	}
	for _, rack := range slices.Sorted(maps.Keys(racks)) {
		if w, ok := Find(now, racks[rack], need, count); ok && !w.From.After(latest) {
			best, latest = w, w.From.Add(-1)
		}
	}
	return best
}

// add adds room for one more task on a host.
func (w *Window) add(h *Host, need Room) {
	index := slices.IndexFunc(w.Shares, func(s Share) bool { return s.Host == h.ID })
	if index < 0 {
		index = len(w.Shares)
		w.Shares = append(w.Shares, Share{Host: h.ID})
	}
	share := &w.Shares[index]
	share.Count++
	share.Need = need.Times(share.Count)
	share.Spare = h.roomAt(w.From).Minus(share.Need)
}

// Renew brings the window up to date with the ends that are expected now. hosts holds those of its
// shares, in their order. The time from which it keeps others off only moves ahead: otherwise the
// tasks that go before it and end late would let in further ones. Renew reports whether the tasks
// still fit at some time.
func (w *Window) Renew(now time.Time, hosts []*Host) bool {
	var from time.Time
	for i, h := range hosts {
		at, _, fits := h.RoomFor(now, w.Shares[i].Need)
		if !fits {
			return false
		}
		from = later(from, at)
	}
	for i, h := range hosts {
		w.Shares[i].Spare = h.roomAt(from).Minus(w.Shares[i].Need)
	}
	w.Expected = from
	if from.Before(w.From) {
		w.From = from
	}
	return true
}

// Admits reports whether a task that takes so much may start on the host of a share before the
// window: it is as large as the tasks of the window, or gone before it begins, or leaves them room.
// It is certainly gone at the time gone; zero if that is not known.
func (w *Window) Admits(share *Share, take Room, gone time.Time) bool {
	return share.Need.FitsIn(take) || !gone.IsZero() && !gone.After(w.From) || take.of(share.Need).FitsIn(share.Spare)
}

// Start accounts for a task that was admitted.
func (w *Window) Start(share *Share, take Room, gone time.Time) {
	if gone.IsZero() || gone.After(w.From) {
		share.Spare = share.Spare.Minus(take.of(share.Need))
	}
}

// TakeBack undoes Start with the same arguments.
func (w *Window) TakeBack(share *Share, take Room, gone time.Time) {
	if gone.IsZero() || gone.After(w.From) {
		share.Spare = share.Spare.Plus(take.of(share.Need))
	}
}
