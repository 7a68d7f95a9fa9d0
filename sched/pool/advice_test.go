package pool_test

import (
	"testing"
	"time"

	"amaranthfork.example/sched/catalog"
	"amaranthfork.example/sched/pool"
)

// newAdvisedWorld returns a world whose queue has an advisor.
func newAdvisedWorld(t testingT) *world {
	w := newWorld(t)
	w.catalog = catalog.New(3, []*catalog.Queue{{Name: "short", Pool: testPool, Stretch: 1.6, Target: 600 * time.Millisecond,
		Advice: &catalog.Advice{CallTime: 20 * time.Millisecond, TimePerVM: 2 * time.Millisecond, Validity: 3 * time.Second}}},
		[]*catalog.Pool{{Name: testPool}}, nil, catalog.Limits{})
	w.p.Configure(w.catalog)
	return w
}

// nextAdviceRequest returns the request to the advisor that the scheduler issues
// now, if any, and executes the commands before it.
func (w *world) nextAdviceRequest() (pool.Command, bool) {
	w.renewAll()
	for _, c := range w.commit() {
		w.execute(c)
	}
	for _, c := range w.p.Commands() {
		if c.Kind == pool.Advise {
			return c, true
		}
		w.execute(c)
	}
	return pool.Command{}, false
}

// Guards against starts without a ticket, which VMs refuse at a cost, and against
// jobs that never run because their queue has an advisor.
func TestStartsCarryTickets(t *testing.T) {
	w := newAdvisedWorld(t)
	w.addVM("a", 8000)
	w.addVM("b", 8000)
	spec := shortJob(2)
	w.submit(spec)
	request, ok := w.nextAdviceRequest()
	if !ok || request.Task != spec.ID+".0.0" || len(request.VMs) != 2 {
		t.Fatalf("request %+v", request)
	}
	if w.starts != 0 {
		t.Fatal("started without a ticket")
	}
	if _, again := w.nextAdviceRequest(); again {
		t.Fatal("asked again while a request is pending")
	}
	w.p.Advised(request, []pool.Ticket{{VM: "b", Value: "ticket-b"}}, 3*time.Second, w.now.Steady, true)
	starts := w.commit()
	if len(starts) != 2 || starts[0].VM != "b" || starts[0].Ticket != "ticket-b" {
		t.Fatalf("starts %+v, want two on b with its ticket", starts)
	}
}

// Guards against the use of expired tickets, and against repeated requests about
// VMs that may never run the step.
func TestTicketsExpire(t *testing.T) {
	w := newAdvisedWorld(t)
	w.addVM("a", 1000)
	w.addVM("b", 1000)
	spec := shortJob(2)
	w.submit(spec)
	request, _ := w.nextAdviceRequest()
	w.p.Advised(request, []pool.Ticket{{VM: "b", Value: "one"}}, 3*time.Second, w.now.Steady, true)
	w.settle()
	if w.starts != 1 {
		t.Fatalf("%d starts, want 1", w.starts)
	}
	w.advance(3 * time.Second)
	w.end(w.workers["b"], w.firstRunningOn("b"), pool.EndDone)
	request, ok := w.nextAdviceRequest()
	if !ok || len(request.VMs) != 1 || request.VMs[0] != "b" {
		t.Fatalf("request %+v, want b alone", request)
	}
	if w.starts != 1 {
		t.Fatal("started with an expired ticket")
	}
}

func (w *world) firstRunningOn(id string) string { return sortedNames(w.workers[id].running)[0] }
