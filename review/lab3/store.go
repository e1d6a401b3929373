//go:build review

package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	storeAnswer  = 4 * time.Millisecond // of a read
	storeTx      = 8 * time.Millisecond // of a transaction; those of one part come one after another
	storeMaxRows = 500
	lateBy       = 5 * time.Second // after which a transaction without an answer is done
)

// rowKey names a row of the store.
type rowKey struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
}

// row is a row as the store's calls carry it.
type row struct {
	rowKey
	Value   []byte `json:"value"`
	Ver     uint64 `json:"ver"`
	Removed bool   `json:"removed,omitempty"`
}

// rowsReply is the body of each answer about rows.
type rowsReply struct {
	Rows    []row  `json:"rows"`
	HasMore bool   `json:"has_more"`
	Ver     uint64 `json:"ver"`
	NowMS   int64  `json:"now_ms"`
}

// store is the stand-in of the platform's store.
type store struct {
	mu      sync.Mutex
	rows    map[rowKey]row
	history []row
	ver     uint64
	changed chan struct{}
	began   time.Time
	parts   sync.Map               // part -> *sync.Mutex
	down    bool                   // silent: calls get no answer and do nothing
	lose    func(body txBody) bool // whether a transaction gets no answer and is done late; nil: none
	// disturbed is when a transaction last stayed without an answer, or was done late.
	disturbed time.Time
}

func newStore() *store {
	return &store{rows: map[rowKey]row{}, changed: make(chan struct{}), began: time.Now()}
}

// setLose sets which transactions get no answer and are done lateBy later.
func (s *store) setLose(lose func(body txBody) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lose = lose
}

func (s *store) loses(body txBody) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lose == nil || !s.lose(body) {
		return false
	}
	s.disturbed = time.Now()
	return true
}

// doneLate does a transaction that got no answer.
func (s *store) doneLate(body txBody) {
	s.apply(body)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.disturbed = time.Now()
}

// calmFor returns for how long no transaction has stayed without an answer or been done late.
func (s *store) calmFor() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.disturbed)
}

// handler serves the store.
func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/rows-get", s.get)
	mux.HandleFunc("GET /api/rows-feed", s.feed)
	mux.HandleFunc("POST /api/rows-tx", s.tx)
	return mux
}

// hang waits until the caller has given up, and answers nothing.
func hang(r *http.Request) {
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	text, err := json.Marshal(body)
	if err != nil {
		status = http.StatusInternalServerError
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(text) // the caller may be gone
}

func (s *store) reply(rows []row, more bool) rowsReply {
	if rows == nil {
		rows = []row{}
	}
	return rowsReply{Rows: rows, HasMore: more, Ver: s.ver, NowMS: time.Since(s.began).Milliseconds()}
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeAnswer)
	q := r.URL.Query()
	limit := storeMaxRows
	if n, err := strconv.Atoi(q.Get("limit")); err == nil && n > 0 && n < limit {
		limit = n
	}
	s.mu.Lock()
	var rows []row
	for key, row := range s.rows {
		if key.Table == q.Get("table") && key.Part == q.Get("part") && key.Key >= q.Get("from") && (q.Get("to") == "" || key.Key < q.Get("to")) {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	more := len(rows) > limit
	reply := s.reply(rows[:min(len(rows), limit)], more)
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, reply)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeAnswer)
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		var rows []row
		for _, change := range s.history {
			if change.Table == q.Get("table") && change.Ver > after {
				rows = append(rows, change)
			}
		}
		reply, changed := s.reply(rows, false), s.changed
		s.mu.Unlock()
		if len(rows) > 0 {
			writeJSON(w, http.StatusOK, reply)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			writeJSON(w, http.StatusOK, reply)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// txBody is the body of a transaction.
type txBody struct {
	Expected []row    `json:"expected_rev"`
	Writes   []row    `json:"writes"`
	Deletes  []rowKey `json:"deletes"`
}

func (s *store) tx(w http.ResponseWriter, r *http.Request) {
	var body txBody
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil || len(body.Expected)+len(body.Writes)+len(body.Deletes) > 100 {
		writeJSON(w, http.StatusBadRequest, struct{}{})
		return
	}
	for _, write := range body.Writes {
		if len(write.Value) > 65536 {
			writeJSON(w, http.StatusBadRequest, struct{}{})
			return
		}
	}
	if s.loses(body) {
		time.AfterFunc(lateBy, func() { s.doneLate(body) })
		hang(r)
	}
	part := ""
	if len(body.Writes) > 0 {
		part = body.Writes[0].Part
	}
	turn, _ := s.parts.LoadOrStore(part, &sync.Mutex{})
	turn.(*sync.Mutex).Lock()
	time.Sleep(storeTx)
	status, reply := s.apply(body)
	turn.(*sync.Mutex).Unlock()
	writeJSON(w, status, reply)
}

func (s *store) apply(body txBody) (int, rowsReply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []row
	holds := true
	for _, expected := range body.Expected {
		current, known := s.rows[expected.rowKey]
		if known {
			found = append(found, current)
		}
		holds = holds && current.Ver == expected.Ver
	}
	if !holds {
		return http.StatusPreconditionFailed, s.reply(found, false)
	}
	s.ver++
	for _, write := range body.Writes {
		write.Ver = s.ver
		s.rows[write.rowKey] = write
		s.history = append(s.history, write)
	}
	for _, key := range body.Deletes {
		if _, known := s.rows[key]; known {
			delete(s.rows, key)
			s.history = append(s.history, row{rowKey: key, Ver: s.ver, Removed: true})
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return http.StatusOK, s.reply(nil, false)
}

// put writes a row as the operator does.
func (s *store) put(key rowKey, value any) error {
	text, err := json.Marshal(value)
	if err != nil {
		return err
	}
	s.apply(txBody{Writes: []row{{rowKey: key, Value: text}}})
	return nil
}

// value returns the value of a row, or nil.
func (s *store) value(key rowKey) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[key].Value
}
