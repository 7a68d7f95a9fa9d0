package pool_test

import (
	"amaranthfork.example/fleet"
	"amaranthfork.example/sched/catalog"
)

// catalogWithCap returns the catalog of h with a workspace that has a cap.
func catalogWithCap(h *harness, milliCPU int64) *catalog.Catalog {
	var queues []*catalog.Queue
	for _, q := range h.catalog.Queues {
		queues = append(queues, q)
	}
	return catalog.New(2, queues, []*catalog.Pool{{Name: testPool}},
		[]*catalog.Workspace{{Name: "ws", Weight: 1, Keys: []string{"key"}, Cap: fleet.Resources{MilliCPU: milliCPU}}}, catalog.Limits{})
}
