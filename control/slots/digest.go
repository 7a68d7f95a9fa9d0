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
	// digestUse is the age after which a digest counts as unknown.
	digestUse = 5 * time.Second
	// fullEvery is the interval at which all pools are sent; between, only the
	// pools that changed are. It is below digestUse, so that a lost message is
	// made good before the digest counts as unknown.
	fullEvery = 4 * time.Second
	// remoteEvery is the interval of sums to other data centres. With the pass
	// on inside they arrive below digestUse.
	remoteEvery = 2 * time.Second
	// unknownPart is the part of the slots that is expected to be free at an
	// owner whose digest is unknown: it is tried, but after all known ones.
	unknownPart = 1.0 / 8
	// frameOverhead is counted for each digest in addition to its body and
	// method name: frame header with correlation id (24), WebSocket (8) and
	// TLS record (29).
	frameOverhead = 61
)

// digestMessage carries sections in the format of encodeSections.
type digestMessage struct {
	Body []byte `cbor:"1,keyasint"`
}

// free is the free capacity of a pool, rounded as it is sent.
type free struct {
	slots   int
	largest fleet.Resources
}

// sectionKey names whose free capacity in which data centre a section tells;
// member is empty for the sum of a data centre.
type sectionKey struct {
	member string
	dc     fleet.DataCentreName
}

// section is the last known free capacity of an origin by pool.
type section struct {
	at    time.Time // when it was true
	pools map[fleet.PoolName]free
}

// audience is a set of members that are sent the same sections.
type audience struct {
	sent   map[sectionKey]map[fleet.PoolName]record
	fullAt time.Time
	lastAt time.Time
}

type digests struct {
	known     map[sectionKey]section
	audiences map[string]*audience // "" is the own data centre
}

func newDigests() digests {
	return digests{known: map[sectionKey]section{}, audiences: map[string]*audience{}}
}

// record is a pool's free capacity in the form in which it is sent. Amounts are
// rounded down to steps of an eighth of an octave, so that small changes are
// not sent.
type record struct {
	slots, cpu, memory, accelerators byte
}

func encodeFree(f free) record {
	return record{
		slots: encodeCount(f.slots), cpu: encodeLog(f.largest.MilliCPU), memory: encodeLog(f.largest.MemoryMB),
		accelerators: byte(min(max(f.largest.Accelerators, 0), math.MaxUint8)),
	}
}

func (r record) decode() free {
	return free{slots: decodeCount(r.slots), largest: fleet.Resources{
		MilliCPU: decodeLog(r.cpu), MemoryMB: decodeLog(r.memory), Accelerators: int64(r.accelerators),
	}}
}

// exactCounts is the number of counts that are sent exactly.
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

// poolList is the pools of a configuration, ordered by name. Messages name a
// pool by its place in the list.
type poolList struct {
	names []fleet.PoolName
	hash  uint16
}

// pools returns the present list; s.mu is held.
func (s *Slots) pools() poolList {
	var list poolList
	snapshot := s.o.View.Snapshot()
	if snapshot == nil {
		return list
	}
	for name := range snapshot.Pools {
		list.names = append(list.names, name)
	}
	slices.Sort(list.names)
	digest := xxhash.New()
	for _, name := range list.names {
		_, _ = digest.WriteString(string(name) + "\n")
	}
	list.hash = uint16(digest.Sum64())
	return list
}

// bitmap is the length of a bitmap over the pools in bytes.
func (l poolList) bitmap() int { return (len(l.names) + 7) / 8 }

// dcHash stands for the name of a data centre, which the receiver knows from
// the VM list.
func dcHash(dc fleet.DataCentreName) uint32 { return uint32(xxhash.Sum64String(string(dc))) }

const (
	listBytes   = 2         // hash of the list of pools, once for each message
	headerBytes = 4 + 1 + 1 // data centre, flags, age
	recordBytes = 4
	ageUnit     = 50 * time.Millisecond
	flagSum     = 1
)

// appendSection appends the header, a bitmap of the pools that have a record,
// and the records in the order of the list.
func (l poolList) appendSection(body []byte, key sectionKey, age time.Duration, records map[fleet.PoolName]record) []byte {
	body = binary.BigEndian.AppendUint32(body, dcHash(key.dc))
	flags := byte(0)
	if key.member == "" {
		flags = flagSum
	}
	body = append(body, flags, byte(min(age/ageUnit, math.MaxUint8)))
	bits := make([]byte, l.bitmap())
	var encoded []byte
	for i, pool := range l.names {
		if r, ok := records[pool]; ok {
			bits[i/8] |= 1 << (i % 8)
			encoded = append(encoded, r.slots, r.cpu, r.memory, r.accelerators)
		}
	}
	return append(append(body, bits...), encoded...)
}

// readRecords splits the bitmap and records off body.
func (l poolList) readRecords(body []byte) (records map[fleet.PoolName]free, rest []byte, err error) {
	if len(body) < l.bitmap() {
		return nil, nil, errBadDigest
	}
	bits, rest := body[:l.bitmap()], body[l.bitmap():]
	records = map[fleet.PoolName]free{}
	for i, pool := range l.names {
		if bits[i/8]&(1<<(i%8)) == 0 {
			continue
		}
		if len(rest) < recordBytes {
			return nil, nil, errBadDigest
		}
		records[pool] = record{rest[0], rest[1], rest[2], rest[3]}.decode()
		rest = rest[recordBytes:]
	}
	return records, rest, nil
}

var errBadDigest = errors.New("digest is truncated")

// takeDigest merges a message of another entry. A message by another list of
// pools is dropped: the configurations agree within seconds.
func (s *Slots) takeDigest(from string, msg digestMessage) error {
	s.mu.Lock()
	defer s.unlock()
	if len(msg.Body) < listBytes {
		return errBadDigest
	}
	pools := s.pools()
	if binary.BigEndian.Uint16(msg.Body) != pools.hash {
		return nil
	}
	dcs := map[uint32]fleet.DataCentreName{}
	for key := range s.totals {
		dcs[dcHash(key.dc)] = key.dc
	}
	now := s.o.Clock.Now()
	for body := msg.Body[listBytes:]; len(body) > 0; {
		if len(body) < headerBytes {
			return errBadDigest
		}
		dc, known := dcs[binary.BigEndian.Uint32(body)]
		key := sectionKey{member: from, dc: dc}
		if body[4]&flagSum != 0 {
			key.member = ""
		}
		at := now.Add(-time.Duration(body[5]) * ageUnit)
		records, rest, err := pools.readRecords(body[headerBytes:])
		if err != nil {
			return err
		}
		if known {
			s.takeSection(key, at, records)
		}
		body = rest
	}
	return nil
}

func (s *Slots) takeSection(key sectionKey, at time.Time, records map[fleet.PoolName]free) {
	have, ok := s.digests.known[key]
	if !ok {
		have.pools = map[fleet.PoolName]free{}
	}
	if have.at.After(at) {
		return // an older sum that took another way
	}
	have.at = at
	maps.Copy(have.pools, records)
	s.digests.known[key] = have
}

// relay returns which entry of a data centre exchanges sums with another data
// centre. Rendezvous hashing left some entries with twice the mean, so the data
// centres are dealt out in turn by their order.
func (m *shardMap) relay(own, other fleet.DataCentreName) string {
	members := m.byDC[own]
	if len(members) == 0 {
		return ""
	}
	i := sort.SearchStrings(m.dcs, string(own))
	j := sort.SearchStrings(m.dcs, string(other))
	if j > i {
		j-- // the own data centre takes no turn
	}
	return members[j%len(members)]
}

// TickDigests publishes free capacity. The caller runs it every second.
func (s *Slots) TickDigests(ctx context.Context) {
	type send struct {
		member string
		body   []byte
	}
	s.mu.Lock()
	now := s.o.Clock.Now()
	self := s.o.Membership.Self()
	shards := s.shardMapNow()
	own := s.ownFree(now)
	var sends []send
	local := s.localSections(own, now)
	if body := s.encodeFor("", local, now); len(body) > listBytes {
		for _, member := range shards.byDC[self.DataCentre] {
			if member != self.ID {
				sends = append(sends, send{member, body})
			}
		}
	}
	for _, dc := range shards.dcs {
		if dc == string(self.DataCentre) || shards.relay(self.DataCentre, fleet.DataCentreName(dc)) != self.ID {
			delete(s.digests.audiences, "dc/"+dc)
			continue
		}
		if a := s.digests.audiences["dc/"+dc]; a != nil && now.Sub(a.lastAt) < remoteEvery {
			continue
		}
		body := s.encodeFor("dc/"+dc, s.sums(own, now), now)
		receiver := shards.relay(fleet.DataCentreName(dc), self.DataCentre)
		if len(body) > listBytes {
			sends = append(sends, send{receiver, body})
		}
	}
	for _, message := range sends {
		s.stats.DigestMessages++
		s.stats.DigestBytes += uint64(len(message.body) + len(methodDigest) + frameOverhead)
	}
	s.unlock()
	each(s.o.Parallel, sends, func(message send) {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		// A lost digest is made good by the next full one.
		_ = s.o.Caller.Call(callCtx, message.member, methodDigest, digestMessage{Body: message.body}, nil)
	})
}

// ownFree sums the free capacity of the owned VMs by data centre and pool.
func (s *Slots) ownFree(now time.Time) map[fleet.DataCentreName]map[fleet.PoolName]free {
	own := map[fleet.DataCentreName]map[fleet.PoolName]free{}
	for _, v := range s.vms {
		assigned, ok := s.o.Pools.Assignment(v.id)
		if !ok {
			continue
		}
		s.expireReservations(v, now)
		vm := s.placementVM(v, assigned, now)
		pools := own[vm.DataCentre]
		if pools == nil {
			pools = map[fleet.PoolName]free{}
			own[vm.DataCentre] = pools
		}
		sum := pools[assigned.Pool]
		if open(vm) {
			sum.slots += vm.FreeSlots()
			sum.largest = maxParts(sum.largest, vm.Free)
		}
		pools[assigned.Pool] = sum
	}
	return own
}

// open reports whether a VM can take some task now.
func open(vm placement.VM) bool {
	return vm.Usable && !vm.Leaving && vm.State == placement.Active && vm.FreeSlots() > 0 &&
		(vm.Health == placement.Healthy || vm.Health == placement.Probation && vm.Used == 0)
}

// localSections are for the entries of the own data centre: what this entry
// owns, and the sums of other data centres that came here.
func (s *Slots) localSections(own map[fleet.DataCentreName]map[fleet.PoolName]free, now time.Time) map[sectionKey]section {
	sections := map[sectionKey]section{}
	for dc, pools := range own {
		sections[sectionKey{s.self, dc}] = section{at: now, pools: pools}
	}
	shards := s.shardMapNow()
	self := s.o.Membership.Self()
	for key, have := range s.digests.known {
		if key.member != "" || now.Sub(have.at) >= digestUse {
			continue
		}
		if source := s.sumSource(key.dc); source != self.DataCentre && shards.relay(self.DataCentre, source) == s.self {
			sections[key] = have
		}
	}
	return sections
}

// sumSource is the data centre whose entries publish the sum of dc.
func (s *Slots) sumSource(dc fleet.DataCentreName) fleet.DataCentreName {
	shards := s.shardMapNow()
	if len(shards.byDC[dc]) > 0 {
		return dc
	}
	return fleet.DataCentreName(sharding.Owner("dc/"+string(dc), shards.dcs))
}

// sums adds up the data centres that are served from here.
func (s *Slots) sums(own map[fleet.DataCentreName]map[fleet.PoolName]free, now time.Time) map[sectionKey]section {
	self := s.o.Membership.Self()
	sections := map[sectionKey]section{}
	add := func(dc fleet.DataCentreName, pools map[fleet.PoolName]free) {
		key := sectionKey{dc: dc}
		sum, ok := sections[key]
		if !ok {
			sum = section{at: now, pools: map[fleet.PoolName]free{}}
		}
		for pool, f := range pools {
			have := sum.pools[pool]
			sum.pools[pool] = free{have.slots + f.slots, maxParts(have.largest, f.largest)}
		}
		sections[key] = sum
	}
	for dc, pools := range own {
		add(dc, pools)
	}
	serving := s.shardMapNow().byDC[self.DataCentre]
	for key, have := range s.digests.known {
		if key.member != "" && contains(serving, key.member) && now.Sub(have.at) < digestUse {
			add(key.dc, have.pools)
		}
	}
	return sections
}

// encodeFor encodes what changed since the last message to an audience, or
// everything when a full one is due. A section without changes is sent as a
// header, which keeps it from aging.
func (s *Slots) encodeFor(name string, sections map[sectionKey]section, now time.Time) []byte {
	a := s.digests.audiences[name]
	if a == nil {
		a = &audience{sent: map[sectionKey]map[fleet.PoolName]record{}}
		s.digests.audiences[name] = a
	}
	full := now.Sub(a.fullAt) >= fullEvery
	if full {
		a.fullAt = now
	}
	a.lastAt = now
	keys := make([]sectionKey, 0, len(sections))
	for key := range sections {
		keys = append(keys, key)
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i].dc < keys[j].dc })
	pools := s.pools()
	body := binary.BigEndian.AppendUint16(nil, pools.hash)
	for _, key := range keys {
		changed := a.changes(key, sections[key].pools, full)
		body = pools.appendSection(body, key, now.Sub(sections[key].at), changed)
	}
	return body
}

func (a *audience) changes(key sectionKey, pools map[fleet.PoolName]free, full bool) map[fleet.PoolName]record {
	sent := a.sent[key]
	if sent == nil {
		sent = map[fleet.PoolName]record{}
		a.sent[key] = sent
	}
	changed := map[fleet.PoolName]record{}
	for pool := range sent {
		if _, still := pools[pool]; !still {
			changed[pool] = record{}
			delete(sent, pool)
		}
	}
	for pool, f := range pools {
		r := encodeFree(f)
		if last, ok := sent[pool]; full || !ok || last != r {
			changed[pool] = r
			sent[pool] = r
		}
	}
	return changed
}

// knownFree returns what an origin last told of a pool, if that is recent. A
// pool that was never told of is unknown, not zero.
func (s *Slots) knownFree(key sectionKey, pool fleet.PoolName, now time.Time) (free, bool) {
	have, ok := s.digests.known[key]
	if !ok || now.Sub(have.at) >= digestUse {
		return free{}, false
	}
	f, ok := have.pools[pool]
	return f, ok
}

// expected is the number of free slots to expect at an owner; s.mu is held.
func (s *Slots) expected(member string, dc fleet.DataCentreName, pool fleet.PoolName, slots int, now time.Time) float64 {
	if f, ok := s.knownFree(sectionKey{member, dc}, pool, now); ok {
		return float64(f.slots)
	}
	return float64(slots) * unknownPart
}

// adjustDigest applies what a reservation taught: one slot less, or none.
func (s *Slots) adjustDigest(member string, dc fleet.DataCentreName, pool fleet.PoolName, none bool) {
	s.mu.Lock()
	defer s.unlock()
	have, ok := s.digests.known[sectionKey{member, dc}]
	if !ok {
		return
	}
	f := have.pools[pool]
	f.slots = max(0, f.slots-1)
	if none {
		f = free{}
	}
	have.pools[pool] = f
}

// Capacity implements control.Dispatcher. It returns one element for each data
// centre with VMs of the pool, ordered by name. What is not known counts with
// unknownPart of its slots, at least one.
func (s *Slots) Capacity(pool fleet.PoolName) []control.Capacity {
	s.mu.Lock()
	defer s.unlock()
	now := s.o.Clock.Now()
	own := s.ownFree(now)
	var capacities []control.Capacity
	for key, sum := range s.totals {
		if key.pool != pool {
			continue
		}
		f := s.freeIn(key, sum, own, now)
		capacities = append(capacities, control.Capacity{
			Pool: pool, DataCentre: key.dc, FreeSlots: min(f.slots, sum.slots), TotalSlots: sum.slots,
			LargestFree: f.largest, LargestVM: sum.largest,
		})
	}
	sort.Slice(capacities, func(i, j int) bool { return capacities[i].DataCentre < capacities[j].DataCentre })
	return capacities
}

func (s *Slots) freeIn(key totalKey, sum total, own map[fleet.DataCentreName]map[fleet.PoolName]free, now time.Time) free {
	serving := s.shardMapNow().serving(key.dc)
	if !contains(serving, s.self) {
		if f, ok := s.knownFree(sectionKey{dc: key.dc}, key.pool, now); ok {
			return f
		}
		return unknownFree(sum.slots, sum.largest)
	}
	f := own[key.dc][key.pool]
	for member, slots := range sum.byOwner {
		if member == s.self {
			continue
		}
		part, ok := s.knownFree(sectionKey{member, key.dc}, key.pool, now)
		if !ok {
			part = unknownFree(slots, sum.largest)
		}
		f = free{f.slots + part.slots, maxParts(f.largest, part.largest)}
	}
	return f
}

func unknownFree(slots int, largest fleet.Resources) free {
	if slots == 0 {
		return free{}
	}
	return free{slots: max(1, int(float64(slots)*unknownPart)), largest: largest}
}
