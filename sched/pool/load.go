package pool

import (
	"fmt"
	"sort"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// VMLoad is a VM as the owner of its pool sees it.
type VMLoad struct {
	_        struct{} `cbor:",toarray"`
	VM       string   // id of this life
	Machine  string
	Capacity int64 // thousandths of a core
	Used     int64 // thousandths of a core
	Tasks    int
	Lasting  int   // tasks that run until their job is cancelled
	Cordon   int64 // version of the cordon that is kept; 0 if none
	Usable   bool  // gets new work
	Draining bool  // leaves its pool on its own
}

// Empty reports whether the owner keeps a cordon of the given version and has
// nothing on the VM, which stays in its pool.
func (l VMLoad) Empty(cordon int64) bool {
	return l.Cordon == cordon && cordon > 0 && l.Tasks == 0 && !l.Draining
}

// Load is what a pool's owner publishes for decisions on the whole fleet.
type Load struct {
	At       int64    `cbor:"1,keyasint"`           // Unix milliseconds
	Ready    int64    `cbor:"2,keyasint,omitempty"` // thousandths of a core that ready tasks wait for
	Backlog  float64  `cbor:"3,keyasint,omitempty"` // core-seconds that remain of open jobs
	Accepted float64  `cbor:"4,keyasint,omitempty"` // core-seconds accepted since the owner took over
	VMs      []VMLoad `cbor:"5,keyasint,omitempty"`
	Epoch    int64    `cbor:"6,keyasint,omitempty"` // of the owner
	LeastVMs int      `cbor:"7,keyasint,omitempty"` // that tasks which last and must be apart need
}

// DecodeLoad reads a published load.
func DecodeLoad(b []byte) (Load, error) {
	var l Load
	if err := cbor.Unmarshal(b, &l); err != nil {
		return Load{}, fmt.Errorf("load row: %w", err)
	}
	return l, nil
}

// EncodeLoad returns the published form.
func EncodeLoad(l Load) ([]byte, error) { return cbor.Marshal(l) }

// loadInterval is the time between two publications of a pool's load.
const loadInterval = 300 * time.Millisecond

// Load returns the pool's present load.
func (p *Pool) Load() Load {
	l := Load{At: p.now.Wall, Accepted: p.acceptedWork, Epoch: p.startedAt.Wall}
	for _, v := range p.vms {
		if !v.listed {
			continue
		}
		l.VMs = append(l.VMs, p.vmLoad(v))
	}
	sort.Slice(l.VMs, func(i, k int) bool { return l.VMs[i].VM < l.VMs[k].VM })
	if p.stuck {
		for _, v := range l.VMs {
			if v.Usable {
				l.LeastVMs++
			}
		}
		l.LeastVMs++
	}
	for _, j := range p.open {
		l.LeastVMs = max(l.LeastVMs, leastVMs(j))
		for _, o := range j.open {
			ready, work := p.occurrenceLoad(o)
			l.Ready += ready
			l.Backlog += work
		}
	}
	return l
}

// leastVMs returns how many VMs the tasks of a job that last must be spread over.
func leastVMs(j *jobState) int {
	least := 0
	for i := range j.spec.Steps {
		s := &j.spec.Steps[i]
		if s.LongRunning && s.MaxPerVM > 0 && !j.state.Final() {
			least = max(least, (s.Count+s.MaxPerVM-1)/s.MaxPerVM)
		}
	}
	return least
}

func (p *Pool) vmLoad(v *vm) VMLoad {
	load := VMLoad{VM: v.ID, Machine: v.Machine, Capacity: v.Capacity.MilliCPU, Used: v.used.MilliCPU,
		Tasks: len(v.tasks), Lasting: v.lasting, Usable: p.usable(v), Draining: v.Draining}
	if v.cordoned {
		load.Cordon = p.cordons[v.Machine].Version
	}
	return load
}

// occurrenceLoad returns the processors that ready tasks wait for, and the
// core-seconds that remain without tasks that last.
func (p *Pool) occurrenceLoad(o *occurrence) (ready int64, work float64) {
	if o.job.state.Final() {
		return 0, 0
	}
	for s := range o.tasks {
		spec := &o.job.spec.Steps[s]
		if o.left[s] == 0 || spec.Fills {
			continue
		}
		if !spec.LongRunning {
			work += p.stepWork(o.job.spec.Queue, spec, o.left[s])
		}
		if !o.ready(s) {
			continue
		}
		for _, t := range o.tasks[s] {
			if t.phase == waiting {
				ready += spec.Need.MilliCPU
			}
		}
	}
	return ready, work
}
