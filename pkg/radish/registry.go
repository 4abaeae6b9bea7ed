package radish

import (
	"fmt"
	"slices"
	"sync"
)

// Registry holds plug-ins by name; plug-ins add themselves in their package's init function.
type Registry[T any] struct {
	mu      sync.RWMutex
	entries map[string]T
}

// Register adds a plug-in and panics when the name is taken.
func (r *Registry[T]) Register(name string, entry T) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.entries == nil {
		r.entries = make(map[string]T)
	}
	if _, taken := r.entries[name]; taken {
		panic(fmt.Sprintf("plug-in %q is registered twice", name))
	}
	r.entries[name] = entry
}

// Lookup returns the plug-in with the name.
func (r *Registry[T]) Lookup(name string) (T, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	entry, ok := r.entries[name]
	return entry, ok
}

// Names returns the registered names in ascending order.
func (r *Registry[T]) Names() []string {
	r.mu.RLock()
	defer r.mu.RUnlock()
	names := make([]string, 0, len(r.entries))
	for name := range r.entries {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// StageKinds holds the kinds of stage that pipelines may name.
var StageKinds Registry[StageKind]

// Pickers holds constructors of the pickers that settings may name.
var Pickers Registry[func() Picker]
