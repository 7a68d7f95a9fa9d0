package pool_test

import (
	"fmt"
	"testing"
	"time"

	"amaranthfork.example/sched/catalog"
	"amaranthfork.example/sched/pool"
)

// newAdvisorHarness returns a harness whose queue has an advisor.
func newAdvisorHarness(t testingT) *harness {
	h := newHarness(t)
	h.catalog = catalog.New(3, []*catalog.Queue{{Name: "short", Pool: testPool, Stretch: 1.6, Target: 600 * time.Millisecond,
		Advice: &catalog.Advice{CallTime: 20 * time.Millisecond, TimePerVM: 2 * time.Millisecond, Validity: 3 * time.Second}}},
		[]*catalog.Pool{{Name: testPool}}, nil, catalog.Limits{})
	h.scheduler.Configure(h.catalog)
	return h
}

// nextAdviceRequest returns the request to the advisor that the scheduler issues
// now, if any, and executes the commands before it.
func (h *harness) nextAdviceRequest() (pool.Command, bool) {
	h.renewAll()
	for _, c := range h.commit() {
		h.execute(c)
	}
	for _, c := range h.scheduler.Commands() {
		if c.Kind == pool.Advise {
			return c, true
		}
		h.execute(c)
	}
	return pool.Command{}, false
}

// Guards against starts without a ticket, which VMs refuse at a cost, and against
// jobs that never run because their queue has an advisor.
func TestStartsCarryTickets(t *testing.T) {
	h := newAdvisorHarness(t)
	h.addVM("a", 8000)
	h.addVM("b", 8000)
	spec := shortJob(2)
	h.submit(spec)
	request, ok := h.nextAdviceRequest()
	if !ok || request.Task != spec.ID+".0.0" || len(request.VMs) != 2 {
		t.Fatalf("request %+v, want one for the first step about a and b", request)
	}
	if h.starts != 0 {
		t.Fatal("started without a ticket")
	}
	if _, again := h.nextAdviceRequest(); again {
		t.Fatal("asked again while a request is pending")
	}
	h.scheduler.Advised(request, []pool.Ticket{{VM: "b", Value: "ticket-b"}}, 3*time.Second, h.now.Steady, true)
	starts := h.commit()
	if len(starts) != 2 || starts[0].VM != "b" || starts[0].Ticket != "ticket-b" {
		t.Fatalf("starts %+v, want two on b with its ticket", starts)
	}
}

// Guards against the use of expired tickets, and against repeated requests about
// VMs that may never run the step.
func TestTicketsExpire(t *testing.T) {
	h := newAdvisorHarness(t)
	h.addVM("a", 1000)
	h.addVM("b", 1000)
	spec := shortJob(2)
	h.submit(spec)
	request, _ := h.nextAdviceRequest()
	h.scheduler.Advised(request, []pool.Ticket{{VM: "b", Value: "one"}}, 3*time.Second, h.now.Steady, true)
	h.settle()
	if h.starts != 1 {
		t.Fatalf("%d starts, want 1", h.starts)
	}
	h.advance(3 * time.Second)
	h.end(h.workers["b"], h.firstRunningOn("b"), pool.EndDone)
	request, ok := h.nextAdviceRequest()
	if !ok || len(request.VMs) != 1 || request.VMs[0] != "b" {
		t.Fatalf("request %+v, want b alone", request)
	}
	if h.starts != 1 {
		t.Fatal("started with an expired ticket")
	}
}

func (h *harness) firstRunningOn(id string) string { return sortedNames(h.workers[id].running)[0] }

// Guards against a step that asks the advisor again without end (LOST): the calls take about
// as long as the tickets are valid, and tickets were taken to be valid from the sending of a
// call.
func TestSlowAdvisor(t *testing.T) {
	for _, perVM := range []time.Duration{100 * time.Millisecond, 200 * time.Millisecond, 2 * time.Second} {
		for _, gang := range []bool{false, true} {
			h := newAdvisorHarness(t)
			advice := h.catalog.Queues["short"].Advice
			advice.CallTime, advice.TimePerVM = time.Second, perVM
			for i := range 12 {
				h.addVM(fmt.Sprintf("vm%02d", i), 2000)
			}
			spec := shortJob(24)
			spec.Steps[0].Gang = gang
			h.submit(spec)
			calls := 0
			for began := h.now.Steady; h.runningTasks(spec) < 24; {
				if h.now.Steady-began > 5*time.Minute {
					t.Fatalf("%v for each VM, gang %v: %d of 24 tasks run after 5 minutes", perVM, gang, h.runningTasks(spec))
				}
				request, ok := h.nextAdviceRequest()
				if !ok {
					h.advance(100 * time.Millisecond)
					continue
				}
				if calls++; calls > 24 {
					t.Errorf("%v for each VM, gang %v: %d of 24 tasks run after %d calls", perVM, gang, h.runningTasks(spec), calls)
					break
				}
				sentAt := h.now.Steady
				took := advice.CallTime + time.Duration(len(request.VMs))*perVM
				if !gang && len(request.VMs) > 1 && took > advice.Validity-500*time.Millisecond {
					t.Errorf("%v for each VM: a call of %v for tickets of %v", perVM, took, advice.Validity)
				}
				for end := sentAt + took; h.now.Steady < end; {
					h.renewAll()
					h.advance(100 * time.Millisecond)
				}
				var tickets []pool.Ticket
				for _, vm := range request.VMs {
					tickets = append(tickets, pool.Ticket{VM: vm, Value: "ticket"})
				}
				h.renewAll()
				h.scheduler.Advised(request, tickets, advice.Validity, sentAt, true)
			}
		}
	}
}

// Guards against starts with tickets of the incarnation before a restart, which VMs refuse,
// and against a step that never runs (LOST) because the advisor has forbidden the earlier
// incarnation: the answer comes after the row or a listing has told of the restart.
func TestAdviceHoldsForOneIncarnation(t *testing.T) {
	for _, test := range []struct {
		name               string
		restartAfterAnswer bool
		rowFirst           bool
		permitted          bool
	}{
		{"permitted, then a listing tells of a restart", true, false, true},
		{"permitted, then the row tells of a restart", true, true, true},
		{"a listing tells of a restart, then permitted", false, false, true},
		{"the row tells of a restart, then permitted", false, true, true},
		{"a listing tells of a restart, then forbidden", false, false, false},
		{"the row tells of a restart, then forbidden", false, true, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newAdvisorHarness(t)
			a := h.addVM("a", 8000)
			h.submit(shortJob(1))
			request, ok := h.nextAdviceRequest()
			if !ok {
				t.Fatal("no request to the advisor")
			}
			restart := func() {
				h.restartWorker(a)
				if test.rowFirst {
					h.scheduler.ObserveVM(a.vm)
				}
				h.advance(1100 * time.Millisecond)
				h.renew("a")
			}
			advise := func() {
				var tickets []pool.Ticket
				if test.permitted {
					tickets = []pool.Ticket{{VM: "a", Value: "ticket"}}
				}
				h.scheduler.Advised(request, tickets, 10*time.Second, h.now.Steady, true)
			}
			if test.restartAfterAnswer {
				advise()
				restart()
			} else {
				restart()
				advise()
			}
			if _, ok := h.nextAdviceRequest(); !ok {
				t.Error("the advisor is not asked about the new incarnation")
			}
			if h.starts != 0 {
				t.Error("a start carries the ticket of the earlier incarnation")
			}
		})
	}
}
