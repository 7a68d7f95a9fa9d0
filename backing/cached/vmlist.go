package cached

import (
	"context"
	"maps"
	"slices"

	"amaranthfork.example/backing"
	"amaranthfork.example/fleet"
)

// VMList is a cached list of VMs that transfers only the changes since its last
// read. It is safe for concurrent use.
type VMList struct {
	feed backing.VMFeed

	sem     chan struct{} // semaphore held during a read, so that changes are applied in order
	token   string        // of the last changes applied
	vms     map[fleet.VMID]fleet.VM
	entries map[string]backing.EntryVM
}

var _ backing.VMList = (*VMList)(nil)

// NewVMList returns a list that reads from feed.
func NewVMList(feed backing.VMFeed) *VMList {
	return &VMList{feed: feed, sem: make(chan struct{}, 1)}
}

// List returns the VMs and entry VMs, each ordered by id. It waits for another read
// that is in progress, and returns ErrUnavailable if ctx is done before that ends.
// Other errors are those of the feed.
func (l *VMList) List(ctx context.Context) (backing.VMListing, error) {
	select {
	case l.sem <- struct{}{}:
	case <-ctx.Done():
		return backing.VMListing{}, backing.ErrUnavailable
	}
	defer func() { <-l.sem }()
	changes, err := l.feed.Changes(ctx, l.token)
	if err != nil {
		return backing.VMListing{}, err
	}
	l.apply(changes)
	listing := backing.VMListing{AsOf: changes.AsOf}
	for _, id := range slices.Sorted(maps.Keys(l.vms)) {
		listing.VMs = append(listing.VMs, l.vms[id])
	}
	for _, id := range slices.Sorted(maps.Keys(l.entries)) {
		listing.Entries = append(listing.Entries, l.entries[id])
	}
	return listing, nil
}

// apply applies changes to the cached list; the caller holds l.sem.
func (l *VMList) apply(c backing.VMChanges) {
	if c.Whole || l.vms == nil {
		l.vms, l.entries = map[fleet.VMID]fleet.VM{}, map[string]backing.EntryVM{}
	}
	for _, vm := range c.VMs {
		l.vms[vm.ID] = vm
	}
	for _, e := range c.Entries {
		l.entries[e.ID] = e
	}
	for _, id := range c.Removed {
		delete(l.vms, id)
	}
	for _, id := range c.RemovedEntries {
		delete(l.entries, id)
	}
	l.token = c.Token
}
