package pool_test

import (
	"testing"
	"time"

	"amaranthfork.example/sched/catalog"
	"amaranthfork.example/sched/pool"
)

// advised returns a world whose queue needs tickets.
func advised(t failer) *world {
	w := newWorld(t)
	w.catalog = catalog.New(3, []*catalog.Queue{{Name: "short", Pool: testPool, Stretch: 1.6, Target: 600 * time.Millisecond,
		Advice: &catalog.Advice{Decision: 20 * time.Millisecond, PerVM: 2 * time.Millisecond, Validity: 3 * time.Second}}},
		[]*catalog.Pool{{Name: testPool}}, nil, catalog.Limits{})
	w.p.Configure(w.catalog)
	return w
}

// takeAdvice returns the question that the scheduler asks now, if any.
func (w *world) takeAdvice() (pool.Command, bool) {
	w.renewAll()
	for _, c := range w.commit() {
		w.carry(c)
	}
	for _, c := range w.p.Commands() {
		if c.Kind == pool.Advise {
			return c, true
		}
		w.carry(c)
	}
	return pool.Command{}, false
}

// Guards against starts without a ticket, which are refused and paid for, and
// against jobs of such queues that never run.
func TestStartsCarryTickets(t *testing.T) {
	w := advised(t)
	w.addVM("a", 8000)
	w.addVM("b", 8000)
	spec := shortJob(2)
	w.submit(spec)
	question, ok := w.takeAdvice()
	if !ok || question.Task != spec.ID+".0.0" || len(question.VMs) != 2 {
		t.Fatalf("question %+v", question)
	}
	if w.starts != 0 {
		t.Fatal("started without a ticket")
	}
	if _, again := w.takeAdvice(); again {
		t.Fatal("asked again while a question is open")
	}
	w.p.Advised(question, []pool.Ticket{{VM: "b", Value: "ticket-b"}}, 3*time.Second, w.now.Steady, true)
	starts := w.commit()
	if len(starts) != 2 || starts[0].VM != "b" || starts[0].Ticket != "ticket-b" {
		t.Fatalf("starts %+v, want two on b with its ticket", starts)
	}
}

// Guards against tickets that are used after they have lapsed, and against
// asking anew about VMs that may never run the step.
func TestTicketsLapse(t *testing.T) {
	w := advised(t)
	w.addVM("a", 1000)
	w.addVM("b", 1000)
	spec := shortJob(2)
	w.submit(spec)
	question, _ := w.takeAdvice()
	w.p.Advised(question, []pool.Ticket{{VM: "b", Value: "one"}}, 3*time.Second, w.now.Steady, true)
	w.settle()
	if w.starts != 1 {
		t.Fatalf("%d starts, want 1", w.starts)
	}
	w.advance(3 * time.Second)
	w.end(w.workers["b"], w.runningOn("b"), pool.EndDone)
	question, ok := w.takeAdvice()
	if !ok || len(question.VMs) != 1 || question.VMs[0] != "b" {
		t.Fatalf("question %+v, want b alone", question)
	}
	if w.starts != 1 {
		t.Fatal("started with a lapsed ticket")
	}
}

func (w *world) runningOn(id string) string { return sortedNames(w.workers[id].running)[0] }
