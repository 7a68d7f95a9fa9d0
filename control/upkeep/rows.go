// Package upkeep carries out maintenance. The holder of the role RoleName
// drains, reboots and returns the VMs that the planner chooses. It stores its
// progress in rows, and writes each step to its row before it executes the
// step, so that a successor can continue at any point.
//
// Taking a VM out of service is one transaction on the assignment row of the
// data centre, both budget rows and the progress row: a VM in maintenance is
// never being moved and has always drawn its budget.
package upkeep

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"amaranthfork.example/fleet"
	"amaranthfork.example/policy/maintenance"
)

// RoleName is the name of the controller role.
const RoleName = "maintenance"

// Keys of the rows of this package.
const (
	ProgressPrefix = "upkeep/dc/" // followed by the data centre
	WaveKey        = "upkeep/wave"
)

// vmProgress is the maintenance progress of one VM. Times are Unix seconds.
type vmProgress struct {
	_             struct{} `cbor:",toarray"`
	LastDoneUnix  int64    // end of the last maintenance, or the time the VM was first seen
	Phase         maintenance.Phase
	SinceUnix     int64  // start of the phase
	RebootedUnix  int64  // time by which the platform had accepted the reboot, 0 before
	NotBeforeUnix int64  // earliest next attempt, 0 for any time
	Operator      string // operator who holds the VM out of service, if any
}

// progress is the value of the progress row of a data centre.
type progress struct {
	VMs map[fleet.VMID]vmProgress `cbor:"1,keyasint,omitempty"`
}

// wave is the value of the wave row. A wave lasts waveDuration. It counts the
// failed reboots, and its stop or pause holds for all entries.
type wave struct {
	Number      int      `cbor:"1,keyasint"`
	StartedUnix int64    `cbor:"2,keyasint"`
	Failed      []string `cbor:"3,keyasint,omitempty"` // VMs whose reboot failed
	Stopped     string   `cbor:"4,keyasint,omitempty"` // reason, until Resume; "" unless stopped
	Paused      string   `cbor:"5,keyasint,omitempty"` // reason, until Resume; "" unless paused
	PausedBy    string   `cbor:"6,keyasint,omitempty"` // operator
}

// waveDuration is the time over which failed reboots are counted. At the usual
// 13 failures a day of 2,300 VMs, 0.03 of the 164 VMs that are maintained in a
// day fail during their 20 minutes of maintenance.
const waveDuration = 24 * time.Hour

// withPhase returns the progress with a phase that begins now.
func (e vmProgress) withPhase(phase maintenance.Phase, now time.Time) vmProgress {
	e.Phase, e.SinceUnix = phase, now.Unix()
	return e
}

// unixTime returns the time of Unix seconds, and the zero time for 0.
func unixTime(seconds int64) time.Time {
	if seconds == 0 {
		return time.Time{}
	}
	return time.Unix(seconds, 0)
}

func decodeProgress(value []byte) (progress, error) {
	var p progress
	err := cbor.Unmarshal(value, &p)
	return p, err
}
