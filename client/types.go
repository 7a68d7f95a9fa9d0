// Package client is the Go client of the HTTP API of an entry. It covers jobs,
// configuration and the operation of the fleet, but not direct requests to
// workspaces.
package client

import (
	"time"

	"amaranthfork.example/fleet"
)

// SubmitRequest describes a job to submit.
type SubmitRequest struct {
	// ID is the idempotency id: a second request of the same team with the same
	// id does not submit a second job. Submit chooses an id if it is empty.
	ID         string          `json:"id"`
	Class      fleet.Class     `json:"class"`
	Steps      []fleet.Step    `json:"steps"`
	Declared   fleet.Resources `json:"declared"`   // resources that each step needs
	RunTimeMS  int64           `json:"runTimeMS"`  // declared run time of each step
	DeadlineMS int64           `json:"deadlineMS"` // time from now until the deadline; 0 means no deadline
	Idempotent bool            `json:"idempotent"` // a task may be started again when its outcome is unknown
}

// JobState is the state of a job.
type JobState string

// States of a job.
const (
	JobQueued  JobState = "queued"
	JobRunning JobState = "running"
	JobEnded   JobState = "ended"
)

// Job is the status of a job. Result is set once the job has ended.
type Job struct {
	ID     fleet.JobID    `json:"id"`
	Team   fleet.TeamName `json:"team"`
	State  JobState       `json:"state"`
	Step   int            `json:"step"` // index of the current step, from 0
	Result *fleet.Result  `json:"result,omitempty"`
	// Unrecorded means that the job was accepted while the table service was
	// unavailable. It is lost if its owner fails before the table service is
	// available again.
	Unrecorded bool `json:"unrecorded,omitempty"`
}

// File is one file of a configuration folder. Content is base64 on the wire.
type File struct {
	Name    string `json:"name"`
	Content []byte `json:"content"`
}

// Finding is one fault of a configuration folder. Line and Column count from 1; a
// fault of the folder as a whole has neither file nor line.
type Finding struct {
	File    string `json:"file"`
	Line    int    `json:"line"`
	Column  int    `json:"column"`
	Message string `json:"message"`
}

// Configuration is the accepted configuration.
type Configuration struct {
	Revision fleet.Revision `json:"revision"`
	Files    []File         `json:"files"`
}

// Change is a requested change of the accepted configuration.
type Change struct {
	// ID is chosen by the caller: a second Apply with the same ID changes nothing.
	ID      string         `json:"id"`
	Base    fleet.Revision `json:"base"`              // the revision that the change was made from
	Put     []File         `json:"put,omitempty"`     // files added or replaced
	Removed []string       `json:"removed,omitempty"` // names of files
}

// Applied is the result of an accepted change.
type Applied struct {
	Revision       fleet.Revision `json:"revision"`
	InForceAfterMS int64          `json:"inForceAfterMS"` // time from the request until the change was in force at every entry
	// Pending means that the change is accepted, but not yet confirmed to be in
	// force at every entry. Apply with the same ID asks again.
	Pending bool   `json:"pending,omitempty"`
	Detail  string `json:"detail,omitempty"`
}

// InForceAfter returns the time from the request until the change was in force.
func (a Applied) InForceAfter() time.Duration {
	return time.Duration(a.InForceAfterMS) * time.Millisecond
}

// Status describes the fleet as one entry sees it.
type Status struct {
	Revision       fleet.Revision `json:"revision"`
	Fresh          bool           `json:"fresh"` // the entry's view is current, so it may act on it
	StoreReachable bool           `json:"storeReachable"`
	Members        []Member       `json:"members"`
	DataCentres    []DataCentre   `json:"dataCentres"`
	Warnings       []Warning      `json:"warnings"`
}

// Member is one entry.
type Member struct {
	ID         string               `json:"id"`
	DataCentre fleet.DataCentreName `json:"dataCentre"`
	Address    string               `json:"address"` // host:port of the peer link
}

// DataCentre is the state and capacity of a data centre.
type DataCentre struct {
	Name       fleet.DataCentreName  `json:"name"`
	State      fleet.DataCentreState `json:"state"`
	FreeSlots  int                   `json:"freeSlots"`
	TotalSlots int                   `json:"totalSlots"`
}

// Warning is an early sign of a capacity problem.
type Warning struct {
	Subject string `json:"subject"`
	Message string `json:"message"`
	Action  string `json:"action"` // what an operator can do
}

// Pool is the state of a pool.
type Pool struct {
	Name        fleet.PoolName `json:"name"`
	Spare       bool           `json:"spare"`
	VMs         int            `json:"vms"`
	Unavailable int            `json:"unavailable"` // VMs that are unavailable, planned or not
	Budget      int            `json:"budget"`      // availability budget: VMs that planned actions may make unavailable
	FreeSlots   int            `json:"freeSlots"`
	TotalSlots  int            `json:"totalSlots"`
}

// Team is the state of a team.
type Team struct {
	Name    fleet.TeamName `json:"name"`
	Share   int            `json:"share"` // thousandths of the fleet
	Limit   int            `json:"limit"` // upper limit of running tasks
	Running int            `json:"running"`
	Queued  int            `json:"queued"`
}

// Maintenance is the state of maintenance.
type Maintenance struct {
	Paused  bool            `json:"paused"`  // by an operator
	Stopped bool            `json:"stopped"` // after too many failures
	Detail  string          `json:"detail,omitempty"`
	Due     int             `json:"due"`    // VMs whose maintenance is still due in the period
	Done    int             `json:"done"`   // VMs whose maintenance is complete in the period
	Failed  int             `json:"failed"` // VMs that did not return to service
	VMs     []MaintenanceVM `json:"vms"`    // VMs under maintenance now
}

// MaintenanceVM is a VM under maintenance.
type MaintenanceVM struct {
	VM         fleet.VMID           `json:"vm"`
	Pool       fleet.PoolName       `json:"pool"`
	DataCentre fleet.DataCentreName `json:"dataCentre"`
	State      string               `json:"state"` // for example draining or rebooting
}
