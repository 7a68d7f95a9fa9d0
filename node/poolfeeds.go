package node

import (
	"context"
	"fmt"
	"maps"

	"go.uber.org/zap"

	"amaranthfork.example/sched/job"
	"amaranthfork.example/sched/pool"
	"amaranthfork.example/sched/store"
	"amaranthfork.example/sched/tables"
)

// applyRequest passes a row of the pool's requests to the scheduler. stored
// holds the jobs' progress at takeover; it is nil for requests that arrive
// later.
func (r *poolController) applyRequest(p *pool.Pool, row store.Row, stored map[string]*job.Progress) {
	if r.applyTombstone(row) {
		return
	}
	id, cancel, ok := tables.ParseRequest(r.name, row.Key)
	if row.Removed || !ok {
		return
	}
	if cancel {
		p.Cancel(id)
		return
	}
	spec, err := job.DecodeSpec(row.Value)
	if err == nil && spec.ID != id {
		err = fmt.Errorf("job row: it describes job %s", spec.ID)
	}
	if err != nil {
		r.log.Error("job_row_unreadable", zap.String("job", id), zap.Error(err))
		return
	}
	spec.Stored = []store.Condition{{Key: row.Key, Version: row.Version}}
	if progress := stored[id]; progress != nil {
		p.Restore(spec, progress)
		return
	}
	p.Accept(spec)
}

// startFollowers starts the followers whose updates go to the scheduler.
// Answers about requests that are older than version are rejected.
func (r *poolController) startFollowers(ctx context.Context, version int64) {
	n := r.node
	requests := &follower{store: n.store, clock: n.clock, log: r.log, table: tables.Requests(r.name), spans: tables.RequestSpans(r.name),
		wait: requestWait, pause: requestPause, deliver: func(u Update) {
			r.deliver(func(p *pool.Pool) {
				for _, row := range u.Rows {
					r.applyRequest(p, row, nil)
				}
			})
		}}
	requests.version = version
	n.spawn("requests of "+r.name, func() { n.keepRunning(ctx, "requests of "+r.name, requests.run) })
	discovery := &follower{store: n.store, clock: n.clock, log: r.log, table: n.rows.VMTable(),
		wait: discoverWait, pause: discoverPause, deliver: r.vmUpdateHandler(), expectChange: r.arrivals.imminent}
	n.spawn("discovery of "+r.name, func() { n.keepRunning(ctx, "discovery of "+r.name, discovery.run) })
	cordons := &follower{store: n.store, clock: n.clock, log: r.log, table: tables.Cordons, spans: store.Partitions(fleetPool),
		wait: cordonWait, deliver: r.cordonUpdateHandler()}
	n.spawn("cordons of "+r.name, func() { n.keepRunning(ctx, "cordons of "+r.name, cordons.run) })
	n.spawn("caps", func() { n.keepRunning(ctx, "caps", r.caps.follow) })
}

// vmUpdateHandler returns the handler of updates of the discovery table. Rows
// of other pools matter too: a VM that now reports another pool has left this
// one.
func (r *poolController) vmUpdateHandler() func(Update) {
	inPool := map[string]bool{}
	return func(u Update) {
		var seen []pool.VM
		var gone []string
		present := map[string]bool{}
		for _, row := range u.Rows {
			listed, ok := r.decodeVM(row)
			if ok && listed.Pool == r.name {
				seen = append(seen, listed.VM)
				present[row.Name] = true
				inPool[row.Name] = true
				continue
			}
			if inPool[row.Name] {
				gone = append(gone, row.Name)
				delete(inPool, row.Name)
			}
		}
		if u.Whole {
			for name := range inPool {
				if !present[name] {
					gone = append(gone, name)
					delete(inPool, name)
				}
			}
		}
		r.deliver(func(p *pool.Pool) {
			for _, v := range seen {
				p.ObserveVM(v)
			}
			for _, name := range gone {
				p.ForgetVM(name)
			}
		})
	}
}

func (r *poolController) decodeVM(row store.Row) (ListedVM, bool) {
	if row.Removed {
		return ListedVM{}, false
	}
	listed, err := r.node.rows.DecodeVM(row)
	if err != nil {
		r.log.Info("vm_row_unreadable", zap.String("row", row.Name), zap.Error(err))
		return ListedVM{}, false
	}
	return listed, true
}

// cordonUpdateHandler returns the handler of updates of the cordons. It keeps
// the current cordons and passes all of them to the scheduler.
func (r *poolController) cordonUpdateHandler() func(Update) {
	cordons := map[string]pool.Cordon{}
	return func(u Update) {
		if len(u.Rows) == 0 && !u.Whole {
			return
		}
		if u.Whole {
			clear(cordons)
		}
		for _, row := range u.Rows {
			r.applyCordon(cordons, row)
		}
		snapshot := maps.Clone(cordons)
		r.deliver(func(p *pool.Pool) { p.SetCordons(snapshot) })
	}
}

// applyCordon applies a row to cordons, and keeps track of the machines that
// are being moved to this pool.
func (r *poolController) applyCordon(cordons map[string]pool.Cordon, row store.Row) {
	if row.Removed {
		delete(cordons, row.Name)
		r.arrivals.forget(row.Name)
		return
	}
	c, err := decodeCordon(row.Value)
	if err != nil {
		r.log.Error("cordon_row_unreadable", zap.String("machine", row.Name), zap.Error(err))
		return
	}
	cordons[row.Name] = pool.Cordon{VM: c.VM, Target: c.Target, Confirmed: c.ConfirmedAtMS != nil, Version: row.Version}
	if c.Target == r.name && c.Ordered {
		r.arrivals.expect(row.Name)
	}
}
