package main

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The limits of the store, as the users' pages and the settings file state them.
const (
	maxRowBytes   = 65536
	maxEntries    = 100
	maxCallBytes  = 1 << 20
	maxPageRows   = 500
	historyLength = 20 * time.Second
)

type rowKey struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
}

type row struct {
	rowKey
	Value   []byte `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Removed bool   `json:"removed,omitempty"`
}

type change struct {
	row
	at time.Time
}

// store is a stand-in of the platform's metadata store.
type store struct {
	rec     *record
	began   time.Time
	mu      sync.Mutex
	rows    map[rowKey]row
	ver     uint64
	history []change
	dropped uint64 // newest version that is not in the history any more
	changed chan struct{}
	down    bool
	// answered and refused count the transactions.
	answered, refused int
}

func newStore(rec *record) *store {
	return &store{rec: rec, began: time.Now(), rows: map[rowKey]row{}, changed: make(chan struct{})}
}

// setDown makes the store answer 503 to each call, or serve again.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.rec.add("store: down %v (answers 503 to every call)", down)
}

// put writes a row for the operator.
func (s *store) put(key rowKey, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.write(key, text)
	s.notify()
}

// value returns the value of a row, nil if it does not exist.
func (s *store) value(key rowKey) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[key].Value
}

func (s *store) write(key rowKey, value []byte) {
	r := row{rowKey: key, Value: value, Ver: s.ver}
	s.rows[key] = r
	s.history = append(s.history, change{r, time.Now()})
}

func (s *store) remove(key rowKey) {
	if _, known := s.rows[key]; !known {
		return
	}
	delete(s.rows, key)
	s.history = append(s.history, change{row{rowKey: key, Ver: s.ver, Removed: true}, time.Now()})
}

func (s *store) notify() {
	for len(s.history) > 0 && time.Since(s.history[0].at) > historyLength {
		s.dropped = s.history[0].Ver
		s.history = s.history[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/rows-tx", s.handleTx)
	mux.HandleFunc("GET /api/rows-get", s.handleGet)
	mux.HandleFunc("GET /api/rows-feed", s.handleFeed)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		down := s.down
		s.mu.Unlock()
		time.Sleep(2 * time.Millisecond)
		if down {
			reply(w, http.StatusServiceUnavailable, struct{}{})
			return
		}
		mux.ServeHTTP(w, r)
	})
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the caller may be gone
}

// answer returns the body of an answer about rows.
func (s *store) answer(rows []row, more bool) map[string]any {
	if rows == nil {
		rows = []row{}
	}
	return map[string]any{"rows": rows, "ver": s.ver, "has_more": more, "now_ms": time.Since(s.began).Milliseconds()}
}

type txRequest struct {
	Expected []row    `json:"expected_rev"`
	Writes   []row    `json:"writes"`
	Deletes  []rowKey `json:"deletes"`
}

// oversized returns why a transaction exceeds a limit, or "".
func (t *txRequest) oversized(bytes int) string {
	if bytes > maxCallBytes {
		return "a call of " + strconv.Itoa(bytes) + " bytes"
	}
	if n := len(t.Expected) + len(t.Writes) + len(t.Deletes); n > maxEntries {
		return strconv.Itoa(n) + " entries"
	}
	for _, w := range t.Writes {
		if len(w.Value) > maxRowBytes {
			return "row " + w.Table + "/" + w.Key + " of " + strconv.Itoa(len(w.Value)) + " bytes"
		}
	}
	return ""
}

func (s *store) handleTx(w http.ResponseWriter, r *http.Request) {
	text, err := io.ReadAll(r.Body)
	var request txRequest
	if err == nil {
		err = json.Unmarshal(text, &request)
	}
	if err != nil {
		reply(w, http.StatusBadRequest, struct{}{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if why := request.oversized(len(text)); why != "" {
		s.refused++
		if s.refused%10 == 1 {
			s.rec.add("store: transaction refused with 400, %s; the %dth", why, s.refused)
		}
		reply(w, http.StatusBadRequest, struct{}{})
		return
	}
	conflict := false
	var current []row
	for _, e := range request.Expected {
		now := s.rows[e.rowKey]
		conflict = conflict || now.Ver != e.Ver
		if now.Ver != 0 {
			current = append(current, now)
		}
	}
	if conflict {
		reply(w, http.StatusPreconditionFailed, s.answer(current, false))
		return
	}
	s.ver++
	s.answered++
	for _, put := range request.Writes {
		s.write(put.rowKey, put.Value)
	}
	for _, key := range request.Deletes {
		s.remove(key)
	}
	s.notify()
	reply(w, http.StatusOK, s.answer(nil, false))
}

func (s *store) handleGet(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []row
	for key, found := range s.rows {
		if key.Table == q.Get("table") && key.Part == q.Get("part") && key.Key >= q.Get("from") && (q.Get("to") == "" || key.Key < q.Get("to")) {
			rows = append(rows, found)
		}
	}
	slices.SortFunc(rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	bytes, n := 0, 0
	for n < len(rows) && n < maxPageRows {
		if bytes += len(rows[n].Value) * 4 / 3; bytes > maxCallBytes && n > 0 {
			break
		}
		n++
	}
	reply(w, http.StatusOK, s.answer(rows[:n], n < len(rows)))
}

func (s *store) handleFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		if after < s.dropped {
			s.mu.Unlock()
			reply(w, http.StatusGone, struct{}{})
			return
		}
		var rows []row
		for _, c := range s.history {
			if c.Table == q.Get("table") && c.Ver > after {
				rows = append(rows, c.row)
			}
		}
		body, changed := s.answer(rows, false), s.changed
		s.mu.Unlock()
		if len(rows) > 0 {
			reply(w, http.StatusOK, body)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			reply(w, http.StatusOK, body)
			return
		case <-r.Context().Done():
			return
		}
	}
}
