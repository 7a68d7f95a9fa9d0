package view

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"amaranthfork.example/config"
	"amaranthfork.example/fleet"
)

// Keys of the configuration in the table and in the object store. Revisions are
// padded to 20 digits so that keys sort in the order of the revisions.
const (
	HeadKey        = "config/head"
	changePrefix   = "config/change/"
	changeIDPrefix = "config/id/" // followed by a change id; the value is the revision that the change created
	snapshotPrefix = "config/snapshot/"
)

// RevisionsPerSnapshot is the number of revisions from one snapshot in the
// object store to the next. A view also holds as many changes in memory, to
// serve them to peers.
const RevisionsPerSnapshot = 64

// ChangeKey returns the key of the row that holds the change that created a
// revision.
func ChangeKey(revision fleet.Revision) string { return fmt.Sprintf("%s%020d", changePrefix, revision) }

func snapshotKey(revision fleet.Revision) string {
	return fmt.Sprintf("%s%020d", snapshotPrefix, revision)
}

// ChangeIDKey returns the key of the row that holds the revision that the change
// with an id created.
func ChangeIDKey(id string) string { return changeIDPrefix + id }

// Head is the value of the head row, which names the newest committed revision.
// Every entry reads it twice a second, so it is kept small.
type Head struct {
	Revision    fleet.Revision `cbor:"1,keyasint"`
	Coordinator string         `cbor:"2,keyasint"` // member id
	ChangeID    string         `cbor:"3,keyasint"` // id of the change that created the revision
	// RowVersion is the version of the row that the head was read from, for use
	// in a condition. It is 0 if the row does not exist, and is not stored.
	RowVersion uint64 `cbor:"4,keyasint,omitempty"`
}

// Next returns the head after the change with the given id. RowVersion remains
// the version that the row has before the change.
func (h Head) Next(id, coordinator string) Head {
	return Head{Revision: h.Revision + 1, Coordinator: coordinator, ChangeID: id, RowVersion: h.RowVersion}
}

// Encode returns the encoded value of the head row.
func (h Head) Encode() ([]byte, error) {
	h.RowVersion = 0
	value, err := cbor.Marshal(h)
	if err != nil {
		return nil, fmt.Errorf("encode head: %w", err)
	}
	return value, nil
}

// storedFolder is the encoded form of a whole folder, in the object store and in
// answers to peers.
type storedFolder struct {
	Revision fleet.Revision `cbor:"1,keyasint"`
	Files    []config.File  `cbor:"2,keyasint"`
}

func newStoredFolder(revision fleet.Revision, folder config.Folder) storedFolder {
	s := storedFolder{Revision: revision}
	for name, content := range folder {
		s.Files = append(s.Files, config.File{Name: name, Content: content})
	}
	return s
}

func (s storedFolder) folder() config.Folder {
	folder := make(config.Folder, len(s.Files))
	for _, f := range s.Files {
		folder[f.Name] = f.Content
	}
	return folder
}

// Patch returns a copy of the folder with a change applied.
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
