package node

import (
	"bytes"
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"amaranthfork.example/sched/catalog"
	"amaranthfork.example/sched/job"
	"amaranthfork.example/sched/store"
	"amaranthfork.example/sched/store/memstore"
)

// narrowLink is a table service behind a link: an answer takes as long as its values take
// at linkBytesPerS, and calls share the link one after the other. The link is never silent,
// so that progress limits are kept; only deadlines end a call.
type narrowLink struct {
	store.Store
	link chan struct{} // holds a token while a call uses the link
}

// linkBytesPerS is what 10 Mbit/s carry of values in base64.
const linkBytesPerS = 900_000

func newNarrowLink(s store.Store) *narrowLink { return &narrowLink{s, make(chan struct{}, 1)} }

func (n *narrowLink) carry(ctx context.Context, page store.Page, err error) (store.Page, error) {
	if err != nil {
		return page, err
	}
	size := 0
	for _, row := range page.Rows {
		size += len(row.Value)
	}
	select {
	case n.link <- struct{}{}:
		defer func() { <-n.link }()
	case <-ctx.Done():
		return store.Page{}, fmt.Errorf("%w: %w", store.ErrUnavailable, ctx.Err())
	}
	timer := time.NewTimer(time.Duration(size) * time.Second / linkBytesPerS)
	defer timer.Stop()
	select {
	case <-timer.C:
		return page, nil
	case <-ctx.Done():
		return store.Page{}, fmt.Errorf("%w: %w", store.ErrUnavailable, ctx.Err())
	}
}

func (n *narrowLink) Range(ctx context.Context, table, partition, from, to string) (store.Page, error) {
	page, err := n.Store.Range(ctx, table, partition, from, to)
	return n.carry(ctx, page, err)
}

func (n *narrowLink) Changes(ctx context.Context, table string, after int64, wait time.Duration) (store.Page, error) {
	page, err := n.Store.Changes(ctx, table, after, wait)
	return n.carry(ctx, page, err)
}

// largeRows returns a store with a row of the operators' table that is larger than other
// rows may be: the configuration of thousands of queues.
type largeRows struct {
	store.Store
	value []byte
}

func (l *largeRows) enlarge(page store.Page, err error) (store.Page, error) {
	for i := range page.Rows {
		if page.Rows[i].Name == "config" {
			page.Rows[i].Value = append(bytes.Clone(page.Rows[i].Value), l.value...)
		}
	}
	return page, err
}

func (l *largeRows) Range(ctx context.Context, table, partition, from, to string) (store.Page, error) {
	return l.enlarge(l.Store.Range(ctx, table, partition, from, to))
}

func (l *largeRows) Changes(ctx context.Context, table string, after int64, wait time.Duration) (store.Page, error) {
	return l.enlarge(l.Store.Changes(ctx, table, after, wait))
}

// Guards against an entry with a narrow link that never again reads the declarations
// (LOST): 2 MB took longer than the fixed time in which a read had to end, and each try
// began again. The entry also starts on such a link.
func TestNarrowLinkCarriesLargeDeclarations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := memstore.New()
		service := newNarrowLink(&largeRows{rows, make([]byte, 2_000_000)})
		n, f := newOperatorFollower(service, timeClock{time.Now()})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		writeConfig(t, rows, 1)
		go n.operator.run(ctx, *f)
		for version := int64(2); version <= 4; version++ {
			time.Sleep(6 * time.Second)
			writeConfig(t, rows, version)
		}
		time.Sleep(6 * time.Second)
		if caller, err := n.Admit("h", "/q4/", ""); err != nil {
			t.Errorf("request for a queue of version 4, 6 s after it was declared: %v by version %d", err, caller.CatalogVersion)
		}
	})
}

// Guards against an entry with a narrow link that claims a pool and never takes it over
// (LOST): the stored requests of a busy pool took longer than the fixed time in which a
// read had to end.
func TestNarrowLinkCarriesTheRequestsOfABusyPool(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := memstore.New()
		const jobs = 3600 // 24 a second for the time that finished jobs stay known
		for i := range jobs {
			spec := oneStepJob(fmt.Sprintf("%016x", i*7919))
			spec.Payload = string(bytes.Repeat([]byte("x"), job.MaxPayloadBytes))
			txn, err := submissionTxn(&catalog.Queue{Name: "q", Pool: "p"}, spec)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := rows.Commit(t.Context(), txn); err != nil {
				t.Fatal(err)
			}
		}
		n := newEntry("a", newNarrowLink(rows), timeClock{time.Now()})
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		r := newPoolController(n, mustClaim(t, n.store, nodeA), 0, 0)
		if _, err := r.recover(ctx); err != nil {
			t.Fatalf("the pool is not taken over within a minute: %v", err)
		}
	})
}
