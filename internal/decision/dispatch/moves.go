package dispatch

import "time"

// evacuate stops what a leaving instance would cut off, so that it goes on elsewhere.
func (b *Scheduler) evacuate(now time.Time) {
	for _, in := range b.instances {
		if !in.offer.Draining {
			continue
		}
		if len(in.placements) == 0 && in.synced && in.registered {
			// Nothing runs there and nothing will: a later owner need not wait for it.
			in.registered, in.asked = false, true
			b.changes = append(b.changes, InstanceChange{Registration: in.offer, Gone: true})
		}
		for _, p := range in.placements {
			if p.step == nil || p.stopping {
				continue
			}
			left := time.Duration(p.step.Estimate)*time.Millisecond - now.Sub(p.since)
			if p.step.LongRunning || now.Add(left).After(in.leaveAt) {
				b.stop(in, p)
			}
		}
	}
}

const (
	// stalledShare is the part of what it asks for below which a filling task counts as
	// standing still, in percent.
	stalledShare = 30
	// stalledFor is how long it does so until it is moved.
	stalledFor = 1200 * time.Millisecond
	// rescuesAPlan bounds how many tasks are moved at a time, since each may find room
	// that the next does not.
	rescuesAPlan = 1
)

// rescue stops a filling task that stands still, if there is a better place for it now.
// It goes on from its checkpoint.
func (p *planner) rescue() {
	rescued := 0
	for _, in := range p.usable {
		for name, placed := range in.placements {
			if placed.stopping || placed.stalled.IsZero() || p.now.Sub(placed.stalled) < stalledFor {
				continue
			}
			t := p.book.find(name)
			if t == nil || !t.step.Checkpoints || rescued >= rescuesAPlan || p.choose(t.work, t, "") == nil {
				continue
			}
			p.book.stop(in, placed)
			rescued++
		}
	}
}
