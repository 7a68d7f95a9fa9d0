package entry

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"amaranthfork.example/control"
	"amaranthfork.example/entry/direct"
	"amaranthfork.example/entry/metrics"
	"amaranthfork.example/fleet"
	"amaranthfork.example/policy/placement"
)

const (
	// remoteConnections is the largest number of an endpoint's connections that are
	// reserved for the entries of other data centres. These use them for workspaces
	// whose VMs in their own data centre are all out of service.
	remoteConnections = 16
	// noEndpointRetryAfter is the retry delay advised to callers when no VM can serve
	// a workspace.
	noEndpointRetryAfter = time.Second
)

// buildDirect creates the forwarder of direct requests.
func (p *plane) buildDirect() error {
	var err error
	p.direct, err = direct.New(direct.Options{
		DataCentre: p.entry.options.Settings.DataCentre,
		Candidates: p.candidates,
		Clock:      p.entry.options.Clock,
		Observe: func(o direct.Observation) {
			p.entry.metrics.Add("direct_"+string(o.Outcome), 1)
			p.entry.metrics.Observe(metrics.DirectTime, o.Target.Team, o.Target.Class, o.Time)
		},
	})
	if err != nil {
		return fmt.Errorf("direct path: %w", err)
	}
	return nil
}

func (p *plane) serveDirect(w http.ResponseWriter, r *http.Request, workspace fleet.Workspace, path string) error {
	return p.direct.Forward(w, r, direct.Target{Workspace: workspace.Name, Path: path, Team: workspace.Team, Class: fleet.ClassUrgent})
}

// candidates returns the VMs of a workspace's pool that may get requests now: those
// in active service in data centres that are not out. It returns a *fleet.Refusal if
// there is none.
func (p *plane) candidates(name fleet.WorkspaceName) ([]fleet.VMID, error) {
	snapshot := p.view.Snapshot()
	if snapshot == nil {
		return nil, &fleet.Refusal{Reason: fleet.ReasonStaleView, Detail: "no configuration known", RetryAfter: noEndpointRetryAfter}
	}
	workspace, ok := snapshot.Workspaces[name]
	if !ok {
		return nil, &fleet.Refusal{Reason: fleet.ReasonNoQueue, Detail: fmt.Sprintf("workspace %q does not exist", name)}
	}
	var list []fleet.VMID
	for dc, vms := range p.poolMap.activeVMs(workspace.Pool) {
		if snapshot.DataCentres[dc].State != fleet.DataCentreOut {
			list = append(list, vms...)
		}
	}
	if len(list) == 0 {
		return nil, &fleet.Refusal{Reason: fleet.ReasonNoCapacity, Detail: fmt.Sprintf("pool %q has no VM in service", workspace.Pool), RetryAfter: noEndpointRetryAfter}
	}
	return list, nil
}

// updateEndpoints sets the endpoints of the forwarder from the VM list. If the list
// cannot be read, the known endpoints stay, so that an entry that is cut off from
// the platform continues to serve.
func (p *plane) updateEndpoints(ctx context.Context) error {
	listing, err := p.entry.vmList.List(ctx)
	if err != nil {
		return fmt.Errorf("list VMs: %w", err)
	}
	members := p.members.Members()
	endpoints := make([]direct.Endpoint, 0, len(listing.VMs))
	for _, vm := range listing.VMs {
		if vm.State == fleet.VMGone || vm.Address == "" {
			continue
		}
		endpoints = append(endpoints, endpointOf(vm, p.entry.options.Settings.DataCentre, members))
	}
	p.direct.Update(endpoints)
	return nil
}

// endpointOf returns the endpoint of a VM for an entry in the data centre entryDC. A
// quarter of the VM's connections, but at most remoteConnections, is divided among the
// entries of other data centres, and the rest among those of the VM's data centre. If
// that has no entries, all connections are divided among the entries of the others.
func endpointOf(vm fleet.VM, entryDC fleet.DataCentreName, members control.Members) direct.Endpoint {
	local := 0
	for _, m := range members.List {
		if m.DataCentre == vm.DataCentre {
			local++
		}
	}
	e := direct.Endpoint{VM: vm.ID, DataCentre: vm.DataCentre, Address: vm.Address, Leaving: vm.State == fleet.VMLeaving}
	remote := min(remoteConnections, vm.Connections/4)
	switch {
	case vm.DataCentre == entryDC:
		e.Connections, e.Entries = vm.Connections-remote, max(local, 1)
	case local == 0:
		e.Connections, e.Entries = vm.Connections, len(members.List)
	default:
		e.Connections, e.Entries = remote, len(members.List)-local
	}
	return e
}

// activeVMs returns the VMs of a pool that are in active service, by data centre.
func (m *poolMap) activeVMs(pool fleet.PoolName) map[fleet.DataCentreName][]fleet.VMID {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := map[fleet.DataCentreName][]fleet.VMID{}
	for dc, c := range m.dataCentres {
		for _, vm := range c.cache.VMsOf(pool) {
			if _, state := c.cache.Pool(vm); placementState(state) == placement.Active {
				list[dc] = append(list[dc], vm)
			}
		}
	}
	return list
}
