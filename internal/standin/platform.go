// Package standin contains in-memory stand-ins of the platform, of upstream instances and of
// their workers, and checks of what these observe. Tests, package demo, package loadgen and the
// verbs `standin platform` and `standin upstream` use it.
package standin

import (
	"cmp"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/apricotwind/apricotwind/pkg/platform/table"
	"github.com/cockroachdb/errors"
	"github.com/julienschmidt/httprouter"
)

// Faults configures the faults that the stand-in platform injects.
type Faults struct {
	Delay     time.Duration `json:"delay"`  // before each answer
	Outage    bool          `json:"outage"` // every call is answered with an error
	Rate      int           `json:"rate"`   // most commits per second; 0: no limit
	DropReply float64       `json:"lost"`   // fraction of commits whose answer is lost after the write
	Stale     float64       `json:"stale"`  // fraction of reads that return the previous revision of a row
}

// Traffic counts the calls that the platform has received.
type Traffic struct {
	Reads   int `json:"reads"`
	Commits int `json:"commits"`
	Rows    int `json:"rows"` // written by commits
	Objects int `json:"objects"`
}

// Platform is an in-memory table service and object store. It may be used concurrently.
type Platform struct {
	mu              sync.Mutex
	faults          Faults
	rows            map[string]table.Row
	previous        map[string]table.Row // each row before its last change
	objects         map[string][]byte
	version         uint64
	traffic         Traffic
	rateWindowStart time.Time
	commitsInWindow int
	random          *rand.Rand
	journal         io.Writer
}

// journalEntry is one line of the journal: a commit or a change of an object.
type journalEntry struct {
	Version uint64        `json:"version,omitempty"`
	Writes  []table.Write `json:"writes,omitempty"`
	Object  string        `json:"object,omitempty"`
	Value   []byte        `json:"value,omitempty"`
	Remove  bool          `json:"remove,omitempty"`
}

// NewPlatform returns an empty platform; seed makes its random faults reproducible. If
// journal is not nil, every change is written to it before the change is answered, and
// Restore recovers the changes after a crash.
func NewPlatform(seed uint64, journal io.Writer) *Platform {
	return &Platform{
		rows: map[string]table.Row{}, previous: map[string]table.Row{}, objects: map[string][]byte{},
		random: rand.New(rand.NewPCG(seed, seed)), journal: journal,
	}
}

// Restore applies the entries of a journal. It ignores an incomplete last line.
func (p *Platform) Restore(journal io.Reader) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	decoder := json.NewDecoder(journal)
	for {
		var line journalEntry
		err := decoder.Decode(&line)
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "read journal")
		}
		p.replay(line)
	}
}

func (p *Platform) replay(line journalEntry) {
	switch {
	case line.Object != "" && line.Remove:
		delete(p.objects, line.Object)
	case line.Object != "":
		p.objects[line.Object] = line.Value
	default:
		p.version = line.Version
		p.apply(line.Writes)
	}
}

// Set replaces the faults that are injected.
func (p *Platform) Set(faults Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = faults
}

// Traffic returns the counts of calls so far.
func (p *Platform) Traffic() Traffic {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.traffic
}

// Handler returns the HTTP handler for the table, the objects, the faults and the traffic
// counts.
func (p *Platform) Handler() http.Handler {
	router := httprouter.New()
	router.GET("/table/row", p.withFaults(p.getRow))
	router.GET("/table/rows", p.withFaults(p.getRows))
	router.POST("/table/commit", p.withFaults(p.commit))
	router.GET("/object/*key", p.withFaults(p.getObject))
	router.PUT("/object/*key", p.withFaults(p.putObject))
	router.DELETE("/object/*key", p.withFaults(p.deleteObject))
	router.PUT("/knobs", p.setFaults)
	router.GET("/traffic", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) { writeJSON(w, p.Traffic()) })
	return router
}

// withFaults wraps a handler and injects the delay and the outage.
func (p *Platform) withFaults(next httprouter.Handle) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
		p.mu.Lock()
		faults := p.faults
		p.mu.Unlock()
		if faults.Delay > 0 {
			time.Sleep(faults.Delay)
		}
		if faults.Outage {
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return
		}
		next(w, r, params)
	}
}

func (p *Platform) setFaults(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var faults Faults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.Set(faults)
	writeJSON(w, faults)
}

func (p *Platform) getRow(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.traffic.Reads++
	writeJSON(w, p.read(r.URL.Query().Get("key")))
}

// read returns a row, or its previous revision if a stale read is injected.
func (p *Platform) read(key string) table.Row {
	row := p.rows[key]
	if previous, ok := p.previous[key]; ok && p.random.Float64() < p.faults.Stale {
		return previous
	}
	return row
}

func (p *Platform) getRows(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.traffic.Reads++
	prefix := r.URL.Query().Get("prefix")
	found := []table.Row{}
	for key := range p.rows {
		if strings.HasPrefix(key, prefix) {
			found = append(found, p.read(key))
		}
	}
	slices.SortFunc(found, func(a, b table.Row) int { return cmp.Compare(a.Key, b.Key) })
	writeJSON(w, found)
}

func (p *Platform) commit(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var request table.CommitRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.allowCommit() {
		http.Error(w, "too many commits", http.StatusTooManyRequests)
		return
	}
	p.traffic.Commits++
	p.traffic.Rows += len(request.Writes)
	answer := table.CommitReply{Done: p.satisfied(request.Conditions)}
	if answer.Done {
		p.version++
		answer.Revision = p.version
		p.writeJournal(journalEntry{Version: p.version, Writes: request.Writes})
		p.apply(request.Writes)
	}
	if p.random.Float64() < p.faults.DropReply {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, answer)
}

// allowCommit enforces the rate limit in windows of one second.
func (p *Platform) allowCommit() bool {
	if p.faults.Rate == 0 {
		return true
	}
	if now := time.Now(); now.Sub(p.rateWindowStart) >= time.Second {
		p.rateWindowStart = now
		p.commitsInWindow = 0
	}
	p.commitsInWindow++
	return p.commitsInWindow <= p.faults.Rate
}

func (p *Platform) satisfied(conditions []table.Condition) bool {
	for _, condition := range conditions {
		if p.rows[condition.Key].Revision != condition.Revision {
			return false
		}
	}
	return true
}

func (p *Platform) apply(writes []table.Write) {
	for _, write := range writes {
		p.previous[write.Key] = p.rows[write.Key]
		if write.Remove {
			delete(p.rows, write.Key)
			delete(p.previous, write.Key)
			continue
		}
		p.rows[write.Key] = table.Row{Key: write.Key, Revision: p.version, Value: write.Value}
	}
}

// writeJournal writes one line of the journal. It panics on an error, because the platform
// must not acknowledge a change that would not survive a crash.
func (p *Platform) writeJournal(line journalEntry) {
	if p.journal == nil {
		return
	}
	if err := json.NewEncoder(p.journal).Encode(line); err != nil {
		panic(errors.Wrap(err, "write journal"))
	}
}

func (p *Platform) getObject(w http.ResponseWriter, _ *http.Request, params httprouter.Params) {
	p.mu.Lock()
	value, ok := p.objects[params.ByName("key")]
	p.traffic.Objects++
	p.mu.Unlock()
	if !ok {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	// A write error means that the client has disconnected.
	_, _ = w.Write(value)
}

func (p *Platform) putObject(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	value, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.traffic.Objects++
	p.writeJournal(journalEntry{Object: params.ByName("key"), Value: value})
	p.objects[params.ByName("key")] = value
}

func (p *Platform) deleteObject(_ http.ResponseWriter, _ *http.Request, params httprouter.Params) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.traffic.Objects++
	p.writeJournal(journalEntry{Object: params.ByName("key"), Remove: true})
	delete(p.objects, params.ByName("key"))
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	// A write error means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(value)
}
