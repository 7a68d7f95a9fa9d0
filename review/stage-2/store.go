package main

import (
	"encoding/json"
	"math/rand"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// tableStore is a stand-in of the platform's metadata store: rows with conditions and a
// feed of changes. It loses nothing and its answers are linearizable.
type tableStore struct {
	began time.Time

	mu        sync.Mutex
	rows      map[rowKey]row
	history   []row
	version   int64
	changed   chan struct{}        // closed by the next transaction
	idleAt    map[string]time.Time // by partition: when its last transaction ends
	lostShare float64              // of the transactions: they are carried out late and not answered
	down      bool                 // calls are answered 503
}

type rowKey struct {
	Table     string `json:"table"`
	Partition string `json:"part"`
	Name      string `json:"key"`
}

type row struct {
	rowKey
	Value   []byte `json:"value"`
	Version int64  `json:"ver"`
	Removed bool   `json:"removed,omitempty"`
}

// Figures of the store in the settings of the small sites.
const (
	txTime       = 5 * time.Millisecond
	maxRowBytes  = 64 << 10
	maxPageRows  = 500
	maxPageBytes = 1 << 20
)

func newTableStore() *tableStore {
	return &tableStore{began: time.Now(), rows: map[rowKey]row{}, changed: make(chan struct{}), idleAt: map[string]time.Time{}}
}

type transaction struct {
	Conditions []row    `json:"expected_rev"`
	Puts       []row    `json:"puts"`
	Removes    []rowKey `json:"remove"`
}

// apply carries out a transaction. If a condition fails, it returns the current rows of
// all conditions.
func (s *tableStore) apply(t transaction) (version int64, conflict []row, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range t.Conditions {
		if s.rows[c.rowKey].Version != c.Version {
			for _, c := range t.Conditions {
				if current, exists := s.rows[c.rowKey]; exists {
					conflict = append(conflict, current)
				}
			}
			return s.version, conflict, false
		}
	}
	s.version++
	for _, p := range t.Puts {
		p.Version, p.Removed = s.version, false
		s.rows[p.rowKey] = p
		s.history = append(s.history, p)
	}
	for _, k := range t.Removes {
		if _, exists := s.rows[k]; exists {
			delete(s.rows, k)
			s.history = append(s.history, row{rowKey: k, Version: s.version, Removed: true})
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.version, nil, true
}

// put writes a row without a condition, as the operator and the workers do.
func (s *tableStore) put(table, name string, value any) {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.apply(transaction{Puts: []row{{rowKey: rowKey{Table: table, Name: name}, Value: b}}})
}

func (s *tableStore) remove(table, name string) {
	s.apply(transaction{Removes: []rowKey{{Table: table, Name: name}}})
}

// awaitTurn waits until a partition has carried out its earlier transactions and one more.
func (s *tableStore) awaitTurn(partition string) {
	s.mu.Lock()
	endsAt := s.idleAt[partition]
	if now := time.Now(); endsAt.Before(now) {
		endsAt = now
	}
	endsAt = endsAt.Add(txTime)
	s.idleAt[partition] = endsAt
	s.mu.Unlock()
	time.Sleep(time.Until(endsAt))
}

func (s *tableStore) nowMS() int64 { return time.Since(s.began).Milliseconds() }

func (s *tableStore) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/rows-tx", s.handleTx)
	mux.HandleFunc("GET /v1/rows-get", s.handleGet)
	mux.HandleFunc("GET /v1/rows-feed", s.handleFeed)
	return mux
}

func (s *tableStore) handleTx(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		answer(w, http.StatusBadRequest, map[string]any{"error": err.Error()})
		return
	}
	partitions := map[string]bool{}
	for _, c := range t.Conditions {
		partitions[c.Partition] = true
	}
	for _, p := range t.Puts {
		partitions[p.Partition] = true
		if len(p.Value) > maxRowBytes {
			answer(w, http.StatusBadRequest, map[string]any{"error": "row is too large"})
			return
		}
		if p.Table == "op" || p.Table == "servers" {
			answer(w, http.StatusForbidden, map[string]any{"error": "table is not the system's"})
			return
		}
	}
	for _, k := range t.Removes {
		partitions[k.Partition] = true
	}
	if len(partitions) != 1 || len(t.Conditions)+len(t.Puts)+len(t.Removes) > 100 {
		answer(w, http.StatusBadRequest, map[string]any{"error": "several partitions, or too many entries"})
		return
	}
	s.mu.Lock()
	lost, down := rand.Float64() < s.lostShare, s.down
	s.mu.Unlock()
	if down {
		answer(w, http.StatusServiceUnavailable, map[string]any{})
		return
	}
	if lost {
		go func() {
			time.Sleep(time.Duration(1000+rand.Intn(5000)) * time.Millisecond)
			s.apply(t)
		}()
		panic(http.ErrAbortHandler)
	}
	for partition := range partitions {
		s.awaitTurn(partition)
	}
	version, conflict, ok := s.apply(t)
	if !ok {
		answer(w, http.StatusPreconditionFailed, map[string]any{"rows": conflict, "ver": version, "now_ms": s.nowMS()})
		return
	}
	answer(w, http.StatusOK, map[string]any{"ver": version, "now_ms": s.nowMS()})
}

func (s *tableStore) handleGet(w http.ResponseWriter, r *http.Request) {
	if s.isDown() {
		answer(w, http.StatusServiceUnavailable, map[string]any{})
		return
	}
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 || limit > maxPageRows {
		limit = maxPageRows
	}
	s.mu.Lock()
	var rows []row
	for k, v := range s.rows {
		if k.Table == q.Get("table") && k.Partition == q.Get("part") && k.Name >= q.Get("from") && (q.Get("to") == "" || k.Name < q.Get("to")) {
			rows = append(rows, v)
		}
	}
	version := s.version
	s.mu.Unlock()
	sort.Slice(rows, func(i, k int) bool { return strings.Compare(rows[i].Name, rows[k].Name) < 0 })
	n := pageLength(rows, limit)
	answer(w, http.StatusOK, map[string]any{"rows": nonNil(rows[:n]), "has_more": n < len(rows), "ver": version, "now_ms": s.nowMS()})
}

// pageLength returns how many of rows, the first ones, one answer holds.
func pageLength(rows []row, limit int) int {
	size := 0
	for i := range rows {
		size += len(rows[i].Value)
		if i == limit || i > 0 && size > maxPageBytes {
			return i
		}
	}
	return len(rows)
}

func (s *tableStore) handleFeed(w http.ResponseWriter, r *http.Request) {
	if s.isDown() {
		answer(w, http.StatusServiceUnavailable, map[string]any{})
		return
	}
	q := r.URL.Query()
	after, err := strconv.ParseInt(q.Get("after"), 10, 64)
	waitMS, errWait := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	if err != nil || errWait != nil {
		answer(w, http.StatusBadRequest, map[string]any{"error": "after or wait_ms"})
		return
	}
	deadline := time.After(time.Duration(min(waitMS, 30000)) * time.Millisecond)
	for {
		rows, version, changed := s.changesAfter(q.Get("table"), after)
		if len(rows) > 0 {
			answer(w, http.StatusOK, map[string]any{"rows": rows, "ver": version, "now_ms": s.nowMS()})
			return
		}
		select {
		case <-changed:
			continue
		case <-deadline:
		case <-r.Context().Done():
		}
		answer(w, http.StatusOK, map[string]any{"rows": []row{}, "ver": version, "now_ms": s.nowMS()})
		return
	}
}

// changesAfter returns the changes of a table after a version, as far as one answer holds
// them, and the version from which to continue.
func (s *tableStore) changesAfter(table string, after int64) ([]row, int64, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	first := sort.Search(len(s.history), func(i int) bool { return s.history[i].Version > after })
	var rows []row
	size := 0
	for _, r := range s.history[first:] {
		if r.Table != table {
			continue
		}
		if len(rows) > 0 && (len(rows) >= maxPageRows || size > maxPageBytes) && r.Version != rows[len(rows)-1].Version {
			return rows, rows[len(rows)-1].Version, s.changed
		}
		rows = append(rows, r)
		size += len(r.Value)
	}
	return rows, s.version, s.changed
}

func (s *tableStore) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

func nonNil(rows []row) []row {
	if rows == nil {
		return []row{}
	}
	return rows
}

func answer(w http.ResponseWriter, status int, body any) {
	b, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(b) // fails only if the caller has disconnected
}
