// Package standin stands in for the platform and for upstream instances.
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

// Faults are the faults of the stand-in platform.
type Faults struct {
	Delay     time.Duration `json:"delay"`  // before each answer
	Outage    bool          `json:"outage"` // nothing is answered but an error
	Rate      int           `json:"rate"`   // most commits a second; 0: no limit
	DropReply float64       `json:"lost"`   // share of commits whose answer is lost after the write
	Stale     float64       `json:"stale"`  // share of reads that answer with older data
}

// Traffic counts what the platform was asked.
type Traffic struct {
	Reads   int `json:"reads"`
	Commits int `json:"commits"`
	Rows    int `json:"rows"` // written by commits
	Objects int `json:"objects"`
}

// Platform is the table service and the object store in memory.
type Platform struct {
	mu      sync.Mutex
	knobs   Faults
	rows    map[string]table.Row
	before  map[string]table.Row // what each row was before its last change
	objects map[string][]byte
	version uint64
	traffic Traffic
	second  time.Time
	inLast  int
	random  *rand.Rand
	journal io.Writer
}

// entry is one line of the journal: a commit or an object.
type entry struct {
	Version uint64        `json:"version,omitempty"`
	Writes  []table.Write `json:"writes,omitempty"`
	Object  string        `json:"object,omitempty"`
	Value   []byte        `json:"value,omitempty"`
	Remove  bool          `json:"remove,omitempty"`
}

// NewPlatform makes an empty platform. With a journal, every change is written to
// it before it is answered, and Restore brings it back after a crash.
func NewPlatform(seed uint64, journal io.Writer) *Platform {
	return &Platform{
		rows: map[string]table.Row{}, before: map[string]table.Row{}, objects: map[string][]byte{},
		random: rand.New(rand.NewPCG(seed, seed)), journal: journal,
	}
}

// Restore reads a journal back. A last line that was cut short is left out.
func (p *Platform) Restore(journal io.Reader) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	decoder := json.NewDecoder(journal)
	for {
		var line entry
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

func (p *Platform) replay(line entry) {
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

// Set turns the knobs.
func (p *Platform) Set(knobs Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.knobs = knobs
}

// Traffic tells what the platform was asked so far.
func (p *Platform) Traffic() Traffic {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.traffic
}

// Handler serves the table, the objects, and the knobs.
func (p *Platform) Handler() http.Handler {
	router := httprouter.New()
	router.GET("/table/row", p.faulty(p.getRow))
	router.GET("/table/rows", p.faulty(p.getRows))
	router.POST("/table/commit", p.faulty(p.commit))
	router.GET("/object/*key", p.faulty(p.getObject))
	router.PUT("/object/*key", p.faulty(p.putObject))
	router.DELETE("/object/*key", p.faulty(p.deleteObject))
	router.PUT("/knobs", p.setKnobs)
	router.GET("/traffic", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) { reply(w, p.Traffic()) })
	return router
}

// faulty puts the knobs before a handler.
func (p *Platform) faulty(next httprouter.Handle) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
		p.mu.Lock()
		knobs := p.knobs
		p.mu.Unlock()
		if knobs.Delay > 0 {
			time.Sleep(knobs.Delay)
		}
		if knobs.Outage {
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return
		}
		next(w, r, params)
	}
}

func (p *Platform) setKnobs(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var knobs Faults
	if err := json.NewDecoder(r.Body).Decode(&knobs); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.Set(knobs)
	reply(w, knobs)
}

func (p *Platform) getRow(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.traffic.Reads++
	reply(w, p.read(r.URL.Query().Get("key")))
}

// read reads a row, or what it was before when the knobs say so.
func (p *Platform) read(key string) table.Row {
	row := p.rows[key]
	if before, ok := p.before[key]; ok && p.random.Float64() < p.knobs.Stale {
		return before
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
	reply(w, found)
}

func (p *Platform) commit(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var asked table.CommitRequest
	if err := json.NewDecoder(r.Body).Decode(&asked); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.admit() {
		http.Error(w, "too many commits", http.StatusTooManyRequests)
		return
	}
	p.traffic.Commits++
	p.traffic.Rows += len(asked.Writes)
	answer := table.CommitReply{Done: p.holds(asked.Conditions)}
	if answer.Done {
		p.version++
		answer.Revision = p.version
		p.note(entry{Version: p.version, Writes: asked.Writes})
		p.apply(asked.Writes)
	}
	if p.random.Float64() < p.knobs.DropReply {
		panic(http.ErrAbortHandler)
	}
	reply(w, answer)
}

// admit keeps to the rate of the knobs, counted by whole seconds.
func (p *Platform) admit() bool {
	if p.knobs.Rate == 0 {
		return true
	}
	if now := time.Now(); now.Sub(p.second) >= time.Second {
		p.second = now
		p.inLast = 0
	}
	p.inLast++
	return p.inLast <= p.knobs.Rate
}

func (p *Platform) holds(conditions []table.Condition) bool {
	for _, condition := range conditions {
		if p.rows[condition.Key].Revision != condition.Revision {
			return false
		}
	}
	return true
}

func (p *Platform) apply(writes []table.Write) {
	for _, write := range writes {
		p.before[write.Key] = p.rows[write.Key]
		if write.Remove {
			delete(p.rows, write.Key)
			delete(p.before, write.Key)
			continue
		}
		p.rows[write.Key] = table.Row{Key: write.Key, Revision: p.version, Value: write.Value}
	}
}

// note writes one line of the journal. A stand-in that cannot keep its promise to
// last must not go on.
func (p *Platform) note(line entry) {
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
	// A reader that is gone cannot be told more.
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
	p.note(entry{Object: params.ByName("key"), Value: value})
	p.objects[params.ByName("key")] = value
}

func (p *Platform) deleteObject(_ http.ResponseWriter, _ *http.Request, params httprouter.Params) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.traffic.Objects++
	p.note(entry{Object: params.ByName("key"), Remove: true})
	delete(p.objects, params.ByName("key"))
}

func reply(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	// A reader that is gone cannot be told more.
	_ = json.NewEncoder(w).Encode(value)
}
