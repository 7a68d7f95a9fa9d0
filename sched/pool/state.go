package pool

import (
	"time"

	"amaranthfork.example/fleet"
	"amaranthfork.example/sched/catalog"
	"amaranthfork.example/sched/job"
)

// phase is where the newest run of a task stands.
type phase uint8

const (
	waiting   phase = iota // no run; may be placed once its step is ready
	placed                 // a run is chosen; its record is not durable yet
	starting               // the start was sent and is not answered yet
	running                // the VM has confirmed the run
	unsettled              // the start was not answered: it may begin later
	done
)

type task struct {
	occ      *occurrence
	step     int
	index    int
	name     string
	phase    phase
	run      int
	failures int
	vm       *vm

	checkpoint string
	since      time.Duration // when the phase was entered
	stopSent   time.Duration // 0 if no stop was sent for this run
	stopAnswer time.Duration // 0 if no stop was answered
	inherited  bool          // started under an earlier owner

	percent    int
	progressAt time.Duration // when percent last rose
	pace       int           // percent of its share that the task may use
	load       int64
	loadAt     time.Duration
	lastRunEnd time.Duration
	failedOn   map[string]bool // VMs on which runs have failed
}

// active reports whether a run of the task may be on its VM.
func (t *task) active() bool { return t.phase >= placed && t.phase <= unsettled }

func (t *task) spec() *job.Step { return &t.occ.job.spec.Steps[t.step] }

type occurrence struct {
	job    *jobState
	number int
	due    int64     // Unix milliseconds; 0 means at once
	tasks  [][]*task // by step
	left   []int     // by step: tasks that are not done
	opened Time
	advice []*adviceState // by step; nil where no advisor was needed yet
}

// ready reports whether all tasks of the steps before step are done.
func (o *occurrence) ready(step int) bool {
	for _, earlier := range o.job.spec.Steps[step].After {
		if o.left[earlier] > 0 {
			return false
		}
	}
	return true
}

func (o *occurrence) complete() bool {
	for _, n := range o.left {
		if n > 0 {
			return false
		}
	}
	return true
}

type jobState struct {
	spec       *job.Spec
	state      job.State
	firstOpen  int
	open       []*occurrence // ascending by number
	nextOpen   int           // number of the next occurrence to open
	acceptedAt Time
	begun      bool // a task has started
	overShare  bool // beyond its workspace's share of jobs
	active     int  // runs that may be on VMs
	dirty      bool
	finishedAt int64
	doneTasks  int             // since this owner took over
	failedVMs  map[string]bool // on which tasks have failed
}

func (j *jobState) occurrence(number int) *occurrence {
	for _, o := range j.open {
		if o.number == number {
			return o
		}
	}
	return nil
}

type vm struct {
	VM
	listed     bool // known to discovery
	fenced     bool // has answered under this owner's fencing token
	leaseUntil time.Duration
	used       fleet.Resources
	fillCPU    int64 // thousandths of a core that filling tasks ask for
	serving    int   // tasks with a latency goal
	lasting    int   // tasks that run until their job is cancelled
	tasks      map[*task]struct{}
	seen       int64 // ends up to this number are processed
	durable    int64 // ends up to this number are recorded
	lastAnswer time.Duration
	backoff    time.Duration // no starts until then
	cordoned   bool
	silent     bool          // the last renewal was not answered
	recorded   time.Duration // bound of its leases that a later owner may rely on; 0 if none
	health     vmHealth
}

func (v *vm) free() fleet.Resources { return v.Capacity.Sub(v.used) }

func (v *vm) hasLabel(label string) bool {
	for _, l := range v.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// Settings are the scheduler's parameters.
type Settings struct {
	Pool           string
	Lease          time.Duration // of runs on VMs
	LeaseBound     time.Duration // Lease on this process's clock, whatever the VM's clock does
	InheritedLease time.Duration // time on this process's clock at which unreached runs of an earlier owner have lapsed
	StopGrace      time.Duration // longest time of a stop
	StatusKept     time.Duration // finished jobs stay known this long
}

// allotment is a workspace's part of its cap that this pool may use.
type allotment struct {
	limit   fleet.Resources
	blocked bool // no starts: the cap is exceeded by all pools together
}

type catalogView struct {
	*catalog.Catalog
}

func (c catalogView) queue(name string) *catalog.Queue {
	if c.Catalog == nil {
		return nil
	}
	return c.Queues[name]
}

func (c catalogView) capOf(workspace string) (fleet.Resources, bool) {
	if c.Catalog == nil || workspace == "" {
		return fleet.Resources{}, false
	}
	w := c.Workspaces[workspace]
	if w == nil || w.Cap == (fleet.Resources{}) {
		return fleet.Resources{}, false
	}
	return w.Cap, true
}
