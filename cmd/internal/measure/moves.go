package measure

import (
	"amaranthfork.example/fleet"
	"amaranthfork.example/policy/capacity"
)

// begin takes a VM out of dispatch for a move.
func (w *world) begin(m capacity.Move) {
	i := w.names[m.VM]
	v := &w.vms[i]
	w.check.moveBegan(i, w.pools[m.From], w.pools[m.To], v.planned)
	v.phase, v.to = draining, w.pools[m.To]
	v.drainBy = w.now + ticks(w.s.Maintenance.DrainTimeout)
	w.m.moves++
}

// progress advances VMs that drain, move, reboot or have failed.
func (w *world) progress() {
	for i := range w.vms {
		v := &w.vms[i]
		switch {
		case v.phase == draining:
			w.drain(i)
		case v.phase == moving && w.now >= v.until:
			w.assign(i)
		case (v.phase == rebooting || v.phase == failed) && w.now >= v.until:
			w.check.available(i)
			v.phase = serving
		}
	}
}

func (w *world) drain(i int) {
	v := &w.vms[i]
	if w.now >= v.drainBy {
		w.checkpoint(v)
	}
	if len(v.tasks) > 0 {
		return
	}
	if v.to < 0 {
		v.phase, v.until = rebooting, w.now+ticks(w.s.Maintenance.RebootTimeout)
		return
	}
	v.phase, v.until = moving, w.now+w.s.transfer
}

// checkpoint stops the batch tasks of a VM; short tasks finish.
func (w *world) checkpoint(v *vm) {
	const overhead = 5 // ticks to save and restore a checkpoint
	var kept []*task
	for _, t := range v.tasks {
		if classes[t.job.class].name != fleet.ClassBatch {
			kept = append(kept, t)
			continue
		}
		v.used = v.used.Sub(t.need)
		w.interrupt(t, t.end-w.now+overhead)
	}
	v.tasks = kept
}

// assign ends a move.
func (w *world) assign(i int) {
	v := &w.vms[i]
	old := w.members[v.pool]
	for k, o := range old {
		if o == i {
			w.members[v.pool] = append(old[:k], old[k+1:]...)
			break
		}
	}
	v.pool = v.to
	w.members[v.pool] = append(w.members[v.pool], i)
	v.phase, v.to, v.moved = serving, -1, w.now
	w.check.assigned(i, v.pool)
}
