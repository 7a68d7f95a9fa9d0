package upkeep

import (
	"context"
	"sort"
	"time"

	"amaranthfork.example/fleet"
	"amaranthfork.example/policy/maintenance"
)

// VMStatus describes a VM that is not in ordinary service.
type VMStatus struct {
	ID         fleet.VMID           `json:"id"`
	DataCentre fleet.DataCentreName `json:"dataCentre"`
	Pool       fleet.PoolName       `json:"pool"`
	Phase      string               `json:"phase"`
	Since      time.Time            `json:"since"`
	By         string               `json:"by,omitempty"` // operator who holds the VM, if any
}

// Status describes the state of maintenance for operators.
type Status struct {
	Wave         int            `json:"wave"`    // number of the wave
	Started      time.Time      `json:"started"` // start of the wave
	Total        int            `json:"total"`   // assigned VMs
	Done         int            `json:"done"`    // VMs that are not due
	InProgress   int            `json:"inProgress"`
	Remaining    int            `json:"remaining"` // VMs that are due and whose maintenance has not begun
	Overdue      int            `json:"overdue"`
	Failed       []string       `json:"failed,omitempty"` // VMs whose reboot failed in this wave
	Hold         string         `json:"hold,omitempty"`   // reason why no maintenance starts
	PausedBy     string         `json:"pausedBy,omitempty"`
	Waiting      map[string]int `json:"waiting,omitempty"` // number of due VMs by the reason why they wait
	ProjectedEnd time.Time      `json:"projectedEnd"`      // when the VMs that are due will be done; zero while no maintenance starts
	VMs          []VMStatus     `json:"vms,omitempty"`
}

// Status reads the rows and the VM listing and reports what the planner would
// do now. It may be called on any entry. Errors: those of the table and the VM
// list.
func (x *Executor) Status(ctx context.Context) (Status, error) {
	s, err := x.read(ctx)
	if err != nil {
		return Status{}, err
	}
	now := x.options.Clock.Now()
	snapshot := x.plannerInput(s, now)
	_, report := maintenance.Plan(snapshot, now)
	return Status{
		Wave: s.wave.Number, Started: unixTime(s.wave.StartedUnix),
		Total: report.Total, Done: report.Done, InProgress: report.InProgress,
		Remaining: report.Remaining + report.Starting, Overdue: report.Overdue,
		Failed: s.wave.Failed, Hold: report.Hold, PausedBy: s.wave.PausedBy,
		Waiting:      report.Waiting,
		ProjectedEnd: maintenance.ProjectedEnd(snapshot, report, now),
		VMs:          s.vmsOutOfService(),
	}, nil
}

// vmsOutOfService returns the VMs that are in a phase of maintenance or held by
// operators, ordered by id.
func (s *roundState) vmsOutOfService() []VMStatus {
	var out []VMStatus
	for dc, p := range s.progress {
		for id, e := range p.VMs {
			a, assigned := s.assigned[dc][id]
			if e.Phase != maintenance.PhaseNone && assigned {
				out = append(out, VMStatus{id, dc, a.Pool, e.Phase.String(), unixTime(e.SinceUnix), e.Operator})
			}
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}
