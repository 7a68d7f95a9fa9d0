package session_test

import (
	"slices"
	"sync"
	"time"

	"amaranthfork.example/backing"
	"amaranthfork.example/backing/memory"
	"amaranthfork.example/fleet"
)

type stepKey struct {
	job  fleet.JobID
	step int
}

type start struct {
	vm   fleet.VMID
	at   time.Time
	runs time.Duration // unless the task is stopped
}

// ledger counts the starts at the workers, independently of the entries.
type ledger struct {
	mu     sync.Mutex
	byStep map[stepKey][]start
}

// run is the runner of all workers; it is called once for each start.
func (l *ledger) run(vm fleet.VMID, task backing.Task) memory.Run {
	run := memory.CommandRunner(vm, task)
	l.mu.Lock()
	defer l.mu.Unlock()
	key := stepKey{task.Job, task.Step}
	l.byStep[key] = append(l.byStep[key], start{vm, time.Now(), run.Time})
	return run
}

// peak returns the most tasks of a set of jobs that ran at the same time.
func (l *ledger) peak(of func(fleet.JobID) bool) int {
	type change struct {
		at time.Time
		n  int
	}
	var changes []change
	l.mu.Lock()
	for key, starts := range l.byStep {
		if !of(key.job) {
			continue
		}
		for _, s := range starts {
			changes = append(changes, change{s.at, 1}, change{s.at.Add(s.runs), -1})
		}
	}
	l.mu.Unlock()
	slices.SortFunc(changes, func(a, b change) int { return a.at.Compare(b.at) })
	peak, running := 0, 0
	for _, c := range changes {
		running += c.n
		peak = max(peak, running)
	}
	return peak
}

// starts returns the starts of a step.
func (l *ledger) starts(job fleet.JobID, step int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.byStep[stepKey{job, step}])
}

// most returns the most starts of any step of the jobs of a batch, and the
// number of their steps that were started at all.
func (l *ledger) most(b batch) (most, started int) {
	for i, job := range b.jobs {
		for step := range b.works[i].commands {
			n := l.starts(job.ID, step)
			most = max(most, n)
			if n > 0 {
				started++
			}
		}
	}
	return most, started
}

// inDataCentre returns the times of all starts in a data centre.
func (l *ledger) inDataCentre(dc fleet.DataCentreName) []time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	var times []time.Time
	for _, starts := range l.byStep {
		for _, s := range starts {
			if dataCentreOf(s.vm) == dc {
				times = append(times, s.at)
			}
		}
	}
	return times
}

// after returns how many of the times are later than a limit.
func after(times []time.Time, limit time.Time) int {
	n := 0
	for _, at := range times {
		if at.After(limit) {
			n++
		}
	}
	return n
}

// dataCentreOf returns the data centre of a worker of the sample fleet.
func dataCentreOf(vm fleet.VMID) fleet.DataCentreName {
	if vm <= "w-04" {
		return "dc-a"
	}
	return "dc-b"
}
