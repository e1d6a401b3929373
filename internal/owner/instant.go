package owner

import "time"

// instant is a point in time that also counts the time for which the machine was suspended. The
// monotonic clock stands still while a machine is suspended, and so hides that a permission has run
// out meanwhile.
type instant struct {
	at        time.Time
	suspended time.Duration // in all, up to this point
}

// now returns the current instant.
func (e *Elector) now() instant {
	i := instant{at: time.Now()}
	if e.settings.Suspended != nil {
		i.suspended = e.settings.Suspended()
	}
	return i
}

// since returns the time from earlier to i, with the time of suspension in between.
func (i instant) since(earlier instant) time.Duration {
	return i.at.Sub(earlier.at) + i.suspended - earlier.suspended
}

// confirmEpoch records that a call which was sent at the instant sent has confirmed the epoch.
func (t *term) confirmEpoch(sent instant) {
	if sent.at.After(t.epochConfirmed.at) {
		t.epochConfirmed = sent
	}
}
