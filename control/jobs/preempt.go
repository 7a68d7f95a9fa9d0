package jobs

import (
	"cmp"
	"slices"

	"amaranthfork.example/fleet"
)

// RunningAttempt identifies a running task.
type RunningAttempt struct {
	VM      fleet.VMID
	Attempt fleet.AttemptID
}

// Preemptible returns up to n running attempts of a team whose checkpointing
// loses least: those of the least urgent class first, and among these the last
// started first.
func (m *Manager) Preemptible(team fleet.TeamName, n int) []RunningAttempt {
	m.mu.Lock()
	defer m.mu.Unlock()
	var candidates []*jobEntry
	for _, e := range m.open {
		if e.job.Team == team && e.Claim != nil && !e.Canceled && !e.startedAt.IsZero() {
			candidates = append(candidates, e)
		}
	}
	slices.SortFunc(candidates, func(a, b *jobEntry) int {
		return cmp.Or(
			cmp.Compare(slices.Index(fleet.Classes, b.job.Class), slices.Index(fleet.Classes, a.job.Class)),
			b.startedAt.Compare(a.startedAt),
			cmp.Compare(a.job.ID, b.job.ID),
		)
	})
	candidates = candidates[:min(n, len(candidates))]
	list := make([]RunningAttempt, 0, len(candidates))
	for _, e := range candidates {
		list = append(list, RunningAttempt{VM: e.Claim.VM, Attempt: e.Claim.Attempt})
	}
	return list
}
