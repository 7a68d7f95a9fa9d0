package config

import (
	"maps"
	"slices"
)

// object is one object after all files have been merged.
type object struct {
	kind   *kind
	name   string
	at     position // the first entry, for faults of the object as a whole
	faulty bool     // an entry was not a mapping; its fields are not known
	fields []field  // the last value of each field that was given
}

// field returns the merged value of a field.
func (o *object) field(name string) (field, bool) {
	for _, f := range o.fields {
		if f.name == name {
			return f, true
		}
	}
	return field{}, false
}

// set replaces or adds a field.
func (o *object) set(f field) {
	for i := range o.fields {
		if o.fields[i].name == f.name {
			o.fields[i] = f
			return
		}
	}
	o.fields = append(o.fields, f)
}

// value returns the value of a field, and false if the field is not given or
// its value is faulty.
func value[T any](o *object, name string) (T, bool) {
	f, _ := o.field(name)
	v, ok := f.value.(T)
	return v, ok
}

// valueOr returns the value of a field, or the default if there is none.
func valueOr[T any](o *object, name string, standard T) T {
	if v, ok := value[T](o, name); ok {
		return v
	}
	return standard
}

// merged holds the merged objects by kind and name.
type merged struct {
	objects  map[*kind]map[string]*object
	findings Findings
}

// merge applies the entries of files in order. A later entry replaces the
// fields that it names; a null removes the object.
func merge(files []*parsedFile) *merged {
	m := &merged{objects: make(map[*kind]map[string]*object, len(allKinds))}
	for _, kind := range allKinds {
		m.objects[kind] = map[string]*object{}
	}
	for _, file := range files {
		for _, entry := range file.entries {
			m.apply(entry)
		}
	}
	return m
}

// apply merges one entry.
func (m *merged) apply(e entry) {
	objects := m.objects[e.kind]
	o, exists := objects[e.name]
	switch {
	case e.remove && !exists && !e.kind.single:
		m.findings = append(m.findings, e.at.finding("%s is removed here, but no earlier file declares it", e.kind.describe(e.name)))
		return
	case e.remove:
		delete(objects, e.name)
		return
	case !exists:
		o = &object{kind: e.kind, name: e.name, at: e.at, fields: make([]field, 0, len(e.fields))}
		objects[e.name] = o
	}
	o.faulty = o.faulty || e.faulty
	for _, f := range e.fields {
		o.set(f)
	}
}

// sorted returns the objects of a kind in the order of their names.
func (m *merged) sorted(kind *kind) []*object {
	objects := m.objects[kind]
	list := make([]*object, 0, len(objects))
	for _, name := range slices.Sorted(maps.Keys(objects)) {
		list = append(list, objects[name])
	}
	return list
}

// checkRequired reports required fields that no file gives. An object with an
// unknown name in a partial file shows up here.
func (m *merged) checkRequired() {
	for _, kind := range allKinds {
		for _, o := range m.objects[kind] {
			m.checkFields(o)
		}
	}
}

// checkFields reports the required fields that an object lacks.
func (m *merged) checkFields(o *object) {
	for _, spec := range o.kind.fields {
		if _, given := o.field(spec.name); spec.required && !given && !o.faulty {
			m.findings = append(m.findings, o.at.finding("%s has no %s", o.kind.describe(o.name), spec.name))
		}
	}
}
