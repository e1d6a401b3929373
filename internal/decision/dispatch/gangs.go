package dispatch

import "slices"

// placeGang places all tasks of a step or none. It reports whether there was no room for them.
func (p *planner) placeGang(j *jobState, step *Step, members []*task) (blocked bool) {
	run := int64(0)
	for _, t := range members {
		if !p.startable(t) {
			return false
		}
		run = max(run, t.lastRun+1)
	}
	shareCheckpoint(members)
	racks := []string{""}
	if step.PreferOneRack {
		racks = append(p.racks(), "")
	}
	p.wasWithheld = false
	for _, rack := range racks {
		if p.tryPlaceGang(j, members, rack, run) {
			p.endHold(members[0])
			return false
		}
	}
	return true
}

// shareCheckpoint gives all members of a gang the checkpoint that was reported last. It is valid for the
// whole gang, whose members must resume from the same one.
func shareCheckpoint(members []*task) {
	latest := members[0]
	for _, t := range members {
		if t.checkpoint != "" && (latest.checkpoint == "" || t.checkpointAt.After(latest.checkpointAt)) {
			latest = t
		}
	}
	for _, t := range members {
		t.checkpoint, t.checkpointAt, t.saved = latest.checkpoint, latest.checkpointAt, latest.saved
	}
}

// racks returns the racks of the usable instances.
func (p *planner) racks() []string {
	var racks []string
	for _, in := range p.usable {
		if !slices.Contains(racks, in.registration.Rack) {
			racks = append(racks, in.registration.Rack)
		}
	}
	return racks
}

// tryPlaceGang places all tasks of a gang with the same run number, on instances of one rack, or
// of any rack if rack is "". It reports whether it did; otherwise it places none.
func (p *planner) tryPlaceGang(j *jobState, members []*task, rack string, run int64) bool {
	first := len(p.starts)
	for _, t := range members {
		in := p.bestInstance(j, t, rack)
		if in == nil {
			p.rollback(first)
			return false
		}
		p.place(j, t, in, run)
	}
	return true
}

// rollback undoes the placements of the starts at index first and after.
func (p *planner) rollback(first int) {
	for _, start := range p.starts[first:] {
		in := p.scheduler.instances[start.Instance]
		in.remove(in.reservations[start.Task])
		p.updateCaches(in, start.Step, false)
		t := p.scheduler.findTask(start.Task)
		t.instance, t.run = "", 0
		p.takeBack(t, in)
	}
	p.starts = p.starts[:first]
}
