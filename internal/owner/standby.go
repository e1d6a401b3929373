package owner

import (
	"math/rand/v2"
	"time"
)

const (
	// standbyWatchPeriod is the time between two reads of the alive row by a standby that no
	// owner serves.
	standbyWatchPeriod = 500 * time.Millisecond
	// A standby waits for minStandbyDelay, and for a random part of standbySpread, longer than
	// other processes before it claims. It exceeds yieldDelay and a read, so that any other
	// process claims first. The spread keeps many standbys from claiming at the same time.
	minStandbyDelay = 1300 * time.Millisecond
	standbySpread   = 600 * time.Millisecond
)

func newStandbyDelay() time.Duration { return minStandbyDelay + rand.N(standbySpread) }

// watchPeriod returns the time between two reads of the alive row by this process.
func (e *Elector) watchPeriod() time.Duration {
	if e.settings.Standby {
		return standbyWatchPeriod
	}
	return watchPeriod
}

// outranksOwner reports whether this process should take the shard from the owner, which is a
// standby, and has waited for a better suited process to do so.
func (e *Elector) outranksOwner() bool {
	return e.holder.Standby && !e.settings.Standby && time.Since(e.holderSince) >= e.yield()
}
