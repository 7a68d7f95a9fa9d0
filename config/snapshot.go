// Package config reads, merges, checks and compares the folder of small YAML files
// in which operators declare the fleet.
//
// A Folder is parsed file by file, its files are merged in the order of their
// names, and the result is checked. That yields a Snapshot, or Findings. Only Load
// accesses the file system; the package neither stores nor distributes
// configurations.
package config

import "amaranthfork.example/fleet"

// Snapshot is one merged and checked configuration. It is immutable.
type Snapshot struct {
	Revision    fleet.Revision
	DataCentres map[fleet.DataCentreName]fleet.DataCentre
	Pools       map[fleet.PoolName]fleet.Pool
	Teams       map[fleet.TeamName]fleet.Team
	Keys        map[fleet.KeyID]fleet.Key
	Queues      map[fleet.QueueName]fleet.Queue
	Workspaces  map[fleet.WorkspaceName]fleet.Workspace
	Maintenance fleet.MaintenancePlan
	Profile     fleet.Profile
}

// File is one file of a folder.
type File struct {
	Name    string `cbor:"1,keyasint" json:"name"`
	Content []byte `cbor:"2,keyasint" json:"content"`
}

// Folder holds the contents of files by name. Files are merged in the order of
// their names.
type Folder map[string][]byte

// Change is the difference between two folders, as the files that differ.
type Change struct {
	ID      string         `cbor:"1,keyasint" json:"id"`                          // idempotency id, chosen by the operator's tool: applying the same id again has no effect
	Base    fleet.Revision `cbor:"2,keyasint" json:"base"`                        // the revision that the change was made from
	Put     []File         `cbor:"3,keyasint,omitempty" json:"put,omitempty"`     // files added or replaced
	Removed []string       `cbor:"4,keyasint,omitempty" json:"removed,omitempty"` // names of files
}
