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
	idBase       = "config/id/" // by change id: the revision that it made
	snapshotBase = "config/snapshot/"
)

// SnapshotEvery is the number of revisions between two snapshots in the object
// store.
const SnapshotEvery = 64

// ChangeKey returns the key of the row of the change that made a revision.
func ChangeKey(revision fleet.Revision) string { return fmt.Sprintf("%s%020d", changeBase, revision) }

func snapshotKey(revision fleet.Revision) string {
	return fmt.Sprintf("%s%020d", snapshotBase, revision)
}

// IDKey returns the key of the row that holds the revision of a change id.
func IDKey(id string) string { return idBase + id }

// Head is the value of the head row. Every entry reads it twice a second, so it
// holds only what they need.
type Head struct {
	Revision    fleet.Revision `cbor:"1,keyasint"`
	Coordinator string         `cbor:"2,keyasint"` // member id
	Change      string         `cbor:"3,keyasint"` // id of the change that made the revision
	// RowVersion is the version of the row that the head was read from, for
	// conditions; 0 while there is none.
	RowVersion uint64 `cbor:"4,keyasint,omitempty"`
}

// Next returns the head after a change.
func (h Head) Next(id, coordinator string) Head {
	return Head{Revision: h.Revision + 1, Coordinator: coordinator, Change: id, RowVersion: h.RowVersion}
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
