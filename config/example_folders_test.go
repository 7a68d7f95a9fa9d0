package config

import (
	"path/filepath"
	"testing"

	"amaranthfork.example/fleet"
)

// Guards against example folders that have findings, or whose numbers of objects and
// pool sizes differ from the documented ones.
func TestExampleFolders(t *testing.T) {
	for _, name := range []string{"lantern-cheek", "sabz-sheesha"} {
		t.Run(name, func(t *testing.T) {
			folder, err := Load(filepath.Join("..", "examples", name))
			if err != nil {
				t.Fatal(err)
			}
			snapshot, findings := Build(folder, 1)
			if err := findings.Err(); err != nil {
				t.Fatal(err)
			}
			checkExample(t, snapshot)
		})
	}
}

// checkExample checks the numbers and sizes of the objects in an example folder.
func checkExample(t *testing.T, s *Snapshot) {
	t.Helper()
	regions := map[fleet.RegionName]bool{}
	for _, dc := range s.DataCentres {
		regions[dc.Region] = true
	}
	sizes, vms, spares, open := map[int]int{}, 0, 0, 0
	for _, pool := range s.Pools {
		sizes[len(pool.VMs)]++
		vms += len(pool.VMs)
		if pool.Spare {
			spares++
		}
		if pool.MaxUnavailable < 1 || pool.MaxUnavailable > 2 {
			t.Errorf("pool %s has budget %d", pool.Name, pool.MaxUnavailable)
		}
	}
	for _, queue := range s.Queues {
		if queue.Open {
			open++
		}
	}
	if len(s.DataCentres) != 4 || len(regions) != 1 || len(s.Workspaces) != 6 || open != 1 {
		t.Errorf("%d data centres in %d regions, %d workspaces, %d open queues", len(s.DataCentres), len(regions), len(s.Workspaces), open)
	}
	if vms != 48 || spares != 1 || sizes[8] != 2 || sizes[9] != 1 || sizes[11] != 1 || sizes[12] != 1 {
		t.Errorf("%d VMs, %d spare pools, pool sizes %v", vms, spares, sizes)
	}
}
