package node

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"go.uber.org/zap"

	"amaranthfork.example/fleet"
	"amaranthfork.example/sched/catalog"
	"amaranthfork.example/sched/fleetplan"
	"amaranthfork.example/sched/pool"
	"amaranthfork.example/sched/store"
	"amaranthfork.example/sched/tables"
)

// orderDay is a fleet with one machine in use, m, in pool a, whose owner gives lasting work to
// each VM that no cordon holds, and takes drainTime to empty one that a cordon holds. An order
// takes orderTime.
type orderDay struct {
	*fleetFixture
	f     *fleetController
	owner *pool.Pool               // of pool a
	busy  map[string]time.Duration // ids of the VMs of m that have work, with the time when it ends, steady clock; 0 if that is not known
	life  int                      // number of the present VM of m
	up    time.Duration            // when the order under way ends, steady clock; 0 if there is none
	ended []string                 // ids of the VMs whose work was ended by an order
	sent  int                      // orders for m
	lost  int                      // number of the next orders that are carried out without an answer
}

const (
	orderTime  = 2 * time.Second
	drainTime  = time.Second
	busyIn     = "a"
	orderedFor = "m"
)

func newOrderDay(t *testing.T) *orderDay {
	d := &orderDay{fleetFixture: newFleetFixture(t), busy: map[string]time.Duration{}}
	d.machines.machines = map[string]Machine{"s1": {Name: "s1", Pool: "spare", Up: true}}
	d.owner = pool.New(pool.Settings{Pool: busyIn, StopGrace: time.Second}, zap.NewNop(), d.clock.Now())
	d.owner.Configure(catalog.New(1, nil, []*catalog.Pool{{Name: busyIn}}, nil, catalog.Limits{}))
	d.nextLife()
	d.f = d.holder("first")
	return d
}

// newFailedOrder returns a day on which an order for m, in wave 1, was sent and answered with an
// error, as are those that follow.
func newFailedOrder(t *testing.T, answer error) *orderDay {
	t.Helper()
	d := newOrderDay(t)
	d.setAnswer(answer)
	d.pass(time.Second)
	if !d.works() {
		t.Fatal("the first VM got no work")
	}
	d.declare(d.f, "1", orderedFor)
	d.passUntil("an order was sent", func() bool { return d.sent > 0 })
	return d
}

// holder returns a new holder of the fleet role.
func (d *orderDay) holder(name string) *fleetController {
	f := d.newHolder(name)
	f.node.machines = d
	return f
}

// worker returns the id of the present VM of m.
func (d *orderDay) worker() string { return fmt.Sprintf("i-%d", d.life) }

// works reports whether the present VM of m has work.
func (d *orderDay) works() bool {
	_, busy := d.busy[d.worker()]
	return busy
}

// nextLife replaces the VM of m. The former one stays in discovery for a while.
func (d *orderDay) nextLife() {
	d.life++
	d.machines.mu.Lock()
	d.machines.machines[orderedFor] = Machine{Name: orderedFor, Pool: busyIn, Up: true, Worker: d.worker()}
	d.machines.mu.Unlock()
	d.owner.ObserveVM(pool.VM{ID: d.worker(), Machine: orderedFor, Address: d.worker(), Capacity: fleet.Resources{MilliCPU: 16_000}})
}

// List implements Machines.
func (d *orderDay) List(ctx context.Context) ([]Machine, error) { return d.machines.List(ctx) }

// Move implements Machines.
func (d *orderDay) Move(_ context.Context, machine, _, _ string, _ int64) error {
	return d.order(machine)
}

// Maintain implements Machines.
func (d *orderDay) Maintain(_ context.Context, machine, _, _ string, _ int64) error {
	return d.order(machine)
}

// order answers an order, or carries it out. A machine that has had its maintenance is not
// stopped again.
func (d *orderDay) order(machine string) error {
	d.machines.mu.Lock()
	defer d.machines.mu.Unlock()
	if machine != orderedFor {
		return nil
	}
	d.sent++
	if d.machines.answer != nil {
		return d.machines.answer
	}
	if !slices.Contains(d.machines.orders, machine) {
		d.machines.orders = append(d.machines.orders, machine)
		if d.works() {
			d.ended = append(d.ended, d.worker())
		}
		d.machines.machines[machine] = Machine{Name: machine, Pool: busyIn}
		d.up = d.clock.Now().Steady + orderTime
	}
	if d.lost > 0 {
		d.lost--
		return ErrNoAnswer
	}
	return nil
}

func (d *orderDay) setAnswer(err error) {
	d.machines.mu.Lock()
	defer d.machines.mu.Unlock()
	d.machines.answer = err
}

// pass lets a time pass. The owner of pool a follows the cordons, gives work to what they do
// not hold, and publishes its load.
func (d *orderDay) pass(total time.Duration) {
	d.t.Helper()
	for end := d.clock.Now().Steady + total; d.clock.Now().Steady < end; {
		cordons := map[string]pool.Cordon{}
		page, err := store.All(d.t.Context(), d.mem, tables.Cordons, store.Span{Partition: fleetPool})
		if err != nil {
			d.t.Fatal(err)
		}
		reader := &poolController{name: busyIn, log: zap.NewNop(), arrivals: newArrivals(d.clock, time.Second)}
		for _, row := range page.Rows {
			reader.applyCordon(cordons, row)
		}
		d.owner.Advance(d.clock.Now())
		d.owner.SetCordons(cordons)
		load := d.owner.LoadReport()
		for i := range load.VMs {
			v := &load.VMs[i]
			if v.VM != d.worker() || d.up > 0 {
				continue
			}
			endsAt, busy := d.busy[v.VM]
			switch {
			case v.Cordon == 0:
				d.busy[v.VM] = 0
			case busy && endsAt == 0:
				d.busy[v.VM] = d.clock.Now().Steady + drainTime
			case busy && d.clock.Now().Steady >= endsAt:
				delete(d.busy, v.VM)
			}
			if d.works() {
				v.Tasks, v.LongRunning = 2, 2
			}
		}
		value, err := pool.EncodeLoadReport(load)
		if err != nil {
			d.t.Fatal(err)
		}
		d.f.loadReports.update(Update{Rows: []store.Row{{Key: tables.LoadKey(busyIn, 0), Value: value, Version: d.clock.Now().Wall}}})
		d.step(d.f)
		d.awaitAnswers(d.f)
		d.finishOrder()
	}
}

// finishOrder starts the next VM of m once the order under way has ended. The lock makes what
// answered orders have changed visible to the test.
func (d *orderDay) finishOrder() {
	d.machines.mu.Lock()
	finished := d.up > 0 && d.clock.Now().Steady >= d.up
	if finished {
		d.up = 0
	}
	d.machines.mu.Unlock()
	if finished {
		d.nextLife()
	}
}

// passUntil lets time pass until a condition holds, at most 10 s.
func (d *orderDay) passUntil(what string, condition func() bool) {
	d.t.Helper()
	for end := d.clock.Now().Steady + 10*time.Second; !condition(); {
		if d.clock.Now().Steady > end {
			d.t.Fatalf("not reached in 10 s: %s", what)
		}
		d.pass(fleetPlanInterval)
	}
}

// Guards against an order that was decided for one VM of a machine and ends what runs on the
// next one (AVAIL, review/11): it is refused, or has no answer, and is repeated after the
// machine's VM was replaced. The wave must still end.
func TestRepeatedOrderEndsNoWorkOfTheNextVM(t *testing.T) {
	for name, answer := range map[string]error{"refused": ErrRefused, "fenced": ErrFenced, "busy": ErrBusy, "no answer": ErrNoAnswer} {
		for _, replaced := range []int{0, 1, 2} {
			for _, holder := range []string{"same holder", "next holder"} {
				t.Run(fmt.Sprintf("%s, replaced %d times, %s", name, replaced, holder), func(t *testing.T) {
					d := newFailedOrder(t, answer)
					for range replaced {
						d.nextLife()
						d.pass(time.Second)
					}
					if holder == "next holder" {
						d.f = d.holder("second")
					}
					d.pass(2 * time.Second)
					d.setAnswer(nil)
					for end := d.clock.Now().Steady + 20*time.Second; d.clock.Now().Steady < end && !d.succeeded("1"); {
						d.pass(fleetPlanInterval)
					}
					if len(d.ended) > 0 {
						t.Errorf("the order ended the work of %v", d.ended)
					}
					if !d.succeeded("1") {
						t.Error("the wave is not complete 20 s after the orders are carried out")
					}
					d.passUntil("the machine gets work after its maintenance", d.works)
				})
			}
		}
	}
}

// Guards against a VM that starts on a machine whose order may still arrive and gets work, and
// against one that is held back once the order has been carried out and its answer is lost.
func TestMachineIsHeldBackWhileItsOrderMayArrive(t *testing.T) {
	d := newOrderDay(t)
	d.pass(time.Second)
	d.lost = 1
	d.declare(d.f, "1", orderedFor)
	d.passUntil("the machine is back", func() bool { return d.life == 2 })
	if d.works() {
		t.Error("the next VM got work at once")
	}
	d.pass(4 * time.Second)
	if !d.works() {
		t.Error("the next VM has no work 4 s after its start")
	}
	if len(d.ended) > 0 || !d.succeeded("1") {
		t.Errorf("the order ended the work of %v; wave complete: %v", d.ended, d.succeeded("1"))
	}
}

// Guards against a VM that is held back for as long as the inventory does not answer, for an
// order that was decided for the VM before it (review/11), and against the order that then
// ends its work.
func TestNextVMIsHeldBackForABoundedTime(t *testing.T) {
	for name, answer := range map[string]error{"refused": ErrRefused, "no answer": ErrNoAnswer} {
		t.Run(name, func(t *testing.T) {
			d := newFailedOrder(t, answer)
			d.setListError(errInventoryDown)
			d.nextLife()
			held := 2 * fleetPlanInterval
			if answer == ErrNoAnswer {
				held = maxOrderTime + lateOrderTime + time.Second
			}
			d.pass(held)
			if !d.works() {
				t.Errorf("the next VM has no work %v after its start", held)
			}
			d.pass(5 * time.Second)
			d.setAnswer(nil)
			d.setListError(nil)
			d.passUntil("the wave is complete", func() bool { return d.succeeded("1") })
			if len(d.ended) > 0 {
				t.Errorf("the order ended the work of %v", d.ended)
			}
		})
	}
}

// Guards against an order that is sent after its wave was withdrawn, and against a machine that
// is then held back for ever.
func TestOrderOfAWithdrawnWaveIsTakenBack(t *testing.T) {
	for name, answer := range map[string]error{"refused": ErrRefused, "no answer": ErrNoAnswer} {
		t.Run(name, func(t *testing.T) {
			d := newFailedOrder(t, answer)
			d.f.node.operator.view.Waves, d.waves = nil, nil
			d.pass(time.Second)
			sent := d.sent
			d.setAnswer(nil)
			d.pass(2 * time.Second)
			if kept := d.f.cordons[orderedFor].Ordered; kept != (answer == ErrNoAnswer) {
				t.Errorf("the machine is held back: %v", kept)
			}
			d.pass(lateOrderTime + maxOrderTime)
			if d.sent != sent {
				t.Errorf("%d orders were sent after the wave was withdrawn", d.sent-sent)
			}
			if !d.works() {
				t.Error("the machine is held back for ever")
			}
		})
	}
}

// Guards against the order of a move that is repeated although the machine has arrived, and
// against a machine whose cordon stays then: the answer was lost.
func TestMoveWithoutAnAnswerIsSeenInTheInventory(t *testing.T) {
	fx := newFleetFixture(t)
	f := fx.newHolder("first")
	fx.stepFor(f, time.Second)
	c := fleetplan.Cordon{Machine: "s1", Pool: "spare", Purpose: fleetplan.Purpose{Target: "a"}, Ordered: true}
	var txn store.Txn
	f.putCordon(&txn, c)
	if err := f.commit(t.Context(), txn); err != nil {
		t.Fatal(err)
	}
	f.unconfirmed["s1"], f.retryAt["s1"] = true, time.Hour
	fx.machines.mu.Lock()
	fx.machines.machines["s1"] = Machine{Name: "s1", Pool: "a", Up: true, Worker: "i-s1"}
	fx.machines.mu.Unlock()
	fx.stepFor(f, 2*listInterval)
	if c, kept := f.cordons["s1"]; kept {
		t.Errorf("the cordon of a machine that has moved is kept: %+v", c)
	}
}
