// Package tables defines the names of the tables and rows that the entries keep in
// the table service.
package tables

import (
	"fmt"
	"hash/fnv"
	"slices"
	"strconv"
	"strings"

	"amaranthfork.example/sched/store"
)

// Tables of the entries. The rows that a pool's owner writes are in the partition
// with the pool's name. Requests of callers are spread over several others by job, so
// that the transactions of many entries do not delay those of the owner: a partition
// carries out its transactions one after another.
const (
	Owners   = "owners"   // owner of each pool; rewritten by each transaction of the owner
	Jobs     = "jobs"     // pool of each accepted job
	Progress = "progress" // progress of each job
	Queues   = "queues"   // published status of each queue
	Members  = "members"  // running entries
	Caps     = "caps"     // cap shares of each workspace, by pool
	Cordons  = "cordons"  // cordoned VMs: to be emptied for maintenance or a move
	Loads    = "loads"    // load report of each pool
	Leases   = "leases"   // lease bounds of runs on VMs that the owner cannot reach
	Waves    = "waves"    // progress of maintenance waves
	Demand   = "demand"   // state of the demand model of the role that moves VMs
)

// requestTableCount is the number of tables that requests are spread over, so that
// the feed of an owner has few requests of other pools. All tables together stay
// well below the 100 that the service allows.
const requestTableCount = 32

// Requests returns the table of the submissions and cancellations of a pool's jobs.
func Requests(pool string) string {
	return fmt.Sprintf("requests-%02d", hash32(pool)%requestTableCount)
}

// jobPartitionCount is the number of partitions that jobs are spread over. With 16, all
// pools together can accept some 3,200 batches of jobs per second.
const jobPartitionCount = 16

func nthJobPartition(n uint32) string { return fmt.Sprintf("jobs-%02d", n) }

// jobPartition returns the partition of a job's location and of the requests about it.
// It depends on the job alone: a submission that arrives again meets the same rows
// whichever pool its queue has moved to.
func jobPartition(id string) string { return nthJobPartition(hash32(id) % jobPartitionCount) }

// RequestSpans returns the spans of a pool's table of requests that may hold requests of
// the pool.
func RequestSpans(pool string) []store.Span {
	list := store.Partitions(legacyRequestPartitions(pool)...)
	prefix := requestPrefix(pool)
	for i := range jobPartitionCount {
		list = append(list, store.Span{Partition: nthJobPartition(uint32(i)), From: prefix, To: afterPrefix(prefix)})
	}
	return list
}

// legacyPartitionCount is the number of partitions, besides that with the pool's name, in
// which earlier builds stored the requests of a pool, under names without the pool.
const legacyPartitionCount = 8

func legacyRequestPartitions(pool string) []string {
	list := []string{pool}
	for i := range legacyPartitionCount {
		list = append(list, fmt.Sprintf("%s#%d", pool, i+1))
	}
	return list
}

// maxPoolInName is the longest name of a pool that is a part of a row's name, so that the
// row's name stays within the 200 bytes that the service allows. For a longer one its hash
// is used.
const maxPoolInName = 150

// requestPrefix begins the names of the rows of a pool's requests.
func requestPrefix(pool string) string {
	if len(pool) > maxPoolInName {
		return hash64(pool) + "/"
	}
	return pool + "/"
}

// afterPrefix returns the first name after all names that begin with a prefix, which
// ends with a slash.
func afterPrefix(prefix string) string { return prefix[:len(prefix)-1] + string(rune('/'+1)) }

func hash32(s string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(s))
	return h.Sum32()
}

// hash64 returns a hash in 16 hexadecimal digits.
func hash64(s string) string {
	h := fnv.New64a()
	h.Write([]byte(s))
	return fmt.Sprintf("%016x", h.Sum64())
}

// cancelSuffix after a job's name names the row that cancels the job.
const cancelSuffix = "/cancel"

// LocationKey returns the key of the row that names the pool of a job. It exists as long
// as the request of the job. A job is identified by the host and the prefix at which it was
// submitted, and its id: callers of different queues may choose the same id. The name and
// the pool of the queue may change.
func LocationKey(host, prefix, id string) store.Key {
	return store.Key{Table: Jobs, Partition: jobPartition(id), Name: Address(host, prefix) + "/" + id}
}

// tombstoneMark is in the name of each tombstone, and of no location.
const tombstoneMark = "/cancelled/"

// TombstoneKey returns the key of a job's tombstone: the row that keeps the job from being
// stored, since it was cancelled first. It is in the partition of the job's location and, like
// that, does not depend on the pool. It holds for submissions of one workspace, which is empty
// for those without a key.
func TombstoneKey(host, prefix, id, workspace string) store.Key {
	key := LocationKey(host, prefix, id)
	key.Name += tombstoneMark + hash64(workspace)
	return key
}

// CommonTombstoneKey returns the key of the tombstone that holds for submissions of all
// workspaces.
func CommonTombstoneKey(host, prefix, id string) store.Key {
	key := LocationKey(host, prefix, id)
	key.Name += tombstoneMark + "all"
	return key
}

// IsTombstone reports whether key is that of a tombstone.
func IsTombstone(key store.Key) bool {
	return key.Table == Jobs && strings.Contains(key.Name, tombstoneMark)
}

// tombstoneExpiryPrefix follows the prefix of a pool's requests in the names of the rows of
// TombstoneExpiryKey.
const tombstoneExpiryPrefix = "tombstone/"

// TombstoneExpiryKey returns the key of the row by which the owner of a pool learns of a
// tombstone that it is to delete. Its value is the name of the tombstone, in whose partition
// it is.
func TombstoneExpiryKey(pool string, tombstone store.Key) store.Key {
	return store.Key{Table: Requests(pool), Partition: tombstone.Partition, Name: requestPrefix(pool) + tombstoneExpiryPrefix + hash64(tombstone.Name)}
}

// ParseTombstoneExpiry returns the key of the tombstone that a row of a pool's table of
// requests names. ok is false for other rows.
func ParseTombstoneExpiry(pool string, row store.Row) (tombstone store.Key, ok bool) {
	name, ok := strings.CutPrefix(row.Name, requestPrefix(pool))
	if !ok || !strings.HasPrefix(name, tombstoneExpiryPrefix) {
		return store.Key{}, false
	}
	tombstone = store.Key{Table: Jobs, Partition: row.Partition, Name: string(row.Value)}
	return tombstone, IsTombstone(tombstone)
}

// Address returns a hash of the host and the prefix at which jobs are submitted.
func Address(host, prefix string) string { return hash64(strings.ToLower(host) + " " + prefix) }

// AddressOf returns the address in the name of a job's location.
func AddressOf(location string) string {
	address, _, _ := strings.Cut(location, "/")
	return address
}

// JobKey returns the key of a submitted job. It is in the partition of its location.
func JobKey(pool, id string) store.Key {
	return store.Key{Table: Requests(pool), Partition: jobPartition(id), Name: requestPrefix(pool) + id}
}

// JobKeys returns the keys under which this build and earlier ones may have stored a job.
func JobKeys(pool, id string) []store.Key {
	keys := []store.Key{JobKey(pool, id)}
	for _, partition := range legacyRequestPartitions(pool) {
		keys = append(keys, store.Key{Table: Requests(pool), Partition: partition, Name: id})
	}
	return keys
}

// CancelKey returns the key of the row that cancels a job. It is in the partition of
// the job.
func CancelKey(pool, id string) store.Key {
	key := JobKey(pool, id)
	key.Name += cancelSuffix
	return key
}

// ParseRequest returns the id of the job that a row of a pool's table of requests is
// about, and whether the row cancels it. ok is false for requests of other pools.
func ParseRequest(pool string, key store.Key) (id string, cancel, ok bool) {
	name, ok := strings.CutPrefix(key.Name, requestPrefix(pool))
	if !ok && !slices.Contains(legacyRequestPartitions(pool), key.Partition) {
		return "", false, false
	}
	id, cancel = strings.CutSuffix(name, cancelSuffix)
	return id, cancel, !strings.Contains(id, "/")
}

// StoredRequestKeys returns the keys of the rows of a job in the partition of its request:
// the request, its cancellation and, unless location is empty, the row of that name with
// the job's location.
func StoredRequestKeys(request store.Key, location string) []store.Key {
	cancel := request
	cancel.Name += cancelSuffix
	keys := []store.Key{request, cancel}
	if location != "" {
		keys = append(keys, store.Key{Table: Jobs, Partition: request.Partition, Name: location})
	}
	return keys
}

// ProgressKey returns the key of a job's progress.
func ProgressKey(pool, id string) store.Key {
	return store.Key{Table: Progress, Partition: pool, Name: id}
}

// ProgressPartKey returns the key of a part of a job's progress.
func ProgressPartKey(pool, id string, part int) store.Key {
	return store.Key{Table: Progress, Partition: pool, Name: fmt.Sprintf("%s/%05d", id, part)}
}

// ParseProgress returns the id of the job that a row of the table of progress is about, and
// the number of the part, or -1 for the row of ProgressKey. ok is false for other names.
func ParseProgress(name string) (id string, part int, ok bool) {
	id, number, found := strings.Cut(name, "/")
	if !found {
		return id, -1, true
	}
	part, err := strconv.Atoi(number)
	return id, part, err == nil && part >= 0
}

// QueueKey returns the key of a queue's published status.
func QueueKey(pool, queue string) store.Key {
	return store.Key{Table: Queues, Partition: pool, Name: queue}
}

// movedQueuesPartition holds the rows of queues that have left pools, which all entries
// read together.
const movedQueuesPartition = "moved"

// MovedQueues returns the span of the rows of queues that have left pools.
func MovedQueues() store.Span { return store.Span{Partition: movedQueuesPartition} }

// MovedQueueKey returns the key of the row that says how many jobs wait in a pool for a
// queue that has left it. The names may be too long for a key together, so it holds their
// hashes.
func MovedQueueKey(pool, queue string) store.Key {
	return store.Key{Table: Queues, Partition: movedQueuesPartition, Name: hash64(queue) + "/" + hash64(pool)}
}

// OwnerKey returns the key of the row that names a pool's owner.
func OwnerKey(pool string) store.Key {
	return store.Key{Table: Owners, Partition: pool, Name: "owner"}
}

// memberPartitionCount is the number of partitions of the members' rows. It keeps the
// rows of the entries that renew them often apart, so that they are renewed in time
// while the table service is slow.
const memberPartitionCount = 16

// MemberSpans returns the spans of the members' rows.
func MemberSpans() []store.Span {
	list := make([]store.Span, memberPartitionCount)
	for i := range list {
		list[i].Partition = nthMemberPartition(uint32(i))
	}
	return list
}

func nthMemberPartition(n uint32) string { return fmt.Sprintf("members-%02d", n) }

// MemberKey returns the key of an entry's row.
func MemberKey(entry string) store.Key {
	return store.Key{Table: Members, Partition: nthMemberPartition(hash32(entry) % memberPartitionCount), Name: entry}
}

// CapKey returns the key of the row with a workspace's cap shares.
func CapKey(workspace string) store.Key {
	return store.Key{Table: Caps, Partition: Caps, Name: workspace}
}

// LoadKey returns the key of a row of a pool's load report. Row 0 says how many follow.
func LoadKey(pool string, row int) store.Key {
	key := store.Key{Table: Loads, Partition: pool, Name: "load"}
	if row > 0 {
		key.Name += fmt.Sprintf("/%03d", row)
	}
	return key
}

// LeaseKey returns the key of a pool's recorded lease bounds.
func LeaseKey(pool string) store.Key {
	return store.Key{Table: Leases, Partition: pool, Name: "bounds"}
}

// RunLeaseKey returns the key of the lease bounds of single runs, beside those of LeaseKey.
func RunLeaseKey(pool string) store.Key {
	return store.Key{Table: Leases, Partition: pool, Name: "runs"}
}

// vmRowCount is the number of rows that the identities of a pool's VMs are spread over, so that
// a VM which gets its first task rewrites few others.
const vmRowCount = 16

// VMRowOf returns the number of the row that holds the identity of a VM.
func VMRowOf(vm string) int { return int(hash32(vm) % vmRowCount) }

const vmRowPrefix = "vms/"

// VMKey returns the key of a row with identities of VMs that have had tasks. It is beside the
// lease bounds, which a next owner reads as well.
func VMKey(pool string, row int) store.Key {
	return store.Key{Table: Leases, Partition: pool, Name: fmt.Sprintf("%s%02d", vmRowPrefix, row)}
}

// IsVMKey reports whether key is one of VMKey.
func IsVMKey(key store.Key) bool {
	return key.Table == Leases && strings.HasPrefix(key.Name, vmRowPrefix)
}

// CordonKey returns the key of a machine's cordon. Cordons are in the partition of
// the role that orders maintenance and moves.
func CordonKey(role, machine string) store.Key {
	return store.Key{Table: Cordons, Partition: role, Name: machine}
}

// DemandKey returns the key of the demand model's state, which the holder of a role
// stores for the next one.
func DemandKey(role string) store.Key {
	return store.Key{Table: Demand, Partition: role, Name: "turns"}
}

// WaveKey returns the key of a maintenance wave's progress.
func WaveKey(role, wave string) store.Key {
	return store.Key{Table: Waves, Partition: role, Name: wave}
}
