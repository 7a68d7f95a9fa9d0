// Package tables names the rows that the entries keep in the table service.
package tables

import (
	"fmt"
	"hash/fnv"
	"strings"

	"amaranthfork.example/sched/store"
)

// Tables of the entries. Rows of a pool are in the partition of its name.
const (
	Owners   = "owners"   // who schedules a pool; rewritten by each of its transactions
	Progress = "progress" // progress of each job
	Queues   = "queues"   // published figures of each queue
	Members  = "members"  // the entries that run
	Caps     = "caps"     // parts of workspaces' caps, by pool
	Cordons  = "cordons"  // VMs that are to be emptied for maintenance
	Loads    = "loads"    // published load of each pool
	Leases   = "leases"   // when runs on VMs lapse that their owner cannot reach
	Waves    = "waves"    // how far maintenance waves are
	Demand   = "demand"   // what the holder of moves has learnt of the demand
)

// requestTables is the number of tables that requests are spread over, so that
// an owner follows few requests of other pools. All tables together stay well
// under the 100 that the service allows.
const requestTables = 32

// Requests returns the table of a pool's submitted and cancelled jobs.
func Requests(pool string) string {
	h := fnv.New32a()
	h.Write([]byte(pool))
	return fmt.Sprintf("requests-%02d", h.Sum32()%requestTables)
}

// cancelSuffix marks the row that cancels the job of the same name.
const cancelSuffix = "/cancel"

// JobKey names the row of a submitted job.
func JobKey(pool, id string) store.Key {
	return store.Key{Table: Requests(pool), Partition: pool, Name: id}
}

// CancelKey names the row that cancels a job.
func CancelKey(pool, id string) store.Key {
	return store.Key{Table: Requests(pool), Partition: pool, Name: id + cancelSuffix}
}

// CancelledJob returns the job's id if name is that of a cancel row.
func CancelledJob(name string) (string, bool) {
	return strings.CutSuffix(name, cancelSuffix)
}

// ProgressKey names the row of a job's progress.
func ProgressKey(pool, id string) store.Key {
	return store.Key{Table: Progress, Partition: pool, Name: id}
}

// QueueKey names the row of a queue's published figures.
func QueueKey(pool, queue string) store.Key {
	return store.Key{Table: Queues, Partition: pool, Name: queue}
}

// OwnerKey names the row that tells who schedules a pool.
func OwnerKey(pool string) store.Key {
	return store.Key{Table: Owners, Partition: pool, Name: "owner"}
}

// MemberKey names the row of an entry.
func MemberKey(node string) store.Key { return store.Key{Table: Members, Name: node} }

// CapKey names the row that divides a workspace's cap among pools.
func CapKey(workspace string) store.Key {
	return store.Key{Table: Caps, Partition: Caps, Name: workspace}
}

// LoadKey names the row of a pool's published load.
func LoadKey(pool string) store.Key {
	return store.Key{Table: Loads, Partition: pool, Name: "load"}
}

// LeaseKey names the row of a pool's recorded lease bounds.
func LeaseKey(pool string) store.Key {
	return store.Key{Table: Leases, Partition: pool, Name: "bounds"}
}

// CordonKey names the row that asks for a machine's VM to be emptied. The rows
// are in the partition of the role that orders maintenance and moves.
func CordonKey(role, machine string) store.Key {
	return store.Key{Table: Cordons, Partition: role, Name: machine}
}

// DemandKey names the row of what the holder of a role has learnt of the demand.
func DemandKey(role string) store.Key {
	return store.Key{Table: Demand, Partition: role, Name: "turns"}
}

// WaveKey names the row of a maintenance wave.
func WaveKey(role, wave string) store.Key {
	return store.Key{Table: Waves, Partition: role, Name: wave}
}
