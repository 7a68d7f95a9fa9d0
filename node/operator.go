package node

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"amaranthfork.example/sched/catalog"
)

// Following of the operators' table.
const (
	// operatorWait is the wait of a feed call. Each answer without changes proves
	// that the view was current when the request was sent, so the wait bounds the age
	// of the evidence.
	operatorWait = time.Second
	// operatorRereadAfter is longer than the time between two answers in calm. The
	// newest declarations are one row of up to 64 KB; each missed version is another.
	operatorRereadAfter = 2 * time.Second
)

// View is this process's copy of the operators' declarations.
type View struct {
	Catalog              *catalog.Catalog // nil until the first one has been read
	EvacuatedDataCentres map[string]bool
	Waves                []Wave
	// CurrentAt is the steady time at which the view was last proved to be
	// current.
	CurrentAt time.Duration
}

// operatorView follows the operators' table.
type operatorView struct {
	rows Rows
	log  *zap.Logger

	mu         sync.Mutex
	byName     map[string]OperatorRow // decoded rows
	view       View
	catalogRow string        // name of the row that holds the catalog
	unreadable bool          // the newest version of that row cannot be decoded
	changed    chan struct{} // closed at the next change of the view
}

func newOperatorView(rows Rows, log *zap.Logger) *operatorView {
	return &operatorView{rows: rows, log: log, byName: map[string]OperatorRow{}, changed: make(chan struct{})}
}

// Get returns the view and a channel that is closed when it changes.
func (o *operatorView) Get() (View, <-chan struct{}) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.view, o.changed
}

func (o *operatorView) update(u Update) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(u.Rows) > 0 || u.Whole {
		o.apply(u)
	}
	if !o.unreadable {
		o.view.CurrentAt = max(o.view.CurrentAt, u.CurrentAt)
	}
}

// apply applies the rows of an update. The caller holds mu.
func (o *operatorView) apply(u Update) {
	if u.Whole {
		o.byName = map[string]OperatorRow{}
	}
	for _, row := range u.Rows {
		if row.Removed {
			delete(o.byName, row.Name)
			continue
		}
		decoded, err := o.rows.DecodeOperator(row)
		if err != nil {
			o.log.Warn("operator_row_unreadable", zap.String("row", row.Name), zap.Int64("version", row.Version), zap.Error(err))
			o.unreadable = o.unreadable || row.Name == o.catalogRow
			continue
		}
		if decoded.Catalog != nil {
			o.catalogRow, o.unreadable = row.Name, false
		}
		o.byName[row.Name] = decoded
	}
	o.rebuild()
	close(o.changed)
	o.changed = make(chan struct{})
}

func (o *operatorView) rebuild() {
	evacuated := map[string]bool{}
	var waves []Wave
	for _, row := range o.byName {
		switch {
		case row.Catalog != nil:
			o.applyCatalog(row.Catalog)
		case row.EvacuatedDataCentre != "":
			evacuated[row.EvacuatedDataCentre] = true
		case row.Wave != nil:
			waves = append(waves, *row.Wave)
		}
	}
	if len(evacuated) != len(o.view.EvacuatedDataCentres) {
		o.log.Info("data_centres_evacuated", zap.Int("count", len(evacuated)), zap.Any("names", keys(evacuated)))
	}
	o.view.EvacuatedDataCentres = evacuated
	o.view.Waves = waves
}

// applyCatalog puts a catalog in force unless a newer one is.
func (o *operatorView) applyCatalog(c *catalog.Catalog) {
	if o.view.Catalog != nil && c.Version <= o.view.Catalog.Version {
		return
	}
	if o.view.Catalog != nil {
		o.logQueueMoves(o.view.Catalog, c)
	}
	o.view.Catalog = c
	o.log.Info("catalog_in_force", zap.Int64("version", c.Version), zap.Int("queues", len(c.Queues)),
		zap.Int("pools", len(c.Pools)), zap.Int("workspaces", len(c.Workspaces)))
}

// logQueueMoves logs the queues that leave their pools. Jobs stay in the pool in which
// they were accepted.
func (o *operatorView) logQueueMoves(before, after *catalog.Catalog) {
	for name, q := range before.Queues {
		if moved := after.Queues[name]; moved != nil && moved.Pool != q.Pool {
			o.log.Info("queue_moved", zap.String("queue", name), zap.String("from", q.Pool), zap.String("to", moved.Pool))
		}
	}
}

func (o *operatorView) run(ctx context.Context, f follower) {
	f.table = o.rows.OperatorTable()
	f.wait = operatorWait
	f.confirm = true
	f.rereadAfter = operatorRereadAfter
	f.deliver = o.update
	f.run(ctx)
}

func keys(m map[string]bool) []string {
	list := make([]string, 0, len(m))
	for k := range m {
		list = append(list, k)
	}
	return list
}
