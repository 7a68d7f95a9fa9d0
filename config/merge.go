package config

import (
	"maps"
	"slices"
)

// object is one object after all files have been merged.
type object struct {
	kind          *kind
	name          string
	at            position // the first declaration, for faults of the object as a whole
	fieldsUnknown bool     // a declaration was not a mapping, so that fields may be missing
	fields        []field  // of each field, the value that was declared last
}

// field returns a merged field, and false if no file gives it.
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

// value returns the value of a field, and false if no file gives the field or its
// value is faulty.
func value[T any](o *object, name string) (T, bool) {
	f, _ := o.field(name)
	v, ok := f.value.(T)
	return v, ok
}

// valueOr returns the value of a field, or the fallback if there is none.
func valueOr[T any](o *object, name string, fallback T) T {
	if v, ok := value[T](o, name); ok {
		return v
	}
	return fallback
}

// objectSet holds the merged objects by kind and name, and the findings of the
// merge.
type objectSet struct {
	objects  map[*kind]map[string]*object
	findings Findings
}

// merge applies the declarations of files in order. A later declaration of an
// object replaces the fields that it gives; a null removes the object.
func merge(files []*parsedFile) *objectSet {
	m := &objectSet{objects: make(map[*kind]map[string]*object, len(allKinds))}
	for _, kind := range allKinds {
		m.objects[kind] = map[string]*object{}
	}
	for _, file := range files {
		for _, decl := range file.declarations {
			m.apply(decl)
		}
	}
	return m
}

// apply merges one declaration.
func (m *objectSet) apply(decl declaration) {
	objects := m.objects[decl.kind]
	o, exists := objects[decl.name]
	switch {
	case decl.remove && !exists && !decl.kind.single:
		m.findings = append(m.findings, decl.at.finding("%s is removed here, but no earlier file declares it", decl.kind.describe(decl.name)))
		return
	case decl.remove:
		delete(objects, decl.name)
		return
	case !exists:
		o = &object{kind: decl.kind, name: decl.name, at: decl.at, fields: make([]field, 0, len(decl.fields))}
		objects[decl.name] = o
	}
	o.fieldsUnknown = o.fieldsUnknown || decl.fieldsUnknown
	for _, f := range decl.fields {
		o.set(f)
	}
}

// sorted returns the objects of a kind in the order of their names.
func (m *objectSet) sorted(kind *kind) []*object {
	objects := m.objects[kind]
	list := make([]*object, 0, len(objects))
	for _, name := range slices.Sorted(maps.Keys(objects)) {
		list = append(list, objects[name])
	}
	return list
}

// checkRequired reports required fields that no file gives. This also finds a
// mistyped name in a file that means to change some fields of an object: it
// declares another object, which lacks the rest.
func (m *objectSet) checkRequired() {
	for _, kind := range allKinds {
		for _, o := range m.objects[kind] {
			m.checkFields(o)
		}
	}
}

// checkFields reports the required fields that an object lacks.
func (m *objectSet) checkFields(o *object) {
	for _, spec := range o.kind.fields {
		if _, given := o.field(spec.name); spec.required && !given && !o.fieldsUnknown {
			m.findings = append(m.findings, o.at.finding("%s has no %s", o.kind.describe(o.name), spec.name))
		}
	}
}
