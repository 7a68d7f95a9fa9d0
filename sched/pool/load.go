package pool

import (
	"fmt"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// VMLoad describes a VM in a load report.
type VMLoad struct {
	_                struct{} `cbor:",toarray"`
	VM               string   // id of this incarnation
	Machine          string
	CapacityMilliCPU int64 // thousandths of a core
	UsedMilliCPU     int64 // thousandths of a core
	Tasks            int
	LongRunning      int   // tasks that run until their job is cancelled
	Cordon           int64 // version of the cordon that the owner applies; 0 if none
	Usable           bool  // gets new work
	Draining         bool  // about to leave its pool without a cordon
}

// Empty reports whether the owner applies the cordon of the given version and has
// no runs on the VM, and the VM is not draining.
func (l VMLoad) Empty(cordon int64) bool {
	return l.Cordon == cordon && cordon > 0 && l.Tasks == 0 && !l.Draining
}

// LoadReport is what a pool's owner publishes about demand and VMs, for decisions
// about the whole fleet.
type LoadReport struct {
	AtMS                int64    `cbor:"1,keyasint"`           // Unix milliseconds
	ReadyMilliCPU       int64    `cbor:"2,keyasint,omitempty"` // thousandths of a core that waiting tasks of ready steps need
	BacklogCoreSeconds  float64  `cbor:"3,keyasint,omitempty"` // remaining core-seconds of jobs that can still meet their objective
	AcceptedCoreSeconds float64  `cbor:"4,keyasint,omitempty"` // core-seconds accepted since the owner took over
	VMs                 []VMLoad `cbor:"5,keyasint,omitempty"` // in order of their ids
	Epoch               int64    `cbor:"6,keyasint,omitempty"` // of the owner: when it took over, Unix milliseconds
	MinVMs              int      `cbor:"7,keyasint,omitempty"` // minimum number of VMs for the long-running tasks
	LateCoreSeconds     float64  `cbor:"8,keyasint,omitempty"` // remaining core-seconds of jobs that will be late
	MoreRows            int      `cbor:"9,keyasint,omitempty"` // further rows, with more VMs, of the same transaction
}

// VM returns the load of the VM with an id. The result is false if the report does
// not list it.
func (l LoadReport) VM(id string) (VMLoad, bool) {
	i, ok := slices.BinarySearchFunc(l.VMs, id, func(v VMLoad, id string) int { return strings.Compare(v.VM, id) })
	if !ok {
		return VMLoad{}, false
	}
	return l.VMs[i], true
}

// DecodeLoadReport decodes a load report. It returns an error for a malformed one.
func DecodeLoadReport(b []byte) (LoadReport, error) {
	var l LoadReport
	if err := cbor.Unmarshal(b, &l); err != nil {
		return LoadReport{}, fmt.Errorf("load row: %w", err)
	}
	return l, nil
}

// EncodeLoadReport encodes a load report.
func EncodeLoadReport(l LoadReport) ([]byte, error) { return cbor.Marshal(l) }

// encodeLoadRows encodes a load report as rows of at most rowBytes. The first row holds the
// whole report except some VMs, and the others those VMs.
func encodeLoadRows(l LoadReport, rowBytes int) ([][]byte, error) {
	vms := l.VMs
	for n := 1; ; n *= 2 {
		perRow := max(1, (len(vms)+n-1)/n)
		chunks := slices.Collect(slices.Chunk(vms, perRow))
		if len(chunks) == 0 {
			chunks = [][]VMLoad{nil}
		}
		l.MoreRows = len(chunks) - 1
		rows := make([][]byte, len(chunks))
		fits := true
		for i, chunk := range chunks {
			report := LoadReport{VMs: chunk}
			if i == 0 {
				report = l
				report.VMs = chunk
			}
			row, err := EncodeLoadReport(report)
			if err != nil {
				return nil, err
			}
			rows[i] = row
			fits = fits && len(row) <= rowBytes
		}
		if fits || perRow == 1 {
			return rows, nil
		}
	}
}

// loadReportInterval is the time between two load reports of a pool.
const loadReportInterval = 300 * time.Millisecond

// LoadReport returns the present load of the pool.
func (p *Pool) LoadReport() LoadReport {
	l := LoadReport{AtMS: p.now.Wall, AcceptedCoreSeconds: p.acceptedCoreSeconds, Epoch: p.startedAt.Wall}
	for _, v := range p.vms {
		if !v.listed {
			continue
		}
		l.VMs = append(l.VMs, p.vmLoad(v))
	}
	sort.Slice(l.VMs, func(i, k int) bool { return l.VMs[i].VM < l.VMs[k].VM })
	if p.needsAnotherVM {
		for _, v := range l.VMs {
			if v.Usable {
				l.MinVMs++
			}
		}
		l.MinVMs++
	}
	for _, j := range p.openJobs {
		l.MinVMs = max(l.MinVMs, minVMs(j))
		for _, o := range j.open {
			ready, work := p.occurrenceLoad(o)
			l.ReadyMilliCPU += ready
			if work == 0 {
				continue
			}
			if p.outlookOf(o).feasible {
				l.BacklogCoreSeconds += work
			} else {
				l.LateCoreSeconds += work
			}
		}
	}
	return l
}

// minVMs returns the minimum number of VMs for the long-running tasks of a job,
// by its limits of tasks per VM.
func minVMs(j *jobState) int {
	minimum := 0
	for i := range j.spec.Steps {
		s := &j.spec.Steps[i]
		if s.LongRunning && s.MaxPerVM > 0 && !j.state.Final() {
			minimum = max(minimum, (s.Count+s.MaxPerVM-1)/s.MaxPerVM)
		}
	}
	return minimum
}

func (p *Pool) vmLoad(v *vm) VMLoad {
	load := VMLoad{VM: v.ID, Machine: v.Machine, CapacityMilliCPU: v.Capacity.MilliCPU, UsedMilliCPU: v.used.MilliCPU,
		Tasks: len(v.tasks), LongRunning: v.longRunning, Usable: p.usable(v), Draining: v.Draining}
	if v.cordoned {
		load.Cordon = p.cordons[v.Machine].Version
	}
	return load
}

// occurrenceLoad returns the processors that waiting tasks of ready steps need,
// in thousandths of a core, and the remaining core-seconds of tasks that are not
// long-running. Best-effort tasks do not count.
func (p *Pool) occurrenceLoad(o *occurrence) (ready int64, work float64) {
	if o.job.state.Final() {
		return 0, 0
	}
	for s := range o.tasks {
		spec := &o.job.spec.Steps[s]
		if o.remaining[s] == 0 || spec.BestEffort {
			continue
		}
		if !spec.LongRunning {
			work += p.stepWork(o.job.spec.Queue, spec, o.remaining[s])
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
