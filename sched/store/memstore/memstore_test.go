package memstore

import (
	"fmt"
	"testing"

	"amaranthfork.example/sched/store"
)

// Guards against changes that a feed loses because an answer ends in the middle of a
// transaction: its rows have one version, after which the next call begins.
func TestFeedAnswersHoldWholeTransactions(t *testing.T) {
	s := New()
	const txns, rows = 30, 99
	for i := range txns {
		var txn store.Txn
		for k := range rows {
			txn.Puts = append(txn.Puts, store.Put{Key: store.Key{Table: "t", Name: fmt.Sprintf("%d-%d", i, k)}, Value: []byte("v")})
		}
		if _, err := s.Commit(t.Context(), txn); err != nil {
			t.Fatal(err)
		}
	}
	seen, version := 0, int64(0)
	for {
		page, err := s.Changes(t.Context(), "t", version, 0)
		if err != nil {
			t.Fatal(err)
		}
		if len(page.Rows) == 0 {
			break
		}
		seen += len(page.Rows)
		version = page.Version
	}
	if seen != txns*rows {
		t.Errorf("the feed returned %d rows, want %d", seen, txns*rows)
	}
}
