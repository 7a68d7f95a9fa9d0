package pool_test

import (
	"testing"

	"amaranthfork.example/sched/pool"
)

// Guards against work on a VM whose machine is ordered into maintenance or moved, which ends it
// (AVAIL, review/11): the VM has started after the cordon was decided for the one before it.
// Once the order is confirmed, or the machine has arrived, the VM gets work.
func TestCordonHoldsTheNextVMOfItsMachine(t *testing.T) {
	for name, test := range map[string]struct {
		cordon pool.Cordon
		held   bool
	}{
		"maintenance":           {pool.Cordon{VM: "former", Version: 1}, true},
		"move":                  {pool.Cordon{VM: "former", Version: 1, Target: "other"}, true},
		"maintenance confirmed": {pool.Cordon{VM: "former", Version: 1, Confirmed: true}, false},
		"confirmed on this VM":  {pool.Cordon{VM: "next", Version: 1, Confirmed: true}, true},
		"arrived":               {pool.Cordon{VM: "former", Version: 1, Target: testPool}, false},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.scheduler.SetCordons(map[string]pool.Cordon{"m-next": test.cordon})
			h.addVM("next", 8000)
			h.submit(shortJob(1))
			h.settle()
			if got := len(h.workers["next"].running) == 0; got != test.held {
				t.Errorf("the VM is held back: %v, want %v", got, test.held)
			}
			load, _ := h.scheduler.LoadReport().VM("next")
			if got := load.Cordon == test.cordon.Version; got != test.held {
				t.Errorf("load report %+v, want the cordon: %v", load, test.held)
			}
		})
	}
}
