package config

import (
	"slices"
	"strings"
	"time"
)

// kind describes the objects of one section of a file, such as the pools.
type kind struct {
	order     int
	section   string                  // name of the section
	noun      string                  // what messages call one object
	single    bool                    // the section holds one object, which has no name
	nameCheck func(name string) error // checks the name of an object; nil means the function checkName
	fields    []fieldSpec
}

// fieldSpec describes one field of a kind.
type fieldSpec struct {
	name     string
	required bool // some file must give it for every object of the kind
	read     readFunc
}

// Kinds of objects, in the order in which they are checked and written.
var (
	kindDataCentre = &kind{section: "dataCentres", noun: "data centre", fields: []fieldSpec{
		{"region", true, readName},
		{"state", false, readOneOf("in", "out")},
	}}
	kindPool = &kind{section: "pools", noun: "pool", fields: []fieldSpec{
		{"vms", true, readVMs},
		{"spare", false, readBool},
		{"maxUnavailable", true, readQuantity},
	}}
	kindTeam = &kind{section: "teams", noun: "team", fields: []fieldSpec{
		{"share", true, readShare},
		{"limit", true, readCount(1, 10_000_000)},
	}}
	kindKey = &kind{section: "keys", noun: "key", nameCheck: checkKeyID, fields: []fieldSpec{
		{"team", true, readName},
		{"salt", true, readHex(8, 64)},
		{"hash", true, readHex(32, 32)},
		{"withdrawn", false, readBool},
	}}
	kindQueue = &kind{section: "queues", noun: "queue", fields: []fieldSpec{
		{"pool", true, readName},
		{"open", false, readBool},
		{"teams", false, readNames},
		{"maxQueued", false, readCount(1, 1_000_000)},
	}}
	kindWorkspace = &kind{section: "workspaces", noun: "workspace", fields: []fieldSpec{
		{"pool", true, readName},
		{"open", false, readBool},
		{"team", false, readName},
	}}
	kindMaintenance = &kind{section: "maintenance", noun: "maintenance", single: true, fields: []fieldSpec{
		{"period", false, readDuration(time.Hour, 365*24*time.Hour)},
		{"drainTimeout", false, readDuration(time.Second, 7*24*time.Hour)},
		{"rebootTimeout", false, readDuration(time.Second, 24*time.Hour)},
		{"maxPerRack", false, readCount(1, 10_000)},
		{"maxPerDataCentre", false, readCount(1, 100_000)},
		{"stopAfterFailures", false, readCount(1, 100_000)},
		{"paused", false, readBool},
		{"avoidDataCentresOut", false, readBool},
	}}
	kindProfile = &kind{section: "profile", noun: "profile", single: true, fields: []fieldSpec{
		{"idleWeight", false, readWeight},
		{"moveWeight", false, readWeight},
		{"shareWeight", false, readWeight},
	}}
)

var allKinds = []*kind{
	kindDataCentre, kindPool, kindTeam, kindKey, kindQueue, kindWorkspace, kindMaintenance, kindProfile,
}

// kindBySection maps the name of a section to its kind.
var kindBySection = indexKinds()

// sectionNames holds the names of all sections, joined for messages.
var sectionNames = joinSections()

func indexKinds() map[string]*kind {
	index := make(map[string]*kind, len(allKinds))
	for i, kind := range allKinds {
		kind.order = i
		index[kind.section] = kind
	}
	return index
}

func joinSections() string {
	names := make([]string, len(allKinds))
	for i, kind := range allKinds {
		names[i] = kind.section
	}
	return strings.Join(names, ", ")
}

// field returns the field with a name, and false if the kind has none.
func (k *kind) field(name string) (fieldSpec, bool) {
	i := slices.IndexFunc(k.fields, func(f fieldSpec) bool { return f.name == name })
	if i < 0 {
		return fieldSpec{}, false
	}
	return k.fields[i], true
}

// fieldNames returns the names of all fields, joined for messages.
func (k *kind) fieldNames() string {
	names := make([]string, len(k.fields))
	for i, f := range k.fields {
		names[i] = f.name
	}
	return strings.Join(names, ", ")
}

// checkName returns an error if an object of the kind cannot have the name.
func (k *kind) checkName(name string) error {
	if k.nameCheck != nil {
		return k.nameCheck(name)
	}
	return checkName(name)
}

// describe returns the kind and name of an object for messages, such as "pool
// quotes".
func (k *kind) describe(name string) string {
	if k.single {
		return k.noun
	}
	return k.noun + " " + name
}
