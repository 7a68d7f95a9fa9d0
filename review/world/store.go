package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Limits of the table service, as the platform's pages give them.
const (
	rowBytes      = 65536
	maxTxEntries  = 100
	maxTxBytes    = 1 << 20
	maxNameBytes  = 200
	maxTables     = 100
	pageRows      = 500
	pageBytes     = 1 << 20
	historyTime   = 20 * time.Second
	txTime        = 5 * time.Millisecond
	writesPerS    = 800
	readsPerS     = 2000
	maxPartQueue  = time.Second
	maxFeedWaitMS = 30000
)

type rowKey struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
}

type row struct {
	rowKey
	Value   []byte `json:"value,omitempty"`
	Ver     int64  `json:"ver"`
	Removed bool   `json:"removed,omitempty"`
	at      time.Time
}

// Store is a stand-in of the platform's table service. It keeps the limits and the rates
// of the pages and has no faults.
type Store struct {
	mu       sync.Mutex
	began    time.Time
	rows     map[rowKey]row
	tables   map[string]bool
	history  []row
	dropped  int64 // the history has no changes up to this version
	ver      int64
	changed  chan struct{}
	partFree map[string]time.Time
	writes   bucket
	reads    bucket

	refused func(reason string) // called for each transaction that breaks a limit
}

// bucket limits calls per second.
type bucket struct {
	tokens float64
	at     time.Time
}

func (b *bucket) take(rate float64, now time.Time) bool {
	b.tokens = min(rate, b.tokens+rate*now.Sub(b.at).Seconds())
	b.at = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func newStore(refused func(string)) *Store {
	return &Store{began: time.Now(), rows: map[rowKey]row{}, tables: map[string]bool{}, changed: make(chan struct{}),
		partFree: map[string]time.Time{}, refused: refused}
}

func (s *Store) nowMS() int64 { return time.Since(s.began).Milliseconds() }

// put writes a row as the operator or a worker does.
func (s *Store) put(table, key string, value any) {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err) // the values are constant types
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]row{{rowKey: rowKey{Table: table, Key: key}, Value: b}}, nil)
}

// remove deletes a row as the operator or a worker does.
func (s *Store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(nil, []rowKey{{Table: table, Key: key}})
}

// apply carries out one transaction. The caller holds mu.
func (s *Store) apply(puts []row, removes []rowKey) {
	s.ver++
	now := time.Now()
	for _, p := range puts {
		p.Ver, p.at = s.ver, now
		s.tables[p.Table] = true
		s.rows[p.rowKey] = p
		s.history = append(s.history, p)
	}
	for _, k := range removes {
		delete(s.rows, k)
		s.history = append(s.history, row{rowKey: k, Ver: s.ver, Removed: true, at: now})
	}
	old := 0
	for old < len(s.history) && now.Sub(s.history[old].at) > historyTime {
		s.dropped = s.history[old].Ver
		old++
	}
	s.history = s.history[old:]
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/rows-tx", s.limited(&s.writes, writesPerS, s.tx))
	mux.HandleFunc("GET /v1/rows-get", s.limited(&s.reads, readsPerS, s.get))
	mux.HandleFunc("GET /v1/rows-feed", s.limited(&s.reads, readsPerS, s.feed))
	mux.HandleFunc("GET /v1/rows-parts", s.limited(&s.reads, readsPerS, s.parts))
	return mux
}

func (s *Store) limited(b *bucket, rate float64, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		ok := b.take(rate, time.Now())
		s.mu.Unlock()
		if !ok {
			reply(w, http.StatusTooManyRequests, map[string]string{"error": "rate"})
			return
		}
		next(w, r)
	}
}

type wireTx struct {
	Expected []row    `json:"expected_rev"`
	Puts     []row    `json:"puts"`
	Remove   []rowKey `json:"remove"`
}

// broken returns the limit that a transaction breaks, or "".
func (t *wireTx) broken(size int64) string {
	if len(t.Expected)+len(t.Puts)+len(t.Remove) > maxTxEntries {
		return "more than 100 entries"
	}
	if size > maxTxBytes {
		return "more than 1 MB"
	}
	var keys []rowKey
	for _, e := range t.Expected {
		keys = append(keys, e.rowKey)
	}
	for _, p := range t.Puts {
		keys = append(keys, p.rowKey)
		if len(p.Value) > rowBytes {
			return "value of " + strconv.Itoa(len(p.Value)) + " bytes, row_bytes is " + strconv.Itoa(rowBytes)
		}
	}
	keys = append(keys, t.Remove...)
	for _, k := range keys {
		if len(k.Table) > maxNameBytes || len(k.Part) > maxNameBytes || len(k.Key) > maxNameBytes || k.Table == "" {
			return "name longer than 200 bytes"
		}
		if k.Part != keys[0].Part {
			return "several partitions"
		}
	}
	return ""
}

func (s *Store) tx(w http.ResponseWriter, r *http.Request) {
	var t wireTx
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		reply(w, http.StatusBadRequest, map[string]string{"error": err.Error()})
		return
	}
	if reason := t.broken(r.ContentLength); reason != "" {
		s.refused(reason)
		reply(w, http.StatusBadRequest, map[string]string{"error": reason})
		return
	}
	part := ""
	for _, p := range t.Puts {
		part = p.Part
		if p.Table == "op" || p.Table == "servers" {
			reply(w, http.StatusForbidden, map[string]string{"error": "not yours"})
			return
		}
	}
	s.mu.Lock()
	now := time.Now()
	free := s.partFree[part]
	if free.Before(now) {
		free = now
	}
	if free.Sub(now) > maxPartQueue {
		s.mu.Unlock()
		reply(w, http.StatusTooManyRequests, map[string]string{"error": "partition is busy"})
		return
	}
	free = free.Add(txTime)
	s.partFree[part] = free
	s.mu.Unlock()
	time.Sleep(free.Sub(now))
	s.mu.Lock()
	defer s.mu.Unlock()
	conflict := false
	current := []row{}
	for _, e := range t.Expected {
		have, ok := s.rows[e.rowKey]
		if ok {
			current = append(current, have)
		}
		conflict = conflict || have.Ver != e.Ver
	}
	if conflict {
		reply(w, http.StatusPreconditionFailed, map[string]any{"rows": current, "ver": s.ver, "now_ms": s.nowMS()})
		return
	}
	s.apply(t.Puts, t.Remove)
	reply(w, http.StatusOK, map[string]any{"ver": s.ver, "now_ms": s.nowMS()})
}

// cut returns how many of the rows fit into one answer.
func cut(rows []row) int {
	size := 0
	for i, r := range rows {
		size += len(r.Value)
		if i == pageRows || i > 0 && size > pageBytes {
			return i
		}
	}
	return len(rows)
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	table, part, from, to := q.Get("table"), q.Get("part"), q.Get("from"), q.Get("to")
	s.mu.Lock()
	list := []row{}
	for k, v := range s.rows {
		if k.Table == table && k.Part == part && k.Key >= from && (to == "" || k.Key < to) {
			list = append(list, v)
		}
	}
	ver, now := s.ver, s.nowMS()
	s.mu.Unlock()
	sort.Slice(list, func(i, k int) bool { return list[i].Key < list[k].Key })
	n := cut(list)
	if limit, err := strconv.Atoi(q.Get("limit")); err == nil {
		n = min(n, limit)
	}
	reply(w, http.StatusOK, map[string]any{"rows": list[:n], "has_more": n < len(list), "ver": ver, "now_ms": now})
}

func (s *Store) parts(w http.ResponseWriter, r *http.Request) {
	table, after := r.URL.Query().Get("table"), r.URL.Query().Get("after")
	s.mu.Lock()
	seen := map[string]bool{}
	for k := range s.rows {
		if k.Table == table && k.Part > after {
			seen[k.Part] = true
		}
	}
	s.mu.Unlock()
	list := []string{}
	for p := range seen {
		list = append(list, p)
	}
	sort.Strings(list)
	reply(w, http.StatusOK, map[string]any{"parts": list[:min(len(list), 1000)]})
}

func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseInt(q.Get("after"), 10, 64)
	waitMS, _ := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	if err != nil {
		reply(w, http.StatusBadRequest, map[string]string{"error": err.Error()})
		return
	}
	timer := time.NewTimer(time.Duration(min(waitMS, maxFeedWaitMS)) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		if after < s.dropped {
			s.mu.Unlock()
			reply(w, http.StatusGone, map[string]string{"error": "history is gone"})
			return
		}
		rows := s.changesOf(q.Get("table"), after)
		ver, now, changed := s.ver, s.nowMS(), s.changed
		s.mu.Unlock()
		if len(rows) > 0 {
			if n := cutWhole(rows); n < len(rows) {
				rows = rows[:n]
				ver = rows[n-1].Ver
			}
			reply(w, http.StatusOK, map[string]any{"rows": rows, "ver": ver, "now_ms": now})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			reply(w, http.StatusOK, map[string]any{"rows": []row{}, "ver": ver, "now_ms": now})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// changesOf returns the changes of a table after a version. The caller holds mu.
func (s *Store) changesOf(table string, after int64) []row {
	first := sort.Search(len(s.history), func(i int) bool { return s.history[i].Ver > after })
	var rows []row
	for _, r := range s.history[first:] {
		if r.Table == table {
			rows = append(rows, r)
		}
	}
	return rows
}

// cutWhole returns how many rows fit into one answer without a part of a transaction.
func cutWhole(rows []row) int {
	n := cut(rows)
	if n == len(rows) {
		return n
	}
	for k := n; k > 0; k-- {
		if rows[k].Ver != rows[k-1].Ver {
			return k
		}
	}
	for n < len(rows) && rows[n].Ver == rows[n-1].Ver {
		n++
	}
	return n
}

func reply(w http.ResponseWriter, status int, body any) {
	b, err := json.Marshal(body)
	if err != nil {
		panic(err) // the bodies are constant types
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	w.WriteHeader(status)
	_, _ = w.Write(b) // fails only if the peer has gone
}
