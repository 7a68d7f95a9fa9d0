package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// key names a row of the table service.
type key struct {
	Table     string `json:"table"`
	Partition string `json:"part"`
	Name      string `json:"key"`
}

type row struct {
	key
	Value   []byte `json:"value"`
	Version int64  `json:"ver"`
	Removed bool   `json:"removed,omitempty"`
}

type txn struct {
	Conditions []row `json:"expected_rev"`
	Puts       []row `json:"puts"`
	Deletes    []key `json:"remove"`
}

// store is the platform's table service. It keeps its whole history.
type store struct {
	mu      sync.Mutex
	began   time.Time
	rows    map[key]row
	log     []row // all changes, in order of versions
	version int64
	changed chan struct{}
}

func newStore() *store {
	return &store{began: time.Now(), rows: map[key]row{}, changed: make(chan struct{})}
}

// txTime is how long a transaction takes, as tx_ms in the settings tells.
const txTime = 5 * time.Millisecond

// commit applies a transaction. The result is false, with the current rows of the conditions,
// if a condition does not hold.
func (s *store) commit(t txn) (version int64, current []row, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ok = true
	for _, c := range t.Conditions {
		r, exists := s.rows[c.key]
		if exists {
			current = append(current, r)
		}
		ok = ok && r.Version == c.Version
	}
	if !ok {
		return 0, current, false
	}
	s.version++
	for _, p := range t.Puts {
		r := row{key: p.key, Value: p.Value, Version: s.version}
		s.rows[p.key] = r
		s.log = append(s.log, r)
	}
	for _, d := range t.Deletes {
		if _, exists := s.rows[d]; exists {
			delete(s.rows, d)
			s.log = append(s.log, row{key: d, Version: s.version, Removed: true})
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.version, nil, true
}

// put writes a row of the platform or of an operator.
func (s *store) put(table, name string, value any) {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.commit(txn{Puts: []row{{key: key{table, "", name}, Value: b}}})
}

func (s *store) remove(table, name string) {
	s.commit(txn{Deletes: []key{{table, "", name}}})
}

// get returns the value of a row without a partition, nil if there is none.
func (s *store) get(table, name string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[key{table, "", name}].Value
}

func (s *store) nowMS() int64 { return time.Since(s.began).Milliseconds() }

const (
	maxPageRows  = 500
	maxPageBytes = 700 << 10
)

func (s *store) page(table, partition, from, to string) map[string]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := []row{}
	for k, r := range s.rows {
		if k.Table == table && k.Partition == partition && k.Name >= from && (to == "" || k.Name < to) {
			list = append(list, r)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	more, bytes := false, 0
	for i, r := range list {
		if bytes += len(r.Value); i == maxPageRows || i > 0 && bytes > maxPageBytes {
			list, more = list[:i], true
			break
		}
	}
	return map[string]any{"rows": list, "has_more": more, "ver": s.version, "now_ms": s.nowMS()}
}

// feed returns the changes of a table after a version, and waits for the first one.
func (s *store) feed(r *http.Request, table string, after int64, wait time.Duration) map[string]any {
	deadline := time.After(wait)
	for {
		s.mu.Lock()
		list, bytes := []row{}, 0
		version := s.version
		first := sort.Search(len(s.log), func(i int) bool { return s.log[i].Version > after })
		for _, c := range s.log[first:] {
			if c.Table != table {
				continue
			}
			if n := len(list); n > 0 && (n >= maxPageRows || bytes > maxPageBytes) && list[n-1].Version != c.Version {
				version = list[n-1].Version
				break
			}
			list = append(list, c)
			bytes += len(c.Value)
		}
		changed := s.changed
		s.mu.Unlock()
		if len(list) > 0 {
			return map[string]any{"rows": list, "ver": version, "now_ms": s.nowMS()}
		}
		select {
		case <-changed:
			continue
		case <-deadline:
		case <-r.Context().Done():
		}
		return map[string]any{"rows": list, "ver": version, "now_ms": s.nowMS()}
	}
}

// face is the address of the table service that one entry is given. A service that turns one
// machine away does so at that machine's face.
type face struct {
	store *store

	mu     sync.Mutex
	silent bool          // calls get no answer
	late   time.Duration // then transactions are carried out so much later
	note   func(string, ...any)
	name   string
}

// setSilent makes the face leave all calls without an answer. Transactions that reach it are
// carried out later, if their conditions still hold.
func (f *face) setSilent(on bool, late time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.silent, f.late = on, late
}

func (f *face) state() (bool, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.silent, f.late
}

func (f *face) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var t txn
	isTxn := strings.HasSuffix(r.URL.Path, "/rows-tx")
	if isTxn {
		if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
			reply(w, http.StatusBadRequest, map[string]any{})
			return
		}
	}
	if silent, late := f.state(); silent {
		if isTxn {
			time.AfterFunc(late, func() {
				_, _, ok := f.store.commit(t)
				if len(t.Puts) > 0 && strings.HasPrefix(t.Puts[0].Table, "jobs") {
					f.note("store: transaction of %s without an answer is carried out late: %v", f.name, ok)
				}
			})
		}
		<-r.Context().Done() // the caller gives up
		return
	}
	q := r.URL.Query()
	switch {
	case isTxn:
		time.Sleep(txTime)
		version, current, ok := f.store.commit(t)
		if !ok {
			if current == nil {
				current = []row{}
			}
			reply(w, http.StatusPreconditionFailed, map[string]any{"rows": current})
			return
		}
		reply(w, http.StatusOK, map[string]any{"ver": version, "now_ms": f.store.nowMS()})
	case strings.HasSuffix(r.URL.Path, "/rows-get"):
		reply(w, http.StatusOK, f.store.page(q.Get("table"), q.Get("part"), q.Get("from"), q.Get("to")))
	case strings.HasSuffix(r.URL.Path, "/rows-feed"):
		after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
		wait, _ := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
		page := f.store.feed(r, q.Get("table"), after, time.Duration(wait)*time.Millisecond)
		if silent, _ := f.state(); silent {
			<-r.Context().Done()
			return
		}
		reply(w, http.StatusOK, page)
	default:
		reply(w, http.StatusNotFound, map[string]any{})
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // fails only if the caller has disconnected
}
