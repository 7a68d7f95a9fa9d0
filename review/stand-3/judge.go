package main

// taskRun is a run of a task on a worker.
type taskRun struct {
	task, worker string
	run          int
	beganMS      int64
	endedMS      int64 // 0 if it has not ended
	how          string
}

// runs returns the runs of all tasks so far. A run ends with its worker.
func (w *world) runs() []taskRun {
	var list []taskRun
	open := map[string]int{}
	for _, e := range w.eventsOf() {
		k := e.Worker + " " + e.Task
		switch e.Kind {
		case "start":
			open[k] = len(list)
			list = append(list, taskRun{task: e.Task, worker: e.Worker, run: e.Run, beganMS: e.AtMS})
		case "end":
			if i, ok := open[k]; ok {
				list[i].endedMS, list[i].how = e.AtMS, e.How
				delete(open, k)
			}
		case "gone":
			for k, i := range open {
				if list[i].worker == e.Worker {
					list[i].endedMS, list[i].how = e.AtMS, "gone"
					delete(open, k)
				}
			}
		}
	}
	return list
}

// runningTasks returns the tasks of a job that run now.
func (w *world) runningTasks(id string) []taskRun {
	var list []taskRun
	for _, r := range w.runs() {
		if jobOf(r.task) == id && r.endedMS == 0 {
			list = append(list, r)
		}
	}
	return list
}

// endedByOrder returns how many runs of a job have ended with their worker.
func (w *world) endedByOrder(id string) int {
	n := 0
	for _, r := range w.runs() {
		if jobOf(r.task) == id && r.how == "gone" {
			n++
		}
	}
	return n
}

func (w *world) workerOf(machine string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.machines[machine].id
}
