package cached

import (
	"context"
	"maps"
	"slices"

	"amaranthfork.example/backing"
	"amaranthfork.example/fleet"
)

// VMList is a list of VMs that transfers only changes. It is safe for concurrent
// use.
type VMList struct {
	feed backing.VMFeed

	turn    chan struct{} // held while the list is read, so that changes are applied in order
	token   string
	vms     map[fleet.VMID]fleet.VM
	entries map[string]backing.EntryVM
}

var _ backing.VMList = (*VMList)(nil)

// NewVMList returns a list that reads from feed.
func NewVMList(feed backing.VMFeed) *VMList {
	return &VMList{feed: feed, turn: make(chan struct{}, 1)}
}

// List returns the VMs and entry VMs, each ordered by id. Errors are those of
// the feed; while another read holds the list, it waits until ctx is done.
func (l *VMList) List(ctx context.Context) (backing.VMListing, error) {
	select {
	case l.turn <- struct{}{}:
	case <-ctx.Done():
		return backing.VMListing{}, backing.ErrUnavailable
	}
	defer func() { <-l.turn }()
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
