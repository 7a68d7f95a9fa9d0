// Package tableservice emulates the platform's table service over HTTP, with faults
// that are switched on from outside.
package tableservice

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"sync"
	"time"

	"amaranthfork.example/sched/store"
	"amaranthfork.example/sched/store/memstore"
)

// Faults of the service.
type Faults struct {
	Down       bool          `json:"down"`        // every call is refused
	TxnTime    time.Duration `json:"txn_time"`    // of each transaction, in ns; a partition carries them out one after another
	LoseAnswer float64       `json:"lose_answer"` // fraction of transactions that are carried out without an answer
}

// maxLateCommit bounds the delay of a transaction whose answer is lost.
const maxLateCommit = 4 * time.Second

// usualTxnTime is the time of a transaction without faults.
const usualTxnTime = 5 * time.Millisecond

// Service is the emulated table service.
type Service struct {
	rows   *memstore.Store
	random func() float64 // 0 to 1, for the choice of lost answers

	mu     sync.Mutex
	faults Faults
}

// New returns a service without rows. random returns numbers from 0 to 1.
func New(random func() float64) *Service {
	s := &Service{rows: memstore.New(), random: random}
	s.SetFaults(Faults{})
	return s
}

// SetFaults replaces the faults in force.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.rows.SetTxnTime(max(usualTxnTime, f.TxnTime))
	s.rows.SetDown(f.Down)
}

// DropHistory makes the service forget which rows have changed.
func (s *Service) DropHistory() { s.rows.DropHistory() }

// Rows returns the store, for rows that the platform itself and its operators write.
func (s *Service) Rows() *memstore.Store { return s.rows }

type wireKey struct {
	Table     string `json:"table"`
	Partition string `json:"part"`
	Name      string `json:"key"`
}

func (k wireKey) key() store.Key {
	return store.Key{Table: k.Table, Partition: k.Partition, Name: k.Name}
}

type wireRow struct {
	wireKey
	Value   []byte `json:"value"`
	Version int64  `json:"ver"`
	Removed bool   `json:"removed,omitempty"`
}

type wireTxn struct {
	Conditions []wireRow `json:"expected_rev"`
	Puts       []wireRow `json:"puts"`
	Deletes    []wireKey `json:"remove"`
}

func (w *wireTxn) txn() store.Txn {
	var t store.Txn
	for _, c := range w.Conditions {
		t.Conditions = append(t.Conditions, store.Condition{Key: c.key(), Version: c.Version})
	}
	for _, p := range w.Puts {
		t.Puts = append(t.Puts, store.Put{Key: p.key(), Value: p.Value})
	}
	for _, d := range w.Deletes {
		t.Deletes = append(t.Deletes, d.key())
	}
	return t
}

// partitions returns the number of partitions that a transaction touches.
func partitions(t store.Txn) int {
	names := map[string]bool{}
	for _, c := range t.Conditions {
		names[c.Key.Partition] = true
	}
	for _, p := range t.Puts {
		names[p.Key.Partition] = true
	}
	for _, d := range t.Deletes {
		names[d.Partition] = true
	}
	return len(names)
}

// View returns the value of a row as callers in one place see it.
type View func(store.Row) []byte

// Handler returns the handler of the service's calls. view may be nil.
func (s *Service) Handler(view View) http.Handler {
	if view == nil {
		view = func(row store.Row) []byte { return row.Value }
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/rows-tx", func(w http.ResponseWriter, r *http.Request) { s.transact(w, r, view) })
	mux.HandleFunc("GET /v1/rows-get", func(w http.ResponseWriter, r *http.Request) { s.get(w, r, view) })
	mux.HandleFunc("GET /v1/rows-feed", func(w http.ResponseWriter, r *http.Request) { s.feed(w, r, view) })
	return mux
}

func (s *Service) transact(w http.ResponseWriter, r *http.Request, view View) {
	var body wireTxn
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		writeJSON(w, http.StatusBadRequest, map[string]string{"error": err.Error()})
		return
	}
	txn := body.txn()
	if partitions(txn) > 1 {
		writeJSON(w, http.StatusBadRequest, map[string]string{"error": "several partitions"})
		return
	}
	s.mu.Lock()
	lost := s.random() < s.faults.LoseAnswer
	s.mu.Unlock()
	if lost {
		delay := time.Duration(s.random() * float64(maxLateCommit))
		go func() {
			time.Sleep(delay)
			_, _ = s.rows.Commit(r.Context(), txn) // nobody learns the outcome
		}()
		panic(http.ErrAbortHandler) // closes the connection without an answer
	}
	receipt, err := s.rows.Commit(r.Context(), txn)
	var conflict *store.ConflictError
	switch {
	case errors.As(err, &conflict):
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"rows": wireRows(conflict.Current, view)})
	case err != nil:
		writeError(w, err)
	default:
		writeJSON(w, http.StatusOK, map[string]any{"ver": receipt.Version, "now_ms": receipt.Time.Milliseconds()})
	}
}

func (s *Service) get(w http.ResponseWriter, r *http.Request, view View) {
	q := r.URL.Query()
	page, err := s.rows.Range(r.Context(), q.Get("table"), q.Get("part"), q.Get("from"), q.Get("to"))
	writePage(w, page, err, view)
}

func (s *Service) feed(w http.ResponseWriter, r *http.Request, view View) {
	q := r.URL.Query()
	after, errAfter := strconv.ParseInt(q.Get("after"), 10, 64)
	waitMS, errWait := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	if err := errors.Join(errAfter, errWait); err != nil {
		writeJSON(w, http.StatusBadRequest, map[string]string{"error": err.Error()})
		return
	}
	page, err := s.rows.Changes(r.Context(), q.Get("table"), after, time.Duration(waitMS)*time.Millisecond)
	writePage(w, page, err, view)
}

func wireRows(rows []store.Row, view View) []wireRow {
	list := make([]wireRow, len(rows))
	for i, row := range rows {
		list[i] = wireRow{wireKey{row.Table, row.Partition, row.Name}, view(row), row.Version, row.Removed}
	}
	return list
}

func writePage(w http.ResponseWriter, page store.Page, err error, view View) {
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, map[string]any{"rows": wireRows(page.Rows, view), "has_more": page.More, "ver": page.Version, "now_ms": page.Time.Milliseconds()})
}

func writeError(w http.ResponseWriter, err error) {
	status := http.StatusServiceUnavailable
	if errors.Is(err, store.ErrHistoryGone) {
		status = http.StatusGone
	}
	writeJSON(w, status, map[string]string{"error": err.Error()})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // fails only if the caller has disconnected
}
