package radish

import (
	"fmt"
	"slices"
	"sync"
)

// Registry maps names to plug-ins, which register themselves in the init function of their package.
type Registry[T any] struct {
	mu      sync.RWMutex
	entries map[string]T
}

// Register adds a plug-in and panics if the name is already registered.
func (r *Registry[T]) Register(name string, entry T) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.entries == nil {
		r.entries = make(map[string]T)
	}
	if _, exists := r.entries[name]; exists {
		panic(fmt.Sprintf("plug-in %q is registered twice", name))
	}
	r.entries[name] = entry
}

// Lookup returns the plug-in with the name and whether it is registered.
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

// StageKinds holds the stage kinds that pipelines may use.
var StageKinds Registry[StageKind]

// Pickers holds the constructors of the pickers that can be selected in the settings.
var Pickers Registry[func() Picker]
