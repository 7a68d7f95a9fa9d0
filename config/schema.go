package config

import (
	"slices"
	"strings"
	"time"
)

// kind describes one section of a file.
type kind struct {
	order  int
	name   string                  // the section
	word   string                  // one object of it, for messages
	single bool                    // the section is one object without a name
	check  func(name string) error // nil means checkName
	fields []fieldSpec
}

// fieldSpec describes one field of a kind.
type fieldSpec struct {
	name     string
	required bool
	read     readValue
}

// Kinds of objects, in the order in which they are checked and described.
var (
	kindDataCentre = &kind{name: "dataCentres", word: "data centre", fields: []fieldSpec{
		{"region", true, readName},
		{"state", false, readOneOf("in", "out")},
	}}
	kindPool = &kind{name: "pools", word: "pool", fields: []fieldSpec{
		{"vms", true, readVMs},
		{"spare", false, readBool},
		{"maxUnavailable", true, readQuantity},
	}}
	kindTeam = &kind{name: "teams", word: "team", fields: []fieldSpec{
		{"share", true, readShare},
		{"limit", true, readCount(1, 10_000_000)},
	}}
	kindKey = &kind{name: "keys", word: "key", check: checkKeyID, fields: []fieldSpec{
		{"team", true, readName},
		{"salt", true, readHex(8, 64)},
		{"hash", true, readHex(32, 32)},
		{"withdrawn", false, readBool},
	}}
	kindQueue = &kind{name: "queues", word: "queue", fields: []fieldSpec{
		{"pool", true, readName},
		{"open", false, readBool},
		{"teams", false, readNames},
		{"maxQueued", false, readCount(1, 1_000_000)},
	}}
	kindWorkspace = &kind{name: "workspaces", word: "workspace", fields: []fieldSpec{
		{"pool", true, readName},
		{"open", false, readBool},
		{"team", false, readName},
	}}
	kindMaintenance = &kind{name: "maintenance", word: "maintenance", single: true, fields: []fieldSpec{
		{"period", false, readDuration(time.Hour, 365*24*time.Hour)},
		{"drainTimeout", false, readDuration(time.Second, 7*24*time.Hour)},
		{"rebootTimeout", false, readDuration(time.Second, 24*time.Hour)},
		{"maxPerRack", false, readCount(1, 10_000)},
		{"maxPerDataCentre", false, readCount(1, 100_000)},
		{"stopAfterFailures", false, readCount(1, 100_000)},
		{"paused", false, readBool},
		{"avoidDataCentresOut", false, readBool},
	}}
	kindProfile = &kind{name: "profile", word: "profile", single: true, fields: []fieldSpec{
		{"idleWeight", false, readWeight},
		{"moveWeight", false, readWeight},
		{"shareWeight", false, readWeight},
	}}
)

var allKinds = []*kind{
	kindDataCentre, kindPool, kindTeam, kindKey, kindQueue, kindWorkspace, kindMaintenance, kindProfile,
}

// kinds finds a kind by the name of its section.
var kinds = indexKinds()

// kindNames lists the sections for messages.
var kindNames = listKinds()

func indexKinds() map[string]*kind {
	index := make(map[string]*kind, len(allKinds))
	for i, kind := range allKinds {
		kind.order = i
		index[kind.name] = kind
	}
	return index
}

func listKinds() string {
	names := make([]string, len(allKinds))
	for i, kind := range allKinds {
		names[i] = kind.name
	}
	return strings.Join(names, ", ")
}

// field finds a field by name.
func (k *kind) field(name string) (fieldSpec, bool) {
	i := slices.IndexFunc(k.fields, func(f fieldSpec) bool { return f.name == name })
	if i < 0 {
		return fieldSpec{}, false
	}
	return k.fields[i], true
}

// fieldNames lists the fields for messages.
func (k *kind) fieldNames() string {
	names := make([]string, len(k.fields))
	for i, f := range k.fields {
		names[i] = f.name
	}
	return strings.Join(names, ", ")
}

// checkName checks the name of an object of the kind.
func (k *kind) checkName(name string) error {
	if k.check != nil {
		return k.check(name)
	}
	return checkName(name)
}

// describe returns the kind and name of an object for messages.
func (k *kind) describe(name string) string {
	if k.single {
		return k.word
	}
	return k.word + " " + name
}
