package memory

import (
	"context"
	"sort"
	"strings"
	"sync"

	"amaranthfork.example/backing"
)

// Objects is an object store in memory.
type Objects struct {
	Faults *Faults // of the path to the store; nil means none
	data   *objectData
}

type objectData struct {
	mu     sync.Mutex
	values map[string][]byte
}

var _ backing.Objects = (*Objects)(nil)

// NewObjects returns an empty store whose calls are subject to faults; nil means
// no faults.
func NewObjects(faults *Faults) *Objects {
	return &Objects{Faults: faults, data: &objectData{values: map[string][]byte{}}}
}

// Via returns the same store as reached over another path, with faults of its own.
func (o *Objects) Via(faults *Faults) *Objects {
	return &Objects{Faults: faults, data: o.data}
}

// Put writes an object. It returns ErrUnconfirmed if the object was written but the
// answer was lost.
func (o *Objects) Put(ctx context.Context, key string, value []byte) error {
	if err := o.Faults.write(ctx); err != nil {
		return err
	}
	o.data.mu.Lock()
	o.data.values[key] = append([]byte(nil), value...)
	o.data.mu.Unlock()
	if o.Faults.loseAnswer() {
		return backing.ErrUnconfirmed
	}
	return nil
}

// Get returns a copy of an object, or ErrNotFound.
func (o *Objects) Get(ctx context.Context, key string) ([]byte, error) {
	if err := o.Faults.read(ctx); err != nil {
		return nil, err
	}
	o.data.mu.Lock()
	defer o.data.mu.Unlock()
	value, ok := o.data.values[key]
	if !ok {
		return nil, backing.ErrNotFound
	}
	return append([]byte(nil), value...), nil
}

// List returns the keys that start with prefix, in order.
func (o *Objects) List(ctx context.Context, prefix string) ([]string, error) {
	if err := o.Faults.read(ctx); err != nil {
		return nil, err
	}
	o.data.mu.Lock()
	defer o.data.mu.Unlock()
	var keys []string
	for key := range o.data.values {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	return keys, nil
}

// Delete removes an object, if it exists. It returns ErrUnconfirmed if the object was
// removed but the answer was lost.
func (o *Objects) Delete(ctx context.Context, key string) error {
	if err := o.Faults.write(ctx); err != nil {
		return err
	}
	o.data.mu.Lock()
	defer o.data.mu.Unlock()
	delete(o.data.values, key)
	if o.Faults.loseAnswer() {
		return backing.ErrUnconfirmed
	}
	return nil
}
