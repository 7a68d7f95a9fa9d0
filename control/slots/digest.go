package slots

import (
	"context"
	"encoding/binary"
	"errors"
	"maps"
	"math"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"amaranthfork.example/control"
	"amaranthfork.example/fleet"
	"amaranthfork.example/policy/placement"
	"amaranthfork.example/policy/sharding"
)

const (
	// digestMaxAge is the age above which free capacity counts as unknown.
	digestMaxAge = 5 * time.Second
	// fullDigestInterval is the time between two messages with all pools; those
	// between contain only the pools that changed. It is below digestMaxAge, so
	// that a lost message is replaced before the digest counts as unknown.
	fullDigestInterval = 4 * time.Second
	// remoteDigestInterval is the time between two messages to another data
	// centre. It is short enough for the sums to reach all entries there, through
	// the entry that receives them, before they are older than digestMaxAge.
	remoteDigestInterval = 2 * time.Second
	// unknownFreeFraction is the fraction of an owner's slots that is expected to be
	// free while its free capacity is unknown. The owner is asked, but usually
	// after those with known free slots.
	unknownFreeFraction = 1.0 / 8
	// frameOverheadBytes is counted for each message in addition to its body and
	// method name: frame header with correlation id (24), WebSocket (8) and
	// TLS record (29).
	frameOverheadBytes = 61
)

// digestMessage carries the hash of the list of pools, followed by sections as
// written by appendSection.
type digestMessage struct {
	Body []byte `cbor:"1,keyasint"`
}

// freeCapacity is the free capacity of a pool.
type freeCapacity struct {
	slots   int
	largest fleet.Resources // component-wise maximum over the VMs
}

// sectionKey identifies a section: the free capacity of the VMs that a member
// owns in a data centre. member is empty for the sum over a data centre.
type sectionKey struct {
	member string
	dc     fleet.DataCentreName
}

// section is the last known free capacity by pool.
type section struct {
	asOf  time.Time // when it was current at its origin
	pools map[fleet.PoolName]freeCapacity
}

// recipientGroup is the state of sending to members that receive the same
// sections.
type recipientGroup struct {
	sent       map[sectionKey]map[fleet.PoolName]record // last records sent
	lastFullAt time.Time
	lastSentAt time.Time
}

// digests holds the free capacity received from other entries and the state of
// sending it.
type digests struct {
	known  map[sectionKey]section
	groups map[string]*recipientGroup // "" for this entry's data centre, "dc/NAME" for another one
}

func newDigests() digests {
	return digests{known: map[sectionKey]section{}, groups: map[string]*recipientGroup{}}
}

// record is a pool's free capacity in the form in which it is sent. Amounts are
// rounded down to a logarithmic scale with eight steps for each power of two, so
// that small changes are not sent.
type record struct {
	slots, cpu, memory, accelerators byte
}

func encodeFree(free freeCapacity) record {
	return record{
		slots: encodeCount(free.slots), cpu: encodeLog(free.largest.MilliCPU), memory: encodeLog(free.largest.MemoryMB),
		accelerators: byte(min(max(free.largest.Accelerators, 0), math.MaxUint8)),
	}
}

func (r record) decode() freeCapacity {
	return freeCapacity{slots: decodeCount(r.slots), largest: fleet.Resources{
		MilliCPU: decodeLog(r.cpu), MemoryMB: decodeLog(r.memory), Accelerators: int64(r.accelerators),
	}}
}

// exactCounts is the number of slots below which a count is sent exactly.
const exactCounts = 16

func encodeCount(n int) byte {
	if n < exactCounts {
		return byte(max(n, 0))
	}
	return byte(min(exactCounts+int(8*math.Log2(float64(n)/exactCounts)), math.MaxUint8))
}

func decodeCount(b byte) int {
	if b < exactCounts {
		return int(b)
	}
	return int(math.Ceil(exactCounts * math.Exp2(float64(b-exactCounts)/8)))
}

func encodeLog(v int64) byte {
	if v <= 0 {
		return 0
	}
	return byte(min(1+int(8*math.Log2(float64(v))), math.MaxUint8))
}

func decodeLog(b byte) int64 {
	if b == 0 {
		return 0
	}
	return int64(math.Ceil(math.Exp2(float64(b-1) / 8)))
}

// poolList is the pools of a configuration, ordered by name. Messages identify a
// pool by its index in the list.
type poolList struct {
	names []fleet.PoolName
	hash  uint16
}

// pools returns the list for the current configuration; s.mu is held.
func (s *Slots) pools() poolList {
	var list poolList
	snapshot := s.options.View.Snapshot()
	if snapshot == nil {
		return list
	}
	for name := range snapshot.Pools {
		list.names = append(list.names, name)
	}
	slices.Sort(list.names)
	hash := xxhash.New()
	for _, name := range list.names {
		_, _ = hash.WriteString(string(name) + "\n")
	}
	list.hash = uint16(hash.Sum64())
	return list
}

// bitmapBytes returns the length of a bitmap over the pools.
func (l poolList) bitmapBytes() int { return (len(l.names) + 7) / 8 }

// dcHash returns the hash that identifies a data centre in messages. The
// receiver knows the names from the VM list.
func dcHash(dc fleet.DataCentreName) uint32 { return uint32(xxhash.Sum64String(string(dc))) }

const (
	listHashBytes      = 2         // hash of the list of pools, once in each message
	sectionHeaderBytes = 4 + 1 + 1 // data centre, flags, age
	recordBytes        = 4
	ageUnit            = 50 * time.Millisecond
	flagSum            = 1 // the section is the sum over a data centre
)

// appendSection appends a section to body: the header, a bitmap of the pools
// that have a record, and the records in the order of the list.
func (l poolList) appendSection(body []byte, key sectionKey, age time.Duration, records map[fleet.PoolName]record) []byte {
	body = binary.BigEndian.AppendUint32(body, dcHash(key.dc))
	flags := byte(0)
	if key.member == "" {
		flags = flagSum
	}
	body = append(body, flags, byte(min(age/ageUnit, math.MaxUint8)))
	bits := make([]byte, l.bitmapBytes())
	var encoded []byte
	for i, pool := range l.names {
		if r, ok := records[pool]; ok {
			bits[i/8] |= 1 << (i % 8)
			encoded = append(encoded, r.slots, r.cpu, r.memory, r.accelerators)
		}
	}
	return append(append(body, bits...), encoded...)
}

// readRecords decodes the bitmap and records at the start of body and returns the
// rest of it. The error is errTruncatedDigest.
func (l poolList) readRecords(body []byte) (records map[fleet.PoolName]freeCapacity, rest []byte, err error) {
	if len(body) < l.bitmapBytes() {
		return nil, nil, errTruncatedDigest
	}
	bits, rest := body[:l.bitmapBytes()], body[l.bitmapBytes():]
	records = map[fleet.PoolName]freeCapacity{}
	for i, pool := range l.names {
		if bits[i/8]&(1<<(i%8)) == 0 {
			continue
		}
		if len(rest) < recordBytes {
			return nil, nil, errTruncatedDigest
		}
		records[pool] = record{rest[0], rest[1], rest[2], rest[3]}.decode()
		rest = rest[recordBytes:]
	}
	return records, rest, nil
}

var errTruncatedDigest = errors.New("digest is truncated")

// mergeDigest merges a message of another entry into the known free capacity. A
// message with another list of pools is dropped: the configurations agree again
// within seconds. The error is errTruncatedDigest.
func (s *Slots) mergeDigest(from string, msg digestMessage) error {
	s.mu.Lock()
	defer s.unlock()
	if len(msg.Body) < listHashBytes {
		return errTruncatedDigest
	}
	pools := s.pools()
	if binary.BigEndian.Uint16(msg.Body) != pools.hash {
		return nil
	}
	dcs := map[uint32]fleet.DataCentreName{}
	for key := range s.totals {
		dcs[dcHash(key.dc)] = key.dc
	}
	now := s.options.Clock.Now()
	for body := msg.Body[listHashBytes:]; len(body) > 0; {
		if len(body) < sectionHeaderBytes {
			return errTruncatedDigest
		}
		dc, known := dcs[binary.BigEndian.Uint32(body)]
		key := sectionKey{member: from, dc: dc}
		if body[4]&flagSum != 0 {
			key.member = ""
		}
		asOf := now.Add(-time.Duration(body[5]) * ageUnit)
		records, rest, err := pools.readRecords(body[sectionHeaderBytes:])
		if err != nil {
			return err
		}
		if known {
			s.mergeSection(key, asOf, records)
		}
		body = rest
	}
	return nil
}

// mergeSection updates the pools that have a record in a received section.
func (s *Slots) mergeSection(key sectionKey, asOf time.Time, records map[fleet.PoolName]freeCapacity) {
	have, ok := s.digests.known[key]
	if !ok {
		have.pools = map[fleet.PoolName]freeCapacity{}
	}
	if have.asOf.After(asOf) {
		return // an older sum that was received from another member
	}
	have.asOf = asOf
	maps.Copy(have.pools, records)
	s.digests.known[key] = have
}

// relay returns the entry of the data centre local that exchanges sums with the
// data centre remote, "" if local has no entries. The remote data centres are
// assigned to the entries in turn, because rendezvous hashing gave some entries
// twice the mean number of data centres.
func (m *ownerMap) relay(local, remote fleet.DataCentreName) string {
	members := m.byDC[local]
	if len(members) == 0 {
		return ""
	}
	i := sort.SearchStrings(m.dcs, string(local))
	j := sort.SearchStrings(m.dcs, string(remote))
	if j > i {
		j-- // local is not assigned to an entry
	}
	return members[j%len(members)]
}

// TickDigests sends free capacity to the entries of the same data centre and, if
// this entry is the relay for another data centre, to the relay there. The caller
// runs it every second.
func (s *Slots) TickDigests(ctx context.Context) {
	type send struct {
		member string
		body   []byte
	}
	s.mu.Lock()
	now := s.options.Clock.Now()
	self := s.options.Membership.Self()
	owners := s.currentOwners()
	own := s.ownFree(now)
	var sends []send
	local := s.localSections(own, now)
	if body := s.encodeFor("", local, now); len(body) > listHashBytes {
		for _, member := range owners.byDC[self.DataCentre] {
			if member != self.ID {
				sends = append(sends, send{member, body})
			}
		}
	}
	for _, dc := range owners.dcs {
		if dc == string(self.DataCentre) || owners.relay(self.DataCentre, fleet.DataCentreName(dc)) != self.ID {
			delete(s.digests.groups, "dc/"+dc)
			continue
		}
		if group := s.digests.groups["dc/"+dc]; group != nil && now.Sub(group.lastSentAt) < remoteDigestInterval {
			continue
		}
		body := s.encodeFor("dc/"+dc, s.sums(own, now), now)
		receiver := owners.relay(fleet.DataCentreName(dc), self.DataCentre)
		if len(body) > listHashBytes {
			sends = append(sends, send{receiver, body})
		}
	}
	for _, message := range sends {
		s.stats.DigestMessages++
		s.stats.DigestBytes += uint64(len(message.body) + len(methodDigest) + frameOverheadBytes)
	}
	s.unlock()
	forEach(s.options.MaxParallelCalls, sends, func(message send) {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		// A lost message is replaced by the next full one.
		_ = s.options.Caller.Call(callCtx, message.member, methodDigest, digestMessage{Body: message.body}, nil)
	})
}

// ownFree sums the free capacity of the owned VMs by data centre and pool.
func (s *Slots) ownFree(now time.Time) map[fleet.DataCentreName]map[fleet.PoolName]freeCapacity {
	own := map[fleet.DataCentreName]map[fleet.PoolName]freeCapacity{}
	for _, v := range s.vms {
		assigned, ok := s.options.Pools.Assignment(v.id)
		if !ok {
			continue
		}
		s.expireReservations(v, now)
		vm := s.placementVM(v, assigned, now)
		pools := own[vm.DataCentre]
		if pools == nil {
			pools = map[fleet.PoolName]freeCapacity{}
			own[vm.DataCentre] = pools
		}
		sum := pools[assigned.Pool]
		if acceptsTasks(vm) {
			sum.slots += vm.FreeSlots()
			sum.largest = maxComponents(sum.largest, vm.Free)
		}
		pools[assigned.Pool] = sum
	}
	return own
}

// acceptsTasks reports whether a VM can take a task now, if the task fits.
func acceptsTasks(vm placement.VM) bool {
	return vm.LeaseHeld && !vm.Leaving && vm.State == placement.Active && vm.FreeSlots() > 0 &&
		(vm.Health == placement.Healthy || vm.Health == placement.Probation && vm.UsedSlots == 0)
}

// localSections returns the sections for the entries of the same data centre: the
// free capacity of the VMs that this entry owns, and the sums that it received
// as the relay for other data centres.
func (s *Slots) localSections(own map[fleet.DataCentreName]map[fleet.PoolName]freeCapacity, now time.Time) map[sectionKey]section {
	sections := map[sectionKey]section{}
	for dc, pools := range own {
		sections[sectionKey{s.self, dc}] = section{asOf: now, pools: pools}
	}
	owners := s.currentOwners()
	self := s.options.Membership.Self()
	for key, have := range s.digests.known {
		if key.member != "" || now.Sub(have.asOf) >= digestMaxAge {
			continue
		}
		if source := s.sumSource(key.dc); source != self.DataCentre && owners.relay(self.DataCentre, source) == s.self {
			sections[key] = have
		}
	}
	return sections
}

// sumSource returns the data centre whose entries publish the sum over dc.
func (s *Slots) sumSource(dc fleet.DataCentreName) fleet.DataCentreName {
	owners := s.currentOwners()
	if len(owners.byDC[dc]) > 0 {
		return dc
	}
	return fleet.DataCentreName(sharding.Owner("dc/"+string(dc), owners.dcs))
}

// sums returns the sum over each data centre whose VMs are owned by entries of
// this entry's data centre.
func (s *Slots) sums(own map[fleet.DataCentreName]map[fleet.PoolName]freeCapacity, now time.Time) map[sectionKey]section {
	self := s.options.Membership.Self()
	sections := map[sectionKey]section{}
	add := func(dc fleet.DataCentreName, pools map[fleet.PoolName]freeCapacity) {
		key := sectionKey{dc: dc}
		sum, ok := sections[key]
		if !ok {
			sum = section{asOf: now, pools: map[fleet.PoolName]freeCapacity{}}
		}
		for pool, free := range pools {
			have := sum.pools[pool]
			sum.pools[pool] = freeCapacity{have.slots + free.slots, maxComponents(have.largest, free.largest)}
		}
		sections[key] = sum
	}
	for dc, pools := range own {
		add(dc, pools)
	}
	serving := s.currentOwners().byDC[self.DataCentre]
	for key, have := range s.digests.known {
		if key.member != "" && contains(serving, key.member) && now.Sub(have.asOf) < digestMaxAge {
			add(key.dc, have.pools)
		}
	}
	return sections
}

// encodeFor encodes what changed since the last message to a recipient group, or
// everything when a full message is due. A section without changes is sent
// without records, so that the receiver knows that it is still current.
func (s *Slots) encodeFor(name string, sections map[sectionKey]section, now time.Time) []byte {
	group := s.digests.groups[name]
	if group == nil {
		group = &recipientGroup{sent: map[sectionKey]map[fleet.PoolName]record{}}
		s.digests.groups[name] = group
	}
	full := now.Sub(group.lastFullAt) >= fullDigestInterval
	if full {
		group.lastFullAt = now
	}
	group.lastSentAt = now
	keys := make([]sectionKey, 0, len(sections))
	for key := range sections {
		keys = append(keys, key)
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i].dc < keys[j].dc })
	pools := s.pools()
	body := binary.BigEndian.AppendUint16(nil, pools.hash)
	for _, key := range keys {
		changed := group.changes(key, sections[key].pools, full)
		body = pools.appendSection(body, key, now.Sub(sections[key].asOf), changed)
	}
	return body
}

// changes returns the records of a section to send and remembers them as sent. A
// pool that is no longer in the section is sent once with a zero record.
func (g *recipientGroup) changes(key sectionKey, pools map[fleet.PoolName]freeCapacity, full bool) map[fleet.PoolName]record {
	sent := g.sent[key]
	if sent == nil {
		sent = map[fleet.PoolName]record{}
		g.sent[key] = sent
	}
	changed := map[fleet.PoolName]record{}
	for pool := range sent {
		if _, present := pools[pool]; !present {
			changed[pool] = record{}
			delete(sent, pool)
		}
	}
	for pool, free := range pools {
		r := encodeFree(free)
		if last, ok := sent[pool]; full || !ok || last != r {
			changed[pool] = r
			sent[pool] = r
		}
	}
	return changed
}

// knownFree returns the last received free capacity of a pool, and false if none
// was received or it is older than digestMaxAge.
func (s *Slots) knownFree(key sectionKey, pool fleet.PoolName, now time.Time) (freeCapacity, bool) {
	have, ok := s.digests.known[key]
	if !ok || now.Sub(have.asOf) >= digestMaxAge {
		return freeCapacity{}, false
	}
	free, ok := have.pools[pool]
	return free, ok
}

// expectedFree returns the number of free slots to expect at an owner that has
// slots in the pool; s.mu is held.
func (s *Slots) expectedFree(member string, dc fleet.DataCentreName, pool fleet.PoolName, slots int, now time.Time) float64 {
	if free, ok := s.knownFree(sectionKey{member, dc}, pool, now); ok {
		return float64(free.slots)
	}
	return float64(slots) * unknownFreeFraction
}

// adjustDigest updates the known free capacity of an owner after it answered a
// reservation: one slot less, or nothing if exhausted is set.
func (s *Slots) adjustDigest(member string, dc fleet.DataCentreName, pool fleet.PoolName, exhausted bool) {
	s.mu.Lock()
	defer s.unlock()
	have, ok := s.digests.known[sectionKey{member, dc}]
	if !ok {
		return
	}
	free := have.pools[pool]
	free.slots = max(0, free.slots-1)
	if exhausted {
		free = freeCapacity{}
	}
	have.pools[pool] = free
}

// Capacity implements control.Dispatcher. It returns one element for each data
// centre with VMs of the pool, ordered by name. Where free capacity is unknown,
// the fraction unknownFreeFraction of the slots counts as free, at least one slot.
func (s *Slots) Capacity(pool fleet.PoolName) []control.Capacity {
	s.mu.Lock()
	defer s.unlock()
	now := s.options.Clock.Now()
	own := s.ownFree(now)
	var capacities []control.Capacity
	for key, sum := range s.totals {
		if key.pool != pool {
			continue
		}
		free := s.freeIn(key, sum, own, now)
		capacities = append(capacities, control.Capacity{
			Pool: pool, DataCentre: key.dc, FreeSlots: min(free.slots, sum.slots), TotalSlots: sum.slots,
			LargestFree: free.largest, LargestVM: sum.largest,
		})
	}
	sort.Slice(capacities, func(i, j int) bool { return capacities[i].DataCentre < capacities[j].DataCentre })
	return capacities
}

// freeIn returns the known or assumed free capacity of a pool in a data centre.
func (s *Slots) freeIn(key totalKey, sum total, own map[fleet.DataCentreName]map[fleet.PoolName]freeCapacity, now time.Time) freeCapacity {
	serving := s.currentOwners().serving(key.dc)
	if !contains(serving, s.self) {
		if free, ok := s.knownFree(sectionKey{dc: key.dc}, key.pool, now); ok {
			return free
		}
		return assumedFree(sum.slots, sum.largest)
	}
	free := own[key.dc][key.pool]
	for member, slots := range sum.byOwner {
		if member == s.self {
			continue
		}
		ownerFree, ok := s.knownFree(sectionKey{member, key.dc}, key.pool, now)
		if !ok {
			ownerFree = assumedFree(slots, sum.largest)
		}
		free = freeCapacity{free.slots + ownerFree.slots, maxComponents(free.largest, ownerFree.largest)}
	}
	return free
}

// assumedFree returns the free capacity to assume for slots whose free capacity
// is unknown.
func assumedFree(slots int, largest fleet.Resources) freeCapacity {
	if slots == 0 {
		return freeCapacity{}
	}
	return freeCapacity{slots: max(1, int(float64(slots)*unknownFreeFraction)), largest: largest}
}
