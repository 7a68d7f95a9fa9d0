// Package config reads, checks, compares and merges the folder of small files
// through which operators declare the fleet.
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

// Folder is a set of files by name. Files are merged in the order of their names.
type Folder map[string][]byte

// Change is the difference between two folders: only the files that differ.
type Change struct {
	ID      string         `cbor:"1,keyasint" json:"id"` // chosen by the operator's tool; a second apply with it is a no-op
	Base    fleet.Revision `cbor:"2,keyasint" json:"base"`
	Put     []File         `cbor:"3,keyasint,omitempty" json:"put,omitempty"`
	Removed []string       `cbor:"4,keyasint,omitempty" json:"removed,omitempty"`
}
