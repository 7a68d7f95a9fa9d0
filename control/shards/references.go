package shards

import "slices"

// References reports whether the known map contains a session as the owner of a
// shard or as a source whose state has not been copied. It reports true while no
// map is known.
func (m *Manager) References(session string) bool {
	current := m.snapshot()
	if len(current.Assignments) == 0 {
		return true
	}
	return slices.ContainsFunc(current.Assignments, func(a Assignment) bool {
		return a.Owner == session || slices.Contains(a.Sources, session)
	})
}
