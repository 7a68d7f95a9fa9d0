package view

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"amaranthfork.example/config"
	"amaranthfork.example/fleet"
)

// Keys of the configuration in the table and the object store. A revision is
// written with 20 digits so that the order of the keys is that of the revisions.
const (
	HeadKey      = "config/head"
	changeBase   = "config/change/"
	snapshotBase = "config/snapshot/"
)

// SnapshotEvery is the number of revisions between two snapshots in the object
// store.
const SnapshotEvery = 64

// recentChanges is the number of change ids that the head row remembers. An
// operator's tool repeats a change within minutes; 1,600 changes a day are 67 an
// hour.
const recentChanges = 128

// ChangeKey returns the key of the row of the change that made a revision.
func ChangeKey(revision fleet.Revision) string { return fmt.Sprintf("%s%020d", changeBase, revision) }

func snapshotKey(revision fleet.Revision) string {
	return fmt.Sprintf("%s%020d", snapshotBase, revision)
}

// Applied names a change and the revision that it made.
type Applied struct {
	ID       string         `cbor:"1,keyasint"`
	Revision fleet.Revision `cbor:"2,keyasint"`
}

// Head is the value of the head row.
type Head struct {
	Revision    fleet.Revision `cbor:"1,keyasint"`
	Coordinator string         `cbor:"2,keyasint"` // member id
	Recent      []Applied      `cbor:"3,keyasint"` // oldest first
	// RowVersion is the version of the row that the head was read from, for
	// conditions; 0 while there is none.
	RowVersion uint64 `cbor:"4,keyasint,omitempty"`
}

// Find returns the revision that a change made, if the head remembers it.
func (h Head) Find(id string) (fleet.Revision, bool) {
	for _, a := range h.Recent {
		if a.ID == id {
			return a.Revision, true
		}
	}
	return 0, false
}

// Next returns the head after a change.
func (h Head) Next(id, coordinator string) Head {
	next := Head{Revision: h.Revision + 1, Coordinator: coordinator, RowVersion: h.RowVersion}
	kept := h.Recent[max(0, len(h.Recent)-recentChanges+1):]
	next.Recent = append(append([]Applied(nil), kept...), Applied{ID: id, Revision: next.Revision})
	return next
}

// Encode returns the value of the head row.
func (h Head) Encode() ([]byte, error) {
	h.RowVersion = 0
	value, err := cbor.Marshal(h)
	if err != nil {
		return nil, fmt.Errorf("encode head: %w", err)
	}
	return value, nil
}

// stored is a whole folder, as an object and between peers.
type stored struct {
	Revision fleet.Revision `cbor:"1,keyasint"`
	Files    []config.File  `cbor:"2,keyasint"`
}

func newStored(revision fleet.Revision, folder config.Folder) stored {
	s := stored{Revision: revision}
	for name, content := range folder {
		s.Files = append(s.Files, config.File{Name: name, Content: content})
	}
	return s
}

func (s stored) folder() config.Folder {
	folder := make(config.Folder, len(s.Files))
	for _, f := range s.Files {
		folder[f.Name] = f.Content
	}
	return folder
}

// Patch returns the folder after a change; the old one stays as it is.
func Patch(folder config.Folder, change config.Change) config.Folder {
	next := make(config.Folder, len(folder)+len(change.Put))
	for name, content := range folder {
		next[name] = content
	}
	for _, name := range change.Removed {
		delete(next, name)
	}
	for _, f := range change.Put {
		next[f.Name] = f.Content
	}
	return next
}
