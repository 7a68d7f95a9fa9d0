package memory

import (
	"context"
	"slices"
	"strconv"

	"amaranthfork.example/backing"
	"amaranthfork.example/fleet"
)

// feed numbers the changes of the listings.
type feed struct {
	version uint64
	vms     map[fleet.VMID]numbered[fleet.VM]
	entries map[string]numbered[backing.EntryVM]
}

// numbered is the newest state of a VM with the version that brought it.
type numbered[T comparable] struct {
	value   T
	version uint64
	removed bool
}

// Changes returns what has changed since the answer with the token. Tokens are
// those of this list, so any number from its past is known.
func (l *VMList) Changes(ctx context.Context, token string) (backing.VMChanges, error) {
	if err := l.Faults.read(ctx); err != nil {
		return backing.VMChanges{}, err
	}
	l.data.mu.Lock()
	defer l.data.mu.Unlock()
	listing := l.data.list()
	f := &l.data.feed
	f.update(listing)
	since, err := strconv.ParseUint(token, 10, 64)
	whole := err != nil || since > f.version
	if whole {
		since = 0
	}
	changes := backing.VMChanges{Whole: whole, Token: strconv.FormatUint(f.version, 10)}
	changes.AsOf = listing.AsOf
	changes.VMs, changes.Removed = collect(f.vms, since)
	changes.Entries, changes.RemovedEntries = collect(f.entries, since)
	return changes, nil
}

func (f *feed) update(listing backing.VMListing) {
	if f.vms == nil {
		f.vms, f.entries = map[fleet.VMID]numbered[fleet.VM]{}, map[string]numbered[backing.EntryVM]{}
	}
	f.version++
	changed := note(f.vms, listing.VMs, func(v fleet.VM) fleet.VMID { return v.ID }, f.version)
	changed = note(f.entries, listing.Entries, func(e backing.EntryVM) string { return e.ID }, f.version) || changed
	if !changed {
		f.version--
	}
}

// note enters the values that differ and marks those that are missing.
func note[K ~string, T comparable](known map[K]numbered[T], values []T, id func(T) K, version uint64) bool {
	changed := false
	present := make(map[K]bool, len(values))
	for _, v := range values {
		key := id(v)
		present[key] = true
		if last, ok := known[key]; !ok || last.removed || last.value != v {
			known[key] = numbered[T]{value: v, version: version}
			changed = true
		}
	}
	for key, last := range known {
		if !present[key] && !last.removed {
			known[key] = numbered[T]{value: last.value, version: version, removed: true}
			changed = true
		}
	}
	return changed
}

// collect returns the values and removals after a version, ordered by id.
func collect[K ~string, T comparable](known map[K]numbered[T], since uint64) (values []T, removed []K) {
	var keys []K
	for key, n := range known {
		if n.version > since {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	for _, key := range keys {
		if n := known[key]; n.removed {
			removed = append(removed, key)
		} else {
			values = append(values, n.value)
		}
	}
	return values, removed
}
