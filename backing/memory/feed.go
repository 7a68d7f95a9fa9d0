package memory

import (
	"context"
	"slices"
	"strconv"

	"amaranthfork.example/backing"
	"amaranthfork.example/fleet"
)

// feed records at which version each VM and entry VM of the list last changed.
type feed struct {
	version uint64 // of the newest listing that differed from the one before
	vms     map[fleet.VMID]versioned[fleet.VM]
	entries map[string]versioned[backing.EntryVM]
}

// versioned is the last listed value of a VM and the version at which it was
// added, changed or removed.
type versioned[T comparable] struct {
	value   T
	version uint64
	removed bool
}

// Changes returns what has changed since the answer with the token, or the whole
// list for a token that it has not issued. A token is the decimal feed version;
// removals are never dropped from the feed, so every token issued stays valid.
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
	changes.VMs, changes.Removed = changesSince(f.vms, since)
	changes.Entries, changes.RemovedEntries = changesSince(f.entries, since)
	return changes, nil
}

// update records a listing under a new version, unless nothing has changed.
func (f *feed) update(listing backing.VMListing) {
	if f.vms == nil {
		f.vms, f.entries = map[fleet.VMID]versioned[fleet.VM]{}, map[string]versioned[backing.EntryVM]{}
	}
	f.version++
	changed := recordChanges(f.vms, listing.VMs, func(v fleet.VM) fleet.VMID { return v.ID }, f.version)
	changed = recordChanges(f.entries, listing.Entries, func(e backing.EntryVM) string { return e.ID }, f.version) || changed
	if !changed {
		f.version--
	}
}

// recordChanges stores the values that differ from the known ones under the given
// version and marks known ids without a value as removed. It reports whether
// anything changed.
func recordChanges[K ~string, T comparable](known map[K]versioned[T], values []T, id func(T) K, version uint64) bool {
	changed := false
	present := make(map[K]bool, len(values))
	for _, v := range values {
		key := id(v)
		present[key] = true
		if last, ok := known[key]; !ok || last.removed || last.value != v {
			known[key] = versioned[T]{value: v, version: version}
			changed = true
		}
	}
	for key, last := range known {
		if !present[key] && !last.removed {
			known[key] = versioned[T]{value: last.value, version: version, removed: true}
			changed = true
		}
	}
	return changed
}

// changesSince returns the values and the removed ids of the changes after the
// version since, ordered by id.
func changesSince[K ~string, T comparable](known map[K]versioned[T], since uint64) (values []T, removed []K) {
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
