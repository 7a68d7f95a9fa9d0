package shards

import "slices"

// References reports whether the known map still names a session as an owner or
// as a source whose state has not been copied. Before there is a map it reports
// true.
func (m *Manager) References(session string) bool {
	current := m.snapshot()
	if len(current.Assignments) == 0 {
		return true
	}
	return slices.ContainsFunc(current.Assignments, func(a Assignment) bool {
		return a.Owner == session || slices.Contains(a.Sources, session)
	})
}
