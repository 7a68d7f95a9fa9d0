package pool

import "testing"

// Guards against jobs that are given up because their tasks were beside a task that crashes
// VM after VM: the crash for which that one is given up counted against the others as well.
// Of 56 loads like that of TestTasksBesideACrashAreNotGivenUp (6 to 12 VMs), healthy jobs were
// given up in 7.
func TestExplainedCrashIsNotCounted(t *testing.T) {
	for _, test := range []struct {
		name    string
		crashes int // of which the first task was the likely cause before
		second  blame
		want    int // tasks that the crash counts against
	}{
		{"third crash", 2, possibleCause, 1},
		{"third crash, and a start without an answer", 2, doubtfulCause, 1},
		{"second crash", 1, possibleCause, 2},
		{"started together", 2, likelyCause, 2},
	} {
		first, second := &task{likelyCrashes: test.crashes}, &task{}
		got := withoutExplained([]suspect{{second, test.second}, {first, likelyCause}})
		if len(got) != test.want || got[len(got)-1].task != first {
			t.Errorf("%s: counts against %d tasks, want %d", test.name, len(got), test.want)
		}
	}
}
