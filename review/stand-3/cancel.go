package main

import "time"

func init() { cases["cancel"] = cancelUnconfirmed }

const cancelMS = 3000 // cancel_ms

// cancelUnconfirmed: the table service leaves the calls of one entry without an answer for 1.6 s and
// serves the others; a transaction of that time is carried out 6 s late, as its condition still
// holds. A consumer hands a job in at that entry, gets no confirmation, and cancels it.
func cancelUnconfirmed(w *world, trouble bool) bool {
	const key, id = "k-pay", "00000000000000c1"
	w.store.put("op", "config", manifest(1,
		[]map[string]any{route("r-pay", "/pay/", "pay", nil)}, []map[string]any{service("pay")}, []map[string]any{tenant("t-1", map[string]int64{}, key)}))
	for _, m := range []string{"m-1", "m-2", "m-3"} {
		w.addMachine(m, "pay", 16000, 100)
	}
	owner := w.newEntry("edge-1")
	owner.awaitReady()
	one := job(plan{CPU: 1000, MS: 20000}, map[string]any{"count": 1, "cpu": 1000, "mem_mb": 256, "estimate_ms": 20000})
	w.await(10*time.Second, "edge-1 schedules the pool", func() bool { return owner.logged("event=vm_fenced") })
	other, third := w.newEntry("edge-2"), w.newEntry("edge-3")
	other.awaitReady()
	third.awaitReady()
	time.Sleep(4 * time.Second) // contact_ms and a second

	if trouble {
		w.note("the table service leaves edge-2 without answers")
		other.face.setSilent(true, 6*time.Second)
		time.AfterFunc(1600*time.Millisecond, func() {
			w.note("the table service serves edge-2 again")
			other.face.setSilent(false, 0)
		})
	}
	status, _ := other.call("POST", "/pay/"+id, key, one)
	if !trouble && status != 200 {
		w.end(2)
	}
	cancelled, _ := owner.call("DELETE", "/pay/"+id, key, nil)
	cancelledAt := time.Now()
	if cancelled/100 != 2 && cancelled != 410 {
		w.note("the cancelling was not acknowledged")
		w.end(2)
	}
	w.within(12*time.Second, func() bool { return len(w.startedAfter(id, cancelledAt.Add(cancelMS*time.Millisecond))) > 0 })
	time.Sleep(2 * time.Second)
	owner.call("GET", "/pay/"+id, key, nil)
	late := w.startedAfter(id, cancelledAt.Add(cancelMS*time.Millisecond))
	w.note("starts of the job later than cancel_ms after its cancelling was acknowledged: %d", len(late))
	owner.keepLog()
	other.keepLog()
	return len(late) == 0
}

// startedAfter returns the runs of a job that have begun after a time.
func (w *world) startedAfter(id string, at time.Time) []taskRun {
	var list []taskRun
	for _, r := range w.runs() {
		if jobOf(r.task) == id && r.beganMS > at.UnixMilli() {
			list = append(list, r)
		}
	}
	return list
}
