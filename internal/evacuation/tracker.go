package evacuation

import (
	"slices"
	"sync"
	"time"

	"github.com/apricotwind/apricotwind/internal/metrics"
	"go.uber.org/zap"
)

// Tracker holds what one process knows of the evacuated domains. It is safe for concurrent use.
type Tracker struct {
	log         *zap.Logger
	mu          sync.Mutex
	state       State
	seenAt      map[string]time.Time // by evacuated domain: when this process learned of it
	subscribers map[int]func()
	lastID      int
}

// New returns a Tracker that knows of no evacuated domain. It logs each change and reports the
// number of evacuated domains as a gauge.
func New(log *zap.Logger, registry *metrics.Registry) *Tracker {
	t := &Tracker{log: log, seenAt: map[string]time.Time{}, subscribers: map[int]func(){}}
	registry.Gauge("evacuated-domains", func() any { return len(t.State().Domains()) })
	return t
}

// State returns what is known now.
func (t *Tracker) State() State {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state
}

// SeenAt returns when this process learned that a domain is evacuated, or the zero time if it is
// not.
func (t *Tracker) SeenAt(domain string) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.seenAt[domain]
}

// Subscribe calls f after each change of the evacuated domains, and after each read of the table
// that found any, until cancel is called. f may be called concurrently.
func (t *Tracker) Subscribe(f func()) (cancel func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastID++
	id := t.lastID
	t.subscribers[id] = f
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.subscribers, id)
	}
}

// Replace records a read of all requests at a revision of the table. A domain that is not in
// domains is not evacuated, unless something later is known of it.
func (t *Tracker) Replace(domains []string, revision uint64) {
	read := State{Read: revision, Marks: map[string]Mark{}}
	for _, domain := range domains {
		read.Marks[domain] = Mark{Evacuated: true, Revision: revision}
	}
	t.update(func(known State) State { return read.merge(known) }, len(domains) > 0)
}

// Record records one change of a request, with the revision of the table that it made.
func (t *Tracker) Record(domain string, evacuated bool, revision uint64) {
	t.Merge(State{Marks: map[string]Mark{domain: {Evacuated: evacuated, Revision: revision}}})
}

// Merge records what another process knows.
func (t *Tracker) Merge(other State) {
	t.update(func(known State) State { return known.merge(other) }, false)
}

func (t *Tracker) update(next func(State) State, always bool) {
	t.mu.Lock()
	before := t.state.Domains()
	t.state = next(t.state)
	after := t.state.Domains()
	changed := !slices.Equal(before, after)
	if changed {
		t.noteChange(before, after)
	}
	var subscribers []func()
	if changed || always {
		for _, f := range t.subscribers {
			subscribers = append(subscribers, f)
		}
	}
	t.mu.Unlock()
	for _, f := range subscribers {
		f()
	}
}

// noteChange logs which domains are evacuated or taken back. The caller holds the lock.
func (t *Tracker) noteChange(before, after []string) {
	for _, domain := range after {
		if !slices.Contains(before, domain) {
			t.seenAt[domain] = time.Now()
			t.log.Info("evacuation-requested", zap.String("domain", domain), zap.Uint64("revision", t.state.Of(domain).Revision))
		}
	}
	for _, domain := range before {
		if !slices.Contains(after, domain) {
			t.log.Info("evacuation-taken-back", zap.String("domain", domain), zap.Duration("after", time.Since(t.seenAt[domain])), zap.Uint64("revision", t.state.Of(domain).Revision))
			delete(t.seenAt, domain)
		}
	}
}
